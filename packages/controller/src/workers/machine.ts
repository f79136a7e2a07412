/** The leader's record of one machine and its worker. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { ListedMachine } from '../provisioning/model.js';
import type { Heartbeat, ReportedTask } from './codec.js';

/** A machine as described by the cloud and by its worker's heartbeats in this leader's term. */
export interface Machine {
  readonly id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** The worker's epoch; it grows with each restart and each expiry of the worker's lease. */
  incarnation: number;
  /** Number of the latest heartbeat within the incarnation. */
  sequence: number;
  /** Time of the last response to one of the worker's heartbeats; its lease may run from there. */
  lastResponseAt: Micros;
  /** Whether a heartbeat has been processed in this term. */
  reported: boolean;
  /**
   * Whether a heartbeat has carried this term's fencing token. If so, the worker accepts no response of an older
   * leader any more.
   */
  confirmed: boolean;
  /** Time at which the cloud reclaims the machine; null if no recall is announced. */
  recallAt: Micros | null;
  readonly tasks: Map<string, ReportedTask>;
  /** The decoded list that `tasks` was built from, compared by identity. */
  lastTaskList: readonly ReportedTask[];
  /**
   * Since when the worker has sent heartbeats without being confirmed. After its lease has expired: the time of
   * the last response.
   */
  unconfirmedSince: Micros;
  /**
   * Whether the latest heartbeat is authoritative: it carried this term's token, or no order of an older leader
   * can take effect any more. A task that is missing from an authoritative heartbeat does not run on the machine,
   * and a task reported as exited is not started on it again.
   */
  authoritative: boolean;
  /**
   * Attempts of tasks reported in this term and incarnation, by task. A later attempt has not been seen on this
   * machine yet.
   */
  readonly seenAttempts: Map<string, number>;
  /** Whether the machine reports running tasks that the committed state does not place on it. */
  hasUnknownTasks: boolean;
  /** Status in the cloud's list of machines; null if the machine has not been listed yet. */
  cloudStatus: ListedMachine['status'] | null;
  /** Time at which the machine became known or was rented; it is charged from then on. */
  since: Micros;
  /** Time from which the cloud has listed the machine as running in this term; null if it has not. */
  runningSince: Micros | null;
  /** Since when the machine has been idle; null while it has tasks. */
  idleSince: Micros | null;
  /** Reason why the machine gets no new tasks; null if it is not cordoned. */
  cordonReason: string | null;
  /** Images that the machine's tasks have fetched. */
  images: Set<string>;
  /** The machine gets no new tasks before this time. */
  cooldownUntil: Micros;
  /** Tasks that the response to the latest heartbeat starts. */
  dispatched: readonly string[];
  /** Number of consecutive responses with starts that did not reach the worker. */
  unacknowledged: number;
}

/** What the cloud or a heartbeat states about a machine when it first becomes known. */
export interface MachineInfo {
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The registry's machines, for modules that may change a machine but not add or remove one. */
export type Machines = ReadonlyMap<string, Machine>;

/**
 * The value of `dispatched` if the latest response starts nothing. One shared list, because it is compared by
 * identity.
 */
export const NONE_DISPATCHED: readonly string[] = [];
const NO_TASKS: readonly ReportedTask[] = [];

/** Creates the record of a machine that became known at `at`, in a term that began at `termBegan`. */
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
  lastResponseAt: termBegan,
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
  idleSince: null,
  cordonReason: null,
  images: new Set(images),
  cooldownUntil: 0 as Micros,
  dispatched: NONE_DISPATCHED,
  unacknowledged: 0,
});

/** Whether a heartbeat is older than the machine's latest heartbeat or a repetition of it. */
export const isStale = (heartbeat: Heartbeat, machine: Machine): boolean =>
  heartbeat.incarnation < machine.incarnation ||
  (heartbeat.incarnation === machine.incarnation && heartbeat.sequence <= machine.sequence);
