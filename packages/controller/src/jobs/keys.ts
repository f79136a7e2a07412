import type { Condition } from '../state-store/client.js';

/** The layout of the state store. Everything the service keeps stands below one prefix, so one watch feeds a node. */
export const ROOT = 's/';
export const ACTIVE_JOBS = 's/j/a/';
export const FINAL_STATES = 's/j/z/';
export const LOG_ENTRIES = 's/r/';
export const LEADER = 's/leader';
export const TERM = 's/term';
export const MACHINE_TYPES = 's/types';
/** The accounts as of one log entry; further values of the same state stand below `ACCOUNTS_PART` (docs/accounts.md). */
export const ACCOUNTS = 's/a/now';
export const ACCOUNTS_PART = 's/a/now/';
/** Below the types, so that whoever reads those reads it too: which machines hold which services' images. */
export const IMAGE_WEIGHTS = 's/types/weights';
/** There likewise: the largest jobs of each class. */
export const LARGEST_JOBS = 's/types/largest';
/** What the store says of itself: its incarnation, and how far a rebuild has come (docs/rebuild.md). */
export const STORE_STATUS = 's/l/';
/** One key, named after the incarnation: a condition on it can hold in no other. */
export const INCARNATION = 's/l/i/';
/** Written with the first incarnation's key: of several nodes that begin the store at once, one does. */
export const FOUNDED = 's/l/founded';
/** There from a loss until every controller's view is durable again. */
export const REBUILD = 's/l/rebuild';
/** Nothing that the rebuild does not know of can be running any more. */
export const QUIESCENT = 's/l/calm';
/** Whoever could know better has been heard: a job that is not here was never accepted. */
export const RECOVERED = 's/l/settled';
/** Jobs that only workers name. */
export const ORPHANED_JOB = 's/l/w/';
/** Rebuilt jobs, several in a value, until they have keys of their own. */
export const JOB_BUNDLES = 's/p/';
/** Rebuilt final states, several in a value, named after the last of them. */
export const FINAL_STATE_PAGES = 's/y/';
/** Names a part of those pages: what one rebuild wrote at one go, so that its pages don't overlap. */
export const FINAL_STATE_PARTS = 's/l/o/';

export const accountsKey = (part: number): string => (part === 0 ? ACCOUNTS : ACCOUNTS_PART + part);
/** The calendar of cutoffs: its head, its pages, what became of an occurrence's jobs, what classes have shown. */
export const CALENDAR = 's/c/';
export const CALENDAR_HEAD = 's/c/head';
export const CALENDAR_PAGE = 's/c/p/';
export const OCCURRENCE = 's/c/o/';
export const CLASS_DURATIONS = 's/c/e';

export const activeJobKey = (id: string): string => ACTIVE_JOBS + id;
export const finalStateKey = (id: string): string => FINAL_STATES + id;
export const logEntryKey = (seq: number): string => LOG_ENTRIES + String(seq).padStart(12, '0');
export const orphanedJobKey = (id: string): string => ORPHANED_JOB + id;
/** The first page of a part after `finalStatePageAfter(part, id)` is the one of that part that would hold `id`. */
export const finalStatePageKey = (part: string, last: string): string =>
  `${FINAL_STATE_PAGES}${part}/${last}~`;
export const finalStatePageAfter = (part: string, id: string): string => `${FINAL_STATE_PAGES}${part}/${id}`;

/**
 * What a write of a job's own key is conditional on; `stamp`: the revision it is known at. A job that only a bundle lists has
 * none yet (0), and neither has one that is over: a write that arrives late, or twice, must not bring that one back.
 */
export const jobUnchanged = (id: string, stamp: number): Condition[] =>
  stamp > 0
    ? [{ key: activeJobKey(id), stamp }]
    : [
        { key: activeJobKey(id), stamp: 0 },
        { key: finalStateKey(id), stamp: 0 },
      ];
