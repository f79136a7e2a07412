/** What a node may have more of than its share of a core, or of the state service, allows. */
import { type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import { SHARES } from './turns.js';

/** Kinds of work, the least worth first. A lease's renewal is this node's own doing and is never shed. */
export const WORK = ['poll', 'submission', 'order', 'report'] as const;
/** A kind of work. */
export type Work = (typeof WORK)[number];

/** How much there is to do right now. */
export interface Load {
  /** How far behind its clock this node is: what comes in now was sent so long ago, at least. */
  readonly lag: Micros;
  /** Taken on and not answered yet. */
  readonly inFlight: Readonly<Record<Work, number>>;
  /** How long a change asked for now would wait for its part of the state service's rate. */
  readonly writeWait: Micros;
  /** Polls taken on within this second because it was their job's turn. */
  readonly turns: number;
  /** The part of its memory that the node uses; see memory.ts. */
  readonly memory: number;
}

/** From where on work is refused. */
export interface Limits {
  /** From this lag on, work of the kind is refused. Ascending in the order of `WORK`. */
  readonly lag: Readonly<Record<Work, Micros>>;
  readonly inFlight: Readonly<Record<Work, number>>;
  readonly writeWait: Micros;
  /** What turns may cost (turns.ts): polls in flight, and taken on in one second; `storm`: offered in one second. */
  readonly turns: { readonly inFlight: number; readonly aSecond: number; readonly storm: number };
}

/** Polls a second that take some fifteenth of a node's share of a core, at 0.35 ms each. */
const TURNS_A_CORE = 200;

/**
 * What the askers' own patience and the node's sockets say. A user waits 2 s for a poll and 5 s for a submission, a
 * worker 4 s for a report's answer: what is answered later was work for nothing, and has to be done again.
 */
export const limitsOf = (maxConnections: number, cores = 1): Limits => ({
  lag: { poll: millis(800), submission: millis(1600), order: millis(2000), report: millis(2800) },
  // A connection carries one request at a time, so these matter only where a class takes more than its part of them.
  inFlight: {
    poll: Math.ceil(maxConnections * 0.25),
    submission: Math.ceil(maxConnections * 0.15),
    order: Math.ceil(maxConnections * 0.1),
    report: maxConnections,
  },
  writeWait: seconds(2),
  turns: {
    inFlight: Math.ceil(maxConnections * 0.35),
    aSecond: Math.ceil(2 * TURNS_A_CORE * cores),
    storm: Math.ceil(SHARES.behind * TURNS_A_CORE * cores),
  },
});
