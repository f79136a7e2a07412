/**
 * The calendar, the outcome counts and the class durations, built from the watched keys below `s/c/`. All controllers have
 * the same calendar at the same revision of the store. A new head takes effect once all its pages have arrived and their
 * content has the head's digest; until then the previous calendar stays in effect.
 */
import { CALENDAR_HEAD, CALENDAR_PAGE, OCCURRENCE, CLASS_DURATIONS } from '../jobs/keys.js';
import {
  decodeCalendar,
  decodeHead,
  decodeOutcomeCounts,
  encodeCalendar,
  type CalendarHead,
  type PagedCalendar,
} from './codec.js';
import { type Calendar, mergeOutcomeCounts, type OutcomeCounts } from './model.js';
import { decodeClassDurations, type ClassDurations } from './class-durations.js';

export interface Versioned<A> {
  readonly value: A;
  readonly revision: number;
}

export class Calendars {
  /** Contents of the store, by the latest change that was applied: head, pages, outcome counts, class durations. */
  head: Versioned<CalendarHead> | null = null;
  readonly pages = new Map<string, Versioned<unknown>>();
  readonly outcomeCounts = new Map<string, Versioned<OutcomeCounts>>();
  classDurations: Versioned<ClassDurations> | null = null;
  /** The calendar in effect. It stays in effect through a data loss, until the store has a newer one. */
  current: Calendar | null = null;
  /** The highest outcome counts and latest class durations this controller has seen, which it contributes to a rebuild. */
  private readonly latestOutcomeCounts = new Map<string, OutcomeCounts>();
  private latestDurations: ClassDurations = new Map();

  /** Applies a change of a key below `s/c/`. Throws on values that cannot be decoded. */
  apply(key: string, value: unknown, revision: number): void {
    if (key === CALENDAR_HEAD) {
      this.head = value === undefined ? null : { value: decodeHead(value), revision };
      this.adopt();
    } else if (key.startsWith(CALENDAR_PAGE)) {
      if (value === undefined) this.pages.delete(key);
      else this.pages.set(key, { value, revision });
      if (this.head?.value.pages.includes(key)) this.adopt();
    } else if (key.startsWith(OCCURRENCE)) {
      const id = key.slice(OCCURRENCE.length);
      if (value === undefined) {
        this.outcomeCounts.delete(id);
        this.latestOutcomeCounts.delete(id);
        return;
      }
      const counts = decodeOutcomeCounts(value);
      this.outcomeCounts.set(id, { value: counts, revision });
      const before = this.latestOutcomeCounts.get(id);
      this.latestOutcomeCounts.set(id, before === undefined ? counts : mergeOutcomeCounts(before, counts));
    } else if (key === CLASS_DURATIONS) {
      this.classDurations = value === undefined ? null : { value: decodeClassDurations(value), revision };
      if (this.classDurations !== null) this.latestDurations = this.classDurations.value;
    }
  }

  /** Forgets the store's contents before they are read again. Keeps the calendar in effect and what was seen. */
  clear(): void {
    this.head = null;
    this.classDurations = null;
    this.pages.clear();
    this.outcomeCounts.clear();
  }

  /** Whether all pages that the store's head names are present and have the head's digest. */
  get complete(): boolean {
    if (this.head === null) return true;
    const values = this.head.value.pages.map((key) => this.pages.get(key)?.value);
    return decodeCalendar(this.head.value, values) !== null;
  }

  /** Returns the store's keys below `s/c/` with their revisions. */
  keys(): [string, number][] {
    const out: [string, number][] = [...this.pages].map(([key, page]) => [key, page.revision]);
    for (const [id, counts] of this.outcomeCounts) out.push([OCCURRENCE + id, counts.revision]);
    if (this.head !== null) out.push([CALENDAR_HEAD, this.head.revision]);
    if (this.classDurations !== null) out.push([CLASS_DURATIONS, this.classDurations.revision]);
    return out;
  }

  /** Returns the highest outcome counts of an occurrence that this controller has seen. */
  outcomeCountsOf(id: string): OutcomeCounts | undefined {
    return this.latestOutcomeCounts.get(id);
  }

  /** Returns what this controller contributes to a rebuild of the store. */
  remembered(): RememberedCalendar {
    return {
      calendar: this.current,
      outcomeCounts: new Map(this.latestOutcomeCounts),
      classDurations: this.latestDurations,
    };
  }

  /** Puts the store's calendar into effect if it is newer and complete. */
  private adopt(): void {
    if (this.head === null) return;
    const { value } = this.head;
    // After a data loss the store may have an older calendar: the newer one stays in effect until it is written back.
    if (this.current !== null && value.version <= this.current.version) return;
    const pages = value.pages.map((key) => this.pages.get(key));
    if (pages.some((page) => page === undefined)) return;
    const calendar = decodeCalendar(
      value,
      pages.map((page) => page!.value),
    );
    if (calendar !== null) this.current = calendar;
  }
}

/** What a controller remembers of the calendar, independently of the store's present contents. */
export interface RememberedCalendar {
  readonly calendar: Calendar | null;
  readonly outcomeCounts: ReadonlyMap<string, OutcomeCounts>;
  readonly classDurations: ClassDurations;
}

/** Encodes a calendar for the store. `bytes`: maximum size of a value, of which a margin is left for the service's own overhead. */
export const paginateCalendar = (calendar: Calendar, bytes: number): PagedCalendar =>
  encodeCalendar(calendar, Math.floor(bytes * 0.85));
