/**
 * Finds keys that vanished from the store without a change that deletes them. A page of the store's listing is compared with
 * the view that the store watcher maintains. A key counts as lost only if the view is at least as new as the listing and
 * still has the key.
 */
import type { JobState } from '../jobs/job-state.js';
import {
  ACTIVE_JOBS,
  CALENDAR,
  INCARNATION,
  LEADER,
  STORE_STATUS,
  JOB_BUNDLES,
  LOG_ENTRIES,
  logEntryKey,
  TERM,
} from '../jobs/keys.js';
import type { Page } from '../state-store/client.js';

/** The prefixes that the audit searches, in this order. */
export const AUDITED_PREFIXES = [
  LOG_ENTRIES,
  ACTIVE_JOBS,
  JOB_BUNDLES,
  TERM,
  LEADER,
  STORE_STATUS,
  CALENDAR,
] as const;

/** Returns the keys that the view has below `prefix`, each with its revision in the view, sorted by key. */
export const expectedKeys = (
  jobState: JobState,
  prefix: (typeof AUDITED_PREFIXES)[number],
): [string, number][] => {
  const expected: [string, number][] = [];
  if (prefix === ACTIVE_JOBS) {
    // A job of revision 0 is stored in a bundle only and has no key of its own yet.
    for (const [id, job] of jobState.jobs)
      if (job.revision > 0) expected.push([ACTIVE_JOBS + id, job.revision]);
  } else if (prefix === TERM) {
    if (jobState.term > 0) expected.push([TERM, jobState.termRevision]);
  } else if (prefix === LEADER) {
    if (jobState.leader !== null) expected.push([LEADER, jobState.leaderRevision]);
  } else if (prefix === STORE_STATUS) {
    for (const incarnation of jobState.incarnations.values())
      expected.push([INCARNATION + incarnation.id, incarnation.revision]);
  } else if (prefix === CALENDAR) expected.push(...jobState.calendars.keys());
  else if (prefix === JOB_BUNDLES)
    for (const [key, bundle] of jobState.bundles) expected.push([key, bundle.revision]);
  else
    for (const [sequence, logEntry] of jobState.logTail)
      expected.push([logEntryKey(sequence), logEntry.revision]);
  return expected.sort((a, b) => (a[0] < b[0] ? -1 : 1));
};

/**
 * Describes the first lost key in the range that `page` covers; null if no key is lost. `expected`: the keys that the view
 * has below the page's prefix, read after the view had reached the page's revision. `after`: the key after which the page
 * begins, null for the first page. `viewRevision`: the view's revision; a view older than the page proves nothing.
 */
export const findLostKey = (
  page: Page,
  expected: readonly (readonly [string, number])[],
  after: string | null,
  viewRevision: number,
): string | null => {
  if (viewRevision < page.revision) return null;
  const listed = new Map(page.entries.map((entry) => [entry.key, entry.revision]));
  const last = page.more ? page.entries[page.entries.length - 1]?.key : undefined;
  for (const [key, revision] of expected) {
    if (after !== null && key <= after) continue;
    if (last !== undefined && key > last) break;
    // A key that was written after the page was read can't be on the page.
    if (revision > page.revision) continue;
    const found = listed.get(key);
    if (found === undefined) return `${key} is missing`;
    if (found < revision) return `${key} has revision ${found}, expected at least ${revision}`;
  }
  return null;
};
