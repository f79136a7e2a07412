/**
 * Measured load of a controller, and the limits from which it refuses work, given its share of a core and of the
 * state service's write rate.
 */
import { type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import { SLOT_PERIOD } from './poll-slots.js';

/**
 * Classes of work, from the least to the most important. The renewal of the leader lease is the controller's own
 * request and is never refused.
 */
export const WORK_CLASSES = ['poll', 'submission', 'order', 'report'] as const;
/** A class of work for admission control. */
export type WorkClass = (typeof WORK_CLASSES)[number];

/** Measured load at one moment. */
export interface Load {
  /** Lag of the event loop: the minimum age of a request when it is read. */
  readonly lag: Micros;
  /** Admitted work that is not done yet, by class. */
  readonly inFlight: Readonly<Record<WorkClass, number>>;
  /** Time that a new write would wait for its share of the state service's write rate. */
  readonly writeWait: Micros;
  /** Polls admitted in the current second because their job's slot was open. */
  readonly slotPolls: number;
  /** Fraction of its memory that the controller uses; see memory.ts. */
  readonly memory: number;
}

/** Limits from which work is refused. */
export interface Limits {
  /** Lag from which work of a class is refused. Ascending in the order of `WORK_CLASSES`. */
  readonly lag: Readonly<Record<WorkClass, Micros>>;
  readonly inFlight: Readonly<Record<WorkClass, number>>;
  readonly writeWait: Micros;
  /**
   * Limits of the polls admitted because of their job's slot (poll-slots.ts): in flight and per second.
   * `crowdedPerSecond`: number of polls offered per second from which slots recur less often.
   */
  readonly slotPolls: {
    readonly inFlight: number;
    readonly perSecond: number;
    readonly crowdedPerSecond: number;
  };
}

/** Number of polls per second that take about a fifteenth of the controller's share of a core, at 0.35 ms each. */
const SLOT_POLLS_PER_CORE = 200;

/**
 * Derives the limits from the timeouts of the clients and the number of sockets. A user waits 2 s for a poll and 5
 * s for a submission, a worker 4 s for a heartbeat response. A later response is wasted work, because the client
 * has already retried.
 */
export const limitsOf = (maxConnections: number, cores = 1): Limits => ({
  lag: { poll: millis(800), submission: millis(1600), order: millis(2000), report: millis(2800) },
  // A connection carries one request at a time, so these limits apply only if one class takes more than its share
  // of the connections.
  inFlight: {
    poll: Math.ceil(maxConnections * 0.25),
    submission: Math.ceil(maxConnections * 0.15),
    order: Math.ceil(maxConnections * 0.1),
    report: maxConnections,
  },
  writeWait: seconds(2),
  slotPolls: {
    inFlight: Math.ceil(maxConnections * 0.35),
    perSecond: Math.ceil(2 * SLOT_POLLS_PER_CORE * cores),
    crowdedPerSecond: Math.ceil(SLOT_PERIOD.lagging * SLOT_POLLS_PER_CORE * cores),
  },
});
