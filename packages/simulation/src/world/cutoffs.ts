/**
 * Cutoffs in a day: operators who apply calendars, several at once and while a leader crashes, and what must hold of ties,
 * records, counts and views. Read from the state service's own content, not from what controllers say of it.
 */
import { Effect, Exit } from 'effect';
import { type Micros, micros, seconds } from '@lilacvalve/runtime/micros';
import { type Calendar, makeCalendar, CUTOFF_RISK } from '@lilacvalve/controller/calendar/model';
import { publishCalendar } from '@lilacvalve/controller/calendar/publish';
import type { JobState } from '@lilacvalve/controller/jobs/job-state';
import { decodeOutcomeCounts } from '@lilacvalve/controller/calendar/codec';
import { decodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import {
  ACTIVE_JOBS,
  FINAL_STATES,
  INCARNATION,
  OCCURRENCE,
  LOG_ENTRIES,
  TERM,
} from '@lilacvalve/controller/jobs/keys';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';

const LIMITS = { valueBytes: 1500, txnOps: 10 };
/** Times of day begin here; occurrences come every so often. */
const EVERY = 40e6;
const AUDITED_WITHIN = 60e6;

/** Versions differ in what moves, and the third drops one cutoff: its jobs go by their own due time. */
export const calendarOf = (version: number, dayBegins: number, other = 0): Calendar => {
  const names = version >= 3 ? ['red-work', 'all'] : ['red-work', 'blue-work', 'all'];
  return makeCalendar(
    {
      version,
      until: micros(dayBegins + 1e10),
      notice: seconds(60),
      cutoffs: names.map((name) => ({
        name,
        lead: seconds(5),
        match: {
          teams: name === 'red-work' ? ['red'] : name === 'blue-work' ? ['blue'] : ['red', 'blue'],
          classes: null,
          shapes: null,
          urgencies: name === 'all' ? ([2, 3] as const) : null,
        },
      })),
    },
    names.flatMap((name, cutoff) =>
      Array.from({ length: 50 }, (_, i) => ({
        id: `${name}@${i}`,
        cutoff,
        at: micros(
          dayBegins + (i + 1) * EVERY + cutoff * 11e6 + (i % 3 === 0 ? version * 7e6 + other : 0),
        ) as Micros,
      })),
    ),
  );
};

export interface CutoffParts {
  readonly time: Time;
  readonly state: StateService;
  readonly dayBegins: number;
  /** Views of the controllers that are up and have no doubt. */
  readonly views: () => readonly JobState[];
  /** When the service last lost something. */
  readonly lostAt: () => number;
  readonly told: (id: string) => boolean;
  readonly broke: (rule: string, what: string) => void;
}

export interface CutoffDay {
  readonly tied: number;
  readonly applied: number;
  readonly refused: number;
  /** How often each was said (`SAID`). */
  readonly said: Readonly<Record<number, number>>;
}

export class Cutoffs {
  private readonly ties = new Map<string, string>();
  /** Of all that were written: a job may be over before its user is told that it was accepted. */
  private readonly seen = new Map<string, string>();
  private readonly said = new Map<string, number>();
  private seq = 0;
  private version = 0;
  private incarnation = '';
  private term = '';
  private ledSince = 0;
  /** Jobs whose end was read with their tie. */
  private readonly over = new Map<string, string>();
  private applied = 0;
  private refused = 0;
  private readonly kinds: Record<number, number> = {};

  constructor(private readonly p: CutoffParts) {}

  /** An operator tries until it is told that it holds or is refused. */
  apply(who: string, c: Calendar, tries = 40): void {
    const { time, state } = this.p;
    const again = (): void => void (tries > 0 && time.after(2e6, () => this.apply(who, c, tries - 1)));
    time.fork(Effect.either(publishCalendar(state.port(who), LIMITS, c))).addObserver((e) => {
      if (!Exit.isSuccess(e) || e.value._tag === 'Left') again();
      else if (e.value.right.ok) this.applied++;
      else if (/newer|other content|theirs holds/.test(e.value.right.reason)) this.refused++;
      else again();
    });
  }

  /** Looks at the store's content and at the views; often enough to see each record. */
  look(): void {
    const { state, broke } = this.p;
    if (state.out) return;
    const now = [...state.keys.keys()].filter((k) => k.startsWith(INCARNATION)).join();
    if (now !== this.incarnation) {
      // Records and what was read from them are another life's; ties hold through it.
      this.incarnation = now;
      this.seq = Math.max(
        0,
        ...[...state.keys.keys()].flatMap((k) =>
          k.startsWith(LOG_ENTRIES) ? [Number(k.slice(LOG_ENTRIES.length))] : [],
        ),
      );
      this.version = 0;
      this.said.clear();
    }
    for (const [key, kept] of state.keys) {
      if (key.startsWith(ACTIVE_JOBS)) {
        const tie = (JSON.parse(kept.value) as { k?: string }).k ?? '';
        const id = key.slice(ACTIVE_JOBS.length);
        this.seen.set(id, tie);
        // Written and not told: nobody may know of it after a loss, and its user's next try is the first.
        if (!this.p.told(id)) continue;
        const before = this.ties.get(id);
        if (before !== undefined && before !== tie) broke('retied', `${id} from ${before} to ${tie}`);
        this.ties.set(id, tie);
      } else if (key.startsWith(FINAL_STATES)) {
        const id = key.slice(FINAL_STATES.length);
        if (this.seen.has(id)) this.over.set(id, this.seen.get(id)!);
      }
    }
    const records = [...state.keys.keys()].filter((k) => k.startsWith(LOG_ENTRIES)).sort();
    for (const key of records) {
      const seq = Number(key.slice(LOG_ENTRIES.length));
      if (seq <= this.seq) continue;
      this.seq = seq;
      const r = decodeLogEntry(seq, JSON.parse(state.keys.get(key)!.value), 1);
      if (r.head.calendar < this.version)
        broke('older_calendar', `record ${seq} by version ${r.head.calendar} after ${this.version}`);
      this.version = r.head.calendar;
      for (const [id, c] of r.jobs) {
        if (c.cutoffRisk === undefined) continue;
        const before = this.said.get(id) ?? CUTOFF_RISK.nothing;
        const again =
          c.cutoffRisk === before || (before === CUTOFF_RISK.missed && c.cutoffRisk !== CUTOFF_RISK.nothing);
        if (again) broke('said_twice', `${id}: ${c.cutoffRisk} after ${before} in record ${seq}`);
        this.said.set(id, c.cutoffRisk);
        this.kinds[c.cutoffRisk] = (this.kinds[c.cutoffRisk] ?? 0) + 1;
      }
    }
    const term = state.keys.get(TERM)?.value ?? '';
    if (term !== this.term) [this.term, this.ledSince] = [term, this.p.time.now];
    // Keys that vanish without a change are noticed by the leader's audit within this time: a new one begins it anew.
    if (this.p.time.now - Math.max(this.p.lostAt(), this.ledSince) > AUDITED_WITHIN) this.compare();
  }

  /** Views of one revision have one calendar and one count. */
  private compare(): void {
    const by = new Map<string, string>();
    for (const v of this.p.views()) {
      if (v.rebuild !== null || v.incarnation === null) continue;
      const c = v.calendars;
      const what = JSON.stringify([
        c.current?.version ?? 0,
        c.current?.occurrences[0]?.at ?? 0,
        [...c.outcomeCounts].map(([id, t]) => [id, t.value]).sort(),
        [...v.jobs.values()].map((j) => [j.spec.id, j.spec.cutoffBinding]).sort(),
      ]);
      const key = `${v.incarnation.id} ${v.revision}`;
      const other = by.get(key);
      if (other !== undefined && other !== what)
        this.p.broke('calendars_differ', `at ${key}: ${other} and ${what}`);
      by.set(key, what);
    }
  }

  /** What the day had of it. */
  summary(): CutoffDay {
    const tied = [...this.ties.values()].filter((t) => t !== '').length;
    return { tied, applied: this.applied, refused: this.refused, said: { ...this.kinds } };
  }

  /** At the day's end, nothing having been lost: every tied job that is over is counted, once. */
  counted(): string | null {
    let counted = 0;
    for (const [key, kept] of this.p.state.keys)
      if (key.startsWith(OCCURRENCE)) {
        const t = decodeOutcomeCounts(JSON.parse(kept.value));
        counted += t.done + t.cancelled;
      }
    const over = [...this.over.values()].filter((t) => t !== '').length;
    return counted === over ? null : `${over} tied jobs are over, ${counted} are counted`;
  }
}
