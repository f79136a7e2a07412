/** What the leader knows of one machine and its worker. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { ListedMachine } from '../provisioning/model.js';
import type { Heartbeat, ReportedTask } from './codec.js';

/** A machine as the cloud and its worker's heartbeats describe it, in this leader's term. */
export interface Machine {
  readonly id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** The worker's epoch: it grows when the worker restarts or its lease expires. */
  incarnation: number;
  /** Number of its latest heartbeat within the incarnation. */
  sequence: number;
  /** When a heartbeat of it was last answered: its lease may run from there. */
  lastAnswered: Micros;
  reported: boolean;
  /** A heartbeat has carried this term's fencing token: no older leader's response can reach the worker any more. */
  confirmed: boolean;
  /** When the cloud reclaims the machine; null: not announced. */
  recallAt: Micros | null;
  readonly tasks: Map<string, ReportedTask>;
  /** The list that `tasks` was made from. */
  lastTaskList: readonly ReportedTask[];
  /** Since when it has sent heartbeats without being confirmed; once its lease has expired, from the last response on. */
  unconfirmedSince: Micros;
  /**
   * The latest heartbeat carried this term's token, or no older leader's orders can count any more: what the heartbeat
   * lacks is surely not there, and what has exited there is not started there again.
   */
  authoritative: boolean;
  /** Tasks reported in this term and incarnation, with the attempt: a later attempt here has not been seen yet. */
  readonly seenAttempts: Map<string, number>;
  /** It reports running tasks that the recorded state does not place there. */
  hasUnknownTasks: boolean;
  /** Status in the cloud's list; null: not listed yet. */
  cloudStatus: ListedMachine['status'] | null;
  /** When the machine became known or was rented; it is charged from there. */
  since: Micros;
  /** Since when the cloud's list has called it running in this term. */
  runningSince: Micros | null;
  emptySince: Micros | null;
  /** Why it gets no new tasks; null: it is not cordoned. */
  cordonReason: string | null;
  /** Images that its tasks have fetched. */
  images: Set<string>;
  /** It gets no new tasks before. */
  cooldownUntil: Micros;
  /** Tasks that the response to its latest heartbeat starts. */
  dispatched: readonly string[];
  /** How many responses with starts in a row have not reached it. */
  unacknowledged: number;
}

/** What the cloud or a heartbeat says of a machine when it is first heard of. */
export interface MachineInfo {
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The machines of the registry, for modules that change a machine but neither add nor remove one. */
export type Machines = ReadonlyMap<string, Machine>;

/** Nothing was dispatched. One shared list: it is compared by identity. */
export const NONE_DISPATCHED: readonly string[] = [];
const NO_TASKS: readonly ReportedTask[] = [];

/** A machine that became known at `at`, in a term that began at `termBegan`. */
export const newMachine = (
  id: string,
  at: Micros,
  termBegan: Micros,
  { addr, type, zone, spot }: MachineInfo,
  images: Iterable<string>,
): Machine => ({
  id,
  addr,
  type,
  zone,
  spot,
  incarnation: 0,
  sequence: -1,
  lastAnswered: termBegan,
  reported: false,
  confirmed: false,
  unconfirmedSince: at,
  recallAt: null,
  tasks: new Map(),
  lastTaskList: NO_TASKS,
  authoritative: false,
  seenAttempts: new Map(),
  hasUnknownTasks: false,
  cloudStatus: null,
  since: at,
  runningSince: null,
  emptySince: null,
  cordonReason: null,
  images: new Set(images),
  cooldownUntil: 0 as Micros,
  dispatched: NONE_DISPATCHED,
  unacknowledged: 0,
});

/** A repetition of the latest heartbeat, or older than it. */
export const isStale = (heartbeat: Heartbeat, machine: Machine): boolean =>
  heartbeat.incarnation < machine.incarnation ||
  (heartbeat.incarnation === machine.incarnation && heartbeat.sequence <= machine.sequence);
