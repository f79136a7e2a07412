/**
 * A controller's view of the state service: unfinished jobs, the log entries that are not compacted yet, the term, the
 * leader. The view is computed from the store's changes in the order of their revisions, without I/O; `store-watcher.ts`
 * reads the changes. The views of all controllers at one revision are equal.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeAccounts } from '../accounts/codec.js';
import { applyToAccounts } from '../accounts/aggregate.js';
import { type Accounts, NO_ACCOUNTS } from '../accounts/model.js';
import { Calendars } from '../calendar/calendars.js';
import { generationFloor, type Incarnation, incarnationOf } from '../recovery/model.js';
import { decodeImageWeights } from '../lending/image-weights.js';
import type { Change, Condition, Entry, Write } from '../state-store/client.js';
import { jsonBytes } from '../state-store/transaction-limits.js';
import {
  decodeFinalState,
  decodeJob,
  decodeFinalStates,
  decodeBundle,
  decodeLogEntry,
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
  FINAL_STATE_PAGE_SETS,
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

const MAX_RECENT_COMPLETIONS = 1000;
/** Maximum bytes of the bundles that one transaction rewrites. */
const MAX_BYTES_OF_BUNDLES = 48 * 1024;
/** Whether the job is still as it was accepted: not cancelled, and without any started task. */
const isNew = (job: Job): boolean =>
  job.compactedTo === 0 && job.attempt === 0 && job.completed.size + job.placed.size === 0 && !job.cancelled;

/** The value of the leader key. Stored as it is. */
export interface LeaderEntry {
  /** Label of the controller that leads. */
  readonly node: string;
  readonly term: number;
  /** The state service's number of the lease that the leader key is attached to. */
  readonly lease: number;
}

/** The stored state of the accounts. */
export interface Checkpoint {
  /** The last log entry that the checkpoint includes; 0: there is no checkpoint, or it has not been read completely. */
  readonly upTo: number;
  /** Revision of the checkpoint's first key; 0: the key does not exist. */
  readonly revision: number;
}

/** Progress of a rebuild, from a data loss until the views of all controllers are durable again. Stored as it is. */
export interface RebuildStatus {
  /** `gather`: the leader requests the views. `write`: it writes them. `wait`: some controllers have not responded yet. */
  readonly phase: 'gather' | 'write' | 'wait';
  /** Labels of the controllers whose views are durable, or that have none. */
  readonly heard: readonly string[];
  readonly revision: number;
}

/** The content of one incarnation of the store, as far as it has been read. */
export class JobState {
  /** The revision that the view is as of; -1: nothing has been read. */
  revision = -1;
  /** Unfinished jobs by id. */
  readonly jobs = new Map<string, Job>();
  readonly finalStates = new FinalStates();
  /** The calendar of cutoffs, and the outcome counts of the jobs that are bound to them. */
  readonly calendars = new Calendars();
  /** The log entries that the store still has, by sequence number. */
  readonly logTail = new Map<number, LogEntry>();
  /** See `placementsByMachine`; null: not built since it was dropped. */
  private placementIndex: PlacementIndex | null = null;
  /** Sequence number of the latest log entry. */
  lastSequence = 0;
  /** Time of day of the latest log entry. */
  lastEntryAt = 0 as Micros;
  /** The accounts as of the last access of `accounts` or the last checkpoint. */
  private accountsSoFar: Accounts = NO_ACCOUNTS;
  checkpoint: Checkpoint = { upTo: 0, revision: 0 };
  /** The values of the checkpoint's keys that have been read so far, by the keys' index. */
  private checkpointValues: unknown[] = [];
  leader: LeaderEntry | null = null;
  leaderRevision = 0;
  term = 0;
  termRevision = 0;
  /** Incremented by each `load`, and when a job is added, cancelled or removed. */
  jobsVersion = 0;
  /** The machine types as last written by a leader: a controller that restarts during an outage of the cloud needs them. */
  machineTypes: unknown = null;
  /** The largest jobs of each class, as last written by a leader; src/scheduler decodes the value. */
  largestJobs: unknown = null;
  /** Images of services by machine, as last written by a leader: a hint (src/lending). */
  weights: ReadonlyMap<string, readonly string[]> = new Map();
  /** Attempts up to this number belong to earlier generations: they may still run, and are never started again. */
  attemptFloor = 0;
  /** The attempt numbers of the present term are higher than this one. */
  attemptBase = 0;
  /** The store's incarnations by id: one, except while a loss of data is being repaired. */
  readonly incarnations = new Map<string, Incarnation>();
  /** Progress of a rebuild; null: no rebuild is under way. */
  rebuild: RebuildStatus | null = null;
  /** Id of the incarnation that the `QUIESCENT` key names. */
  private quiescentIncarnation: string | null = null;
  /** Id of the incarnation that the `RECOVERED` key names. */
  private recoveredIncarnation: string | null = null;
  /** Bundles of rebuilt jobs by key, with the stored forms of their jobs by id. */
  readonly bundles = new Map<
    string,
    { readonly revision: number; readonly stored: ReadonlyMap<string, unknown> }
  >();
  /** The key of the bundle that still lists a job, by job id. */
  readonly bundleByJob = new Map<string, string>();
  /** Jobs whose own key is older than their entry in a bundle; see `setJob`. */
  private readonly newerInBundle = new Set<string>();
  /** Names of the sets of final state pages; see `finalStatePageKey`. */
  readonly finalStatePageSets = new Set<string>();
  /** Orphaned jobs by id; see `OrphanedJob`. */
  readonly orphanedJobs = new Map<string, OrphanedJob & { readonly revision: number }>();
  /** Keys whose values can't be decoded, with the values' revisions. */
  readonly damaged = new Map<string, number>();
  /** Revisions at which jobs completed, by job id, for the latest completions: tells which peers know of a completion. */
  readonly recentlyCompleted = new Map<string, number>();
  /** Called when a job is added, cancelled or removed: a leader then runs a scheduling cycle. */
  onJobsChanged: () => void = () => undefined;
  /** Called when the leader key is deleted. */
  onLeaderKeyDeleted: () => void = () => undefined;

  /** Replaces the view by a listing. The changes after `revision` must be applied before the view is used. */
  load(entries: readonly Entry[], revision: number): void {
    this.clear();
    const rank = (key: string): number =>
      key.startsWith(ACCOUNTS) ? 0 : key.startsWith(LOG_ENTRIES) ? 1 : key.startsWith(JOB_BUNDLES) ? 2 : 3;
    // Log entries precede jobs, since they are applied to jobs as these are added. Bundles precede the jobs' own keys,
    // which are newer.
    for (const current of [0, 1, 2, 3])
      for (const entry of entries) if (rank(entry.key) === current) this.apply({ ...entry });
    this.revision = revision;
    this.jobsVersion++;
  }

  /** Empties the view, except for final states: these are valid in every incarnation. */
  clear(): void {
    for (const collection of [
      this.jobs,
      this.logTail,
      this.incarnations,
      this.bundles,
      this.bundleByJob,
      this.newerInBundle,
    ])
      collection.clear();
    this.placementIndex?.clear();
    this.calendars.clear();
    this.orphanedJobs.clear();
    this.finalStatePageSets.clear();
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
    this.lastEntryAt = 0 as Micros;
    this.accountsSoFar = NO_ACCOUNTS;
    this.checkpoint = { upTo: 0, revision: 0 };
    this.checkpointValues = [];
    this.revision = -1;
  }

  /** The store's present incarnation, the one of the highest generation; null: it has none yet. */
  get incarnation(): Incarnation | null {
    let latest: Incarnation | null = null;
    for (const incarnation of this.incarnations.values())
      if (latest === null || incarnation.generation > latest.generation) latest = incarnation;
    return latest;
  }

  /** Whether no task that this view lacks can be running any more. Always true if no data was ever lost. */
  get quiescent(): boolean {
    const current = this.incarnation;
    return current !== null && (current.generation === 0 || this.quiescentIncarnation === current.id);
  }

  /** Whether the rebuild, if one is under way, has written this job back. Until then its stored state may be too old. */
  isRestored(id: string): boolean {
    if (this.rebuild === null || this.rebuild.phase === 'wait') return true;
    const incarnationRevision = this.incarnation?.revision ?? 0;
    const bundle = this.bundleByJob.get(id);
    const revision = Math.max(
      this.jobs.get(id)?.revision ?? 0,
      bundle === undefined ? 0 : this.bundles.get(bundle)!.revision,
    );
    return this.rebuild.phase === 'write' && revision > incarnationRevision;
  }

  /**
   * The key of a log entry that is missing, or of a log entry or the term whose value can't be decoded: without it this
   * view is incomplete. null: there is none. Keys from before the present incarnation don't count, since the rebuild that
   * began it has replaced them.
   */
  missingEntryKey(): string | null {
    const incarnationRevision = this.incarnation?.revision ?? 0;
    for (const [key, revision] of this.damaged)
      if (revision > incarnationRevision && (key.startsWith(LOG_ENTRIES) || key === TERM)) return key;
    const sequences = [...this.logTail.values()]
      .flatMap((entry) => (entry.revision > incarnationRevision ? [entry.sequence] : []))
      .sort((a, b) => a - b);
    const afterGap = sequences.findIndex((sequence, i) => i > 0 && sequence !== sequences[i - 1]! + 1);
    return afterGap < 0 ? null : logEntryKey(sequences[afterGap]! - 1);
  }

  /**
   * Whether a part of the calendar was lost without a change that shows it: pages that the calendar's head lists are
   * missing, or a log entry was decided by a newer calendar. Keys from before the present incarnation don't count, since
   * the rebuild that began it has restored what it could.
   */
  get calendarLost(): boolean {
    const incarnationRevision = this.incarnation?.revision ?? 0;
    const { head, complete } = this.calendars;
    if (head !== null && head.revision > incarnationRevision && !complete) return true;
    const version = head?.value.version ?? 0;
    for (const entry of this.logTail.values())
      if (entry.revision > incarnationRevision && entry.head.calendar > version) return true;
    return false;
  }

  /** Whether all surviving views are in the store, so that a job which is missing there was never accepted. */
  get recovered(): boolean {
    return this.incarnation !== null && this.recoveredIncarnation === this.incarnation.id;
  }

  /** Applies the changes of a response to a watch request; skips those that have been applied already. */
  advance(changes: readonly Change[], revision: number): void {
    for (const change of changes) if (change.revision > this.revision) this.apply(change);
    if (revision > this.revision) this.revision = revision;
  }

  /** Applies one change. Never throws: the key of a value that can't be decoded is noted in `damaged`. */
  apply(change: Change): void {
    try {
      this.applyValue(change);
      if (this.damaged.size > 0) this.damaged.delete(change.key);
    } catch {
      // The key's last readable value stays in the view.
      this.damaged.set(change.key, change.revision);
    }
  }

  /** Throws on a value that can't be decoded. */
  private applyValue({ key, value, revision: revision }: Change): void {
    if (key.startsWith(ACTIVE_JOBS)) this.applyJob(key.slice(ACTIVE_JOBS.length), value, revision);
    else if (key.startsWith(LOG_ENTRIES)) this.applyLogEntry(key, value, revision);
    else if (key === ACCOUNTS || key.startsWith(ACCOUNTS_PART)) this.setAccounts(key, value, revision);
    else if (key.startsWith(FINAL_STATES)) {
      if (value !== undefined)
        this.finalStates.remember(key.slice(FINAL_STATES.length), decodeFinalState(value));
    } else if (key.startsWith(JOB_BUNDLES)) this.setBundle(key, value, revision);
    else if (key.startsWith(FINAL_STATE_PAGES)) {
      if (value !== undefined)
        for (const [id, finalState] of decodeFinalStates(value)) this.finalStates.remember(id, finalState);
    } else if (key.startsWith(STORE_STATUS)) this.applyStoreStatus(key, value, revision);
    else if (key.startsWith(CALENDAR)) this.calendars.apply(key, value, revision);
    else this.applyLeaderKey(key, value, revision);
  }

  private applyJob(id: string, value: unknown, revision: number): void {
    if (value === undefined) this.removeJob(id);
    else this.setJob(id, decodeJob(id, value, revision));
  }

  private applyLogEntry(key: string, value: unknown, revision: number): void {
    const sequence = Number(key.slice(LOG_ENTRIES.length));
    if (value === undefined) {
      // A log entry is deleted once a checkpoint includes it. This view may not have read that checkpoint: the accounts
      // take in the entry's amounts before it is removed.
      if (sequence > this.accountsSoFar.upTo) void this.accounts;
      this.logTail.delete(sequence);
    } else if (!this.logTail.has(sequence)) this.appendLogEntry(decodeLogEntry(sequence, value, revision));
  }

  /** Applies a key below `STORE_STATUS`: incarnations, the progress of a rebuild, orphaned jobs. */
  private applyStoreStatus(key: string, value: unknown, revision: number): void {
    if (key.startsWith(INCARNATION)) {
      const id = key.slice(INCARNATION.length);
      if (value === undefined) this.incarnations.delete(id);
      else this.incarnations.set(id, incarnationOf(id, value, revision));
      this.attemptFloor = generationFloor(this.incarnation?.generation ?? 0);
    } else if (key.startsWith(FINAL_STATE_PAGE_SETS))
      this.finalStatePageSets.add(key.slice(FINAL_STATE_PAGE_SETS.length));
    else if (key.startsWith(ORPHANED_JOB)) {
      const id = key.slice(ORPHANED_JOB.length);
      if (value === undefined) this.orphanedJobs.delete(id);
      else this.orphanedJobs.set(id, { ...(value as OrphanedJob), revision });
    } else if (key === REBUILD)
      this.rebuild = value === undefined ? null : { ...(value as RebuildStatus), revision };
    else if (key === QUIESCENT) this.quiescentIncarnation = value === undefined ? null : (value as string);
    else if (key === RECOVERED) this.recoveredIncarnation = value === undefined ? null : (value as string);
  }

  /** Applies the leader key, the term key, or one of the hints that a leader writes for its successor. */
  private applyLeaderKey(key: string, value: unknown, revision: number): void {
    if (key === LEADER) {
      this.leader = value === undefined ? null : (value as LeaderEntry);
      this.leaderRevision = revision;
      if (this.leader === null) this.onLeaderKeyDeleted();
    } else if (key === MACHINE_TYPES) this.machineTypes = value ?? null;
    else if (key === LARGEST_JOBS) this.largestJobs = value ?? null;
    else if (key === IMAGE_WEIGHTS) this.weights = decodeImageWeights(value);
    else if (key === TERM && value !== undefined) {
      const { term, a } = value as { term: unknown; a?: unknown };
      if (!Number.isSafeInteger(term)) throw new Error('the stored term is not an integer');
      this.term = term as number;
      this.attemptBase = Number.isSafeInteger(a) ? (a as number) : 0;
      this.termRevision = revision;
    }
  }

  private setBundle(key: string, value: unknown, revision: number): void {
    const jobs = value === undefined ? [] : decodeBundle(value);
    const stored = new Map(Object.entries((value ?? {}) as Record<string, unknown>));
    for (const id of this.bundles.get(key)?.stored.keys() ?? []) {
      if (stored.has(id) || this.bundleByJob.get(id) !== key) continue;
      this.bundleByJob.delete(id);
      // A job that is taken out of its bundle and has no key of its own is finished.
      if (this.jobs.get(id)?.revision === 0) this.removeJob(id);
    }
    if (value === undefined) this.bundles.delete(key);
    else this.bundles.set(key, { revision, stored });
    for (const job of jobs) {
      this.bundleByJob.set(job.spec.id, key);
      // A known job has a key of its own, which is newer than the bundle.
      if (!this.jobs.has(job.spec.id)) this.setJob(job.spec.id, job);
    }
  }

  /**
   * The conditions and writes that remove these jobs from the bundles that still list them. The remaining jobs keep their
   * stored forms, on top of which their log entries apply, so that a bundle never grows.
   */
  removalFromBundles(ids: readonly string[]): { readonly when: Condition[]; readonly then: Write[] } {
    const when: Condition[] = [];
    const then: Write[] = [];
    const removed = new Set(ids);
    for (const key of new Set(ids.flatMap((id) => this.bundleByJob.get(id) ?? []))) {
      const bundle = this.bundles.get(key)!;
      when.push({ key, revision: bundle.revision });
      const remaining = [...bundle.stored].filter(([id]) => {
        const job = this.jobs.get(id);
        return job && !removed.has(id) && (job.revision === 0 || this.newerInBundle.has(id));
      });
      then.push(
        remaining.length === 0 ? { delete: key } : { set: key, value: Object.fromEntries(remaining) },
      );
    }
    return { when, then };
  }

  /**
   * How many of these jobs, at least one, can be removed from their bundles in one transaction. Bundles written by earlier
   * versions may be as large as a value.
   */
  removableTogether(ids: readonly string[]): number {
    let count = ids.length;
    while (count > 1 && jsonBytes(this.removalFromBundles(ids.slice(0, count)).then) > MAX_BYTES_OF_BUNDLES)
      count--;
    return count;
  }

  private setJob(id: string, job: Job): void {
    const old = this.jobs.get(id);
    if (old && old.revision >= job.revision) return;
    // A late transaction has accepted a job that a rebuild had already found in a controller's memory: the state in the
    // bundle is the newer one.
    if (old?.revision === 0 && isNew(job) && !isNew(old)) {
      old.revision = job.revision;
      this.newerInBundle.add(id);
      return;
    }
    this.newerInBundle.delete(id);
    if (old) this.placementIndex?.removeJob(old);
    // Log entries that are not compacted into the job's key are applied on top of it.
    for (const entry of this.logTail.values()) {
      if (entry.sequence <= job.compactedTo) continue;
      const change = entry.jobs.get(id);
      if (change) this.applyToJob(job, change, entry);
    }
    this.lastSequence = Math.max(this.lastSequence, job.compactedTo);
    // After a loss the log entries that started these placements may be missing.
    for (const placement of job.placed.values())
      this.lastEntryAt = Math.max(this.lastEntryAt, placement.since) as Micros;
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

  /** The accounts: the checkpoint and the log entries after it. Computed on access: followers never access them. */
  get accounts(): Accounts {
    if (this.accountsSoFar.upTo < this.lastSequence) {
      const { upTo } = this.accountsSoFar;
      const later = [...this.logTail.values()]
        .filter((entry) => entry.sequence > upTo)
        .sort((a, b) => a.sequence - b.sequence);
      for (const entry of later)
        this.accountsSoFar = applyToAccounts(
          this.accountsSoFar,
          entry.sequence,
          entry.head.at,
          entry.head.usage,
        );
    }
    return this.accountsSoFar;
  }

  /** Every controller computes the accounts from the checkpoint on, so that they are equal everywhere. */
  private setAccounts(key: string, value: unknown, revision: number): void {
    const index = key === ACCOUNTS ? 0 : Number(key.slice(ACCOUNTS_PART.length));
    this.checkpointValues[index] = value;
    if (index === 0) this.checkpoint = { upTo: 0, revision: value === undefined ? 0 : revision };
    const stored = decodeAccounts(this.checkpointValues);
    if (stored === null) return;
    this.checkpoint = { ...this.checkpoint, upTo: stored.upTo };
    this.accountsSoFar = stored;
    this.lastSequence = Math.max(this.lastSequence, stored.upTo);
    this.lastEntryAt = Math.max(this.lastEntryAt, stored.at) as Micros;
  }

  /** Adds a log entry and applies it to its jobs. A leader also calls this as soon as its own log entry is committed. */
  appendLogEntry(entry: LogEntry): void {
    if (this.logTail.has(entry.sequence)) return;
    this.logTail.set(entry.sequence, entry);
    this.lastSequence = Math.max(this.lastSequence, entry.sequence);
    this.lastEntryAt = Math.max(this.lastEntryAt, entry.head.at) as Micros;
    for (const [id, change] of entry.jobs) {
      const job = this.jobs.get(id);
      if (!job || job.compactedTo >= entry.sequence) continue;
      this.placementIndex?.remove(job, change.completed);
      this.placementIndex?.remove(job, change.exited);
      this.applyToJob(job, change, entry);
      if (change.start && this.placementIndex !== null)
        for (const tasks of change.start.on.values())
          for (const task of tasks) this.placementIndex.add(job, job.placed.get(task)!);
    }
  }

  private applyToJob(job: Job, change: JobChange, entry: LogEntry): void {
    applyChange(job, change, entry.sequence, entry.head.at);
    if (change.completed !== undefined && isComplete(job)) this.noteCompletion(job.spec.id, entry.revision);
    // The entry completed the job before the cancellation in the job's key was committed, and users may have received the
    // status `done` since: the cancellation has no effect.
    if (job.cancelled && !job.cancelledFirst && entry.revision < job.revision && isComplete(job))
      job.cancelled = false;
  }

  private noteCompletion(id: string, revision: number): void {
    this.recentlyCompleted.set(id, revision);
    if (this.recentlyCompleted.size <= MAX_RECENT_COMPLETIONS) return;
    for (const oldestId of this.recentlyCompleted.keys()) {
      this.recentlyCompleted.delete(oldestId);
      break;
    }
  }

  /**
   * Placements by machine and by `taskKey`. The index is built on first access and then updated with every change, which
   * about doubles the cost of applying a log entry. Only a leader needs it.
   */
  get placementsByMachine(): PlacementsByMachine {
    if (this.placementIndex === null) {
      this.placementIndex = new PlacementIndex();
      for (const job of this.jobs.values()) this.placementIndex.addJob(job);
    }
    return this.placementIndex.byMachine;
  }

  /** Frees the placement index: a controller that no longer leads doesn't need it. */
  dropPlacementIndex(): void {
    this.placementIndex = null;
  }

  private jobsChanged(): void {
    this.jobsVersion++;
    this.onJobsChanged();
  }
}
