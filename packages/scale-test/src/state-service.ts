/**
 * In-memory stand-in for the state service, as the section "Controller nodes -> state service" of the protocol
 * describes it, with rate limits, leases and watches. Nothing is durable; `loseData` simulates a service that loses
 * data.
 */
import { transactionViolation } from '@lilacvalve/controller/support/transaction-rules';
import type { JsonRequest, Respond } from './json-server.js';

/** Number of past changes that a watch can still read. */
const WATCH_HISTORY = 10_000;
const MAX_LOG_ENTRIES = 20 * WATCH_HISTORY;
const MAX_PAGE_ENTRIES = 1000;
const MAX_PAGE_BYTES = 500_000;
const MAX_WATCH_MS = 60_000;
/** Delay between the end of a lease's time to live and its expiry. */
const LEASE_EXPIRY_DELAY_MS = 50;

/** What the service accepts: requests above the rates get status 429, transactions above a limit status 400. */
export interface StateLimits {
  readonly requestsPerS: number;
  readonly writesPerS: number;
  /** Maximum size of a value, in KiB. */
  readonly valueKb: number;
  /** Maximum number of puts and deletes of a transaction. */
  readonly transactionOps: number;
}
/** Counters since the service's start. */
export interface StateCounts {
  requests: number;
  changes: number;
  refused: number;
  /** Transactions that exceeded a limit. */
  rejected: number;
  /** Bytes of responses to watches. */
  followBytes: number;
  /** Bytes of the values written. */
  writtenBytes: number;
}
interface StoredValue {
  readonly value: unknown;
  readonly revision: number;
  readonly lease: number | null;
}
interface Change {
  readonly key: string;
  /** The new value; undefined if the key was deleted. */
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
type StatusAndBody = readonly [status: number, body: unknown];

/** Token bucket that allows bursts of up to one second's worth. */
class RateLimit {
  private available: number;
  private refilledAt = 0;

  constructor(private readonly ratePerS: number) {
    this.available = ratePerS;
  }

  take(cost: number): boolean {
    const now = performance.now();
    this.available = Math.min(
      this.ratePerS,
      this.available + ((now - this.refilledAt) / 1000) * this.ratePerS,
    );
    this.refilledAt = now;
    if (this.available < cost) return false;
    this.available -= cost;
    return true;
  }
}

/** The state service without its HTTP server, which passes each request to `handle`. */
export class StateService {
  readonly counts: StateCounts = {
    requests: 0,
    changes: 0,
    refused: 0,
    rejected: 0,
    followBytes: 0,
    writtenBytes: 0,
  };
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

  constructor(private readonly limits: StateLimits) {
    this.requests = new RateLimit(limits.requestsPerS);
    this.writes = new RateLimit(limits.writesPerS);
  }

  /** Returns the value of a key; undefined if the key does not exist. */
  get(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  /** Returns the keys with a prefix, in the order in which they were first set. */
  keysUnder(prefix: string): string[] {
    return [...this.keys.keys()].filter((key) => key.startsWith(prefix));
  }

  /**
   * Begins or ends an outage, in which every request gets status 503. When it ends, every lease gets its full time
   * again.
   */
  setOutage(down: boolean): void {
    this.isDown = down;
    for (const [id, lease] of [...this.leases]) {
      if (down) clearTimeout(lease.timer);
      else this.startLease(id, lease.ttlMs);
    }
    if (!down) this.notify();
  }

  /**
   * Loses all data (`lastMs` null) or the changes of the last `lastMs` milliseconds. All leases and their keys are lost
   * too.
   */
  loseData(lastMs: number | null): void {
    const until = lastMs === null ? Number.NEGATIVE_INFINITY : performance.now() - lastMs;
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    this.leases.clear();
    if (lastMs === null) this.nextLease = 1;
    // Without the complete history the earlier state cannot be restored, so everything is lost.
    const historyIsComplete = this.log.length > 0 && this.log[0]!.revision <= 1;
    const kept = historyIsComplete ? this.log.filter((change) => change.at <= until) : [];
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

  /** Handles one request. The response to a watch may be sent later. */
  handle({ method, url, body }: JsonRequest, respond: Respond): void {
    if (this.isDown) return void respond(503, { error: 'trouble' });
    this.counts.requests++;
    if (!this.requests.take(1)) {
      this.counts.refused++;
      return void respond(429, { error: 'requests' });
    }
    const path = url.pathname;
    if (path === '/follow') return this.follow(url, respond);
    respond(...this.handleImmediate(method, path, url, body));
  }

  private handleImmediate(method: string, path: string, url: URL, body: unknown): StatusAndBody {
    if (path === '/multi') return this.transact(body as WireTransaction);
    if (path === '/kv') return [200, this.page(url)];
    if (path.startsWith('/kv/')) return this.read(path.slice('/kv/'.length));
    if (path === '/grants') return this.grant((body as { ttlMs: number }).ttlMs);
    return this.leaseCall(method, path);
  }

  private grant(ttlMs: number): StatusAndBody {
    const id = this.nextLease++;
    this.startLease(id, ttlMs);
    return [200, { tenancy: id }];
  }

  private leaseCall(method: string, path: string): StatusAndBody {
    const match = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (match === null) return [400, {}];
    const id = Number(match[1]);
    const lease = this.leases.get(id);
    if (match[2] !== undefined && lease !== undefined) this.startLease(id, lease.ttlMs);
    if (method === 'DELETE') this.expire(id);
    return [lease === undefined ? 404 : 200, {}];
  }

  private read(key: string): StatusAndBody {
    const stored = this.keys.get(key);
    return stored === undefined
      ? [404, { ledgerRev: this.revision }]
      : [200, { k: key, value: stored.value, stamp: stored.revision }];
  }

  private page(url: URL): unknown {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after');
    const limit = Math.min(MAX_PAGE_ENTRIES, Number(url.searchParams.get('limit') ?? MAX_PAGE_ENTRIES));
    this.sorted ??= [...this.keys.keys()].sort();
    const entries: unknown[] = [];
    let size = 0;
    let more = false;
    for (const key of this.sorted) {
      if (!key.startsWith(prefix) || (after !== null && key <= after)) continue;
      if (entries.length >= limit || size > MAX_PAGE_BYTES) {
        more = true;
        break;
      }
      const { value, revision: stamp } = this.keys.get(key)!;
      size += JSON.stringify(value).length + key.length + 40;
      entries.push({ k: key, value, stamp });
    }
    return { entries, more, ledgerRev: this.revision };
  }

  private transact({ when = [], then = [] }: WireTransaction): StatusAndBody {
    if (!this.writes.take(then.length)) {
      this.counts.refused++;
      return [429, { error: 'changes' }];
    }
    this.counts.changes += then.length;
    const violation = transactionViolation(
      { when, then },
      { valueBytes: this.limits.valueKb * 1024, txnOps: this.limits.transactionOps },
    );
    if (violation !== null) {
      this.counts.rejected++;
      return [400, { error: violation }];
    }
    for (const { tenancy } of then)
      if (tenancy !== undefined && !this.leases.has(tenancy)) return [400, { error: 'no such lease' }];
    const failed = when
      .filter((condition) => (this.keys.get(condition.k)?.revision ?? 0) !== condition.stamp)
      .map((condition) => condition.k);
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
    if (this.log.length > MAX_LOG_ENTRIES) this.log.splice(0, WATCH_HISTORY);
  }

  private startLease(id: number, ttlMs: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.expire(id), ttlMs + LEASE_EXPIRY_DELAY_MS) });
  }

  private expire(id: number): void {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const expiredKeys = [...this.keys].filter(([, stored]) => stored.lease === id).map(([key]) => key);
    if (expiredKeys.length === 0) return;
    this.revision++;
    for (const key of expiredKeys) this.put(key, undefined, null);
    this.notify();
  }

  private notify(): void {
    for (const check of [...this.watchers]) check();
  }

  /** Returns the changes of keys with a prefix after a revision; null if the history no longer contains them all. */
  private changes(prefix: string, after: number): unknown[] | null {
    const oldest = this.log[Math.max(0, this.log.length - WATCH_HISTORY)];
    if (oldest !== undefined && after < oldest.revision - 1) return null;
    const changes: unknown[] = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i]!.revision > after; i--) {
      const { key, value, revision: stamp } = this.log[i]!;
      if (!key.startsWith(prefix)) continue;
      changes.push(value === undefined ? { delete: key, stamp } : { set: key, value, stamp });
    }
    return changes.reverse();
  }

  private follow(url: URL, respond: Respond): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const blockMs = Math.min(MAX_WATCH_MS, Number(url.searchParams.get('blockMs') ?? 0));
    const respondWithChanges = (log: unknown[] | null): void => {
      if (log === null) respond(410, {});
      else this.counts.followBytes += respond(200, { ledgerRev: this.revision, log });
    };
    const pastChanges = this.changes(prefix, after);
    if (pastChanges === null || pastChanges.length > 0 || blockMs === 0)
      return respondWithChanges(pastChanges);
    const finish = (): void => {
      this.watchers.delete(check);
      clearTimeout(timer);
      respondWithChanges(this.changes(prefix, after));
    };
    const check = (): void => {
      if (!this.isDown && this.changes(prefix, after)?.length !== 0) finish();
    };
    const timer = setTimeout(finish, blockMs);
    this.watchers.add(check);
  }
}
