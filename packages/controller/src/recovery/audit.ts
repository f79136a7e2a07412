/**
 * Finds keys that vanished without a change that tells of it: a page of the store's listing is compared with the view that
 * the store watcher maintains. A key counts as lost only if the view is at least as new as the listing and still has it.
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

/** The prefixes that are searched, one after the other. */
export const AUDITED_PREFIXES = [
  LOG_ENTRIES,
  ACTIVE_JOBS,
  JOB_BUNDLES,
  TERM,
  LEADER,
  STORE_STATUS,
  CALENDAR,
] as const;

/** Keys that the view has below `prefix`, with the revisions it knows them at. Sorted. */
export const expectedKeys = (
  jobState: JobState,
  prefix: (typeof AUDITED_PREFIXES)[number],
): [string, number][] => {
  const out: [string, number][] = [];
  if (prefix === ACTIVE_JOBS) {
    // A job of stamp 0 has no key of its own yet.
    for (const [id, job] of jobState.jobs) if (job.revision > 0) out.push([ACTIVE_JOBS + id, job.revision]);
  } else if (prefix === TERM) {
    if (jobState.term > 0) out.push([TERM, jobState.termRevision]);
  } else if (prefix === LEADER) {
    if (jobState.leader !== null) out.push([LEADER, jobState.leaderRevision]);
  } else if (prefix === STORE_STATUS) {
    for (const i of jobState.incarnations.values()) out.push([INCARNATION + i.id, i.stamp]);
  } else if (prefix === CALENDAR) out.push(...jobState.calendars.keys());
  else if (prefix === JOB_BUNDLES) for (const [key, p] of jobState.bundles) out.push([key, p.revision]);
  else for (const [seq, r] of jobState.logTail) out.push([logEntryKey(seq), r.revision]);
  return out.sort((a, b) => (a[0] < b[0] ? -1 : 1));
};

/**
 * The first key lost, or null. `expected`: what the view has in the range that the page covers, read when `view` (its
 * revision) was at least the page's. `after`: where the page began.
 */
export const findLostKey = (
  page: Page,
  expected: readonly (readonly [string, number])[],
  after: string | null,
  view: number,
): string | null => {
  if (view < page.revision) return null;
  const there = new Map(page.entries.map((e) => [e.key, e.stamp]));
  const last = page.more ? page.entries[page.entries.length - 1]?.key : undefined;
  for (const [key, stamp] of expected) {
    if (after !== null && key <= after) continue;
    if (last !== undefined && key > last) break;
    // Written after the page was read: it can't be on it.
    if (stamp > page.revision) continue;
    const found = there.get(key);
    if (found === undefined) return `${key} is missing`;
    if (found < stamp) return `${key} is as of ${found}, was of ${stamp}`;
  }
  return null;
};
