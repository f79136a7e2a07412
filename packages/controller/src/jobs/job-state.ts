/**
 * The watch-fed view of the store on every node: jobs that are not over, the tail of log entries, the
 * term, the leader. Pure: changes go in, in revision order; nothing here talks to anybody.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeAccounts } from '../accounts/codec.js';
import { fold } from '../accounts/fold.js';
import { type Accounts, NO_ACCOUNTS } from '../accounts/model.js';
import { Calendars } from '../calendar/calendars.js';
import { firstOfGeneration, type Incarnation, incarnationOf } from '../recovery/model.js';
import { decodeImageWeights } from '../lending/image-weights.js';
import type { Change, Condition, Entry, Write } from '../state-store/client.js';
import {
  decodeFinalState,
  decodeJob,
  decodeFinalStates,
  decodeBundle,
  decodeLogEntry,
  encodeBundle,
  type OrphanedJob,
} from './codec.js';
import { FinalStates } from './finals.js';
import {
  ACCOUNTS,
  ACCOUNTS_PART,
  ACTIVE_JOBS,
  CALENDAR,
  QUIESCENT,
  FINAL_STATES,
  INCARNATION,
  LARGEST_JOBS,
  LEADER,
  FINAL_STATE_PAGES,
  FINAL_STATE_PARTS,
  JOB_BUNDLES,
  REBUILD,
  LOG_ENTRIES,
  logEntryKey,
  RECOVERED,
  TERM,
  MACHINE_TYPES,
  ORPHANED_JOB,
  IMAGE_WEIGHTS,
} from './keys.js';
import {
  applyChange,
  type LogEntry,
  isComplete,
  type Job,
  type JobChange,
  type Placement,
  taskKey,
} from './model.js';

const COMPLETIONS_KEPT = 1000;
/** As it was accepted: nothing has become of it. */
const isNew = (j: Job): boolean =>
  j.compactedTo === 0 && j.attempt === 0 && j.done.size + j.placed.size === 0 && !j.cancelled;

export interface LeaderEntry {
  readonly node: string;
  readonly term: number;
  readonly lease: number;
}

/** From a loss until every controller's view is durable again. */
export interface RebuildStatus {
  /** `gather`: views are being asked for. `write`: they are being written. `wait`: some have not been heard. */
  readonly phase: 'gather' | 'write' | 'wait';
  /** Controllers whose views are durable, or that have none. */
  readonly heard: readonly string[];
  readonly revision: number;
}

export class JobState {
  revision = -1;
  readonly jobs = new Map<string, Job>();
  readonly finalStates = new FinalStates();
  /** The calendar of cutoffs, and what has become of their jobs. */
  readonly calendars = new Calendars();
  readonly logTail = new Map<number, LogEntry>();
  /** See `placementsByMachine`; null: nobody has asked for it since it was let go. */
  private placementIndex: Map<string, Map<string, Placement & { readonly job: Job }>> | null = null;
  lastSequence = 0;
  /** Time of day of the latest log entry. */
  lastAt = 0 as Micros;
  /** The accounts as far as anybody has asked for them; see `accounts`. */
  private accountsSoFar: Accounts = NO_ACCOUNTS;
  /** The checkpoint that the store has: up to which log entry, and the revision of its first value; 0: none. */
  checkpoint = { upTo: 0, stamp: 0 };
  /** Its values as read so far, by part. */
  private accountParts: unknown[] = [];
  leader: LeaderEntry | null = null;
  leaderRevision = 0;
  term = 0;
  termRevision = 0;
  /** Bumped when a job appears, is cancelled or is over: the leader's cue to run a cycle. */
  version = 0;
  /** The machine types as last written by a leader: a node that restarts while the cloud is down knows them. */
  types: unknown = null;
  /** The largest jobs of each class, as last written by a leader (scheduler/largest.ts reads it). */
  largest: unknown = null;
  /** Images of services by machine, as a leader last wrote them: a hint (src/lending). */
  weights: ReadonlyMap<string, readonly string[]> = new Map();
  /** Attempts up to this one are of generations before: they may be running, and are never started again. */
  attemptFloor = 0;
  /** Attempts of the present term begin above this one; see `attemptsFrom`. */
  attemptBase = 0;
  /** The store's incarnations by id: one, but for a moment. */
  readonly incarnations = new Map<string, Incarnation>();
  /** How far a rebuild has come; null: there is none. */
  rebuild: RebuildStatus | null = null;
  /** Ids of the incarnations of which this has been said; see `QUIESCENT` and `RECOVERED`. */
  private quiescentIncarnation: string | null = null;
  private recoveredIncarnation: string | null = null;
  /** Bundles of rebuilt jobs, and the bundle that still lists a job. */
  readonly bundles = new Map<string, { readonly stamp: number; readonly ids: readonly string[] }>();
  readonly bundleOf = new Map<string, string>();
  /** Jobs whose own key says less than their bundle; see `setJob`. */
  private readonly newerInBundle = new Set<string>();
  /** Parts of the final states' pages; see `finalStatePageKey`. */
  readonly finalStateParts = new Set<string>();
  /** Jobs that only workers name. */
  readonly orphanedJobs = new Map<string, OrphanedJob & { readonly stamp: number }>();
  /** Keys whose value can't be read, with their revisions. */
  readonly damaged = new Map<string, number>();
  /** Revisions at which jobs came to their end, the latest ones: whether others have read that already. */
  readonly recentlyCompleted = new Map<string, number>();
  onJobsChanged: () => void = () => undefined;
  /** The leader's key is gone. */
  onLeaderKeyDeleted: () => void = () => undefined;

  /** Starts again from a listing; changes after `revision` must follow before the view is used. */
  load(entries: readonly Entry[], revision: number): void {
    this.clear();
    const rank = (key: string): number =>
      key.startsWith(ACCOUNTS) ? 0 : key.startsWith(LOG_ENTRIES) ? 1 : key.startsWith(JOB_BUNDLES) ? 2 : 3;
    // Log entries first, since jobs include them; bundles before the keys of their own that some jobs have by now.
    for (const r of [0, 1, 2, 3]) for (const e of entries) if (rank(e.key) === r) this.apply({ ...e });
    this.revision = revision;
    this.version++;
  }

  /** Forgets all but final states: those hold in any incarnation. */
  clear(): void {
    for (const m of [
      this.jobs,
      this.logTail,
      this.incarnations,
      this.bundles,
      this.bundleOf,
      this.newerInBundle,
    ])
      m.clear();
    this.placementIndex?.clear();
    this.calendars.clear();
    this.orphanedJobs.clear();
    this.finalStateParts.clear();
    this.damaged.clear();
    this.recentlyCompleted.clear();
    this.finalStates.complete = false;
    this.attemptFloor = 0;
    this.attemptBase = 0;
    this.leader = null;
    this.rebuild = null;
    this.quiescentIncarnation = null;
    this.recoveredIncarnation = null;
    this.term = 0;
    this.termRevision = 0;
    this.lastSequence = 0;
    this.lastAt = 0 as Micros;
    this.accountsSoFar = NO_ACCOUNTS;
    this.checkpoint = { upTo: 0, stamp: 0 };
    this.accountParts = [];
    this.revision = -1;
  }

  /** The store's incarnation; null: it has none yet. */
  get incarnation(): Incarnation | null {
    let last: Incarnation | null = null;
    for (const i of this.incarnations.values()) if (last === null || i.generation > last.generation) last = i;
    return last;
  }

  /** Nothing that is not in this view can be running any more from before a loss. */
  get quiescent(): boolean {
    const i = this.incarnation;
    return i !== null && (i.generation === 0 || this.quiescentIncarnation === i.id);
  }

  /** During a rebuild: whether this job's state is what has been written back; what the loss left may be older. */
  isRestored(id: string): boolean {
    if (this.rebuild === null || this.rebuild.phase === 'wait') return true;
    const born = this.incarnation?.stamp ?? 0;
    const pack = this.bundleOf.get(id);
    const stamp = Math.max(
      this.jobs.get(id)?.revision ?? 0,
      pack === undefined ? 0 : this.bundles.get(pack)!.stamp,
    );
    return this.rebuild.phase === 'write' && stamp > born;
  }

  /**
   * A key that can't be read, or is missing, and without which this view is not whole; null: there is none. What is from
   * before the incarnation has been made good by its rebuild.
   */
  missingRecord(): string | null {
    const born = this.incarnation?.stamp ?? 0;
    for (const [key, stamp] of this.damaged)
      if (stamp > born && (key.startsWith(LOG_ENTRIES) || key === TERM)) return key;
    const seqs = [...this.logTail.values()]
      .flatMap((r) => (r.revision > born ? [r.sequence] : []))
      .sort((a, b) => a - b);
    const at = seqs.findIndex((seq, i) => i > 0 && seq !== seqs[i - 1]! + 1);
    return at < 0 ? null : logEntryKey(seqs[at]! - 1);
  }

  /**
   * Part of the calendar was lost without a change to tell of it: a head of this incarnation whose pages are not there, or
   * a log entry that went by a newer one. What is from before the incarnation has been made good, as far as it could be.
   */
  get calendarLost(): boolean {
    const born = this.incarnation?.stamp ?? 0;
    const { head, complete: whole } = this.calendars;
    if (head !== null && head.revision > born && !whole) return true;
    const version = head?.value.version ?? 0;
    for (const r of this.logTail.values()) if (r.revision > born && r.head.calendar > version) return true;
    return false;
  }

  /** What is not in the store was never accepted. */
  get recovered(): boolean {
    return this.incarnation !== null && this.recoveredIncarnation === this.incarnation.id;
  }

  /** Changes of a watch answer; those already seen are skipped. */
  advance(changes: readonly Change[], revision: number): void {
    for (const c of changes) if (c.stamp > this.revision) this.apply(c);
    if (revision > this.revision) this.revision = revision;
  }

  apply(c: Change): void {
    try {
      this.applyValue(c);
      if (this.damaged.size > 0) this.damaged.delete(c.key);
    } catch {
      // What was known of it stays: it is newer than nothing.
      this.damaged.set(c.key, c.stamp);
    }
  }

  private applyValue(c: Change): void {
    const { key, value } = c;
    if (key.startsWith(ACTIVE_JOBS)) {
      const id = key.slice(ACTIVE_JOBS.length);
      if (value === undefined) this.removeJob(id);
      else this.setJob(id, decodeJob(id, value, c.stamp));
    } else if (key.startsWith(LOG_ENTRIES)) {
      if (value === undefined) {
        const seq = Number(key.slice(LOG_ENTRIES.length));
        // It goes once a checkpoint has it. Should that not have been read, it is folded before.
        if (seq > this.accountsSoFar.upTo) void this.accounts;
        this.logTail.delete(seq);
      }
      if (value !== undefined) this.readLogEntry(key, value, c.stamp);
    } else if (key === ACCOUNTS || key.startsWith(ACCOUNTS_PART)) this.setAccounts(key, value, c.stamp);
    else if (key.startsWith(FINAL_STATES)) {
      if (value !== undefined)
        this.finalStates.remember(key.slice(FINAL_STATES.length), decodeFinalState(value));
    } else if (key.startsWith(JOB_BUNDLES)) this.setBundle(key, value, c.stamp);
    else if (key.startsWith(FINAL_STATE_PAGES)) {
      if (value !== undefined)
        for (const [id, f] of decodeFinalStates(value)) this.finalStates.remember(id, f);
    } else if (key.startsWith(INCARNATION)) {
      const id = key.slice(INCARNATION.length);
      if (value === undefined) this.incarnations.delete(id);
      else this.incarnations.set(id, incarnationOf(id, value, c.stamp));
      this.attemptFloor = firstOfGeneration(this.incarnation?.generation ?? 0);
    } else if (key.startsWith(FINAL_STATE_PARTS))
      this.finalStateParts.add(key.slice(FINAL_STATE_PARTS.length));
    else if (key.startsWith(ORPHANED_JOB)) {
      const id = key.slice(ORPHANED_JOB.length);
      if (value === undefined) this.orphanedJobs.delete(id);
      else this.orphanedJobs.set(id, { ...(value as OrphanedJob), stamp: c.stamp });
    } else if (key.startsWith(CALENDAR)) this.calendars.apply(key, value, c.stamp);
    else if (key === REBUILD)
      this.rebuild = value === undefined ? null : { ...(value as RebuildStatus), revision: c.stamp };
    else if (key === QUIESCENT) this.quiescentIncarnation = value === undefined ? null : (value as string);
    else if (key === RECOVERED) this.recoveredIncarnation = value === undefined ? null : (value as string);
    else if (key === LEADER) {
      this.leader = value === undefined ? null : (value as LeaderEntry);
      this.leaderRevision = c.stamp;
      if (this.leader === null) this.onLeaderKeyDeleted();
    } else if (key === MACHINE_TYPES) {
      this.types = value ?? null;
    } else if (key === LARGEST_JOBS) {
      this.largest = value ?? null;
    } else if (key === IMAGE_WEIGHTS) {
      this.weights = decodeImageWeights(value);
    } else if (key === TERM && value !== undefined) {
      const { term, a } = value as { term: unknown; a?: unknown };
      if (!Number.isSafeInteger(term)) throw new Error('the term is damaged');
      this.term = term as number;
      this.attemptBase = Number.isSafeInteger(a) ? (a as number) : 0;
      this.termRevision = c.stamp;
    }
  }

  private setBundle(key: string, value: unknown, stamp: number): void {
    const jobs = value === undefined ? [] : decodeBundle(value);
    const listed = new Set(jobs.map((j) => j.spec.id));
    for (const id of this.bundles.get(key)?.ids ?? []) {
      if (listed.has(id) || this.bundleOf.get(id) !== key) continue;
      this.bundleOf.delete(id);
      // Taken out of its bundle without a key of its own: it is over.
      if (this.jobs.get(id)?.revision === 0) this.removeJob(id);
    }
    if (value === undefined) this.bundles.delete(key);
    else this.bundles.set(key, { stamp, ids: [...listed] });
    for (const job of jobs) {
      this.bundleOf.set(job.spec.id, key);
      // A job with a key of its own has gone on since.
      if (!this.jobs.has(job.spec.id)) this.setJob(job.spec.id, job);
    }
  }

  /** What takes these jobs out of the bundles that still list them. */
  removalFromBundles(ids: readonly string[]): { readonly when: Condition[]; readonly then: Write[] } {
    const when: Condition[] = [];
    const then: Write[] = [];
    const gone = new Set(ids);
    for (const key of new Set(ids.flatMap((id) => this.bundleOf.get(id) ?? []))) {
      const pack = this.bundles.get(key)!;
      when.push({ key, stamp: pack.stamp });
      const rest = pack.ids.flatMap((id) => {
        const job = this.jobs.get(id);
        return job && !gone.has(id) && (job.revision === 0 || this.newerInBundle.has(id)) ? [job] : [];
      });
      then.push(rest.length === 0 ? { delete: key } : { set: key, value: encodeBundle(rest) });
    }
    return { when, then };
  }

  private setJob(id: string, job: Job): void {
    const old = this.jobs.get(id);
    if (old && old.revision >= job.revision) return;
    // Accepted by a late transaction, after a rebuild had found it in somebody's memory: what the bundle says of it holds.
    if (old?.revision === 0 && isNew(job) && !isNew(old)) {
      old.revision = job.revision;
      this.newerInBundle.add(id);
      return;
    }
    this.newerInBundle.delete(id);
    if (old) this.unindexJob(old);
    // What the key does not include yet stands in the tail.
    for (const r of this.logTail.values()) {
      if (r.sequence <= job.compactedTo) continue;
      const change = r.jobs.get(id);
      if (change) this.applyToJob(job, change, r);
    }
    this.lastSequence = Math.max(this.lastSequence, job.compactedTo);
    // After a loss the log entries may be gone that these were started by.
    for (const p of job.placed.values()) this.lastAt = Math.max(this.lastAt, p.since) as Micros;
    this.jobs.set(id, job);
    this.indexJob(job);
    if (!old || old.cancelled !== job.cancelled) this.jobsChanged();
  }

  private removeJob(id: string): void {
    const old = this.jobs.get(id);
    if (!old) return;
    this.newerInBundle.delete(id);
    this.unindexJob(old);
    this.jobs.delete(id);
    this.jobsChanged();
  }

  private readLogEntry(key: string, value: unknown, stamp: number): void {
    const seq = Number(key.slice(LOG_ENTRIES.length));
    if (this.logTail.has(seq)) return;
    this.appendLogEntry(decodeLogEntry(seq, value, stamp));
  }

  /** The accounts: the checkpoint, and the log entries after it. Folded when asked for: followers are not. */
  get accounts(): Accounts {
    if (this.accountsSoFar.upTo < this.lastSequence) {
      const { upTo } = this.accountsSoFar;
      const later = [...this.logTail.values()]
        .filter((r) => r.sequence > upTo)
        .sort((a, b) => a.sequence - b.sequence);
      for (const r of later)
        this.accountsSoFar = fold(this.accountsSoFar, r.sequence, r.head.at, r.head.spent);
    }
    return this.accountsSoFar;
  }

  /** Every node takes the accounts from the checkpoint on, so that all have the same. */
  private setAccounts(key: string, value: unknown, stamp: number): void {
    const part = key === ACCOUNTS ? 0 : Number(key.slice(ACCOUNTS_PART.length));
    this.accountParts[part] = value;
    if (part === 0) this.checkpoint = { upTo: 0, stamp: value === undefined ? 0 : stamp };
    const read = decodeAccounts(this.accountParts);
    if (read === null) return;
    this.checkpoint = { ...this.checkpoint, upTo: read.upTo };
    this.accountsSoFar = read;
    this.lastSequence = Math.max(this.lastSequence, read.upTo);
    this.lastAt = Math.max(this.lastAt, read.at) as Micros;
  }

  /** Also called by the leader as soon as its own log entry is committed. */
  appendLogEntry(record: LogEntry): void {
    if (this.logTail.has(record.sequence)) return;
    this.logTail.set(record.sequence, record);
    this.lastSequence = Math.max(this.lastSequence, record.sequence);
    this.lastAt = Math.max(this.lastAt, record.head.at) as Micros;
    for (const [id, change] of record.jobs) {
      const job = this.jobs.get(id);
      if (!job || job.compactedTo >= record.sequence) continue;
      this.unindexTasks(job, change.done);
      this.unindexTasks(job, change.gone);
      this.applyToJob(job, change, record);
      if (change.start && this.placementIndex !== null) {
        for (const tasks of change.start.on.values())
          for (const t of tasks) this.indexPlacement(this.placementIndex, job, job.placed.get(t)!);
      }
    }
  }

  private applyToJob(job: Job, change: JobChange, r: LogEntry): void {
    applyChange(job, change, r.sequence, r.head.at);
    if (change.done !== undefined && isComplete(job)) this.noteCompletion(job.spec.id, r.revision);
    // It completed the job before the cancellation in the job's key was committed: users may have been told `done`.
    if (job.cancelled && !job.cancelledFirst && r.revision < job.revision && isComplete(job))
      job.cancelled = false;
  }

  private noteCompletion(id: string, stamp: number): void {
    this.recentlyCompleted.set(id, stamp);
    if (this.recentlyCompleted.size <= COMPLETIONS_KEPT) return;
    for (const old of this.recentlyCompleted.keys()) {
      this.recentlyCompleted.delete(old);
      break;
    }
  }

  /**
   * Placements by machine: key `job/task`. Made when first asked for and then kept up with every change, which costs about
   * as much as all else that a log entry does here. Only a leader asks.
   */
  get placementsByMachine(): ReadonlyMap<string, ReadonlyMap<string, Placement & { readonly job: Job }>> {
    if (this.placementIndex === null) {
      this.placementIndex = new Map();
      for (const job of this.jobs.values()) this.indexJob(job);
    }
    return this.placementIndex;
  }

  /** Nobody here asks which machine has what any more. */
  dropPlacementIndex(): void {
    this.placementIndex = null;
  }

  private indexJob(job: Job): void {
    if (this.placementIndex !== null)
      for (const p of job.placed.values()) this.indexPlacement(this.placementIndex, job, p);
  }

  private indexPlacement(machines: NonNullable<typeof this.placementIndex>, job: Job, p: Placement): void {
    let on = machines.get(p.machine);
    if (!on) machines.set(p.machine, (on = new Map()));
    on.set(taskKey(job.spec.id, p.task), { ...p, job });
  }

  private unindexJob(job: Job): void {
    if (this.placementIndex !== null) this.unindexTasks(job, [...job.placed.keys()]);
  }

  private unindexTasks(job: Job, tasks: readonly number[] | undefined): void {
    const { placementIndex: machines } = this;
    if (machines === null) return;
    for (const t of tasks ?? []) {
      const p = job.placed.get(t);
      if (!p) continue;
      const on = machines.get(p.machine);
      on?.delete(taskKey(job.spec.id, t));
      if (on?.size === 0) machines.delete(p.machine);
    }
  }

  private jobsChanged(): void {
    this.version++;
    this.onJobsChanged();
  }
}
