/**
 * Leaders that follow one another over machines whose messages are lost, held and come again: the leader's book, the way
 * reports take to it, and what holds room, against workers as the protocol has them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack, unpack } from 'msgpackr';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { isDeaf } from '../src/provisioning/autoscaler.js';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob } from '../src/jobs/codec.js';
import { activeJobKey } from '../src/jobs/keys.js';
import {
  type LogEntry,
  isComplete,
  type Job,
  type JobChange,
  NO_HEADER,
  taskKey,
} from '../src/jobs/model.js';
import { Contacts } from '../src/leadership/contacts.js';
import type { CycleContext } from '../src/scheduler/cycle-context.js';
import { placedTasksOf } from '../src/scheduler/cycle-input.js';
import { hasExited } from '../src/workers/observed-exits.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';
import {
  type HeartbeatResponses,
  HEARTBEAT_PATH,
  HeartbeatReader,
  encodeOrders,
} from '../src/workers/codec.js';
import { heartbeatReceiver, heartbeatHandler } from '../src/workers/heartbeat-handler.js';
import { responseAt, relayHandler } from '../src/workers/heartbeat-relay.js';
import { job as anyJob } from './support/job.js';
import { Luck } from './support/random-source.js';
import { type Ground, meet, type Piece, Time, Worker } from './support/machines.js';
import { worldSettings } from './support/settings.js';

const settings = worldSettings('n0');
const LIMIT = 9;
const MACHINES = 7;
const TROUBLED = seconds(150);
const END = seconds(420);
/** Until enough controllers know a new term. */
const KNOWN = [seconds(0.5), seconds(20)] as const;
const HOLD = seconds(3);

/** A record, or a job's own key; `stamp` is its place. */
type Written = { readonly record: LogEntry } | { readonly job: Job };

class Lead {
  readonly jobState = new JobState();
  readonly registry: WorkerRegistry;
  over = false;
  private read = 0;
  private busy = false;
  private waiting: (() => void)[] = [];
  readonly direct: ReturnType<typeof heartbeatHandler>;
  readonly relayed: ReturnType<typeof relayHandler>;

  constructor(
    private readonly w: Cluster,
    readonly term: number,
    readonly began: Micros,
    private readonly known: number,
  ) {
    this.catchUp();
    this.registry = new WorkerRegistry(settings, this.jobState, term, began);
    const leaderTerm = { number: term, stamp: 0, began };
    const leadership = {
      answeringTerm: () => (this.over ? null : leaderTerm),
      mayStart: () => true,
      currentTerm: () => (this.mayAct() ? leaderTerm : null),
      depose: (token: number) => void (token > term && (this.over = true)),
    };
    const desk = {
      registry: this.registry,
      afterNextCycle: (then: () => void) => void this.waiting.push(then),
    };
    const receive = heartbeatReceiver(
      leadership,
      () => desk,
      () => w.time.now as Micros,
      new Contacts(settings),
      {
        suspected: false,
        noteToken: () => undefined,
      },
    );
    const nowhere = () => undefined;
    this.direct = heartbeatHandler(
      receive,
      () => true,
      (_, r) => r({ status: 503, body: '' }),
      () => null,
      nowhere,
      new HeartbeatReader(),
    );
    this.relayed = relayHandler(receive, new HeartbeatReader());
    w.time.after(5e5, () => this.turn());
  }

  private mayAct(): boolean {
    return !this.over && this.w.term === this.term;
  }

  private catchUp(): void {
    for (; this.read < this.w.log.length; this.read++) {
      const e = this.w.log[this.read]!;
      if ('record' in e) this.jobState.appendLogEntry(e.record);
      else
        this.jobState.apply({
          key: activeJobKey(e.job.spec.id),
          value: encodeJob(e.job, 0),
          stamp: this.read + 1,
        });
    }
  }

  private turn(): void {
    if (this.over) return;
    this.w.time.after(5e5, () => this.turn());
    if (!this.mayAct() || this.busy) return;
    this.catchUp();
    const at = this.w.time.now as Micros;
    const { registry, jobState } = this;
    registry.expireLeases(at, at - this.began > this.known);
    registry.needsCycle = false;
    for (const job of jobState.jobs.values()) {
      if (job.placed.size > 0 && (job.cancelled || registry.isBrokenGang(job)))
        registry.stopRemainingTasks(job);
      if (this.w.troubled && this.w.luck.chance(0.01))
        for (const task of job.placed.keys()) registry.stop(job, task, 0 as Micros, at);
    }
    this.commit(this.decide(at));
    for (const { machine, order } of registry.urgentOrders.splice(0)) this.w.order(this.term, machine, order);
    for (const m of registry.machines.values())
      if (m.reported && (at > registry.leaseExpiry(m) + 40e6 || isDeaf(m, settings.workers, at)))
        this.w.remove(m.id);
  }

  /** Ends as the record has them, and starts on whatever is open, within the limit and four to a machine. */
  private decide(at: Micros): Map<string, JobChange> {
    const { registry, jobState, w } = this;
    const out = new Map<string, JobChange>();
    for (const [id, e] of registry.exits)
      out.set(id, { done: [...e.done], gone: [...e.gone].filter((t) => !e.done.has(t)) });
    const placedTasks = placedTasksOf({ registry, jobState } as unknown as CycleContext, at);
    const load = new Map<string, number>();
    for (const h of placedTasks) load.set(h.machine, (load.get(h.machine) ?? 0) + 1);
    let used = placedTasks.length;
    for (const job of jobState.jobs.values()) {
      const ends = registry.exits.get(job.spec.id);
      const gang = job.spec.shape === 'gang';
      if (job.cancelled || isComplete(job) || at < registry.retryNotBefore(job, at)) continue;
      const on = [...job.placed.keys()].filter((t) => !ends || !hasExited(ends, t));
      const free = [...registry.machines.values()].filter(
        (m) => registry.isSchedulable(m, at) && (load.get(m.id) ?? 0) < 4,
      );
      const tasks = Array.from({ length: job.spec.tasks }, (_, t) => t).filter(
        (t) => !job.done.has(t) && !ends?.done.has(t) && !on.includes(t),
      );
      if (
        tasks.length === 0 ||
        (gang && on.length > 0) ||
        tasks.length > free.length ||
        used + tasks.length > LIMIT
      )
        continue;
      const places = new Map<string, number[]>();
      for (const t of tasks) {
        const m = free.splice(w.luck.int(free.length), 1)[0]!;
        places.set(m.id, [t]);
        load.set(m.id, (load.get(m.id) ?? 0) + 1);
      }
      used += tasks.length;
      out.set(job.spec.id, { ...out.get(job.spec.id), start: { attempt: job.attempt + 1, on: places } });
    }
    return out;
  }

  private commit(jobs: Map<string, JobChange>): void {
    const { w } = this;
    if (jobs.size === 0) return this.open();
    const record = w.write(this, jobs);
    if (record === null) return;
    const known = (): void => {
      this.busy = false;
      if (!this.mayAct()) return;
      this.catchUp();
      for (const [id, c] of jobs) this.registry.dropDurableExits(id, c.done ?? [], c.gone ?? []);
      this.open();
    };
    // No answer for a while: it may be the next leader that acts on it.
    const wait = w.troubled && w.luck.chance(0.1) ? w.luck.between(1e6, 3e6) : w.luck.between(1e3, 5e4);
    this.busy = true;
    w.time.after(wait, known);
  }

  private open(): void {
    for (const then of this.waiting.splice(0)) then();
  }

  end(): void {
    this.over = true;
    this.open();
  }
}

class Cluster implements Ground {
  readonly time = new Time();
  readonly luck: Luck;
  readonly workers = new Map<string, Worker>();
  readonly on = new Map<string, { machine: string; attempt: number }>();
  readonly finished = new Set<string>();
  readonly broken: string[] = [];
  readonly log: Written[] = [];
  term = 0;
  troubled = true;
  private seq = 0;
  private leads: Lead[] = [];
  private readonly pieces = new Map<string, Piece>();
  private readonly talksTo = new Map<Worker, Lead>();
  private readonly removed = new Map<string, Lead>();
  private readonly withdrawn = new Map<string, number>();
  /** Which leaders were told of a task's end, and which recorded it. */
  private readonly told = new Map<string, number>();
  private readonly recorded = new Map<string, Set<number>>();

  constructor(
    seed: number,
    readonly met: Map<string, number>,
  ) {
    this.luck = new Luck(seed);
    const { luck, time } = this;
    for (let i = 0; i < 26; i++) {
      const gang = luck.chance(0.5) ? 2 + luck.int(2) : 0;
      const tasks = gang || 1 + luck.int(3);
      const job = anyJob(`job-${i}`, { spot: false, shape: gang > 0 ? 'gang' : 'array', tasks });
      const runs = luck.chance(0.5) ? luck.between(2e5, 4e6) : luck.between(1e7, 4e7);
      this.pieces.set(job.spec.id, { id: job.spec.id, gang, runs });
      time.after(luck.between(0, TROUBLED * 0.8), () => this.log.push({ job }));
      if (luck.chance(0.1))
        time.after(luck.between(TROUBLED * 0.8, TROUBLED), () => {
          this.withdrawn.set(job.spec.id, time.now);
          this.log.push({ job: { ...job, placed: new Map(), done: new Set(), cancelled: true } });
        });
    }
    for (let i = 0; i < MACHINES + 2; i++) this.boot(`vm-${i}`);
    this.elect();
    for (let at = 25e6; at < TROUBLED; at += luck.between(2e7, 45e6)) time.after(at, () => this.change());
    for (let n = 0; n < 4; n++)
      time.after(luck.between(0, TROUBLED), () => {
        const w = [...this.workers.values()][luck.int(this.workers.size)]!;
        if (luck.chance(0.3)) {
          w.die();
          // Listed as failed before long, and deleted.
          time.after(luck.between(2e6, 3e7), () => this.remove(w.id));
        } else w.deafUntil = luck.chance(0.2) ? END : time.now + luck.between(5e6, 6e7);
      });
    time.after(TROUBLED, () => {
      this.troubled = false;
      for (let i = 0; i < MACHINES; i++) this.boot(`vm-1${i}`);
    });
    this.look();
  }

  piece(key: string): Piece {
    return this.pieces.get(key.slice(0, key.indexOf('/')))!;
  }

  private boot(id: string): void {
    this.workers.set(id, new Worker(id, this));
  }

  /** The cloud's answered delete, as the present leader sees it. */
  remove(id: string): void {
    const w = this.workers.get(id);
    if (w?.alive && w.deaf) meet(this, 'deaf and returned');
    w?.die();
    const lead = this.leads[this.leads.length - 1]!;
    lead.registry.removeMachine(id);
    this.removed.set(id, lead);
  }

  private elect(): void {
    this.term++;
    const known = this.luck.between(...KNOWN);
    const lead = new Lead(this, this.term, this.time.now as Micros, known);
    // Older ones that hold on do so until enough know of this one, and for as long as their last word counts.
    for (const old of this.leads) this.time.after(known + this.luck.between(0, HOLD), () => old.end());
    this.leads = [...this.leads.filter((l) => !l.over), lead];
  }

  private change(): void {
    const last = this.leads[this.leads.length - 1]!;
    // It ends, or stays without the state service for a while.
    if (this.luck.chance(0.5)) last.end();
    else meet(this, 'two leaders answer');
    // Long tasks that nobody can answer to.
    for (const w of this.workers.values())
      if (this.luck.chance(0.25))
        w.deafUntil = Math.max(w.deafUntil, this.time.now + this.luck.between(3e6, 3e7));
    this.time.after(this.luck.between(0, 1e6), () => this.elect());
  }

  write(lead: Lead, jobs: Map<string, JobChange>): LogEntry | null {
    if (lead.term !== this.term) return null;
    const record = { sequence: ++this.seq, revision: this.log.length + 1, head: NO_HEADER, jobs };
    this.log.push({ record });
    for (const [id, c] of jobs)
      for (const t of [...(c.done ?? []), ...(c.gone ?? [])]) {
        const key = taskKey(id, t);
        if ((this.told.get(key) ?? lead.term) < lead.term) meet(this, 'told to one, recorded by another');
        this.told.delete(key);
        const by = this.recorded.get(id) ?? new Set();
        if (by.size > 0 && !by.has(lead.term)) meet(this, 'ends of one job in two terms');
        this.recorded.set(id, by.add(lead.term));
      }
    return record;
  }

  order(
    term: number,
    m: { id: string; incarnation: number },
    order: Parameters<typeof encodeOrders>[1][number],
  ): void {
    const held = this.troubled && this.luck.chance(0.3) ? this.luck.between(1e6, 2e7) : 2e4;
    const body = encodeOrders(term, [order], m.incarnation);
    this.time.after(held, () => this.workers.get(m.id)?.direct(body, held));
  }

  deliver(body: string, worker: Worker, again: boolean, reply: (a: string | null) => void): void {
    const there = this.leads.filter((l) => !l.over);
    if (there.length === 0) return reply(null);
    // A worker stays where it is answered; a copy comes anywhere.
    let lead = there[this.luck.int(there.length)]!;
    if (!again) {
      const mine = this.talksTo.get(worker);
      if (mine !== undefined && !mine.over && this.luck.chance(0.95)) lead = mine;
      if (worker.token === this.term) lead = there[there.length - 1]!;
      this.talksTo.set(worker, lead);
    }
    const v = JSON.parse(body) as {
      tick: number;
      pieces: { piece: string; status: string; cause?: string }[];
    };
    for (const p of v.pieces)
      if (p.status === 'ended')
        this.told.set(p.piece, Math.min(lead.term, this.told.get(p.piece) ?? lead.term));
    if (again && v.tick < worker.tick) {
      const known = lead.registry.machines.get(worker.id)?.reported === true;
      meet(this, known ? 'a copy' : worker.alive ? 'a copy first' : 'a copy from a machine that is gone');
    }
    const read = (a: { status: number; body: Buffer | string }): void =>
      reply(a.status === 200 ? a.body.toString() : null);
    if (this.luck.chance(0.5))
      return void lead.direct({ method: 'POST', path: HEARTBEAT_PATH, body: Buffer.from(body) }, read);
    lead.relayed({ method: 'POST', path: '/relay', body: pack([Buffer.from(body)]) }, (a) => {
      if (a.status !== 200) return read(a);
      const [term, bodies] = unpack(a.body as Buffer) as [number, HeartbeatResponses['bodies']];
      read(responseAt({ term, bodies }, 0));
    });
  }

  /** Rules, ten times a second. */
  private look(): void {
    if (this.on.size > LIMIT) this.broken.push(`${this.on.size} tasks at once`);
    for (const [id, lead] of this.removed)
      if (lead.registry.machines.has(id)) this.broken.push(`${id} is back from the dead`);
    for (const [key, { machine }] of this.on) {
      const at = this.withdrawn.get(key.slice(0, key.indexOf('/')));
      if (at !== undefined && this.time.now > at + settings.workers.cancel)
        this.broken.push(`${key} on ${machine}, cancelled`);
    }
    if (this.time.now < END) this.time.after(1e5, () => this.look());
  }

  play(): void {
    this.time.until(END);
    const { jobState } = this.leads[this.leads.length - 1]!;
    for (const job of jobState.jobs.values()) {
      if (job.cancelled ? job.placed.size > 0 : !isComplete(job))
        this.broken.push(`${job.spec.id} is not over`);
      for (const t of job.done)
        if (!this.finished.has(taskKey(job.spec.id, t))) this.broken.push(`${job.spec.id}/${t} is not done`);
    }
  }
}

const MEETINGS = [
  'told to one, recorded by another',
  'ends of one job in two terms',
  'two leaders answer',
  'deaf and lapsed',
  'deaf and returned',
  'a copy',
  'a copy first',
  'a copy from a machine that is gone',
  'order held and carried out',
  'order of an old leader',
  'order after its session',
];

test('no rule breaks where reports, orders and leaders come late, twice or not at all', () => {
  const met = new Map<string, number>();
  for (let seed = 1; seed <= 60; seed++) {
    const c = new Cluster(seed, met);
    c.play();
    assert.deepEqual(c.broken, [], `seed ${seed}`);
  }
  for (const m of MEETINGS) assert.ok((met.get(m) ?? 0) >= 10, `${m}: ${met.get(m) ?? 0} times`);
});
