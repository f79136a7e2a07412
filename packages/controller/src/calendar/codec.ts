/** Durable form of the calendar: a head and its pages. Durable names stay in this file. */
import { createHash } from 'node:crypto';
import type { Micros } from '@lilacvalve/runtime/micros';
import { CALENDAR_PAGE } from '../jobs/keys.js';
import type { Shape, Urgency } from '../jobs/model.js';
import { type Calendar, type Cutoff, makeCalendar, type Occurrence, type Tally } from './model.js';

/** What switches controllers to a calendar: one key, changed under a condition on its own revision. */
export interface Head {
  readonly version: number;
  /** Keys of its pages, in order. */
  readonly pages: readonly string[];
  readonly until: number;
  readonly notice: number;
  /** Of all that the table says. */
  readonly digest: string;
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
/** Cutoffs and occurrences in one list, cut into pages: an occurrence begins with its cutoff's number. */
type WireOccurrence = readonly [cutoff: number, date: string, at: number];
type Item = WireCutoff | WireOccurrence;

const itemsOf = (c: Calendar): Item[] => [
  ...c.cutoffs.map((k): WireCutoff => [
    k.name,
    k.lead,
    k.match.teams,
    k.match.classes,
    k.match.shapes,
    k.match.urgencies,
  ]),
  ...c.occurrences.map((o): WireOccurrence => [o.cutoff, o.id.slice(o.id.lastIndexOf('@') + 1), o.at]),
];

const digestOf = (version: number, until: number, notice: number, items: readonly Item[]): string =>
  createHash('sha256')
    .update(JSON.stringify([version, until, notice, items]))
    .digest('hex')
    .slice(0, 32);

export interface PagedCalendar {
  readonly head: Head;
  readonly pages: readonly { readonly key: string; readonly value: unknown }[];
}

/**
 * `bytes`: what one page's JSON may be long. A page's key holds a part of the digest, so that what another apply of the
 * same version left behind is never taken for this one's.
 */
export const encodeCalendar = (c: Calendar, bytes: number): PagedCalendar => {
  const items = itemsOf(c);
  const digest = digestOf(c.version, c.until, c.notice, items);
  const pages: { key: string; value: Item[] }[] = [];
  let size = 0;
  for (const item of items) {
    const n = JSON.stringify(item).length + 1;
    // Between controllers there is no bound on a page: none that is too long must not mean that none is begun.
    if (pages.length === 0 || size + n > bytes) {
      pages.push({ key: `${CALENDAR_PAGE}${c.version}-${digest.slice(0, 8)}-${pages.length}`, value: [] });
      size = 2;
    }
    pages[pages.length - 1]!.value.push(item);
    size += n;
  }
  const head: Head = {
    version: c.version,
    pages: pages.map((p) => p.key),
    until: c.until,
    notice: c.notice,
    digest,
    count: c.occurrences.length,
  };
  return { head, pages };
};

/** Throws on what `encodeCalendar` can't have written. */
export const decodeHead = (value: unknown): Head => {
  const h = value as Head | null;
  if (
    typeof h !== 'object' ||
    h === null ||
    !Number.isSafeInteger(h.version) ||
    !Array.isArray(h.pages) ||
    !Number.isSafeInteger(h.until) ||
    typeof h.digest !== 'string'
  )
    throw new Error('not a calendar head');
  return h;
};

/** The calendar of a head and its pages' values, in order; null: they are not what the head stands for. */
export const decodeCalendar = (head: Head, values: readonly unknown[]): Calendar | null => {
  if (values.some((v) => !Array.isArray(v))) return null;
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

export const encodeTally = (t: Tally): unknown => [t.done, t.risked, t.missed, t.cancelled];
export const decodeTally = (value: unknown): Tally => {
  if (!Array.isArray(value) || value.length !== 4 || !value.every((n) => Number.isSafeInteger(n)))
    throw new Error('not a tally');
  const [done, risked, missed, cancelled] = value as [number, number, number, number];
  return { done, risked, missed, cancelled };
};
