/**
 * Stand-in for the state service, by the protocol's "Controller nodes -> state service": kept in memory, with its rate
 * limits, leases and watches. Nothing is durable; `lose` takes data away as a broken service would.
 */
import type { JsonRequest, Respond } from './json-server.js';

/** Changes that a watch may still ask for. */
const HISTORY = 10_000;
const HISTORY_KEPT = 20 * HISTORY;
const MOST_ENTRIES = 1000;
const MOST_PAGE_BYTES = 500_000;
const LONGEST_WATCH_MS = 60_000;
/** A lease may end this much late. */
const LEASE_LATE_MS = 50;

/** Rates that the service takes; more is answered 429. */
export interface StateLimits {
  readonly requestsPerS: number;
  readonly writesPerS: number;
}
/** Counts since the service's start. */
export interface StateCounts {
  requests: number;
  changes: number;
  refused: number;
  /** Bytes of answers to watches. */
  followBytes: number;
  /** Bytes of the values that were set. */
  writtenBytes: number;
}
interface StoredValue {
  readonly value: unknown;
  readonly revision: number;
  readonly lease: number | null;
}
interface Change {
  readonly key: string;
  /** undefined: deleted. */
  readonly value: unknown;
  readonly revision: number;
  readonly lease: number | null;
  readonly at: number;
}
interface Lease {
  readonly ttlMs: number;
  readonly timer: NodeJS.Timeout;
}
interface WireCondition {
  readonly k: string;
  readonly stamp: number;
}
interface WireWrite {
  readonly set?: string;
  readonly delete?: string;
  readonly value?: unknown;
  readonly tenancy?: number;
}
interface WireTransaction {
  readonly when?: readonly WireCondition[];
  readonly then?: readonly WireWrite[];
}
type Reply = readonly [status: number, body: unknown];

/** A rate with bursts worth one second. */
class RateLimit {
  private left: number;
  private at = 0;

  constructor(private readonly perS: number) {
    this.left = perS;
  }

  take(cost: number): boolean {
    const at = performance.now();
    this.left = Math.min(this.perS, this.left + ((at - this.at) / 1000) * this.perS);
    this.at = at;
    if (this.left < cost) return false;
    this.left -= cost;
    return true;
  }
}

/** One service; whoever serves it over HTTP hands requests to `handle`. */
export class StateService {
  readonly counts: StateCounts = { requests: 0, changes: 0, refused: 0, followBytes: 0, writtenBytes: 0 };
  private keys = new Map<string, StoredValue>();
  private sorted: string[] | null = null;
  private log: Change[] = [];
  private revision = 0;
  private readonly leases = new Map<number, Lease>();
  private nextLease = 1;
  private readonly watchers = new Set<() => void>();
  private isDown = false;
  private readonly requests: RateLimit;
  private readonly writes: RateLimit;

  constructor(limits: StateLimits) {
    this.requests = new RateLimit(limits.requestsPerS);
    this.writes = new RateLimit(limits.writesPerS);
  }

  /** The value of a key; undefined: there is none. */
  get(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  /** Keys with a prefix, in the order in which they were first set. */
  keysUnder(prefix: string): string[] {
    return [...this.keys.keys()].filter((k) => k.startsWith(prefix));
  }

  /** true: it is down and answers 503. After an outage every lease has its full time again. */
  setOutage(on: boolean): void {
    this.isDown = on;
    for (const [id, lease] of [...this.leases]) {
      if (on) clearTimeout(lease.timer);
      else this.arm(id, lease.ttlMs);
    }
    if (!on) this.notify();
  }

  /** Loses everything (`lastMs` null), or what came in the last so many milliseconds; leases go with their keys. */
  loseData(lastMs: number | null): void {
    const until = lastMs === null ? Number.NEGATIVE_INFINITY : performance.now() - lastMs;
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    this.leases.clear();
    if (lastMs === null) this.nextLease = 1;
    // Further back than the history reaches, nothing is left.
    const whole = this.log.length > 0 && this.log[0]!.revision <= 1;
    const kept = whole ? this.log.filter((e) => e.at <= until) : [];
    this.keys = new Map();
    this.sorted = null;
    this.log = kept;
    this.revision = kept.at(-1)?.revision ?? 0;
    for (const { key, value, revision, lease } of kept) {
      if (value === undefined || lease !== null) this.keys.delete(key);
      else this.keys.set(key, { value, revision, lease: null });
    }
    this.notify();
  }

  /** One request; a watch is answered later. */
  handle({ method, url, body }: JsonRequest, respond: Respond): void {
    if (this.isDown) return void respond(503, { error: 'trouble' });
    this.counts.requests++;
    if (!this.requests.take(1)) {
      this.counts.refused++;
      return void respond(429, { error: 'requests' });
    }
    const path = url.pathname;
    if (path === '/follow') return this.follow(url, respond);
    respond(...this.answer(method, path, url, body));
  }

  private answer(method: string, path: string, url: URL, body: unknown): Reply {
    if (path === '/multi') return this.transact(body as WireTransaction);
    if (path === '/kv') return [200, this.page(url)];
    if (path.startsWith('/kv/')) return this.read(path.slice('/kv/'.length));
    if (path === '/grants') return this.grant((body as { ttlMs: number }).ttlMs);
    return this.leaseCall(method, path);
  }

  private grant(ttlMs: number): Reply {
    const id = this.nextLease++;
    this.arm(id, ttlMs);
    return [200, { tenancy: id }];
  }

  private leaseCall(method: string, path: string): Reply {
    const match = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (match === null) return [400, {}];
    const id = Number(match[1]);
    const lease = this.leases.get(id);
    if (match[2] !== undefined && lease !== undefined) this.arm(id, lease.ttlMs);
    if (method === 'DELETE') this.expire(id);
    return [lease === undefined ? 404 : 200, {}];
  }

  private read(key: string): Reply {
    const stored = this.keys.get(key);
    return stored === undefined
      ? [404, { ledgerRev: this.revision }]
      : [200, { k: key, value: stored.value, stamp: stored.revision }];
  }

  private page(url: URL): unknown {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after');
    const limit = Math.min(MOST_ENTRIES, Number(url.searchParams.get('limit') ?? MOST_ENTRIES));
    this.sorted ??= [...this.keys.keys()].sort();
    const entries: unknown[] = [];
    let size = 0;
    let more = false;
    for (const key of this.sorted) {
      if (!key.startsWith(prefix) || (after !== null && key <= after)) continue;
      if (entries.length >= limit || size > MOST_PAGE_BYTES) {
        more = true;
        break;
      }
      const { value, revision: stamp } = this.keys.get(key)!;
      size += JSON.stringify(value).length + key.length + 40;
      entries.push({ k: key, value, stamp });
    }
    return { entries, more, ledgerRev: this.revision };
  }

  private transact({ when = [], then = [] }: WireTransaction): Reply {
    if (!this.writes.take(then.length)) {
      this.counts.refused++;
      return [429, { error: 'changes' }];
    }
    this.counts.changes += then.length;
    for (const { tenancy } of then)
      if (tenancy !== undefined && !this.leases.has(tenancy)) return [400, { error: 'no such lease' }];
    const failed = when.filter((c) => (this.keys.get(c.k)?.revision ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return [409, { failed, ledgerRev: this.revision }];
    if (then.length === 0) return [200, { ledgerRev: this.revision }];
    this.revision++;
    for (const operation of then) this.write(operation);
    this.notify();
    return [200, { ledgerRev: this.revision }];
  }

  private write({ set, delete: removed, value, tenancy }: WireWrite): void {
    if (set !== undefined) {
      this.counts.writtenBytes += JSON.stringify(value).length;
      this.put(set, value, tenancy ?? null);
    } else if (removed !== undefined && this.keys.has(removed)) this.put(removed, undefined, null);
  }

  private put(key: string, value: unknown, lease: number | null): void {
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { value, revision: this.revision, lease });
    this.sorted = null;
    this.log.push({ key, value, revision: this.revision, lease, at: performance.now() });
    if (this.log.length > HISTORY_KEPT) this.log.splice(0, HISTORY);
  }

  private arm(id: number, ttlMs: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.expire(id), ttlMs + LEASE_LATE_MS) });
  }

  private expire(id: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const gone = [...this.keys].filter(([, stored]) => stored.lease === id).map(([key]) => key);
    if (gone.length === 0) return;
    this.revision++;
    for (const key of gone) this.put(key, undefined, null);
    this.notify();
  }

  private notify(): void {
    for (const check of [...this.watchers]) check();
  }

  /** Changes of keys with a prefix after a revision; null: the history does not reach so far back. */
  private changes(prefix: string, after: number): unknown[] | null {
    const oldest = this.log[Math.max(0, this.log.length - HISTORY)];
    if (oldest !== undefined && after < oldest.revision - 1) return null;
    const out: unknown[] = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i]!.revision > after; i--) {
      const { key, value, revision: stamp } = this.log[i]!;
      if (!key.startsWith(prefix)) continue;
      out.push(value === undefined ? { delete: key, stamp } : { set: key, value, stamp });
    }
    return out.reverse();
  }

  private follow(url: URL, respond: Respond): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const blockMs = Math.min(LONGEST_WATCH_MS, Number(url.searchParams.get('blockMs') ?? 0));
    const say = (log: unknown[] | null): void => {
      if (log === null) respond(410, {});
      else this.counts.followBytes += respond(200, { ledgerRev: this.revision, log });
    };
    const first = this.changes(prefix, after);
    if (first === null || first.length > 0 || blockMs === 0) return say(first);
    const end = (): void => {
      this.watchers.delete(check);
      clearTimeout(timer);
      say(this.changes(prefix, after));
    };
    const check = (): void => {
      if (!this.isDown && this.changes(prefix, after)?.length !== 0) end();
    };
    const timer = setTimeout(end, blockMs);
    this.watchers.add(check);
  }
}
