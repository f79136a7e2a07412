/**
 * Whose polls a node answers that is behind. Time of day is cut into slots, the same on every node, and a job's id says
 * which of them are its own: so each job has its turn, whoever is asked, and nobody keeps a list of who was refused
 * (docs/answers.md states the bound). Pure functions of (id, time of day).
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** Longer than from one poll of a user to the next, so that one falls into each slot: 5 s, give or take, and 2 s unanswered. */
export const SLOT = seconds(8);
/**
 * One job in so many has its turn in a slot: while a node is behind, and while it is also asked for more than a third of
 * can be afforded. A multiple of the other, so that a turn of the second kind is one of the first kind on all nodes.
 */
export const SHARES = { behind: 3, storm: 6 } as const;
/** One of `SHARES`. */
export type Shares = (typeof SHARES)[keyof typeof SHARES];
/** An answer this close to a slot's end may belong to the next one: time of day differs between nodes. */
const EDGE = seconds(0.5);

/** When a job's polls are answered while the controller is behind. */
export interface Turn {
  /** It is this job's turn. */
  readonly mine: boolean;
  /** From now until the middle part of its next turn begins, and how long that lasts; 0: it is going on. */
  readonly after: Micros;
  readonly lasts: Micros;
}

/** FNV-1a with a last mixing; 32 bits. */
const hash = (text: string): number => {
  let digest = 2166136261;
  for (let i = 0; i < text.length; i++) digest = Math.imul(digest ^ text.charCodeAt(i), 16777619);
  digest = Math.imul(digest ^ (digest >>> 15), 2246822519);
  return (digest ^ (digest >>> 13)) >>> 0;
};

/** `at`: time of day. */
export const turnOf = (id: string, at: Micros, shares: Shares): Turn => {
  const slot = Math.floor(at / SLOT);
  const own = hash(id) % SHARES.storm;
  const ahead = (((own - slot) % shares) + shares) % shares;
  const begins = (slot + ahead) * SLOT + EDGE;
  return {
    mine: ahead === 0,
    after: Math.max(0, begins - at) as Micros,
    // `Retry-After` is in whole seconds.
    lasts: (SLOT - 2 * EDGE - seconds(1)) as Micros,
  };
};
