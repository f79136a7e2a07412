/**
 * Machines and their workers by the protocol, small: sessions, tokens, leases, gangs, one report in flight. Messages are
 * lost, held, and come again; what runs where is written down.
 */
import { seconds } from '@lilacvalve/runtime/micros';
import type { Luck } from './random-source.js';
import { worldSettings } from './settings.js';

const { report, lease, gangWait, gangPeer } = worldSettings('n0').workers;
const TIMEOUT = seconds(4);

export class Time {
  now = 0;
  private readonly queue: { readonly at: number; readonly run: () => void }[] = [];

  after(wait: number, run: () => void): void {
    const at = this.now + Math.max(0, Math.round(wait));
    let i = this.queue.length;
    while (i > 0 && this.queue[i - 1]!.at <= at) i--;
    this.queue.splice(i, 0, { at, run });
  }

  until(end: number): void {
    while (this.queue.length > 0 && this.queue[this.queue.length - 1]!.at <= end) {
      const { at, run } = this.queue.pop()!;
      this.now = at;
      run();
    }
    this.now = end;
  }
}

export interface Piece {
  readonly id: string;
  readonly gang: number;
  readonly runs: number;
}
interface Task {
  readonly key: string;
  readonly attempt: number;
  status: 'fetching' | 'gathering' | 'running' | 'ended';
  cause?: string;
}
interface Order {
  readonly orderKind: string;
  readonly piece: string;
  readonly try: number;
}
export interface Ground {
  readonly time: Time;
  readonly luck: Luck;
  readonly workers: Map<string, Worker>;
  /** Tasks on machines, by key. */
  readonly on: Map<string, { readonly machine: string; readonly attempt: number }>;
  readonly finished: Set<string>;
  readonly broken: string[];
  /** Meetings that have happened, by name. */
  readonly met: Map<string, number>;
  /** For how long messages are troubled; 0: not any more. */
  troubled: boolean;
  piece(key: string): Piece;
  /** Puts a report before some controller that answers now; null: there is none. */
  deliver(body: string, worker: Worker, again: boolean, reply: (a: string | null) => void): void;
}
export const meet = (g: Ground, what: string): void => void g.met.set(what, (g.met.get(what) ?? 0) + 1);

export class Worker {
  tenure = 1;
  tick = 0;
  token = 0;
  alive = true;
  deafUntil = 0;
  private tasks: Task[] = [];
  private readonly reaped = new Set<string>();
  private leaseFrom: number;
  private flying = false;

  constructor(
    readonly id: string,
    private readonly g: Ground,
  ) {
    this.leaseFrom = g.time.now;
    this.g.time.after(g.luck.between(0, report), () => this.send());
    this.watchLease();
  }

  get deaf(): boolean {
    return this.g.time.now < this.deafUntil;
  }

  private watchLease(): void {
    if (!this.alive) return;
    if (this.g.time.now - this.leaseFrom > lease) {
      if (this.deaf && this.tasks.some((t) => t.status === 'running')) meet(this.g, 'deaf and lapsed');
      this.clear();
      this.tenure++;
      this.leaseFrom = this.g.time.now;
    }
    this.g.time.after(100_000, () => this.watchLease());
  }

  private clear(): void {
    for (const t of this.tasks) this.end(t, 'killed');
    this.tasks = [];
  }

  die(): void {
    this.alive = false;
    this.clear();
  }

  private end(t: Task, cause: string): void {
    if (t.status === 'ended') return;
    const was = t.status;
    t.status = 'ended';
    t.cause = cause;
    if (this.g.on.get(t.key)?.machine === this.id) this.g.on.delete(t.key);
    if (was === 'running' && cause !== 'done' && cause !== 'peers' && this.g.piece(t.key).gang > 0)
      for (const [w, x] of this.members(t))
        if (x.status === 'running') this.g.time.after(gangPeer, () => w.end(x, 'peers'));
  }

  private members(t: Task): [Worker, Task][] {
    const job = t.key.slice(0, t.key.indexOf('/') + 1);
    return [...this.g.workers.values()].flatMap((w) =>
      w.tasks
        .filter((x) => x.attempt === t.attempt && x.status !== 'ended' && x.key.startsWith(job))
        .map((x): [Worker, Task] => [w, x]),
    );
  }

  private ready(t: Task): void {
    if (t.status !== 'fetching' || !this.tasks.includes(t)) return;
    const there = this.g.on.get(t.key);
    if (there)
      this.g.broken.push(
        `${t.key} on ${this.id} as ${t.attempt}, and on ${there.machine} as ${there.attempt}`,
      );
    this.g.on.set(t.key, { machine: this.id, attempt: t.attempt });
    const { gang, runs } = this.g.piece(t.key);
    if (this.g.finished.has(t.key)) return this.end(t, 'done');
    if (gang === 0) {
      t.status = 'running';
      const cause = this.g.troubled && this.g.luck.chance(0.15) ? 'error' : 'done';
      return this.g.time.after(runs, () => this.over([[this, t]], cause));
    }
    t.status = 'gathering';
    this.g.time.after(gangWait, () => t.status === 'gathering' && this.end(t, 'alone'));
    const all = this.members(t);
    if (all.length < gang || all.some(([, x]) => x.status !== 'gathering')) return;
    for (const [, x] of all) x.status = 'running';
    this.g.time.after(runs, () => {
      if (all.every(([, x]) => x.status === 'running')) this.over(all, 'done');
    });
  }

  private over(all: [Worker, Task][], cause: string): void {
    for (const [w, x] of all) {
      if (x.status === 'ended') continue;
      if (cause === 'done') this.g.finished.add(x.key);
      w.end(x, cause);
    }
  }

  private execute(orders: readonly Order[]): void {
    for (const o of orders) {
      const t = this.tasks.find((x) => x.key === o.piece && x.attempt === o.try);
      if (o.orderKind === 'stop') {
        if (t) this.end(t, 'stopped');
      } else if (o.orderKind === 'reap') {
        if (t?.status !== 'ended') continue;
        this.tasks = this.tasks.filter((x) => x !== t);
        this.reaped.add(`${t.key} ${t.attempt}`);
      } else if (!t) {
        if (this.reaped.has(`${o.piece} ${o.try}`))
          this.g.broken.push(`${o.piece} again as ${o.try} after its reap`);
        const busy = this.tasks.some((x) => x.key === o.piece && x.status !== 'ended');
        const task: Task = { key: o.piece, attempt: o.try, status: 'fetching' };
        this.tasks.push(task);
        if (busy || (this.g.troubled && this.g.luck.chance(0.05)))
          this.end(task, busy ? 'in_use' : 'unknown');
        else this.g.time.after(this.g.luck.between(1e5, 2e6), () => this.ready(task));
      }
    }
  }

  /** A command at its address, held for so long. */
  direct(body: string, held: number): void {
    const v = JSON.parse(body) as { warrant: number; tenure: number; orders: Order[] };
    if (!this.alive || this.deaf) return;
    if (v.warrant < this.token || v.tenure !== this.tenure) {
      if (held > 1e6)
        meet(this.g, v.tenure === this.tenure ? 'order of an old leader' : 'order after its session');
      return;
    }
    if (held > 1e6) meet(this.g, 'order held and carried out');
    this.token = v.warrant;
    this.tick++;
    this.execute(v.orders);
  }

  private body(): string {
    return JSON.stringify({
      host: this.id,
      addr: this.id,
      hostKind: 'c8',
      room: 'a',
      borrowed: false,
      tenure: this.tenure,
      tick: ++this.tick,
      warrant: this.token,
      recallS: null,
      pieces: this.tasks.map((t) => ({ piece: t.key, try: t.attempt, status: t.status, cause: t.cause })),
    });
  }

  private send(): void {
    const { time, luck } = this.g;
    if (!this.alive || this.flying) return;
    this.flying = true;
    const sent = time.now;
    const { tenure } = this;
    const body = this.body();
    let open = true;
    const done = (answer: string | null): void => {
      if (!open) return;
      open = false;
      this.flying = false;
      const before = this.token;
      if (answer !== null) {
        const v = JSON.parse(answer) as { warrant: number; orders: Order[] };
        if (v.warrant >= this.token && tenure === this.tenure) {
          this.token = v.warrant;
          this.leaseFrom = sent;
          this.execute(v.orders);
        }
      }
      const next = answer === null ? 1e6 : this.token > before ? 5e5 : report * luck.between(0.75, 1.25);
      time.after(next, () => this.send());
    };
    time.after(TIMEOUT, () => done(null));
    const rough = this.g.troubled;
    // A copy: from 2 s to well over a lease late.
    if (rough && luck.chance(0.15))
      time.after(luck.between(2e6, 40e6), () => this.g.deliver(body, this, true, () => undefined));
    if (rough && luck.chance(0.04)) return;
    const way = rough && luck.chance(0.06) ? luck.between(2e6, 15e6) : luck.between(1e3, 5e4);
    const back = rough && luck.chance(0.06) ? luck.between(1e6, 5e6) : luck.between(1e3, 5e4);
    time.after(way, () =>
      this.g.deliver(body, this, false, (a) => {
        if (this.deaf) return;
        time.after(back, () => this.alive && done(a));
      }),
    );
  }
}
