/** The faults of a day: the kinds that are drawn by chance, and those that are planned. All times are in microseconds. */
import type { LinkState } from './links.js';
import type { ScenarioName } from './scenarios/scenario-names.js';
import type { Loss } from './state-service/store.js';

/** Which faults a day may draw, by name, and the planned ones. A scenario of compound faults is a fault by its name. */
export interface Faults extends Readonly<Partial<Record<ScenarioName, boolean>>> {
  readonly nodeCrash?: boolean;
  readonly stateOutage?: boolean;
  readonly stateCut?: boolean;
  readonly lost?: boolean;
  readonly netCut?: boolean;
  readonly machineDie?: boolean;
  readonly machineHang?: boolean;
  readonly cloudOutage?: boolean;
  /** A controller stands still while its clocks run on. */
  readonly freeze?: boolean;
  /** Workers can't reach one controller, which everybody else can. */
  readonly workersCut?: boolean;
  /** Controllers can't reach one another, but everybody else. */
  readonly peersCut?: boolean;
  /** Machines come several times as late as they should, or never. */
  readonly lateBoots?: boolean;
  /** The cloud's list is older than usual. */
  readonly oldLists?: boolean;
  /** Jobs submitted with a mistake. */
  readonly brokenJobs?: boolean;
  /** Machines on which everything fails. */
  readonly faultyMachines?: boolean;
  /** All controllers, then half of the machines, while the state service is out, with a burst of jobs. */
  readonly everythingRestarts?: boolean;
  /** Hundreds of polls meet a controller that is seconds behind: some are refused, with a time to come back. */
  readonly flood?: boolean;
  /**
   * Controllers are back after 0.05 to 0.5 s: one, half or all, once and in loops, the leader and its successors in the
   * middle of their elections.
   */
  readonly quickRestart?: boolean;
  /** Machines restart, once and in loops: their tasks are gone, and a new session begins at once. */
  readonly machineRestart?: boolean;
  /** Requests are delivered a second time, late, most of them those of a process that has ended since. */
  readonly echoes?: boolean;
  /** All controllers are behind for long, and polled ten times as often: no fault that excuses a job without answers. */
  readonly storm?: boolean;
  /** The state service loses data, and controllers with it. */
  readonly losses?: readonly LossPlan[];
  readonly links?: readonly LinkPlan[];
  /** Jobs have cutoffs; operators apply calendars, at once and while a leader crashes. */
  readonly cutoffs?: boolean;
  /** A controller's time of day is stepped by up to 10 s. */
  readonly clockSteps?: boolean;
  /** A team without guarantee submits one huge array and many tiny jobs. */
  readonly guests?: boolean;
  /** Two to four of the compound-fault scenarios, overlapping, twice in the day. */
  readonly compoundFaults?: boolean;
  /** Services on GPUs, fine-tuning and batch beside them, and leaders that die between the steps of a loan. */
  readonly lending?: boolean;
}

/** A link that fails for a time. Ends: a controller's label, `leader`, `any`, `zone:a`, `state`, `users`. */
export interface LinkPlan {
  /** The fault begins at a time drawn between these. */
  readonly at: readonly [number, number];
  readonly from: string;
  readonly to: string;
  readonly state: LinkState;
  /** Both directions fail, or that from `from` to `to` alone. */
  readonly both: boolean;
  readonly lasts: readonly [number, number];
}

/** When the state service loses data, and which controllers crash in the same minute. */
export interface LossPlan {
  /** The loss happens at a time drawn between these. */
  readonly at: readonly [number, number];
  readonly loss: Loss;
  /** The service is out for so long before it comes back without its data. */
  readonly out: number;
  readonly crash: 'none' | 'one' | 'leader' | 'all but one' | 'all';
  /** When they crash, from the loss on (before it: negative), drawn between these. */
  readonly within: readonly [number, number];
  /** How soon they are back, drawn between these. */
  readonly back: readonly [number, number];
}

/** A controller that restarts at once is back within this, drawn between the two. */
export const QUICK_RESTART = [50_000, 500_000] as const;
