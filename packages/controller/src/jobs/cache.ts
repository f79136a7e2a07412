/**
 * The watch-fed view of the store on every node: jobs that are not over, the tail of cycle records, the
 * term, the leader. Pure: changes go in, in revision order; nothing here talks to anybody.
 */
import type { Change, Entry } from '../state-store/client.js';
import { decodeFinal, decodeJob, decodeRecord } from './codec.js';
import { ACTIVE, FINAL, LEADER, RECORD, TERM, TYPES } from './keys.js';
import {
  applyChange,
  type CycleRecord,
  type FinalState,
  isComplete,
  type Job,
  type JobChange,
  type Placement,
  taskKey,
} from './model.js';

/** Final states kept in memory; older ones are read from the store. */
const FINALS_KEPT = 3000;

export interface LeaderEntry {
  readonly node: string;
  readonly term: number;
  readonly lease: number;
}

export class JobCache {
  revision = -1;
  readonly jobs = new Map<string, Job>();
  readonly finals = new Map<string, FinalState>();
  readonly tail = new Map<number, CycleRecord>();
  /** Placements by machine: key `job/task`. */
  readonly byMachine = new Map<string, Map<string, Placement & { readonly job: Job }>>();
  lastSeq = 0;
  leader: LeaderEntry | null = null;
  term = 0;
  termStamp = 0;
  /** Bumped when a job appears, is withdrawn or is over: the leader's cue to run a cycle. */
  version = 0;
  /** The machine types as last written by a leader: a node that restarts while the cloud is down knows them. */
  types: unknown = null;
  onJobs: () => void = () => undefined;
  /** The leader's key is gone. */
  onVacant: () => void = () => undefined;

  /** Starts again from a listing; changes after `revision` must follow before the view is used. */
  load(entries: readonly Entry[], revision: number): void {
    this.jobs.clear();
    this.tail.clear();
    this.byMachine.clear();
    this.leader = null;
    this.lastSeq = 0;
    for (const e of entries) if (e.key.startsWith(RECORD)) this.setRecord(e.key, e.value, e.stamp);
    for (const e of entries) if (!e.key.startsWith(RECORD)) this.apply({ ...e });
    this.revision = revision;
    this.version++;
  }

  /** Changes of a watch answer; those already seen are passed over. */
  advance(changes: readonly Change[], revision: number): void {
    for (const c of changes) if (c.stamp > this.revision) this.apply(c);
    if (revision > this.revision) this.revision = revision;
  }

  apply(c: Change): void {
    if (c.key.startsWith(ACTIVE)) {
      const id = c.key.slice(ACTIVE.length);
      if (c.value === undefined) this.drop(id);
      else this.setJob(id, c.value, c.stamp);
    } else if (c.key.startsWith(RECORD)) {
      if (c.value === undefined) this.tail.delete(Number(c.key.slice(RECORD.length)));
      else this.setRecord(c.key, c.value, c.stamp);
    } else if (c.key.startsWith(FINAL)) {
      if (c.value !== undefined) this.rememberFinal(c.key.slice(FINAL.length), decodeFinal(c.value));
    } else if (c.key === LEADER) {
      this.leader = c.value === undefined ? null : (c.value as LeaderEntry);
      if (this.leader === null) this.onVacant();
    } else if (c.key === TYPES) {
      this.types = c.value ?? null;
    } else if (c.key === TERM && c.value !== undefined) {
      this.term = (c.value as { term: number }).term;
      this.termStamp = c.stamp;
    }
  }

  rememberFinal(id: string, f: FinalState): void {
    this.finals.set(id, f);
    if (this.finals.size > FINALS_KEPT) {
      for (const old of this.finals.keys()) {
        this.finals.delete(old);
        break;
      }
    }
  }

  private setJob(id: string, value: unknown, stamp: number): void {
    const old = this.jobs.get(id);
    if (old && old.stamp >= stamp) return;
    if (old) this.unindex(old);
    const job = decodeJob(id, value, stamp);
    // What the key does not include yet stands in the tail.
    for (const r of this.tail.values()) {
      if (r.seq <= job.folded) continue;
      const change = r.jobs.get(id);
      if (change) this.undergo(job, change, r);
    }
    this.lastSeq = Math.max(this.lastSeq, job.folded);
    this.jobs.set(id, job);
    this.index(job);
    if (!old || old.withdrawn !== job.withdrawn) this.changed();
  }

  private drop(id: string): void {
    const old = this.jobs.get(id);
    if (!old) return;
    this.unindex(old);
    this.jobs.delete(id);
    this.changed();
  }

  private setRecord(key: string, value: unknown, stamp: number): void {
    const seq = Number(key.slice(RECORD.length));
    if (this.tail.has(seq)) return;
    this.addRecord(decodeRecord(seq, value, stamp));
  }

  /** Also called by the leader as soon as its own record is committed. */
  addRecord(record: CycleRecord): void {
    if (this.tail.has(record.seq)) return;
    this.tail.set(record.seq, record);
    this.lastSeq = Math.max(this.lastSeq, record.seq);
    for (const [id, change] of record.jobs) {
      const job = this.jobs.get(id);
      if (!job || job.folded >= record.seq) continue;
      this.unindexTasks(job, change.done);
      this.unindexTasks(job, change.gone);
      this.undergo(job, change, record);
      if (change.start) {
        for (const tasks of change.start.on.values())
          for (const t of tasks) this.indexOne(job, job.placed.get(t)!);
      }
    }
  }

  private undergo(job: Job, change: JobChange, r: CycleRecord): void {
    applyChange(job, change, r.seq);
    // It completed the job before the withdrawal in the job's key was committed: users may have been told `done`.
    if (job.withdrawn && r.stamp < job.stamp && isComplete(job)) job.withdrawn = false;
  }

  private index(job: Job): void {
    for (const p of job.placed.values()) this.indexOne(job, p);
  }

  private indexOne(job: Job, p: Placement): void {
    let on = this.byMachine.get(p.machine);
    if (!on) this.byMachine.set(p.machine, (on = new Map()));
    on.set(taskKey(job.spec.id, p.task), { ...p, job });
  }

  private unindex(job: Job): void {
    this.unindexTasks(job, [...job.placed.keys()]);
  }

  private unindexTasks(job: Job, tasks: readonly number[] | undefined): void {
    for (const t of tasks ?? []) {
      const p = job.placed.get(t);
      if (!p) continue;
      const on = this.byMachine.get(p.machine);
      on?.delete(taskKey(job.spec.id, t));
      if (on?.size === 0) this.byMachine.delete(p.machine);
    }
  }

  private changed(): void {
    this.version++;
    this.onJobs();
  }
}
