/**
 * What a controller knows of the state service: jobs that are not over, the tail of the log, the term, the leader. A pure
 * fold: changes go in by revision, whoever reads them (`store-watcher.ts`); nothing here does I/O. Every controller's view
 * at a revision is the same.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeAccounts } from '../accounts/codec.js';
import { foldLogEntry } from '../accounts/fold.js';
import { type Accounts, NO_ACCOUNTS } from '../accounts/model.js';
import { Calendars } from '../calendar/calendars.js';
import { generationFloor, type Incarnation, incarnationOf } from '../recovery/model.js';
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
import { FinalStates } from './final-states.js';
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
  STORE_STATUS,
  TERM,
  MACHINE_TYPES,
  ORPHANED_JOB,
  IMAGE_WEIGHTS,
} from './keys.js';
import { PlacementIndex, type PlacementsByMachine } from './placement-index.js';
import { applyChange, type LogEntry, isComplete, type Job, type JobChange } from './model.js';

const COMPLETIONS_KEPT = 1000;
/** As it was accepted: nothing has become of it. */
const isNew = (j: Job): boolean =>
  j.compactedTo === 0 && j.attempt === 0 && j.done.size + j.placed.size === 0 && !j.cancelled;

export interface LeaderEntry {
  readonly node: string;
  readonly term: number;
  readonly lease: number;
}

/** The accounts as the store has them. */
export interface Checkpoint {
  /** The last log entry in them; 0: there is no checkpoint, or it is not read yet. */
  readonly upTo: number;
  /** Revision of its first value; 0: there is none. */
  readonly revision: number;
}

/** From a loss until every controller's view is durable again. */
export interface RebuildStatus {
  /** `gather`: views are being asked for. `write`: they are being written. `wait`: some have not been heard. */
  readonly phase: 'gather' | 'write' | 'wait';
  /** Controllers whose views are durable, or that have none. */
  readonly heard: readonly string[];
  readonly revision: number;
}

/** One incarnation's content of the store as read so far; see the file's comment. */
export class JobState {
  revision = -1;
  readonly jobs = new Map<string, Job>();
  readonly finalStates = new FinalStates();
  /** The calendar of cutoffs, and what has become of their jobs. */
  readonly calendars = new Calendars();
  readonly logTail = new Map<number, LogEntry>();
  /** See `placementsByMachine`; null: nobody has asked for it since it was dropped. */
  private placementIndex: PlacementIndex | null = null;
  lastSequence = 0;
  /** Time of day of the latest log entry. */
  lastAt = 0 as Micros;
  /** The accounts as far as anybody has asked for them; see `accounts`. */
  private accountsSoFar: Accounts = NO_ACCOUNTS;
  checkpoint: Checkpoint = { upTo: 0, revision: 0 };
  /** Its values as read so far, by part. */
  private accountParts: unknown[] = [];
  leader: LeaderEntry | null = null;
  leaderRevision = 0;
  term = 0;
  termRevision = 0;
  /** Incremented when a job appears, is cancelled or is over: the leader's cue to run a cycle. */
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
  readonly bundles = new Map<string, { readonly revision: number; readonly ids: readonly string[] }>();
  readonly bundleOf = new Map<string, string>();
  /** Jobs whose own key says less than their bundle; see `setJob`. */
  private readonly newerInBundle = new Set<string>();
  /** Parts of the final states' pages; see `finalStatePageKey`. */
  readonly finalStateParts = new Set<string>();
  /** Jobs that only workers name. */
  readonly orphanedJobs = new Map<string, OrphanedJob & { readonly revision: number }>();
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
    this.checkpoint = { upTo: 0, revision: 0 };
    this.accountParts = [];
    this.revision = -1;
  }

  /** The store's incarnation; null: it has none yet. */
  get incarnation(): Incarnation | null {
    let last: Incarnation | null = null;
    for (const i of this.incarnations.values()) if (last === null || i.generation > last.generation) last = i;
    return last;
  }

  /** After a loss: nothing that this view lacks can be running any more. */
  get quiescent(): boolean {
    const i = this.incarnation;
    return i !== null && (i.generation === 0 || this.quiescentIncarnation === i.id);
  }

  /** During a rebuild: whether this job's state is what has been written back; what the loss left may be older. */
  isRestored(id: string): boolean {
    if (this.rebuild === null || this.rebuild.phase === 'wait') return true;
    const born = this.incarnation?.revision ?? 0;
    const bundle = this.bundleOf.get(id);
    const revision = Math.max(
      this.jobs.get(id)?.revision ?? 0,
      bundle === undefined ? 0 : this.bundles.get(bundle)!.revision,
    );
    return this.rebuild.phase === 'write' && revision > born;
  }

  /**
   * The key of a value that can't be read, or of a log entry that is missing, without which this view is incomplete; null:
   * there is none. What is from before the incarnation has been made good by its rebuild.
   */
  missingRecord(): string | null {
    const born = this.incarnation?.revision ?? 0;
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
    const born = this.incarnation?.revision ?? 0;
    const { head, complete: whole } = this.calendars;
    if (head !== null && head.revision > born && !whole) return true;
    const version = head?.value.version ?? 0;
    for (const r of this.logTail.values()) if (r.revision > born && r.head.calendar > version) return true;
    return false;
  }

  /** After a loss: all views have been read back, so that a job which is not in the store was never accepted. */
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

  /** Throws on a value that can't be read. */
  private applyValue({ key, value, stamp }: Change): void {
    if (key.startsWith(ACTIVE_JOBS)) this.applyJob(key.slice(ACTIVE_JOBS.length), value, stamp);
    else if (key.startsWith(LOG_ENTRIES)) this.applyLogEntry(key, value, stamp);
    else if (key === ACCOUNTS || key.startsWith(ACCOUNTS_PART)) this.setAccounts(key, value, stamp);
    else if (key.startsWith(FINAL_STATES)) {
      if (value !== undefined)
        this.finalStates.remember(key.slice(FINAL_STATES.length), decodeFinalState(value));
    } else if (key.startsWith(JOB_BUNDLES)) this.setBundle(key, value, stamp);
    else if (key.startsWith(FINAL_STATE_PAGES)) {
      if (value !== undefined)
        for (const [id, f] of decodeFinalStates(value)) this.finalStates.remember(id, f);
    } else if (key.startsWith(STORE_STATUS)) this.applyStoreStatus(key, value, stamp);
    else if (key.startsWith(CALENDAR)) this.calendars.apply(key, value, stamp);
    else this.applyLeaderKey(key, value, stamp);
  }

  private applyJob(id: string, value: unknown, revision: number): void {
    if (value === undefined) this.removeJob(id);
    else this.setJob(id, decodeJob(id, value, revision));
  }

  private applyLogEntry(key: string, value: unknown, revision: number): void {
    const sequence = Number(key.slice(LOG_ENTRIES.length));
    if (value === undefined) {
      // It goes once a checkpoint has it. Should that not have been read, its amounts are added before.
      if (sequence > this.accountsSoFar.upTo) void this.accounts;
      this.logTail.delete(sequence);
    } else if (!this.logTail.has(sequence)) this.appendLogEntry(decodeLogEntry(sequence, value, revision));
  }

  /** What the store says of itself: incarnations, how far a rebuild has come, jobs that only workers name. */
  private applyStoreStatus(key: string, value: unknown, revision: number): void {
    if (key.startsWith(INCARNATION)) {
      const id = key.slice(INCARNATION.length);
      if (value === undefined) this.incarnations.delete(id);
      else this.incarnations.set(id, incarnationOf(id, value, revision));
      this.attemptFloor = generationFloor(this.incarnation?.generation ?? 0);
    } else if (key.startsWith(FINAL_STATE_PARTS))
      this.finalStateParts.add(key.slice(FINAL_STATE_PARTS.length));
    else if (key.startsWith(ORPHANED_JOB)) {
      const id = key.slice(ORPHANED_JOB.length);
      if (value === undefined) this.orphanedJobs.delete(id);
      else this.orphanedJobs.set(id, { ...(value as OrphanedJob), revision });
    } else if (key === REBUILD)
      this.rebuild = value === undefined ? null : { ...(value as RebuildStatus), revision };
    else if (key === QUIESCENT) this.quiescentIncarnation = value === undefined ? null : (value as string);
    else if (key === RECOVERED) this.recoveredIncarnation = value === undefined ? null : (value as string);
  }

  /** The leader's own key, its term, and the hints that leaders leave to the next one. */
  private applyLeaderKey(key: string, value: unknown, revision: number): void {
    if (key === LEADER) {
      this.leader = value === undefined ? null : (value as LeaderEntry);
      this.leaderRevision = revision;
      if (this.leader === null) this.onLeaderKeyDeleted();
    } else if (key === MACHINE_TYPES) this.types = value ?? null;
    else if (key === LARGEST_JOBS) this.largest = value ?? null;
    else if (key === IMAGE_WEIGHTS) this.weights = decodeImageWeights(value);
    else if (key === TERM && value !== undefined) {
      const { term, a } = value as { term: unknown; a?: unknown };
      if (!Number.isSafeInteger(term)) throw new Error('the term is damaged');
      this.term = term as number;
      this.attemptBase = Number.isSafeInteger(a) ? (a as number) : 0;
      this.termRevision = revision;
    }
  }

  private setBundle(key: string, value: unknown, revision: number): void {
    const jobs = value === undefined ? [] : decodeBundle(value);
    const listed = new Set(jobs.map((j) => j.spec.id));
    for (const id of this.bundles.get(key)?.ids ?? []) {
      if (listed.has(id) || this.bundleOf.get(id) !== key) continue;
      this.bundleOf.delete(id);
      // Taken out of its bundle without a key of its own: it is over.
      if (this.jobs.get(id)?.revision === 0) this.removeJob(id);
    }
    if (value === undefined) this.bundles.delete(key);
    else this.bundles.set(key, { revision, ids: [...listed] });
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
      const bundle = this.bundles.get(key)!;
      when.push({ key, stamp: bundle.revision });
      const rest = bundle.ids.flatMap((id) => {
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
    if (old) this.placementIndex?.removeJob(old);
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
    this.placementIndex?.addJob(job);
    if (!old || old.cancelled !== job.cancelled) this.jobsChanged();
  }

  private removeJob(id: string): void {
    const old = this.jobs.get(id);
    if (!old) return;
    this.newerInBundle.delete(id);
    this.placementIndex?.removeJob(old);
    this.jobs.delete(id);
    this.jobsChanged();
  }

  /** The accounts: the checkpoint, and the log entries after it. Computed when asked for: followers never are. */
  get accounts(): Accounts {
    if (this.accountsSoFar.upTo < this.lastSequence) {
      const { upTo } = this.accountsSoFar;
      const later = [...this.logTail.values()]
        .filter((r) => r.sequence > upTo)
        .sort((a, b) => a.sequence - b.sequence);
      for (const r of later)
        this.accountsSoFar = foldLogEntry(this.accountsSoFar, r.sequence, r.head.at, r.head.usage);
    }
    return this.accountsSoFar;
  }

  /** Every node takes the accounts from the checkpoint on, so that all have the same. */
  private setAccounts(key: string, value: unknown, revision: number): void {
    const part = key === ACCOUNTS ? 0 : Number(key.slice(ACCOUNTS_PART.length));
    this.accountParts[part] = value;
    if (part === 0) this.checkpoint = { upTo: 0, revision: value === undefined ? 0 : revision };
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
      this.placementIndex?.remove(job, change.done);
      this.placementIndex?.remove(job, change.gone);
      this.applyToJob(job, change, record);
      if (change.start && this.placementIndex !== null)
        for (const tasks of change.start.on.values())
          for (const t of tasks) this.placementIndex.add(job, job.placed.get(t)!);
    }
  }

  private applyToJob(job: Job, change: JobChange, r: LogEntry): void {
    applyChange(job, change, r.sequence, r.head.at);
    if (change.done !== undefined && isComplete(job)) this.noteCompletion(job.spec.id, r.revision);
    // It completed the job before the cancellation in the job's key was committed: users may have been told `done`.
    if (job.cancelled && !job.cancelledFirst && r.revision < job.revision && isComplete(job))
      job.cancelled = false;
  }

  private noteCompletion(id: string, revision: number): void {
    this.recentlyCompleted.set(id, revision);
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
  get placementsByMachine(): PlacementsByMachine {
    if (this.placementIndex === null) {
      this.placementIndex = new PlacementIndex();
      for (const job of this.jobs.values()) this.placementIndex.addJob(job);
    }
    return this.placementIndex.byMachine;
  }

  /** Frees the placement index: a controller that no longer leads doesn't ask for it. */
  dropPlacementIndex(): void {
    this.placementIndex = null;
  }

  private jobsChanged(): void {
    this.version++;
    this.onJobsChanged();
  }
}
