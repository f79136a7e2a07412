/**
 * The watch-fed view of the store on every node: jobs that are not over, the tail of cycle records, the
 * term, the leader. Pure: changes go in, in revision order; nothing here talks to anybody.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeAccounts } from '../accounts/codec.js';
import { fold } from '../accounts/fold.js';
import { type Accounts, NO_ACCOUNTS } from '../accounts/model.js';
import { Calendars } from '../calendar/fold.js';
import { firstOfGeneration, type Incarnation, incarnationOf } from '../recovery/model.js';
import { decodeWeights } from '../lending/weights.js';
import type { Change, Condition, Entry, Write } from '../state-store/client.js';
import {
  decodeFinal,
  decodeJob,
  decodeOver,
  decodePack,
  decodeRecord,
  encodePack,
  type OrphanedJob,
} from './codec.js';
import { Finals } from './finals.js';
import {
  ACCOUNTS,
  ACCOUNTS_PART,
  ACTIVE,
  CALENDAR,
  QUIESCENT,
  FINAL,
  INCARNATION,
  LARGEST,
  LEADER,
  OVER,
  OVER_PART,
  PACK,
  REBUILD,
  RECORD,
  recordKey,
  RECOVERED,
  TERM,
  TYPES,
  ORPHANED_JOB,
  WEIGHTS,
} from './keys.js';
import {
  applyChange,
  type CycleRecord,
  isComplete,
  type Job,
  type JobChange,
  type Placement,
  taskKey,
} from './model.js';

const ENDS_KEPT = 1000;
/** As it was accepted: nothing has become of it. */
const isNew = (j: Job): boolean =>
  j.folded === 0 && j.attempt === 0 && j.done.size + j.placed.size === 0 && !j.withdrawn;

export interface LeaderEntry {
  readonly node: string;
  readonly term: number;
  readonly lease: number;
}

/** From a loss until every controller's view is durable again. */
export interface Rebuilding {
  /** `gather`: views are being asked for. `write`: they are being written. `wait`: some have not been heard. */
  readonly phase: 'gather' | 'write' | 'wait';
  /** Controllers whose views are durable, or that have none. */
  readonly heard: readonly string[];
  readonly stamp: number;
}

export class JobState {
  revision = -1;
  readonly jobs = new Map<string, Job>();
  readonly finals = new Finals();
  /** The calendar of cutoffs, and what has become of their jobs. */
  readonly calendars = new Calendars();
  readonly tail = new Map<number, CycleRecord>();
  /** See `byMachine`; null: nobody has asked for it since it was let go. */
  private machines: Map<string, Map<string, Placement & { readonly job: Job }>> | null = null;
  lastSeq = 0;
  /** Time of day of the latest record. */
  lastAt = 0 as Micros;
  /** The accounts as far as anybody has asked for them; see `accounts`. */
  private folded: Accounts = NO_ACCOUNTS;
  /** The checkpoint that the store has: up to which record, and the revision of its first value; 0: none. */
  checkpoint = { upTo: 0, stamp: 0 };
  /** Its values as read so far, by part. */
  private accountParts: unknown[] = [];
  leader: LeaderEntry | null = null;
  leaderStamp = 0;
  term = 0;
  termStamp = 0;
  /** Bumped when a job appears, is withdrawn or is over: the leader's cue to run a cycle. */
  version = 0;
  /** The machine types as last written by a leader: a node that restarts while the cloud is down knows them. */
  types: unknown = null;
  /** The largest jobs of each class, as last written by a leader (scheduler/largest.ts reads it). */
  largest: unknown = null;
  /** Images of services by machine, as a leader last wrote them: a hint (src/lending). */
  weights: ReadonlyMap<string, readonly string[]> = new Map();
  /** Attempts up to this one are of generations before: they may be running, and are never started again. */
  floor = 0;
  /** Attempts of the present term begin above this one; see `attemptsFrom`. */
  attempts = 0;
  /** The store's incarnations by id: one, but for a moment. */
  readonly incarnations = new Map<string, Incarnation>();
  /** How far a rebuild has come; null: there is none. */
  rebuild: Rebuilding | null = null;
  /** Ids of the incarnations of which this has been said; see `CALM` and `SETTLED`. */
  private quiescentIncarnation: string | null = null;
  private recoveredIncarnation: string | null = null;
  /** Packs of rebuilt jobs, and the pack that still lists a job. */
  readonly packs = new Map<string, { readonly stamp: number; readonly ids: readonly string[] }>();
  readonly packOf = new Map<string, string>();
  /** Jobs whose own key says less than their pack; see `setJob`. */
  private readonly behind = new Set<string>();
  /** Parts of the final states' pages; see `overKey`. */
  readonly overParts = new Set<string>();
  /** Jobs that only workers name. */
  readonly orphanedJobs = new Map<string, OrphanedJob & { readonly stamp: number }>();
  /** Keys whose value can't be read, with their revisions. */
  readonly damaged = new Map<string, number>();
  /** Revisions at which jobs came to their end, the latest ones: whether others have read that already. */
  readonly ended = new Map<string, number>();
  onJobs: () => void = () => undefined;
  /** The leader's key is gone. */
  onVacant: () => void = () => undefined;

  /** Starts again from a listing; changes after `revision` must follow before the view is used. */
  load(entries: readonly Entry[], revision: number): void {
    this.clear();
    const rank = (key: string): number =>
      key.startsWith(ACCOUNTS) ? 0 : key.startsWith(RECORD) ? 1 : key.startsWith(PACK) ? 2 : 3;
    // Records first, since jobs include them; packs before the keys of their own that some jobs have by now.
    for (const r of [0, 1, 2, 3]) for (const e of entries) if (rank(e.key) === r) this.apply({ ...e });
    this.revision = revision;
    this.version++;
  }

  /** Forgets all but final states: those hold in any incarnation. */
  clear(): void {
    for (const m of [this.jobs, this.tail, this.incarnations, this.packs, this.packOf, this.behind])
      m.clear();
    this.machines?.clear();
    this.calendars.clear();
    this.orphanedJobs.clear();
    this.overParts.clear();
    this.damaged.clear();
    this.ended.clear();
    this.finals.complete = false;
    this.floor = 0;
    this.attempts = 0;
    this.leader = null;
    this.rebuild = null;
    this.quiescentIncarnation = null;
    this.recoveredIncarnation = null;
    this.term = 0;
    this.termStamp = 0;
    this.lastSeq = 0;
    this.lastAt = 0 as Micros;
    this.folded = NO_ACCOUNTS;
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
  current(id: string): boolean {
    if (this.rebuild === null || this.rebuild.phase === 'wait') return true;
    const born = this.incarnation?.stamp ?? 0;
    const pack = this.packOf.get(id);
    const stamp = Math.max(
      this.jobs.get(id)?.stamp ?? 0,
      pack === undefined ? 0 : this.packs.get(pack)!.stamp,
    );
    return this.rebuild.phase === 'write' && stamp > born;
  }

  /**
   * A key that can't be read, or is missing, and without which this view is not whole; null: there is none. What is from
   * before the incarnation has been made good by its rebuild.
   */
  hole(): string | null {
    const born = this.incarnation?.stamp ?? 0;
    for (const [key, stamp] of this.damaged)
      if (stamp > born && (key.startsWith(RECORD) || key === TERM)) return key;
    const seqs = [...this.tail.values()]
      .flatMap((r) => (r.stamp > born ? [r.seq] : []))
      .sort((a, b) => a - b);
    const at = seqs.findIndex((seq, i) => i > 0 && seq !== seqs[i - 1]! + 1);
    return at < 0 ? null : recordKey(seqs[at]! - 1);
  }

  /**
   * Part of the calendar was lost without a change to tell of it: a head of this incarnation whose pages are not there, or
   * a record that went by a newer one. What is from before the incarnation has been made good, as far as it could be.
   */
  get calendarLost(): boolean {
    const born = this.incarnation?.stamp ?? 0;
    const { head, whole } = this.calendars;
    if (head !== null && head.stamp > born && !whole) return true;
    const version = head?.value.version ?? 0;
    for (const r of this.tail.values()) if (r.stamp > born && r.head.calendar > version) return true;
    return false;
  }

  /** What is not in the store was never accepted. */
  get recovered(): boolean {
    return this.incarnation !== null && this.recoveredIncarnation === this.incarnation.id;
  }

  /** Changes of a watch answer; those already seen are passed over. */
  advance(changes: readonly Change[], revision: number): void {
    for (const c of changes) if (c.stamp > this.revision) this.apply(c);
    if (revision > this.revision) this.revision = revision;
  }

  apply(c: Change): void {
    try {
      this.take(c);
      if (this.damaged.size > 0) this.damaged.delete(c.key);
    } catch {
      // What was known of it stays: it is newer than nothing.
      this.damaged.set(c.key, c.stamp);
    }
  }

  private take(c: Change): void {
    const { key, value } = c;
    if (key.startsWith(ACTIVE)) {
      const id = key.slice(ACTIVE.length);
      if (value === undefined) this.drop(id);
      else this.setJob(id, decodeJob(id, value, c.stamp));
    } else if (key.startsWith(RECORD)) {
      if (value === undefined) {
        const seq = Number(key.slice(RECORD.length));
        // It goes once a checkpoint has it. Should that not have been read, it is folded before.
        if (seq > this.folded.upTo) void this.accounts;
        this.tail.delete(seq);
      }
      if (value !== undefined) this.setRecord(key, value, c.stamp);
    } else if (key === ACCOUNTS || key.startsWith(ACCOUNTS_PART)) this.setAccounts(key, value, c.stamp);
    else if (key.startsWith(FINAL)) {
      if (value !== undefined) this.finals.remember(key.slice(FINAL.length), decodeFinal(value));
    } else if (key.startsWith(PACK)) this.setPack(key, value, c.stamp);
    else if (key.startsWith(OVER)) {
      if (value !== undefined) for (const [id, f] of decodeOver(value)) this.finals.remember(id, f);
    } else if (key.startsWith(INCARNATION)) {
      const id = key.slice(INCARNATION.length);
      if (value === undefined) this.incarnations.delete(id);
      else this.incarnations.set(id, incarnationOf(id, value, c.stamp));
      this.floor = firstOfGeneration(this.incarnation?.generation ?? 0);
    } else if (key.startsWith(OVER_PART)) this.overParts.add(key.slice(OVER_PART.length));
    else if (key.startsWith(ORPHANED_JOB)) {
      const id = key.slice(ORPHANED_JOB.length);
      if (value === undefined) this.orphanedJobs.delete(id);
      else this.orphanedJobs.set(id, { ...(value as OrphanedJob), stamp: c.stamp });
    } else if (key.startsWith(CALENDAR)) this.calendars.take(key, value, c.stamp);
    else if (key === REBUILD)
      this.rebuild = value === undefined ? null : { ...(value as Rebuilding), stamp: c.stamp };
    else if (key === QUIESCENT) this.quiescentIncarnation = value === undefined ? null : (value as string);
    else if (key === RECOVERED) this.recoveredIncarnation = value === undefined ? null : (value as string);
    else if (key === LEADER) {
      this.leader = value === undefined ? null : (value as LeaderEntry);
      this.leaderStamp = c.stamp;
      if (this.leader === null) this.onVacant();
    } else if (key === TYPES) {
      this.types = value ?? null;
    } else if (key === LARGEST) {
      this.largest = value ?? null;
    } else if (key === WEIGHTS) {
      this.weights = decodeWeights(value);
    } else if (key === TERM && value !== undefined) {
      const { term, a } = value as { term: unknown; a?: unknown };
      if (!Number.isSafeInteger(term)) throw new Error('the term is damaged');
      this.term = term as number;
      this.attempts = Number.isSafeInteger(a) ? (a as number) : 0;
      this.termStamp = c.stamp;
    }
  }

  private setPack(key: string, value: unknown, stamp: number): void {
    const jobs = value === undefined ? [] : decodePack(value);
    const listed = new Set(jobs.map((j) => j.spec.id));
    for (const id of this.packs.get(key)?.ids ?? []) {
      if (listed.has(id) || this.packOf.get(id) !== key) continue;
      this.packOf.delete(id);
      // Taken out of its pack without a key of its own: it is over.
      if (this.jobs.get(id)?.stamp === 0) this.drop(id);
    }
    if (value === undefined) this.packs.delete(key);
    else this.packs.set(key, { stamp, ids: [...listed] });
    for (const job of jobs) {
      this.packOf.set(job.spec.id, key);
      // A job with a key of its own has gone on since.
      if (!this.jobs.has(job.spec.id)) this.setJob(job.spec.id, job);
    }
  }

  /** What takes these jobs out of the packs that still list them. */
  unpacking(ids: readonly string[]): { readonly when: Condition[]; readonly then: Write[] } {
    const when: Condition[] = [];
    const then: Write[] = [];
    const gone = new Set(ids);
    for (const key of new Set(ids.flatMap((id) => this.packOf.get(id) ?? []))) {
      const pack = this.packs.get(key)!;
      when.push({ key, stamp: pack.stamp });
      const rest = pack.ids.flatMap((id) => {
        const job = this.jobs.get(id);
        return job && !gone.has(id) && (job.stamp === 0 || this.behind.has(id)) ? [job] : [];
      });
      then.push(rest.length === 0 ? { delete: key } : { set: key, value: encodePack(rest) });
    }
    return { when, then };
  }

  private setJob(id: string, job: Job): void {
    const old = this.jobs.get(id);
    if (old && old.stamp >= job.stamp) return;
    // Accepted by a late transaction, after a rebuild had found it in somebody's memory: what the pack says of it holds.
    if (old?.stamp === 0 && isNew(job) && !isNew(old)) {
      old.stamp = job.stamp;
      this.behind.add(id);
      return;
    }
    this.behind.delete(id);
    if (old) this.unindex(old);
    // What the key does not include yet stands in the tail.
    for (const r of this.tail.values()) {
      if (r.seq <= job.folded) continue;
      const change = r.jobs.get(id);
      if (change) this.undergo(job, change, r);
    }
    this.lastSeq = Math.max(this.lastSeq, job.folded);
    // After a loss the records may be gone that these were started by.
    for (const p of job.placed.values()) this.lastAt = Math.max(this.lastAt, p.since) as Micros;
    this.jobs.set(id, job);
    this.index(job);
    if (!old || old.withdrawn !== job.withdrawn) this.changed();
  }

  private drop(id: string): void {
    const old = this.jobs.get(id);
    if (!old) return;
    this.behind.delete(id);
    this.unindex(old);
    this.jobs.delete(id);
    this.changed();
  }

  private setRecord(key: string, value: unknown, stamp: number): void {
    const seq = Number(key.slice(RECORD.length));
    if (this.tail.has(seq)) return;
    this.addRecord(decodeRecord(seq, value, stamp));
  }

  /** The accounts: the checkpoint, and the records after it. Folded when asked for: followers are not. */
  get accounts(): Accounts {
    if (this.folded.upTo < this.lastSeq) {
      const { upTo } = this.folded;
      const later = [...this.tail.values()].filter((r) => r.seq > upTo).sort((a, b) => a.seq - b.seq);
      for (const r of later) this.folded = fold(this.folded, r.seq, r.head.at, r.head.spent);
    }
    return this.folded;
  }

  /** Every node takes the accounts from the checkpoint on, so that all have the same. */
  private setAccounts(key: string, value: unknown, stamp: number): void {
    const part = key === ACCOUNTS ? 0 : Number(key.slice(ACCOUNTS_PART.length));
    this.accountParts[part] = value;
    if (part === 0) this.checkpoint = { upTo: 0, stamp: value === undefined ? 0 : stamp };
    const read = decodeAccounts(this.accountParts);
    if (read === null) return;
    this.checkpoint = { ...this.checkpoint, upTo: read.upTo };
    this.folded = read;
    this.lastSeq = Math.max(this.lastSeq, read.upTo);
    this.lastAt = Math.max(this.lastAt, read.at) as Micros;
  }

  /** Also called by the leader as soon as its own record is committed. */
  addRecord(record: CycleRecord): void {
    if (this.tail.has(record.seq)) return;
    this.tail.set(record.seq, record);
    this.lastSeq = Math.max(this.lastSeq, record.seq);
    this.lastAt = Math.max(this.lastAt, record.head.at) as Micros;
    for (const [id, change] of record.jobs) {
      const job = this.jobs.get(id);
      if (!job || job.folded >= record.seq) continue;
      this.unindexTasks(job, change.done);
      this.unindexTasks(job, change.gone);
      this.undergo(job, change, record);
      if (change.start && this.machines !== null) {
        for (const tasks of change.start.on.values())
          for (const t of tasks) this.indexOne(this.machines, job, job.placed.get(t)!);
      }
    }
  }

  private undergo(job: Job, change: JobChange, r: CycleRecord): void {
    applyChange(job, change, r.seq, r.head.at);
    if (change.done !== undefined && isComplete(job)) this.noteEnd(job.spec.id, r.stamp);
    // It completed the job before the withdrawal in the job's key was committed: users may have been told `done`.
    if (job.withdrawn && !job.withdrawnFirst && r.stamp < job.stamp && isComplete(job)) job.withdrawn = false;
  }

  private noteEnd(id: string, stamp: number): void {
    this.ended.set(id, stamp);
    if (this.ended.size <= ENDS_KEPT) return;
    for (const old of this.ended.keys()) {
      this.ended.delete(old);
      break;
    }
  }

  /**
   * Placements by machine: key `job/task`. Made when first asked for and then kept up with every change, which costs about
   * as much as all else that a record does here. Only a leader asks.
   */
  get byMachine(): ReadonlyMap<string, ReadonlyMap<string, Placement & { readonly job: Job }>> {
    if (this.machines === null) {
      this.machines = new Map();
      for (const job of this.jobs.values()) this.index(job);
    }
    return this.machines;
  }

  /** Nobody here asks which machine has what any more. */
  letMachinesGo(): void {
    this.machines = null;
  }

  private index(job: Job): void {
    if (this.machines !== null) for (const p of job.placed.values()) this.indexOne(this.machines, job, p);
  }

  private indexOne(machines: NonNullable<typeof this.machines>, job: Job, p: Placement): void {
    let on = machines.get(p.machine);
    if (!on) machines.set(p.machine, (on = new Map()));
    on.set(taskKey(job.spec.id, p.task), { ...p, job });
  }

  private unindex(job: Job): void {
    if (this.machines !== null) this.unindexTasks(job, [...job.placed.keys()]);
  }

  private unindexTasks(job: Job, tasks: readonly number[] | undefined): void {
    const { machines } = this;
    if (machines === null) return;
    for (const t of tasks ?? []) {
      const p = job.placed.get(t);
      if (!p) continue;
      const on = machines.get(p.machine);
      on?.delete(taskKey(job.spec.id, t));
      if (on?.size === 0) machines.delete(p.machine);
    }
  }

  private changed(): void {
    this.version++;
    this.onJobs();
  }
}
