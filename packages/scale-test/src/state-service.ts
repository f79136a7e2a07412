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

export interface StateLimits {
  readonly requestsPerS: number;
  readonly writesPerS: number;
}
export interface StateCounts {
  requests: number;
  changes: number;
  refused: number;
  /** Bytes of answers to watches. */
  followBytes: number;
  /** Bytes of the values that were set. */
  writtenBytes: number;
}
interface Stored {
  readonly value: unknown;
  readonly stamp: number;
  readonly lease: number | null;
}
interface Logged {
  readonly key: string;
  /** undefined: deleted. */
  readonly value: unknown;
  readonly stamp: number;
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

export class StateService {
  readonly counts: StateCounts = { requests: 0, changes: 0, refused: 0, followBytes: 0, writtenBytes: 0 };
  private keys = new Map<string, Stored>();
  private sorted: string[] | null = null;
  private log: Logged[] = [];
  private revision = 0;
  private readonly leases = new Map<number, Lease>();
  private nextLease = 1;
  private readonly watchers = new Set<() => void>();
  private out = false;
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

  keysUnder(prefix: string): string[] {
    return [...this.keys.keys()].filter((k) => k.startsWith(prefix));
  }

  /** true: down. After an outage every lease has its full time again. */
  outage(on: boolean): void {
    this.out = on;
    for (const [id, lease] of [...this.leases]) {
      if (on) clearTimeout(lease.timer);
      else this.arm(id, lease.ttlMs);
    }
    if (!on) this.notify();
  }

  /** Loses everything (`lastMs` null), or what came in the last so many milliseconds; leases go with their keys. */
  lose(lastMs: number | null): void {
    const until = lastMs === null ? Number.NEGATIVE_INFINITY : performance.now() - lastMs;
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    this.leases.clear();
    if (lastMs === null) this.nextLease = 1;
    // Further back than the history reaches, nothing is left.
    const whole = this.log.length > 0 && this.log[0]!.stamp <= 1;
    const kept = whole ? this.log.filter((e) => e.at <= until) : [];
    this.keys = new Map();
    this.sorted = null;
    this.log = kept;
    this.revision = kept[kept.length - 1]?.stamp ?? 0;
    for (const e of kept) {
      if (e.value === undefined || e.lease !== null) this.keys.delete(e.key);
      else this.keys.set(e.key, { value: e.value, stamp: e.stamp, lease: null });
    }
    this.notify();
  }

  handle({ method, url, body }: JsonRequest, respond: Respond): void {
    if (this.out) return void respond(503, { error: 'trouble' });
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
      : [200, { k: key, value: stored.value, stamp: stored.stamp }];
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
      const { value, stamp } = this.keys.get(key)!;
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
    for (const w of then)
      if (w.tenancy !== undefined && !this.leases.has(w.tenancy)) return [400, { error: 'no such lease' }];
    const failed = when.filter((c) => (this.keys.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return [409, { failed, ledgerRev: this.revision }];
    if (then.length === 0) return [200, { ledgerRev: this.revision }];
    this.revision++;
    for (const w of then) this.write(w);
    this.notify();
    return [200, { ledgerRev: this.revision }];
  }

  private write(w: WireWrite): void {
    if (w.set !== undefined) {
      this.counts.writtenBytes += JSON.stringify(w.value).length;
      this.put(w.set, w.value, w.tenancy ?? null);
    } else if (w.delete !== undefined && this.keys.has(w.delete)) this.put(w.delete, undefined, null);
  }

  private put(key: string, value: unknown, lease: number | null): void {
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { value, stamp: this.revision, lease });
    this.sorted = null;
    this.log.push({ key, value, stamp: this.revision, lease, at: performance.now() });
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
    if (oldest !== undefined && after < oldest.stamp - 1) return null;
    const out: unknown[] = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i]!.stamp > after; i--) {
      const { key, value, stamp } = this.log[i]!;
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
      if (!this.out && this.changes(prefix, after)?.length !== 0) end();
    };
    const timer = setTimeout(end, blockMs);
    this.watchers.add(check);
  }
}
