/** The keys of the state service that controllers write. */
import type { Condition } from '../state-store/client.js';

/** Prefix of all keys: a controller needs a single watch. */
export const ROOT = 's/';
export const ACTIVE_JOBS = 's/j/a/';
export const FINAL_STATES = 's/j/z/';
export const LOG_ENTRIES = 's/r/';
export const LEADER = 's/leader';
export const TERM = 's/term';
export const MACHINE_TYPES = 's/types';
/**
 * The checkpoint of the accounts: their state as of one log entry. A state that is too large for one value continues in
 * keys below `ACCOUNTS_PART` (docs/accounts.md).
 */
export const ACCOUNTS = 's/a/now';
export const ACCOUNTS_PART = 's/a/now/';
/** Which machines hold which services' images. Below `MACHINE_TYPES`, so that a listing of that prefix includes it. */
export const IMAGE_WEIGHTS = 's/types/weights';
/** The largest jobs of each class. Also below `MACHINE_TYPES`. */
export const LARGEST_JOBS = 's/types/largest';
/** Prefix of the keys that describe the store itself: its incarnation and the progress of a rebuild (docs/rebuild.md). */
export const STORE_STATUS = 's/l/';
/** Prefix of the incarnation's key, which ends with its id: a condition on that key fails in every other incarnation. */
export const INCARNATION = 's/l/i/';
/** Written together with the first incarnation's key: of several controllers that found the store at once, one succeeds. */
export const FOUNDED = 's/l/founded';
/** Exists from a data loss until the views of all controllers are durable again. */
export const REBUILD = 's/l/rebuild';
/** Names the incarnation in which no task that the rebuild does not know of can be running any more. */
export const QUIESCENT = 's/l/calm';
/** Names the incarnation in which all surviving views have been read: a job missing from the store was never accepted. */
export const RECOVERED = 's/l/settled';
/** Orphaned jobs: workers report tasks of them, and neither the store nor any controller knows them. */
export const ORPHANED_JOB = 's/l/w/';
/** Bundles: several rebuilt jobs in one value, until each has a key of its own. */
export const JOB_BUNDLES = 's/p/';
/** Pages of rebuilt final states: several in one value, under a key named after the last job id of the page. */
export const FINAL_STATE_PAGES = 's/y/';
/** Names of sets of final state pages. One rebuild writes one set, and the pages of one set do not overlap. */
export const FINAL_STATE_PAGE_SETS = 's/l/o/';

export const accountsKey = (part: number): string => (part === 0 ? ACCOUNTS : ACCOUNTS_PART + part);
/** Prefix of the calendar of cutoffs. */
export const CALENDAR = 's/c/';
/** The calendar's version and the list of its pages. */
export const CALENDAR_HEAD = 's/c/head';
export const CALENDAR_PAGE = 's/c/p/';
/** Outcome counts of the jobs that are bound to one occurrence of a cutoff. */
export const OCCURRENCE = 's/c/o/';
/** Observed run times of job classes. */
export const CLASS_DURATIONS = 's/c/e';

export const activeJobKey = (id: string): string => ACTIVE_JOBS + id;
export const finalStateKey = (id: string): string => FINAL_STATES + id;
/** Zero-padded, so that log entries sort by their sequence numbers. */
export const logEntryKey = (sequence: number): string => LOG_ENTRIES + String(sequence).padStart(12, '0');
export const orphanedJobKey = (id: string): string => ORPHANED_JOB + id;
/** Key of a final state page. `pageSet`: the set that the page belongs to; `lastId`: the last job id in the page. */
export const finalStatePageKey = (pageSet: string, lastId: string): string =>
  `${FINAL_STATE_PAGES}${pageSet}/${lastId}~`;
/** The first page of the set after this key is the only one of that set that can contain `id`. */
export const finalStatePageAfter = (pageSet: string, id: string): string =>
  `${FINAL_STATE_PAGES}${pageSet}/${id}`;

/**
 * The conditions under which a job's own key may be written. `revision`: the key's last known revision; 0: the job is
 * listed in a bundle only and has no key of its own. A finished job has none either, so that in this case its final state
 * must not exist: a write that arrives late or twice must not bring a finished job back.
 */
export const jobUnchanged = (id: string, revision: number): Condition[] =>
  revision > 0
    ? [{ key: activeJobKey(id), revision: revision }]
    : [
        { key: activeJobKey(id), revision: 0 },
        { key: finalStateKey(id), revision: 0 },
      ];
