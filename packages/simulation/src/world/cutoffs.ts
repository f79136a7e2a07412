/**
 * Checks the rules about cutoffs during a simulated day, on which operators publish calendars, several of them
 * concurrently and while a leader crashes. The checks read the content of the state service, not what controllers
 * report, and cover cutoff bindings, log entries, outcome counts and the controllers' views.
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

/** Limits of the simulated state service. */
const LIMITS = { valueBytes: 1500, txnOps: 10 };
/** Time between two occurrences of a cutoff, in microseconds. */
const OCCURRENCE_INTERVAL = 40e6;
/** Time within which the leader's audit finds keys that vanished, in microseconds. */
const AUDITED_WITHIN = 60e6;

/**
 * Returns version `version` of the test calendar. Each version moves every third occurrence; `variant` tells apart
 * two calendars of the same version. From version 3 on one cutoff is missing, so that its jobs fall back to their own
 * due time.
 */
export const testCalendar = (version: number, dayBegins: number, variant = 0): Calendar => {
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
          dayBegins +
            (i + 1) * OCCURRENCE_INTERVAL +
            cutoff * 11e6 +
            (i % 3 === 0 ? version * 7e6 + variant : 0),
        ) as Micros,
      })),
    ),
  );
};

/** Dependencies of the cutoff checks. */
export interface CutoffsOptions {
  readonly time: Time;
  readonly state: StateService;
  readonly dayBegins: number;
  /** Views of the running controllers that do not suspect a data loss. */
  readonly views: () => readonly JobState[];
  /** Time of the last data loss, in microseconds; minus infinity: none. */
  readonly lostAt: () => number;
  /** Whether a user knows that the job was accepted. */
  readonly isReported: (id: string) => boolean;
  /** Called with each violation. */
  readonly onViolation: (rule: string, details: string) => void;
}

/** Counts of a day with cutoffs. The properties are written out under these names. */
export interface CutoffCounts {
  /** Jobs with a cutoff binding. */
  readonly tied: number;
  /** Calendars that took effect. */
  readonly applied: number;
  /** Calendars that were refused. */
  readonly refused: number;
  /** Number of log entries that set each risk, by `CUTOFF_RISK`. */
  readonly said: Readonly<Record<number, number>>;
}

/** Publishes calendars and checks the rules about cutoffs. */
export class CutoffCheck {
  /** Binding of every job that a user knows of. */
  private readonly bindings = new Map<string, string>();
  /**
   * Binding of every job that was ever stored, also of jobs that finish before a user knows that they were accepted.
   */
  private readonly storedBindings = new Map<string, string>();
  /** Last risk that a log entry set, by job. */
  private readonly lastRisks = new Map<string, number>();
  private lastSequence = 0;
  private version = 0;
  private incarnation = '';
  private term = '';
  private ledSince = 0;
  /** Bindings of finished jobs whose binding had been stored. */
  private readonly finishedBindings = new Map<string, string>();
  private applied = 0;
  private refused = 0;
  private readonly riskCounts: Record<number, number> = {};

  constructor(private readonly options: CutoffsOptions) {}

  /** Publishes a calendar as an operator would: with retries until it is in effect or refused. */
  apply(operator: string, calendar: Calendar, attempts = 40): void {
    const { time, state } = this.options;
    const retry = (): void =>
      void (attempts > 0 && time.after(2e6, () => this.apply(operator, calendar, attempts - 1)));
    time.fork(Effect.either(publishCalendar(state.port(operator), LIMITS, calendar))).addObserver((exit) => {
      if (!Exit.isSuccess(exit) || exit.value._tag === 'Left') retry();
      else if (exit.value.right.ok) this.applied++;
      else if (/newer|other content|theirs holds/.test(exit.value.right.reason)) this.refused++;
      else retry();
    });
  }

  /**
   * Checks the content of the store and the controllers' views. Must be called often enough to see each log entry
   * before it is compacted.
   */
  check(): void {
    const { state, onViolation } = this.options;
    if (state.isDown) return;
    const incarnation = [...state.keys.keys()].filter((key) => key.startsWith(INCARNATION)).join();
    if (incarnation !== this.incarnation) {
      // A new incarnation of the store has its own log entries, so the state derived from the old ones is dropped.
      // Bindings persist across incarnations.
      this.incarnation = incarnation;
      this.lastSequence = Math.max(
        0,
        ...[...state.keys.keys()].flatMap((key) =>
          key.startsWith(LOG_ENTRIES) ? [Number(key.slice(LOG_ENTRIES.length))] : [],
        ),
      );
      this.version = 0;
      this.lastRisks.clear();
    }
    for (const [key, stored] of state.keys) {
      if (key.startsWith(ACTIVE_JOBS)) {
        const binding = (JSON.parse(stored.value) as { k?: string }).k ?? '';
        const id = key.slice(ACTIVE_JOBS.length);
        this.storedBindings.set(id, binding);
        // An acceptance that no user knows of may be lost in a data loss. The user's retry then binds the job anew.
        if (!this.options.isReported(id)) continue;
        const previous = this.bindings.get(id);
        if (previous !== undefined && previous !== binding)
          onViolation('retied', `${id} from ${previous} to ${binding}`);
        this.bindings.set(id, binding);
      } else if (key.startsWith(FINAL_STATES)) {
        const id = key.slice(FINAL_STATES.length);
        if (this.storedBindings.has(id)) this.finishedBindings.set(id, this.storedBindings.get(id)!);
      }
    }
    const logKeys = [...state.keys.keys()].filter((key) => key.startsWith(LOG_ENTRIES)).sort();
    for (const key of logKeys) {
      const sequence = Number(key.slice(LOG_ENTRIES.length));
      if (sequence <= this.lastSequence) continue;
      this.lastSequence = sequence;
      const entry = decodeLogEntry(sequence, JSON.parse(state.keys.get(key)!.value), 1);
      if (entry.head.calendar < this.version)
        onViolation(
          'older_calendar',
          `log entry ${sequence} by version ${entry.head.calendar} after version ${this.version}`,
        );
      this.version = entry.head.calendar;
      for (const [id, change] of entry.jobs) {
        if (change.cutoffRisk === undefined) continue;
        const previous = this.lastRisks.get(id) ?? CUTOFF_RISK.nothing;
        const repeated =
          change.cutoffRisk === previous ||
          (previous === CUTOFF_RISK.missed && change.cutoffRisk !== CUTOFF_RISK.nothing);
        if (repeated)
          onViolation(
            'said_twice',
            `${id}: risk ${change.cutoffRisk} after ${previous} in log entry ${sequence}`,
          );
        this.lastRisks.set(id, change.cutoffRisk);
        this.riskCounts[change.cutoffRisk] = (this.riskCounts[change.cutoffRisk] ?? 0) + 1;
      }
    }
    const term = state.keys.get(TERM)?.value ?? '';
    if (term !== this.term) [this.term, this.ledSince] = [term, this.options.time.now];
    // Keys that vanish without a change event are found by the leader's audit within this time. A new leader starts a
    // new audit.
    if (this.options.time.now - Math.max(this.options.lostAt(), this.ledSince) > AUDITED_WITHIN)
      this.compareViews();
  }

  /** Checks that all views at one revision have the same calendar, outcome counts and bindings. */
  private compareViews(): void {
    const contentAt = new Map<string, string>();
    for (const view of this.options.views()) {
      if (view.rebuild !== null || view.incarnation === null) continue;
      const calendars = view.calendars;
      const content = JSON.stringify([
        calendars.current?.version ?? 0,
        calendars.current?.occurrences[0]?.at ?? 0,
        [...calendars.outcomeCounts].map(([id, counts]) => [id, counts.value]).sort(),
        [...view.jobs.values()].map((job) => [job.spec.id, job.spec.cutoffBinding]).sort(),
      ]);
      const key = `${view.incarnation.id} ${view.revision}`;
      const other = contentAt.get(key);
      if (other !== undefined && other !== content)
        this.options.onViolation(
          'calendars_differ',
          `at incarnation and revision ${key}: ${other} and ${content}`,
        );
      contentAt.set(key, content);
    }
  }

  /** Returns the counts of the day. */
  summary(): CutoffCounts {
    const tied = [...this.bindings.values()].filter((binding) => binding !== '').length;
    return { tied, applied: this.applied, refused: this.refused, said: { ...this.riskCounts } };
  }

  /**
   * Checks at the end of a day without data losses that every finished job with a binding is counted exactly once.
   * Returns the mismatch; null: none.
   */
  countMismatch(): string | null {
    let counted = 0;
    for (const [key, stored] of this.options.state.keys)
      if (key.startsWith(OCCURRENCE)) {
        const counts = decodeOutcomeCounts(JSON.parse(stored.value));
        counted += counts.done + counts.cancelled;
      }
    const finished = [...this.finishedBindings.values()].filter((binding) => binding !== '').length;
    return counted === finished
      ? null
      : `${finished} jobs with a cutoff binding are finished, ${counted} are counted`;
  }
}
