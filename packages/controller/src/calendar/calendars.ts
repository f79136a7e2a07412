/**
 * What the keys below `s/c/` say, folded from the watch: every node has the same calendar at a revision. A head counts
 * once all its pages are there and are what its digest stands for; until then the calendar before it holds.
 */
import { CALENDAR_HEAD, CALENDAR_PAGE, OCCURRENCE, CLASS_DURATIONS } from '../jobs/keys.js';
import { decodeCalendar, decodeHead, decodeTally, encodeCalendar, type Head, type PagedCalendar } from './codec.js';
import { type Calendar, laterTally, type Tally } from './model.js';
import { decodeClassDurations, type ClassDurations } from './class-durations.js';

export interface Versioned<A> {
  readonly value: A;
  readonly revision: number;
}

export class Calendars {
  /** As the store has them. */
  head: Versioned<Head> | null = null;
  readonly pages = new Map<string, Versioned<unknown>>();
  readonly tallies = new Map<string, Versioned<Tally>>();
  classDurations: Versioned<ClassDurations> | null = null;
  /** What holds: also through a loss, until the store says something newer. */
  current: Calendar | null = null;
  /** The latest of each that this node has seen: what it tells after a loss. */
  private readonly latestTallies = new Map<string, Tally>();
  private latestDurations: ClassDurations = new Map();

  /** Changes below `s/c/`; throws on values that can't be read. */
  apply(key: string, value: unknown, stamp: number): void {
    if (key === CALENDAR_HEAD) {
      this.head = value === undefined ? null : { value: decodeHead(value), revision: stamp };
      this.adopt();
    } else if (key.startsWith(CALENDAR_PAGE)) {
      if (value === undefined) this.pages.delete(key);
      else this.pages.set(key, { value, revision: stamp });
      if (this.head?.value.pages.includes(key)) this.adopt();
    } else if (key.startsWith(OCCURRENCE)) {
      const id = key.slice(OCCURRENCE.length);
      if (value === undefined) {
        this.tallies.delete(id);
        this.latestTallies.delete(id);
        return;
      }
      const tally = decodeTally(value);
      this.tallies.set(id, { value: tally, revision: stamp });
      const before = this.latestTallies.get(id);
      this.latestTallies.set(id, before === undefined ? tally : laterTally(before, tally));
    } else if (key === CLASS_DURATIONS) {
      this.classDurations =
        value === undefined ? null : { value: decodeClassDurations(value), revision: stamp };
      if (this.classDurations !== null) this.latestDurations = this.classDurations.value;
    }
  }

  /** The store's content is to be read anew; what held and what was seen stays. */
  clear(): void {
    this.head = null;
    this.classDurations = null;
    this.pages.clear();
    this.tallies.clear();
  }

  /** What the store's head names is there, and is what it stands for. */
  get complete(): boolean {
    if (this.head === null) return true;
    const values = this.head.value.pages.map((k) => this.pages.get(k)?.value);
    return decodeCalendar(this.head.value, values) !== null;
  }

  /** The keys that the store has below `s/c/`, with their revisions. */
  keys(): [string, number][] {
    const out: [string, number][] = [...this.pages].map(([key, p]) => [key, p.revision]);
    for (const [id, t] of this.tallies) out.push([OCCURRENCE + id, t.revision]);
    if (this.head !== null) out.push([CALENDAR_HEAD, this.head.revision]);
    if (this.classDurations !== null) out.push([CLASS_DURATIONS, this.classDurations.revision]);
    return out;
  }

  /** What became of an occurrence's jobs, as far as this node knows. */
  tally(id: string): Tally | undefined {
    return this.latestTallies.get(id);
  }

  /** For a rebuild: what this node remembers. */
  remembered(): Remembered {
    return { calendar: this.current, tallies: new Map(this.latestTallies), shown: this.latestDurations };
  }

  private adopt(): void {
    if (this.head === null) return;
    const { value } = this.head;
    // After a loss an older one may be back: the newer one holds until it is written back.
    if (this.current !== null && value.version <= this.current.version) return;
    const pages = value.pages.map((k) => this.pages.get(k));
    if (pages.some((p) => p === undefined)) return;
    const read = decodeCalendar(
      value,
      pages.map((p) => p!.value),
    );
    if (read !== null) this.current = read;
  }
}

export interface Remembered {
  readonly calendar: Calendar | null;
  readonly tallies: ReadonlyMap<string, Tally>;
  readonly shown: ClassDurations;
}

/** `bytes`: what a value may be long. Leaves room for what the service counts beside the JSON. */
export const pagesOf = (c: Calendar, bytes: number): PagedCalendar => encodeCalendar(c, Math.floor(bytes * 0.85));
