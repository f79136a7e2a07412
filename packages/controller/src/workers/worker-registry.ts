/**
 * The leader's book of machines and what may run on them. Deterministic: reports, answers of the cloud and
 * the time go in; orders and observed ends come out. Nothing here is durable: the starts and ends that
 * count stand in the store, and the book is made anew by every term.
 */
import { DRIFT, type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { ProvisioningNews, ListedMachine } from '../provisioning/model.js';
import type { JobState } from '../jobs/job-state.js';
import { type Job, type Placement, taskKey } from '../jobs/model.js';
import { CONFIRMATION_VALID } from '../leadership/peers.js';
import type { Settings } from '../settings/settings.js';
import { type KindOf } from '../accounts/spent.js';
import { Phases } from '../accounts/phases.js';
import { recordAnomaly } from '../metrics.js';
import { FaultAttribution } from './fault-attribution.js';
import type { Start } from '../scheduler/model.js';
import type { Order, Heartbeat, ReportedTask } from './codec.js';

export interface Machine {
  readonly id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  incarnation: number;
  sequence: number;
  /** When a report of it was last answered: its lease may run from there. */
  lastAnswered: Micros;
  reported: boolean;
  /** A report has shown that the worker knows this term's token: no older leader's answer can reach it any more. */
  confirmed: boolean;
  recallAt: Micros | null;
  readonly tasks: Map<string, ReportedTask>;
  /** The list that `tasks` was made from. */
  list: readonly ReportedTask[];
  /** Since when it has reported without having shown that; from the last answer on, once its lease has lapsed. */
  unconfirmedSince: Micros;
  /**
   * The latest report carried this term's token, or no older leader's word can count any more, so what it lacks is surely
   * not there, and what has ended there is not started there again.
   */
  authoritative: boolean;
  /** Tasks reported in this term and session, with the attempt: a later attempt here has not been seen yet. */
  readonly seen: Map<string, number>;
  /** Tasks reported that the record does not know. */
  hasUnknownTasks: boolean;
  listed: ListedMachine['status'] | null;
  /** When the machine became known or was rented, for the first time it was charged. */
  since: Micros;
  /** Since when the cloud's list has called it running in this term. */
  runningSince: Micros | null;
  emptySince: Micros | null;
  closed: string | null;
  images: Set<string>;
  cooldownUntil: Micros;
  /** Tasks that the answer to its latest report starts. */
  dispatched: readonly string[];
  /** So many answers with starts in a row have not reached it. */
  unacknowledged: number;
}

export interface Running {
  /** When this attempt was first seen running. */
  readonly since: Micros;
  readonly machine: string;
}

interface Stopping {
  readonly attempt: number;
  grace: Micros;
  readonly at: Micros;
}

export interface Ends {
  readonly done: Set<number>;
  readonly gone: Set<number>;
  /** Those of `gone` that failed by themselves. */
  readonly failed: Set<number>;
}

const ZERO = 0 as Micros;
const NONE: readonly string[] = [];
const NO_TASKS: readonly ReportedTask[] = [];
/** So many answers in a row that start something have been lost: the machine's reports come, and answers don't reach it. */
const DEAF = 3;
/** Reports that come closer together were held up together: nobody waited for the answers between them. */
const HELD = seconds(1);
/** A deaf machine gets nothing for so long; doubles while it turns out to be deaf still. */
const SHUNNED = seconds(10);
const LONGEST_SHUNNED = seconds(60);
const FAULTY = 'faulty';
/** What ends on a machine is recorded within a few turns after the machine has gone. */
const FORMERLY_KEPT = 2000;

export const endsOf = (e: Ends, task: number): boolean => e.done.has(task) || e.gone.has(task);

const isOlder = (r: Heartbeat, m: Machine): boolean =>
  r.incarnation < m.incarnation || (r.incarnation === m.incarnation && r.sequence <= m.sequence);

export class WorkerRegistry {
  readonly machines = new Map<string, Machine>();
  private readonly deleted = new Set<string>();
  /** Observed and not yet durable. */
  readonly ends = new Map<string, Ends>();
  readonly stopping = new Map<string, Stopping>();
  readonly running = new Map<string, Running>();
  /** For the accounts. */
  readonly phases = new Phases();
  /** What machines were that are gone, the latest ones. */
  private readonly departed = new Map<string, KindOf>();
  private readonly blame: FaultAttribution;
  private readonly suspected = new Set<string>();
  private readonly serving = new Set<string>();
  private readonly holds = new Map<string, Micros>();
  /** Stops that should also go out directly. */
  urgent: { machine: Machine; order: Order }[] = [];
  /** Until when an older leader may have renewed leases; null: not known yet. */
  private olderUntil: Micros | null = null;
  /** Jobs of which tasks run that no record knows of, from before a loss: by task, where and as which attempt. */
  readonly orphanedTasks = new Map<string, Map<number, Placement>>();
  /** Jobs that workers name and nobody knows, with how many tasks of them. */
  readonly unknownJobs = new Map<string, Set<string>>();
  /** Of these, those that have been kept for long enough. */
  readonly givenUp = new Set<string>();
  /** Jobs whose strays can't be taken up. */
  private readonly abandoned = new Set<string>();
  /** Machines found deaf since this was last looked at. */
  deaf: string[] = [];
  /** Something a cycle should look at has changed. */
  dirty = true;

  constructor(
    private readonly settings: Settings,
    private readonly jobState: JobState,
    readonly term: number,
    readonly began: Micros,
  ) {
    this.blame = new FaultAttribution(began);
  }

  machine(
    id: string,
    at: Micros,
    info: { addr: string; type: string; zone: string; spot: boolean },
  ): Machine {
    let m = this.machines.get(id);
    if (!m) {
      m = {
        id,
        ...info,
        incarnation: 0,
        sequence: -1,
        lastAnswered: this.began,
        reported: false,
        confirmed: false,
        unconfirmedSince: at,
        recallAt: null,
        tasks: new Map(),
        list: NO_TASKS,
        authoritative: false,
        seen: new Map(),
        hasUnknownTasks: false,
        listed: null,
        since: at,
        runningSince: null,
        emptySince: null,
        closed: null,
        images: new Set(this.jobState.weights.get(id) ?? []),
        cooldownUntil: ZERO,
        dispatched: NONE,
        unacknowledged: 0,
      };
      this.machines.set(id, m);
    }
    return m;
  }

  /** The cloud's answer to a rental names it, perhaps long after it has reported, or gone; false: it is gone. */
  rented(id: string, at: Micros, what: { type: string; zone: string; spot: boolean }): boolean {
    if (this.deleted.has(id)) return false;
    const m = this.machine(id, at, { addr: '', ...what });
    m.listed ??= 'booting';
    return true;
  }

  /** What an earlier leader has said of machines that the cloud's list does not show yet, or still shows. */
  warm(news: ProvisioningNews, at: Micros): void {
    for (const id of news.removed) this.removed(id);
    for (const r of news.rented) {
      if (this.machines.has(r.id)) continue;
      this.rented(r.id, plus(at, -r.age), { type: r.type, zone: r.zone, spot: r.spot });
    }
  }

  private end(job: Job, task: number, how: 'done' | 'gone'): void {
    const id = job.spec.id;
    let e = this.ends.get(id);
    if (!e) this.ends.set(id, (e = { done: new Set(), gone: new Set(), failed: new Set() }));
    if (how === 'done') {
      // A gang completes as a whole.
      if (job.spec.shape === 'gang') for (let t = 0; t < job.spec.tasks; t++) e.done.add(t);
      else e.done.add(task);
    } else if (!e.done.has(task)) e.gone.add(task);
    this.dirty = true;
  }

  isEnding(jobId: string, task: number): boolean {
    if (this.ends.size === 0) return false;
    const e = this.ends.get(jobId);
    return e !== undefined && endsOf(e, task);
  }

  /** A gang that lost a member of its attempt: the others must go before a fresh attempt. */
  private broken(job: Job): boolean {
    if (job.spec.shape !== 'gang' || job.placed.size === 0) return false;
    return job.placed.size < job.spec.tasks || (this.ends.get(job.spec.id)?.gone.size ?? 0) > 0;
  }

  private wanted(p: Placement & { readonly job: Job }, m: Machine): boolean {
    const key = taskKey(p.job.spec.id, p.task);
    return (
      m.recallAt === null &&
      !p.job.withdrawn &&
      // Of a generation before: it may have ended and been forgotten, and is never started again.
      p.attempt > this.jobState.floor &&
      this.stopping.get(key)?.attempt !== p.attempt &&
      !this.broken(p.job)
    );
  }

  /**
   * A report was answered, and nothing else was made of it: while what is durable is doubted. Its lease counts from here, and
   * what it says is unknown; an older one must not pass for the latest.
   */
  renewLeaseOnly(r: Heartbeat, at: Micros): void {
    if (this.deleted.has(r.machine)) return;
    const m = this.machine(r.machine, at, r);
    if (isOlder(r, m)) return;
    if (r.incarnation > m.incarnation) m.seen.clear();
    m.incarnation = r.incarnation;
    m.sequence = r.sequence;
    m.lastAnswered = at;
  }

  /** Takes a report in. null: it is older than what is known, or the machine is gone. */
  applyHeartbeat(r: Heartbeat, at: Micros): Machine | null {
    if (this.deleted.has(r.machine)) return null;
    const m = this.machine(r.machine, at, r);
    if (isOlder(r, m)) return null;
    // After `allLapsed` a session that this leader has not heard of has lapsed, and what it has heard of only it can change.
    const conclusive = r.fencingToken === this.term || this.allLapsed(at);
    if (m.reported && r.incarnation > m.incarnation) {
      // The session before has ended, and everything it held with it. But an older leader that had not seen the start may
      // have repeated it in this one: it may be here, or still come in an answer that the worker takes, until it knows this
      // term or that leader's answers count no more.
      const here = new Map(r.tasks.map((x) => [x.key, x.attempt]));
      for (const [key, attempt] of m.seen) {
        if (here.get(key) === attempt) continue;
        if (conclusive) this.lost(m, key, attempt);
        m.seen.delete(key);
      }
    }
    if (!m.reported) {
      this.dirty = true;
      m.unconfirmedSince = at;
    }
    m.addr = r.addr;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    const since = at - m.lastAnswered;
    m.incarnation = r.incarnation;
    m.sequence = r.sequence;
    m.lastAnswered = at;
    m.reported = true;
    m.authoritative = conclusive;
    if (r.fencingToken === this.term && !m.confirmed) {
      m.confirmed = true;
      this.dirty = true;
    }
    const recallAt = r.recall === null ? null : plus(at, r.recall);
    if ((recallAt === null) !== (m.recallAt === null)) this.dirty = true;
    m.recallAt = recallAt;
    // The very list of its last report: it says the same again.
    if (m.list !== r.tasks) {
      m.tasks.clear();
      for (const t of r.tasks) m.tasks.set(t.key, t);
      m.list = r.tasks;
    }

    const on = this.jobState.byMachine.get(m.id);
    const strangers = m.hasUnknownTasks;
    m.hasUnknownTasks = false;
    this.forgetStrays(m.id);
    for (const t of r.tasks) {
      const p = on?.get(t.key);
      if (p && p.attempt === t.attempt) this.observe(m, p, t, at);
      else {
        if (t.attempt <= this.jobState.floor) this.stray(m, t);
        if (t.status !== 'exited') m.hasUnknownTasks = true;
      }
    }
    if (strangers !== m.hasUnknownTasks) this.dirty = true;
    const deaf = m.dispatched !== NONE && this.unheard(m, since, at);
    m.dispatched = NONE;
    for (const [key, p] of on ?? []) {
      if (m.tasks.has(key) || this.isEnding(p.job.spec.id, p.task)) continue;
      // Seen before and not there any more, or: never arrived, and only our own next answer could still bring it.
      if (m.authoritative && (deaf || m.seen.get(key) === p.attempt || !this.wanted(p, m)))
        this.gone(p.job, p.task);
    }
    const empty = r.tasks.every((t) => t.status === 'exited') && (on?.size ?? 0) === 0;
    if (!empty) m.emptySince = null;
    else m.emptySince ??= at;
    return m;
  }

  /** What the last answer told it to start is not there; true: that has happened so often that it goes elsewhere. */
  private unheard(m: Machine, since: number, at: Micros): boolean {
    if (m.dispatched.every((key) => m.tasks.has(key))) {
      m.unacknowledged = 0;
      return false;
    }
    if (since < HELD || ++m.unacknowledged < DEAF) return false;
    m.cooldownUntil = plus(at, Math.min(LONGEST_SHUNNED, SHUNNED * 2 ** (m.unacknowledged - DEAF)));
    this.deaf.push(m.id);
    return true;
  }

  /** A task from before a loss that no record knows of. */
  private stray(m: Machine, t: ReportedTask): void {
    const slash = t.key.indexOf('/');
    const id = t.key.slice(0, slash);
    const task = Number(t.key.slice(slash + 1));
    const job = this.jobState.jobs.get(id);
    if (job === undefined) {
      if ((t.status === 'exited' && t.cause !== 'done') || this.jobState.finals.has(id)) return;
      const on = this.unknownJobs.get(id);
      if (on) on.add(`${task}@${m.id}`);
      else this.unknownJobs.set(id, new Set([`${task}@${m.id}`]));
      return;
    }
    if (job.withdrawn || job.done.has(task) || task >= job.spec.tasks) return;
    // Its result is kept there: it completed, whichever attempt that was.
    if (t.status === 'exited') {
      if (t.cause === 'done' && !this.isEnding(id, task)) this.end(job, task, 'done');
      return;
    }
    let tasks = this.orphanedTasks.get(id);
    if (!tasks) this.orphanedTasks.set(id, (tasks = new Map()));
    // The record that takes it up says since when.
    tasks.set(task, { task, attempt: t.attempt, machine: m.id, since: 0 as Micros });
    this.dirty = true;
  }

  private forgetStrays(machine: string): void {
    for (const [id, tasks] of this.orphanedTasks) {
      for (const [task, p] of tasks) if (p.machine === machine) tasks.delete(task);
      if (tasks.size === 0) this.orphanedTasks.delete(id);
    }
    for (const [id, on] of this.unknownJobs) {
      for (const t of on) if (t.endsWith(`@${machine}`)) on.delete(t);
      if (on.size === 0) this.unknownJobs.delete(id);
    }
  }

  /** Whether a reported task that no record knows of is left alone for now. */
  private kept(m: Machine, t: ReportedTask): boolean {
    if (t.attempt > this.jobState.floor) return false;
    const slash = t.key.indexOf('/');
    const id = t.key.slice(0, slash);
    if (this.unknownJobs.get(id)?.has(`${t.key.slice(slash + 1)}@${m.id}`) === true)
      return !this.givenUp.has(id);
    const task = Number(t.key.slice(slash + 1));
    if (t.status === 'exited') return t.cause === 'done' && this.ends.get(id)?.done.has(task) === true;
    return (
      this.orphanedTasks.get(id)?.get(task)?.machine === m.id &&
      !this.abandoned.has(id) &&
      !this.isEnding(id, task)
    );
  }

  /**
   * Starts that have happened already, as a record takes them up: what runs from before a loss and has no other place.
   * A gang is taken up whole; one that is not whole can't be, and stops once all leases of before have lapsed.
   */
  adoptions(): Start[] {
    const out: Start[] = [];
    for (const [id, tasks] of this.orphanedTasks) {
      const job = this.jobState.jobs.get(id);
      if (job === undefined) continue;
      const free = [...tasks.values()].filter((p) => !job.placed.has(p.task) && !this.isEnding(id, p.task));
      const attempt = Math.max(...free.map((p) => p.attempt));
      const taken = free.filter((p) => p.attempt === attempt);
      if (taken.length === 0) continue;
      if (job.spec.shape === 'gang') {
        const held = [...job.placed.values()].filter((p) => p.attempt === attempt).length;
        if (held + taken.length < job.spec.tasks) continue;
      }
      const on = new Map<string, number[]>();
      for (const p of taken) {
        const list = on.get(p.machine);
        if (list) list.push(p.task);
        else on.set(p.machine, [p.task]);
      }
      out.push({ job, attempt, on });
    }
    return out;
  }

  /** Whatever an earlier leader knew of has shown itself to this one, or its lease has surely lapsed. */
  allLapsed(at: Micros): boolean {
    return at > this.leaseEnd(undefined);
  }

  /** Every machine that was there before this reign has shown itself to it. */
  accounted(): boolean {
    for (const m of this.machines.values())
      if (!m.confirmed && m.listed !== 'failed' && m.since < this.began - 1e6) return false;
    return true;
  }

  /** Jobs whose strays can't be taken up (a gang of which a part is gone), once nothing more of them can appear. */
  abandon(at: Micros): string[] {
    if (this.orphanedTasks.size === 0 || !this.allLapsed(at)) return [];
    const adopted = new Set(this.adoptions().map((s) => s.job.spec.id));
    const out = [...this.orphanedTasks.keys()].filter((id) => !adopted.has(id) && !this.abandoned.has(id));
    for (const id of out) this.abandoned.add(id);
    return out;
  }

  /** What the answer to the machine's latest report should say; without `starts`, what is to begin waits for a later one. */
  orders(m: Machine, starts = true): Order[] {
    const on = this.jobState.byMachine.get(m.id);
    const orders: Order[] = [];
    for (const t of m.tasks.values()) {
      const p = on?.get(t.key);
      if (!p || p.attempt !== t.attempt) {
        if (this.kept(m, t)) continue;
        // Unknown to the record, or of an attempt that is over: a completion is durable by now, so it may go.
        if (t.status === 'exited') orders.push({ op: 'forget', key: t.key, attempt: t.attempt });
        else {
          recordAnomaly('strange', 'strange task', () => ({
            machine: m.id,
            task: t.key,
            attempt: t.attempt,
          }));
          orders.push({ op: 'stop', key: t.key, attempt: t.attempt, grace: ZERO });
        }
        continue;
      }
      if (t.status === 'exited') continue;
      const stop = this.stopping.get(t.key);
      if (p.job.withdrawn || this.broken(p.job)) {
        orders.push({ op: 'stop', key: t.key, attempt: t.attempt, grace: ZERO });
      } else if (stop && stop.attempt === t.attempt && t.status !== 'saving') {
        orders.push({ op: 'stop', key: t.key, attempt: t.attempt, grace: stop.grace });
      }
    }
    const told: string[] = [];
    for (const [key, p] of on ?? []) {
      if (
        !starts ||
        !m.authoritative ||
        m.tasks.has(key) ||
        m.seen.get(key) === p.attempt ||
        this.isEnding(p.job.spec.id, p.task)
      )
        continue;
      if (!this.wanted(p, m)) continue;
      orders.push({ op: 'start', key, attempt: p.attempt });
      told.push(key);
    }
    if (told.length > 0) m.dispatched = told;
    return orders;
  }

  private gone(job: Job, task: number): void {
    const key = taskKey(job.spec.id, task);
    this.running.delete(key);
    this.stopping.delete(key);
    this.end(job, task, 'gone');
  }

  private lost(m: Machine, key: string, attempt: number): void {
    const p = this.jobState.byMachine.get(m.id)?.get(key);
    if (p && p.attempt === attempt && !this.isEnding(p.job.spec.id, p.task)) this.gone(p.job, p.task);
  }

  private observe(m: Machine, p: Placement & { readonly job: Job }, t: ReportedTask, at: Micros): void {
    const { job } = p;
    m.seen.set(t.key, t.attempt);
    if (t.status !== 'exited') {
      const phase = t.status === 'fetching' ? 'fetching' : t.status === 'waiting' ? 'gathering' : 'running';
      this.phases.note(t.key, t.attempt, phase, at);
      if (t.status === 'running' && !this.running.has(t.key))
        this.running.set(t.key, { since: at, machine: m.id });
      if (t.status !== 'fetching') m.images.add(job.spec.image);
      return;
    }
    this.phases.ended(t.key, t.attempt, t.saved);
    if (this.isEnding(job.spec.id, p.task)) return;
    // Should the session end, an older leader that has not heard of this may start the same attempt in the next one. What
    // is done is done.
    if (t.cause !== 'done' && !m.authoritative) return;
    const since = this.running.get(t.key)?.since;
    this.running.delete(t.key);
    this.stopping.delete(t.key);
    if (t.cause === 'done') {
      this.end(job, p.task, 'done');
      this.blame.completed(job, m.id);
      return;
    }
    this.end(job, p.task, 'gone');
    if (t.cause === 'error') {
      this.ends.get(job.spec.id)!.failed.add(p.task);
      this.blame.failed(job, m.id, since === undefined ? 0 : at - since, at);
    } else if (t.cause === 'no-room') m.cooldownUntil = plus(at, 2e6);
    else if (t.cause === 'unknown' || t.cause === 'busy') this.holds.set(job.spec.id, plus(at, 2e6));
  }

  /** Failed wherever it ran: tried on, but seldom and little of it. */
  looksBroken(job: Job, at: Micros): boolean {
    if (!this.blame.looksBroken(job, 0)) return false;
    let ranFor = 0;
    for (const task of job.placed.keys()) {
      const run = this.running.get(taskKey(job.spec.id, task));
      if (run) ranFor = Math.max(ranFor, at - run.since);
    }
    return this.blame.looksBroken(job, ranFor);
  }

  /** Jobs that have come to look broken since this was last asked. */
  suspects(at: Micros): string[] {
    const out: string[] = [];
    for (const [id, e] of this.ends) {
      if (e.failed.size === 0 || this.suspected.has(id)) continue;
      const job = this.jobState.jobs.get(id);
      if (!job || !this.looksBroken(job, at)) continue;
      this.suspected.add(id);
      out.push(id);
    }
    return out;
  }

  /** Not before this time should the job be started again. */
  heldUntil(job: Job, at: Micros): Micros {
    const held = this.holds.get(job.spec.id) ?? ZERO;
    return this.looksBroken(job, at) ? (Math.max(held, this.blame.heldUntil(job)) as Micros) : held;
  }

  /** Machines a job should avoid, because it failed there. */
  avoid(job: Job): ReadonlySet<string> | null {
    return this.blame.avoid(job);
  }

  /** Closes machines that the evidence speaks against, and opens those it no longer does. */
  judge(at: Micros): { readonly machine: string; readonly faulty: boolean }[] {
    const faulty = this.blame.faulty(at, (job) => this.looksBroken(job, at));
    const out: { machine: string; faulty: boolean }[] = [];
    for (const m of this.machines.values()) {
      if (m.closed === null && faulty.has(m.id)) m.closed = FAULTY;
      else if (m.closed === FAULTY && !faulty.has(m.id)) m.closed = null;
      else continue;
      out.push({ machine: m.id, faulty: m.closed !== null });
    }
    return out;
  }

  /**
   * A worker's lease, from the answer that may have renewed it last, has surely lapsed after this. Until the
   * worker has shown this term's token, an older leader that holds on may have renewed it: until enough
   * nodes acknowledged this term, for as long as their earlier word counted.
   */
  leaseEnd(m: Machine | undefined): Micros {
    const from = m?.confirmed
      ? m.lastAnswered
      : Math.max(m?.lastAnswered ?? this.began, this.olderUntil ?? Number.POSITIVE_INFINITY);
    return plus(from as Micros, this.settings.workers.lease * (1 + 2 * DRIFT) + seconds(1));
  }

  /** Declares what lapsed leases have surely ended. */
  lapse(at: Micros, acknowledged: boolean): string[] {
    const out: string[] = [];
    if (acknowledged) this.olderUntil ??= plus(at, CONFIRMATION_VALID);
    for (const [id, on] of this.jobState.byMachine) {
      // Also for machines this leader has never heard of: an older one that holds on may still renew them.
      if (at <= this.leaseEnd(this.machines.get(id))) continue;
      let any = false;
      for (const p of on.values()) {
        if (this.isEnding(p.job.spec.id, p.task)) continue;
        this.gone(p.job, p.task);
        any = true;
      }
      if (any) out.push(id);
    }
    for (const m of this.machines.values()) {
      if (m.reported && at > this.leaseEnd(m)) {
        if (m.confirmed) m.unconfirmedSince = m.lastAnswered;
        m.confirmed = false;
        m.seen.clear();
        this.forgetStrays(m.id);
      }
    }
    return out;
  }

  /** What a machine is, or was; null: this leader has never known. */
  kindOf(id: string): KindOf | null {
    return this.machines.get(id) ?? this.departed.get(id) ?? null;
  }

  /** The cloud has answered the delete: the machine and everything on it are gone. */
  removed(id: string): void {
    for (const p of this.jobState.byMachine.get(id)?.values() ?? []) {
      if (!this.isEnding(p.job.spec.id, p.task)) this.gone(p.job, p.task);
    }
    const m = this.machines.get(id);
    if (m) this.departed.set(id, { type: m.type, spot: m.spot });
    if (this.departed.size > FORMERLY_KEPT)
      for (const old of this.departed.keys()) {
        this.departed.delete(old);
        break;
      }
    this.machines.delete(id);
    this.forgetStrays(id);
    this.blame.forget(id);
    this.deleted.add(id);
    this.dirty = true;
  }

  listing(list: readonly ListedMachine[], at: Micros): void {
    for (const l of list) {
      if (this.deleted.has(l.id)) continue;
      const fresh = !this.machines.has(l.id);
      const m = this.machine(l.id, at, l);
      if (fresh) m.since = Math.max(0, at - l.age) as Micros;
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
      m.addr = l.addr;
      m.listed = l.status;
      if (l.status === 'running') m.runningSince ??= at;
    }
  }

  /** Asks a task to stop, saving within `grace` if it can. Goes out directly and with the next answers. */
  stop(job: Job, task: number, grace: Micros, at: Micros): void {
    const p = job.placed.get(task);
    if (!p) return;
    const key = taskKey(job.spec.id, task);
    const old = this.stopping.get(key);
    if (old && old.attempt === p.attempt && old.grace <= grace) return;
    this.stopping.set(key, { attempt: p.attempt, grace, at });
    this.tell(p.machine, key, p.attempt, grace);
  }

  private tell(machine: string, key: string, attempt: number, grace: Micros): void {
    const m = this.machines.get(machine);
    if (m?.reported) this.urgent.push({ machine: m, order: { op: 'stop', key, attempt, grace } });
  }

  /** Stops that jobs' own states call for, sent directly: withdrawn jobs and what is left of broken gangs. */
  clearAway(job: Job): void {
    for (const p of job.placed.values()) {
      const key = taskKey(job.spec.id, p.task);
      if (this.isEnding(job.spec.id, p.task)) continue;
      const m = this.machines.get(p.machine);
      const t = m?.tasks.get(key);
      if (t && t.status !== 'exited') this.tell(p.machine, key, p.attempt, ZERO);
    }
  }

  cancelled(job: string): boolean {
    return this.jobState.jobs.get(job)?.withdrawn === true;
  }

  /** Services with GPUs of which all replicas run, one of them started since `day`, and did not when last asked. */
  complete(day: Micros): Job[] {
    const out: Job[] = [];
    for (const id of this.serving) if (!this.jobState.jobs.has(id)) this.serving.delete(id);
    for (const job of this.jobState.jobs.values()) {
      const { id, shape, gpus, tasks } = job.spec;
      if (shape !== 'service' || gpus === 0) continue;
      let all = job.placed.size === tasks && !job.withdrawn;
      for (let i = 0; all && i < tasks; i++) all = this.running.has(taskKey(id, i));
      if (all && !this.serving.has(id) && [...job.placed.values()].some((p) => p.since >= day)) out.push(job);
      if (all) this.serving.add(id);
      else this.serving.delete(id);
    }
    return out;
  }

  /** A task of it is being stopped, or has ended or may be ending without a record of that. */
  unsettled(job: Job): boolean {
    const { id } = job.spec;
    if (this.ends.has(id) || this.orphanedTasks.has(id)) return true;
    for (const p of job.placed.values()) {
      const key = taskKey(id, p.task);
      if (this.stopping.has(key)) return true;
      const m = this.machines.get(p.machine);
      if (m === undefined || !m.confirmed || m.tasks.get(key)?.status === 'saving') return true;
    }
    return false;
  }

  isBroken(job: Job): boolean {
    return this.broken(job);
  }

  /** Drops what a committed record has made durable. */
  settled(jobId: string, done: readonly number[], gone: readonly number[]): void {
    const e = this.ends.get(jobId);
    if (!e) return;
    for (const t of done) e.done.delete(t);
    // Of a gang that completed, also what its members had said before one told of that.
    for (const t of [...done, ...gone]) {
      e.gone.delete(t);
      e.failed.delete(t);
    }
    for (const t of [...done, ...gone]) {
      const key = taskKey(jobId, t);
      this.running.delete(key);
      this.stopping.delete(key);
      this.phases.forget(key);
    }
    if (e.done.size === 0 && e.gone.size === 0) this.ends.delete(jobId);
  }

  /**
   * Gangs of which an earlier leader has told some members to save: the others are told too, in time if it is still
   * possible, since without them the save fails.
   */
  halfTold(at: Micros): string[] {
    const out: string[] = [];
    for (const m of this.machines.values()) {
      for (const t of m.tasks.values()) {
        if (t.status !== 'saving' || this.stopping.has(t.key)) continue;
        const p = this.jobState.byMachine.get(m.id)?.get(t.key);
        if (p?.attempt !== t.attempt || p.job.withdrawn || p.job.spec.shape !== 'gang') continue;
        const { id, save } = p.job.spec;
        for (const task of p.job.placed.keys()) this.stop(p.job, task, plus(save, seconds(2)), at);
        out.push(id);
      }
    }
    return out;
  }

  /** Saves what can be saved on machines about to be taken, as late as is safe. */
  recalls(at: Micros): void {
    for (const m of this.machines.values()) {
      if (m.recallAt === null) continue;
      const left = m.recallAt - at;
      for (const p of this.jobState.byMachine.get(m.id)?.values() ?? []) {
        const s = p.job.spec;
        const run = this.running.get(taskKey(s.id, p.task));
        if (s.checkpoint > 0) {
          if (left > s.save * 1.2 + 3e6) continue;
          const members = s.shape === 'gang' ? [...p.job.placed.keys()] : [p.task];
          for (const task of members) this.stop(p.job, task, plus(s.save, 1e6), at);
        } else if (run && s.estimate - (at - run.since) > left * 1.5) {
          // It can't finish there and saves nothing: better begun again elsewhere at once.
          this.stop(p.job, p.task, ZERO, at);
        }
      }
    }
  }

  /** May get new tasks now. */
  open(m: Machine, at: Micros): boolean {
    return (
      m.confirmed &&
      m.recallAt === null &&
      m.closed === null &&
      m.listed !== 'failed' &&
      !m.hasUnknownTasks &&
      at >= m.cooldownUntil &&
      at - m.lastAnswered < this.settings.workers.report * 2.5 + 1e6
    );
  }
}
