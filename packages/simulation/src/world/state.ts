/** Stand-in for the state service, with outages, refusals, lost answers and late transactions. */
import { Effect } from 'effect';
import type { NoAnswer } from '@lilacvalve/runtime/http-client';
import { NoAnswer as Lost } from '@lilacvalve/runtime/http-client';
import {
  Refused,
  type Change,
  type Changes,
  type Found,
  type Outcome,
  type StateFailure,
  type Write,
} from '@lilacvalve/controller/state-store/client';
import { Parts, Priority } from '@lilacvalve/controller/state-store/budget';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import { micros } from '@lilacvalve/runtime/micros';
import type { Links } from './links.js';
import type { Luck } from '@lilacvalve/controller/support/luck';
import type { Time } from './time.js';

/** What the service loses. Times in microseconds. */
export type Loss =
  | { readonly kind: 'all' }
  /** Everything since; what becomes of leases, and of the keys on them. */
  | { readonly kind: 'window'; readonly since: number; readonly leases: 'renewed' | 'gone' | 'keys stay' }
  /** Each key below the prefix with this chance, without a change to tell of it. */
  | { readonly kind: 'keys'; readonly prefix: string; readonly part: number }
  /** Values below the prefix can't be read, or are older ones again: each with this chance; null: one of them. */
  | {
      readonly kind: 'damage';
      readonly prefix: string;
      readonly part: number | null;
      readonly how: 'unreadable' | 'older';
    }
  /** For so long every second read is answered by a copy that is as old as `since`. */
  | { readonly kind: 'copies'; readonly since: number; readonly lasts: number };

interface Kept {
  readonly value: string;
  readonly stamp: number;
  readonly lease: number | null;
}

export class StateService {
  keys = new Map<string, Kept>();
  revision = 0;
  private log: {
    readonly key: string;
    readonly value: string | undefined;
    readonly stamp: number;
    readonly lease: number | null;
    readonly at: number;
  }[] = [];
  /** While two copies answer in turn: the older one, and whose turn it is. */
  private older: { readonly keys: Map<string, Kept>; readonly revision: number; turn: boolean } | null = null;
  private readonly leases = new Map<number, { ttl: number; cancel: () => void }>();
  private nextLease = 1;
  private readonly watchers = new Set<() => void>();
  out = false;
  /** Called with every change that is committed. */
  onPut: (key: string, value: string | undefined) => void = () => undefined;
  /** A value can't be read any more. */
  onSpoilt: (key: string) => void = () => undefined;
  readonly refusedTo = new Set<string>();
  lossy = 0;
  /** Requests of all controllers, by second, also those that get no answer. */
  readonly requests: number[] = [];
  /** This share of transactions gets no answer and is carried out 2 to 12 s later. */
  lateShare = 0;
  /** Requests, and puts and deletes, a second for all controllers; null: as many as they like. */
  limits: { readonly rps: number; readonly writeRps: number; readonly nodes: number } | null = null;
  /** What is left of this second's worth. */
  private readonly left = { at: 0, rps: 0, writeRps: 0 };
  /** Every put and delete that was asked for: when. */
  readonly written: number[] = [];
  refusedAsTooMany = 0;
  /** This share of transactions is carried out at once, and nothing is heard of it. */
  unheardShare = 0;
  /** Such a one was carried out. */
  onUnheard: (
    by: string,
    when: readonly { readonly key: string; readonly stamp: number }[],
    then: readonly Write[],
    revision: number,
  ) => void = () => undefined;
  /** What a controller has read shows it the store up to this revision. */
  onRead: (by: string, revision: number) => void = () => undefined;
  /** Until then answers come late, beyond the callers' time-outs and out of order; requests are carried out. */
  slowUntil = 0;
  /** A watch whose time is over while its controller is not served ends with no answer. */
  watchesWait = false;
  /** A transaction that will be carried out late is sent; what it answers is called when that happens. */
  onLate: (key: string) => () => void = () => () => undefined;
  /** What met what, of the troubles of meetings.ts. */
  onMet: (what: string) => void = () => undefined;

  constructor(
    private readonly time: Time,
    private readonly luck: Luck,
    private readonly links: Links,
  ) {}

  private put(key: string, value: string | undefined, stamp: number, lease: number | null): void {
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { value, stamp, lease });
    this.log.push({ key, value, stamp, lease, at: this.time.now });
    this.onPut(key, value);
  }

  private arm(id: number, ttl: number): void {
    this.leases.get(id)?.cancel();
    const cancel = this.time.after(ttl + this.luck.between(0, 100_000), () => {
      if (this.out) return;
      this.expire(id);
    });
    this.leases.set(id, { ttl, cancel });
  }

  private expire(id: number): void {
    const l = this.leases.get(id);
    if (!l) return;
    l.cancel();
    this.leases.delete(id);
    const gone = [...this.keys].filter(([, v]) => v.lease === id).map(([k]) => k);
    if (gone.length === 0) return;
    this.revision++;
    for (const k of gone) this.put(k, undefined, this.revision, null);
    this.notify();
  }

  private notify(): void {
    for (const w of [...this.watchers]) w();
  }

  /** A controller that was refused is served again: its open watches go on. */
  served(): void {
    this.notify();
  }

  outage(on: boolean): void {
    this.out = on;
    // After an outage every lease has its full time again.
    if (!on) for (const [id, l] of [...this.leases]) this.arm(id, l.ttl);
    if (!on) this.notify();
  }

  /** The content as it was `since` microseconds ago. */
  private asOf(since: number): { keys: Map<string, Kept>; revision: number; changes: number } {
    const keys = new Map<string, Kept>();
    let revision = 0;
    let changes = 0;
    for (const e of this.log) {
      if (e.at > this.time.now - since) break;
      changes++;
      revision = e.stamp;
      if (e.value === undefined) keys.delete(e.key);
      else keys.set(e.key, { value: e.value, stamp: e.stamp, lease: e.lease });
    }
    return { keys, revision, changes };
  }

  /** Every key as of one revision; not after a loss. */
  *entriesAt(revision: number): Generator<{ readonly key: string; readonly value: unknown }> {
    const keys = new Map<string, string>();
    for (const e of this.log) {
      if (e.stamp > revision) break;
      if (e.value === undefined) keys.delete(e.key);
      else keys.set(e.key, e.value);
    }
    for (const [key, value] of keys) yield { key, value: JSON.parse(value) as unknown };
  }

  lose(loss: Loss): void {
    const ids = (prefix: string): string[] =>
      [...this.keys.keys()].filter((k) => k.startsWith(prefix)).sort();
    if (loss.kind === 'all') {
      this.keys = new Map();
      this.revision = 0;
      this.log = [];
      for (const l of this.leases.values()) l.cancel();
      this.leases.clear();
      this.nextLease = 1;
    } else if (loss.kind === 'window') {
      const old = this.asOf(loss.since);
      this.keys = old.keys;
      this.revision = old.revision;
      this.log = this.log.slice(0, old.changes);
      const ttls = new Map([...this.leases].map(([id, l]) => [id, l.ttl]));
      for (const l of this.leases.values()) l.cancel();
      this.leases.clear();
      for (const [key, v] of [...this.keys]) {
        if (v.lease === null) continue;
        if (loss.leases === 'gone') this.keys.delete(key);
        else if (loss.leases === 'renewed') this.arm(v.lease, ttls.get(v.lease) ?? 4e6);
      }
    } else if (loss.kind === 'keys') {
      for (const k of ids(loss.prefix)) if (this.luck.chance(loss.part)) this.keys.delete(k);
    } else if (loss.kind === 'damage') {
      const all = ids(loss.prefix);
      const { part } = loss;
      const one = part === null ? all[this.luck.int(Math.max(1, all.length))] : undefined;
      for (const key of part === null
        ? all.filter((k) => k === one)
        : all.filter(() => this.luck.chance(part))) {
        const now = this.keys.get(key)!;
        const before = this.log
          .filter((e) => e.key === key && e.value !== undefined && e.stamp < now.stamp)
          .pop();
        if (loss.how === 'unreadable') {
          this.keys.set(key, { ...now, value: '{"c":7}' });
          this.onSpoilt(key);
        } else if (before)
          this.keys.set(key, { value: before.value!, stamp: before.stamp, lease: now.lease });
      }
    } else {
      this.older = { ...this.asOf(loss.since), turn: false };
      this.time.after(loss.lasts, () => (this.older = null));
    }
    this.notify();
  }

  /** What answers the next read. */
  private copy(): { readonly keys: Map<string, Kept>; readonly revision: number } {
    if (this.older === null) return this;
    this.older.turn = !this.older.turn;
    return this.older.turn ? this.older : this;
  }

  /** Each change as it is committed; undefined: a key deleted. */
  onCommit: (key: string, value: unknown, stamp: number) => void = () => undefined;

  private transact(
    when: { key: string; stamp: number }[],
    then: { set?: string; value?: unknown; lease?: number; delete?: string }[],
  ): Outcome {
    const failed = when.filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp).map((c) => c.key);
    if (failed.length > 0) return { ok: false, failed, revision: this.revision };
    if (then.length === 0) return { ok: true, revision: this.revision };
    this.revision++;
    for (const w of then) {
      if (w.set !== undefined) this.put(w.set, JSON.stringify(w.value), this.revision, w.lease ?? null);
      else if (this.keys.has(w.delete!)) this.put(w.delete!, undefined, this.revision, null);
    }
    for (const w of then) this.onCommit(w.set ?? w.delete!, w.value, this.revision);
    this.notify();
    return { ok: true, revision: this.revision };
  }

  /** Whether the limits allow a request with so many puts and deletes. */
  private allows(writes: number): boolean {
    if (writes > 0) for (let n = 0; n < writes; n++) this.written.push(this.time.now);
    if (this.limits === null) return true;
    const { left, limits } = this;
    const passed = (this.time.now - left.at) / 1e6;
    left.at = this.time.now;
    for (const k of ['rps', 'writeRps'] as const) left[k] = Math.min(limits[k], left[k] + passed * limits[k]);
    if (left.rps >= 1 && left.writeRps >= writes) {
      left.rps--;
      left.writeRps -= writes;
      return true;
    }
    this.refusedAsTooMany++;
    return false;
  }

  /** The port one node has to the service: by its budgets, where the service has limits. */
  port(node: string): StatePort {
    const { limits } = this;
    const port = this.unlimited(node);
    if (limits === null) return port;
    const timing = {
      now: this.time.micros,
      after: (ms: number, go: () => void) => void this.time.after(ms * 1000, go),
    };
    const parts = new Parts(limits.nodes, limits, timing);
    const call = <A>(priority: Priority, writes: number, ask: () => Effect.Effect<A, StateFailure>) =>
      Effect.suspend(() => (writes > 0 ? parts.writes.take(priority, writes) : Effect.void)).pipe(
        Effect.zipRight(parts.requests.take(priority, 1)),
        Effect.zipRight(
          Effect.suspend(() => {
            if (this.allows(writes)) return ask();
            parts.drain();
            return Effect.fail(new Refused({ status: 429, reason: 'too many' }));
          }),
        ),
      );
    return new Proxy(port, {
      get: (of, k) => {
        const limited: Partial<StatePort> = {
          leading: (yes) => parts.leading(yes),
          writeWait: () => parts.writes.wait(),
          transact: (when, then, priority, ms) =>
            call(priority, then.length, () => of.transact(when, then, priority, ms)),
          get: (key, ms) => call(Priority.Read, 0, () => of.get(key, ms)),
          page: (prefix, after, limit, priority = Priority.Read) =>
            call(priority, 0, () => of.page(prefix, after, limit, priority)),
          follow: (prefix, after, ms) =>
            call(ms === 0 ? Priority.Commit : Priority.Read, 0, () => of.follow(prefix, after, ms)),
          grant: (ttl) => call(Priority.Lease, 0, () => of.grant(ttl)),
          extend: (lease, ms) => call(Priority.Lease, 0, () => of.extend(lease, ms)),
          release: (lease) => call(Priority.Lease, 0, () => of.release(lease)),
        };
        return limited[k as keyof StatePort] ?? Reflect.get(of, k);
      },
    });
  }

  private unlimited(node: string): StatePort {
    const port = { lastServed: Number.NEGATIVE_INFINITY, lastRefused: Number.NEGATIVE_INFINITY };
    /** Transactions that this process has sent, and the newest that was carried out. */
    let sent = 0;
    let newest = 0;
    const inOrder = (go: () => Outcome | StateFailure): (() => Outcome | StateFailure) => {
      const n = ++sent;
      return () => {
        const outcome = go();
        if (n < newest) {
          this.onMet('write after newer');
          if ('ok' in outcome && outcome.ok) this.onMet('write after newer, committed');
        }
        newest = Math.max(newest, n);
        return outcome;
      };
    };
    const call = <A>(
      go: () => A | StateFailure,
      limitMs: number,
      write: string | null = null,
    ): Effect.Effect<A, StateFailure> =>
      Effect.async<A, StateFailure>((resume) => {
        const second = Math.floor(this.time.now / 1e6);
        this.requests[second] = (this.requests[second] ?? 0) + 1;
        if (write !== null && this.lateShare > 0 && this.luck.chance(this.lateShare)) {
          const carried = this.onLate(write);
          this.time.after(this.luck.between(2e6, 12e6), () => {
            if (this.out) return;
            carried();
            go();
          });
          this.time.after(limitMs * 1000, () => {
            port.lastRefused = this.time.now;
            resume(Effect.fail(new Lost({ reason: 'timeout' })));
          });
          return;
        }
        const there = this.luck.chance(0.02)
          ? this.luck.between(50_000, 400_000)
          : this.luck.between(1000, 8000);
        const lost = this.luck.chance(this.lossy);
        if (lost) {
          // "No response": done, done much later, or never.
          const late = this.luck.int(3);
          if (late < 2)
            this.time.after(late === 0 ? there : this.luck.between(1e6, 60e6), () => void (this.out || go()));
          this.time.after(1_200_000, () => {
            port.lastRefused = this.time.now;
            resume(Effect.fail(new Lost({ reason: 'timeout' })));
          });
          return;
        }
        const unanswered = (reason: string) => () => {
          port.lastRefused = this.time.now;
          resume(Effect.fail(new Lost({ reason })));
        };
        const faulty = this.links.state(node, 'state') !== null || this.links.state('state', node) !== null;
        if (faulty) {
          this.time.after(1_200_000, unanswered('timeout'));
          const ask = () => {
            if (this.out || this.refusedTo.has(node)) return;
            const r = go();
            this.links.answer(
              node,
              'state',
              () => {
                port.lastServed = this.time.now;
                resume(r instanceof Refused || r instanceof Lost ? Effect.fail(r) : Effect.succeed(r as A));
              },
              unanswered('reset'),
            );
          };
          this.links.send(node, 'state', ask, unanswered('reset'));
          return;
        }
        if (this.time.now < this.slowUntil) {
          const way = (): number =>
            this.luck.chance(0.5) ? this.luck.between(1000, 4e5) : this.luck.between(2e5, 4e6);
          let over = false;
          const end = (then: () => void) => () => {
            if (!over) then();
            over = true;
          };
          this.time.after(limitMs * 1000, end(unanswered('timeout')));
          this.time.after(way(), () => {
            const refused = this.out || this.refusedTo.has(node);
            const r = refused ? new Refused({ status: 503, reason: 'trouble' }) : go();
            if (over && !refused) this.onMet('carried out after the time-out');
            this.time.after(
              way(),
              end(() => {
                port[refused ? 'lastRefused' : 'lastServed'] = this.time.now;
                resume(r instanceof Refused || r instanceof Lost ? Effect.fail(r) : Effect.succeed(r as A));
              }),
            );
          });
          return;
        }
        this.time.after(there, () => {
          if (this.out || this.refusedTo.has(node)) {
            port.lastRefused = this.time.now;
            resume(Effect.fail(new Refused({ status: 503, reason: 'trouble' })));
            return;
          }
          const r = go();
          this.time.after(this.luck.between(500, 4000), () => {
            port.lastServed = this.time.now;
            resume(
              r instanceof Refused || r instanceof Lost
                ? Effect.fail(r as Refused | NoAnswer)
                : Effect.succeed(r as A),
            );
          });
        });
      });
    /** Carried out if it is served, and its answer lost. */
    const unheard = (go: () => Outcome | StateFailure, limitMs: number): Effect.Effect<never, StateFailure> =>
      Effect.suspend(() => {
        const sent = this.time.now;
        const served = port.lastServed;
        return Effect.flatMap(call<Outcome>(go, limitMs), () => {
          if (port.lastServed === this.time.now) port.lastServed = served;
          return Effect.async<never, StateFailure>((resume) => {
            this.time.after(sent + limitMs * 1000 - this.time.now, () => {
              port.lastRefused = this.time.now;
              resume(Effect.fail(new Lost({ reason: 'timeout' })));
            });
          });
        });
      });
    return Object.assign(port, {
      leading: () => undefined,
      writeWait: () => micros(0),
      transact: (when, then, _priority, limitMs) =>
        Effect.suspend(() => {
          const go = inOrder(() => {
            for (const w of then) {
              if ('set' in w && w.lease !== undefined && !this.leases.has(w.lease))
                return new Refused({ status: 400, reason: 'no such lease' });
            }
            return this.transact([...when], JSON.parse(JSON.stringify(then)) as []);
          });
          if (this.unheardShare > 0 && this.luck.chance(this.unheardShare))
            return unheard(() => {
              const o = go();
              if ('ok' in o && o.ok) this.onUnheard(node, when, then, o.revision);
              return o;
            }, limitMs);
          return call<Outcome>(
            go,
            limitMs,
            then.length === 0 ? '' : 'set' in then[0]! ? then[0].set : then[0]!.delete,
          );
        }),
      get: (key) =>
        call<Found>(() => {
          const copy = this.copy();
          const v = copy.keys.get(key);
          return v
            ? { entry: { key, value: JSON.parse(v.value) as unknown, stamp: v.stamp }, revision: null }
            : { entry: null, revision: copy.revision };
        }, 1000),
      page: (prefix, after, limit) =>
        call(() => {
          const copy = this.copy();
          const keys = [...copy.keys.keys()]
            .filter((k) => k.startsWith(prefix) && (after === null || k > after))
            .sort();
          const entries = keys.slice(0, Math.min(limit, 40)).map((key) => {
            const v = copy.keys.get(key)!;
            return { key, value: JSON.parse(v.value) as unknown, stamp: v.stamp };
          });
          return { entries, more: keys.length > entries.length, revision: copy.revision };
        }, 3000),
      follow: (prefix, after, blockMs) => {
        const look = (): Changes => {
          const copy = this.copy();
          // The older copy has not seen the latest changes.
          if (copy !== this) return { tooOld: false, revision: copy.revision, changes: [] };
          if (this.log.length > 0 && after < this.log[Math.max(0, this.log.length - 10_000)]!.stamp - 1)
            return { tooOld: true };
          const changes: Change[] = [];
          for (let i = this.log.length - 1; i >= 0 && this.log[i]!.stamp > after; i--) {
            const e = this.log[i]!;
            if (e.key.startsWith(prefix)) {
              changes.unshift({
                key: e.key,
                value: e.value === undefined ? undefined : JSON.parse(e.value),
                stamp: e.stamp,
              });
            }
          }
          return { tooOld: false, revision: this.revision, changes };
        };
        const read = (from: Effect.Effect<Changes, StateFailure>): Effect.Effect<Changes, StateFailure> =>
          Effect.tap(from, (c) => Effect.sync(() => c.tooOld || this.onRead(node, c.revision)));
        if (blockMs === 0) return read(call(look, 1500));
        const held = call<Changes>(look, blockMs + 1500).pipe(
          Effect.flatMap((first) => {
            if (first.tooOld || first.changes.length > 0) return Effect.succeed(first);
            return Effect.async<Changes, StateFailure>((resume) => {
              const cut = (): boolean =>
                this.out || this.refusedTo.has(node) || this.links.state('state', node) !== null;
              const done = () => {
                // It waits on, until the caller gives up.
                if (this.watchesWait && cut()) return;
                this.watchers.delete(check);
                stop();
                resume(Effect.succeed(look()));
              };
              const check = () => {
                if (cut()) return;
                const l = look();
                if (l.tooOld || l.changes.length > 0) this.time.after(2000, done);
              };
              const stop = this.time.after(blockMs * 1000, done);
              if (this.watchesWait)
                this.time.after((blockMs + 1500) * 1000, () => {
                  if (!this.watchers.delete(check)) return;
                  port.lastRefused = this.time.now;
                  resume(Effect.fail(new Lost({ reason: 'timeout' })));
                });
              this.watchers.add(check);
              return Effect.sync(() => {
                this.watchers.delete(check);
                stop();
              });
            });
          }),
        );
        return read(held);
      },
      grant: (ttl) =>
        call(() => {
          const id = this.nextLease++;
          this.arm(id, ttl);
          return id;
        }, 1500),
      extend: (lease, limitMs) =>
        call(() => {
          const l = this.leases.get(lease);
          if (l) this.arm(lease, l.ttl);
          return l !== undefined;
        }, limitMs),
      release: (lease) => call<void>(() => this.expire(lease), 800),
    } satisfies Omit<StatePort, 'lastServed' | 'lastRefused'>) as StatePort;
  }
}
