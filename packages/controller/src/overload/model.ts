/** What a node may have more of than its share of a core, or of the state service, allows. */
import { type Micros, millis, seconds } from '@lilacvalve/base/micros';

/** Kinds of work, the least worth first. A lease's renewal is this node's own doing and is never shed. */
export const WORK = ['poll', 'submission', 'order', 'report'] as const;
export type Work = (typeof WORK)[number];

export interface Load {
  /** How far behind its clock this node is: what comes in now was sent so long ago, at least. */
  readonly lag: Micros;
  /** Taken on and not answered yet. */
  readonly inFlight: Readonly<Record<Work, number>>;
  /** How long a change asked for now would wait for its part of the state service's rate. */
  readonly writeWait: Micros;
}

export interface Limits {
  /** From this lag on, work of the kind is refused. Ascending in the order of `WORK`. */
  readonly lag: Readonly<Record<Work, Micros>>;
  readonly inFlight: Readonly<Record<Work, number>>;
  readonly writeWait: Micros;
}

/**
 * What the askers' own patience and the node's sockets say. A user waits 2 s for a poll and 5 s for a submission, a
 * worker 4 s for a report's answer: what is answered later was work for nothing, and has to be done again.
 */
export const limitsOf = (maxConnections: number): Limits => ({
  lag: { poll: millis(800), submission: millis(1600), order: millis(2000), report: millis(2800) },
  // A connection carries one request at a time, so these matter only where a class takes more than its part of them.
  inFlight: {
    poll: Math.ceil(maxConnections * 0.25),
    submission: Math.ceil(maxConnections * 0.15),
    order: Math.ceil(maxConnections * 0.1),
    report: maxConnections,
  },
  writeWait: seconds(2),
});
