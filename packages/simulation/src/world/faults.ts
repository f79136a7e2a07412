/**
 * The faults that a simulated day can have: kinds that are drawn at random, and planned faults. All times are in
 * microseconds.
 */
import type { LinkState } from './links.js';
import type { ScenarioName } from './scenarios/scenario-names.js';
import type { Loss } from './state-service/store.js';

/**
 * The faults enabled for a day, by name, and the planned faults. A compound-fault scenario is enabled by its own
 * name.
 */
export interface Faults extends Readonly<Partial<Record<ScenarioName, boolean>>> {
  readonly nodeCrash?: boolean;
  readonly stateOutage?: boolean;
  readonly stateCut?: boolean;
  readonly lost?: boolean;
  readonly netCut?: boolean;
  readonly machineDie?: boolean;
  readonly machineHang?: boolean;
  readonly cloudOutage?: boolean;
  /** A controller's process pauses while its clocks continue. */
  readonly freeze?: boolean;
  /** All workers are cut off from one controller, which users, peers and the state service still reach. */
  readonly workersCut?: boolean;
  /** A controller is cut off from its peers, but not from users, workers, the cloud or the state service. */
  readonly peersCut?: boolean;
  /** Machines take several times their stated boot time, or never boot. */
  readonly lateBoots?: boolean;
  /** The cloud's list of machines may be older than usual. */
  readonly oldLists?: boolean;
  /** Some jobs are faulty: every task of them fails. */
  readonly brokenJobs?: boolean;
  /** Some machines are faulty: every task on them fails. */
  readonly faultyMachines?: boolean;
  /**
   * All controllers crash and half of the machines fail during an outage of the state service, while users submit a
   * burst of jobs.
   */
  readonly everythingRestarts?: boolean;
  /**
   * Users send hundreds of polls to a controller that lags by seconds. Some are refused with a `Retry-After` header.
   */
  readonly flood?: boolean;
  /**
   * Controllers crash and restart within 0.05 to 0.5 s: one, half or all of them, once or in loops, or the leader and
   * its successors in the middle of elections.
   */
  readonly quickRestart?: boolean;
  /** Machines restart, once or in loops. Their tasks are lost, and a new worker session begins at once. */
  readonly machineRestart?: boolean;
  /**
   * Requests are delivered a second time, late. Most of these requests were sent by a process that has exited since.
   */
  readonly echoes?: boolean;
  /**
   * All controllers are overloaded for the rest of the faulty period and polled ten times as often. This does not
   * count as a disruption: users' requests must still get responses.
   */
  readonly storm?: boolean;
  /** Planned data losses of the state service, each with controllers that crash around it. */
  readonly losses?: readonly LossPlan[];
  readonly links?: readonly LinkPlan[];
  /** Jobs have cutoffs. Operators publish calendars, some of them concurrently and while a leader crashes. */
  readonly cutoffs?: boolean;
  /** A controller's time of day jumps by up to 10 s. */
  readonly clockSteps?: boolean;
  /** A team without a guarantee submits one huge array and many tiny jobs. */
  readonly guests?: boolean;
  /** Two to four of the compound-fault scenarios run at overlapping times, twice in the day. */
  readonly compoundFaults?: boolean;
  /** Services, fine-tuning gangs and batch arrays share GPUs, and leaders crash between the steps of a loan. */
  readonly lending?: boolean;
}

/**
 * A planned failure of a link. An endpoint is a controller's label, `leader`, `any`, `zone:a` (or another zone),
 * `state` or `users`.
 */
export interface LinkPlan {
  /** The failure begins at a time drawn between these two. */
  readonly at: readonly [number, number];
  readonly from: string;
  readonly to: string;
  readonly state: LinkState;
  /** Whether both directions fail, or only the direction from `from` to `to`. */
  readonly both: boolean;
  readonly lasts: readonly [number, number];
}

/** A planned data loss of the state service, and the controllers that crash around it. */
export interface LossPlan {
  /** The outage before the loss begins at a time drawn between these two. */
  readonly at: readonly [number, number];
  readonly loss: Loss;
  /** Duration of the outage, after which the service returns without the lost data. */
  readonly out: number;
  readonly crash: 'none' | 'one' | 'leader' | 'all but one' | 'all';
  /** Time of each crash relative to the loss, drawn between these two; negative before the loss. */
  readonly within: readonly [number, number];
  /** Time until a crashed controller restarts, drawn between these two. */
  readonly back: readonly [number, number];
}

/** Bounds between which the restart delay of a quick restart is drawn, in microseconds. */
export const QUICK_RESTART = [50_000, 500_000] as const;
