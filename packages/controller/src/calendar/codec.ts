/** Stored form of the calendar: a head and its pages, and the outcome counts of occurrences. */
import { createHash } from 'node:crypto';
import { jsonBytes } from '../state-store/transaction-limits.js';
import type { Micros } from '@lilacvalve/runtime/micros';
import { CALENDAR_PAGE } from '../jobs/keys.js';
import type { Shape, Urgency } from '../jobs/model.js';
import { type Calendar, type Cutoff, makeCalendar, type Occurrence, type OutcomeCounts } from './model.js';

/** Names the pages of a calendar. Controllers switch to the calendar by this one key, which is changed on condition of its revision. */
export interface CalendarHead {
  readonly version: number;
  /** Keys of the pages, in order. */
  readonly pages: readonly string[];
  readonly until: number;
  readonly notice: number;
  /** Digest of the version, `until`, `notice` and the content of all pages. */
  readonly digest: string;
  /** Number of occurrences. */
  readonly count: number;
}

type WireCutoff = readonly [
  name: string,
  lead: number,
  teams: readonly string[] | null,
  classes: readonly string[] | null,
  shapes: readonly Shape[] | null,
  urgencies: readonly Urgency[] | null,
];
/** `cutoff`: index of the occurrence's cutoff. The number in first position distinguishes an occurrence from a cutoff. */
type WireOccurrence = readonly [cutoff: number, date: string, at: number];
/** The pages hold one list of items, the cutoffs before the occurrences. */
type Item = WireCutoff | WireOccurrence;

const itemsOf = (calendar: Calendar): Item[] => [
  ...calendar.cutoffs.map((cutoff): WireCutoff => [
    cutoff.name,
    cutoff.lead,
    cutoff.match.teams,
    cutoff.match.classes,
    cutoff.match.shapes,
    cutoff.match.urgencies,
  ]),
  ...calendar.occurrences.map((occurrence): WireOccurrence => [
    occurrence.cutoff,
    occurrence.id.slice(occurrence.id.lastIndexOf('@') + 1),
    occurrence.at,
  ]),
];

const digestOf = (version: number, until: number, notice: number, items: readonly Item[]): string =>
  createHash('sha256')
    .update(JSON.stringify([version, until, notice, items]))
    .digest('hex')
    .slice(0, 32);

export interface PagedCalendar {
  readonly head: CalendarHead;
  readonly pages: readonly { readonly key: string; readonly value: unknown }[];
}

/**
 * Encodes a calendar as a head and pages. `bytes`: maximum size of a page's JSON. The key of a page contains a prefix of the
 * digest, so that pages left behind by another `calendar apply` of the same version are never used by mistake.
 */
export const encodeCalendar = (calendar: Calendar, bytes: number): PagedCalendar => {
  const items = itemsOf(calendar);
  const digest = digestOf(calendar.version, calendar.until, calendar.notice, items);
  const pages: { key: string; value: Item[] }[] = [];
  let size = 0;
  for (const item of items) {
    const itemBytes = jsonBytes(item) + 1;
    // Messages between controllers have no limit on a page (`bytes` is infinite): the first page is begun all the same.
    if (pages.length === 0 || size + itemBytes > bytes) {
      pages.push({
        key: `${CALENDAR_PAGE}${calendar.version}-${digest.slice(0, 8)}-${pages.length}`,
        value: [],
      });
      size = 2;
    }
    pages[pages.length - 1]!.value.push(item);
    size += itemBytes;
  }
  const head: CalendarHead = {
    version: calendar.version,
    pages: pages.map((page) => page.key),
    until: calendar.until,
    notice: calendar.notice,
    digest,
    count: calendar.occurrences.length,
  };
  return { head, pages };
};

/** Throws on values that `encodeCalendar` cannot have written. */
export const decodeHead = (value: unknown): CalendarHead => {
  const head = value as CalendarHead | null;
  if (
    typeof head !== 'object' ||
    head === null ||
    !Number.isSafeInteger(head.version) ||
    !Array.isArray(head.pages) ||
    !Number.isSafeInteger(head.until) ||
    typeof head.digest !== 'string'
  )
    throw new Error('calendar head: expected version, pages, until and digest');
  return head;
};

/** Returns the calendar of a head and its pages' values, in order; null if the values do not have the head's digest. */
export const decodeCalendar = (head: CalendarHead, values: readonly unknown[]): Calendar | null => {
  if (values.some((value) => !Array.isArray(value))) return null;
  const items = (values as Item[][]).flat();
  if (digestOf(head.version, head.until, head.notice, items) !== head.digest) return null;
  const cutoffs: Cutoff[] = [];
  const occurrences: Occurrence[] = [];
  for (const item of items) {
    if (typeof item[0] === 'string') {
      const [name, lead, teams, classes, shapes, urgencies] = item as WireCutoff;
      cutoffs.push({ name, lead: lead as Micros, match: { teams, classes, shapes, urgencies } });
    } else {
      const [cutoff, date, at] = item as WireOccurrence;
      occurrences.push({ id: `${cutoffs[cutoff]!.name}@${date}`, cutoff, at: at as Micros });
    }
  }
  const { version, until, notice } = head;
  return makeCalendar({ version, until: until as Micros, notice: notice as Micros, cutoffs }, occurrences);
};

export const encodeOutcomeCounts = (counts: OutcomeCounts): unknown => [
  counts.done,
  counts.risked,
  counts.missed,
  counts.cancelled,
];
export const decodeOutcomeCounts = (value: unknown): OutcomeCounts => {
  if (!Array.isArray(value) || value.length !== 4 || !value.every((count) => Number.isSafeInteger(count)))
    throw new Error(`outcome counts: expected four safe integers, found ${JSON.stringify(value)}`);
  const [done, risked, missed, cancelled] = value as [number, number, number, number];
  return { done, risked, missed, cancelled };
};
