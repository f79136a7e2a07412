/**
 * Client of the state service, a consensus-backed key-value store: compare-and-swap transactions, paged reads, a watch and
 * leases. A request fails in one of three ways that callers must distinguish: after `Refused` it certainly has no effect,
 * and a repetition may succeed; after `Rejected` it has no effect, and a repetition never succeeds; after `NoResponse` it
 * may have taken effect, or may still do so later. The service's field names (`k`, `stamp`, `ledgerRev`, `tenancy`, ...)
 * occur here and in
 * `transaction.ts` only.
 */
import { Data, Effect } from 'effect';
import {
  HttpClient,
  keepAliveAgent,
  type NoResponse,
  type ReceivedResponse,
} from '@lilacvalve/runtime/http-client';
import { error } from '@lilacvalve/runtime/log';
import { type Micros, monotonicNow, toMillis } from '@lilacvalve/runtime/micros';
import { countMetric } from '../metrics.js';
import type { Settings } from '../settings/settings.js';
import { StoreBudgets, Priority } from './budget.js';
import { type Condition, type Write, wireTransaction } from './transaction.js';
import { measureTransaction } from './transaction-limits.js';

export { type Condition, type Write, wireTransaction };

/** The service responded that it has not carried out the request for now (status 429, 503). */
export class Refused extends Data.TaggedError('Refused')<{
  readonly status: number;
  readonly reason: string;
}> {}
/**
 * The service responded that the request is malformed, exceeds a limit, or names a lease that does not exist (status 400).
 * It has not been carried out and never will be: callers must not send it again as it is.
 */
export class Rejected extends Data.TaggedError('Rejected')<{
  readonly reason: string;
}> {}
/** Why a request to the state service failed. */
export type StateFailure = Refused | Rejected | NoResponse;

/**
 * A revision or a lease's number is missing or is not a safe integer. From 2^53 on, numbers can't be compared exactly, and
 * the client fails rather than act on a wrong comparison.
 */
export class CounterOutOfRange extends Data.TaggedError('CounterOutOfRange')<{ readonly value: unknown }> {
  override get message(): string {
    return `counter out of range: ${String(this.value)}`;
  }
}

/** Result of a transaction. If it was not applied, `failed` lists the keys whose conditions did not hold. */
export type Outcome =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly failed: readonly string[]; readonly revision: number };
/** A key's value and the revision of its last change. */
export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}
/** Result of reading one key. */
export interface Found {
  /** null: the key does not exist. */
  readonly entry: Entry | null;
  /** The store's revision at which the key did not exist; null: the key exists, or the service does not report it. */
  readonly revision: number | null;
}
/** Some of the keys below a prefix, in key order. `more`: further keys follow. */
export interface Page {
  readonly entries: readonly Entry[];
  readonly more: boolean;
  readonly revision: number;
}
/** One change of a key, as the watch reports it. */
export interface Change {
  readonly key: string;
  /** undefined: the key was deleted. */
  readonly value: unknown;
  readonly revision: number;
}
/** The response to a watch request. `tooOld`: the service no longer has the changes after the requested revision. */
export type Changes =
  | { readonly tooOld: true }
  | { readonly tooOld: false; readonly revision: number; readonly changes: readonly Change[] };

const safeCounter = (value: unknown): number => {
  if (typeof value !== 'number' || !Number.isSafeInteger(value)) throw new CounterOutOfRange({ value });
  return value;
};

/** The fields of the service's response bodies. */
interface WireBody {
  readonly ledgerRev?: unknown;
  readonly stamp?: unknown;
  readonly value?: unknown;
  readonly tenancy?: unknown;
  readonly more?: unknown;
  readonly failed?: readonly string[];
  readonly entries?: readonly { readonly k: string; readonly value: unknown; readonly stamp: unknown }[];
  readonly log?: readonly {
    readonly set?: string;
    readonly delete?: string;
    readonly value?: unknown;
    readonly stamp: unknown;
  }[];
}

/** One controller's client, which keeps to the controller's fraction of the service's rate limits. */
export class StateStore {
  private readonly client: HttpClient;
  private readonly budgets: StoreBudgets;
  /** When the service last responded with another status than 503. */
  lastServed = Number.NEGATIVE_INFINITY;
  /** When the service last responded with status 503, or a request last got no response. */
  lastRefused = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly settings: Pick<Settings, 'stateAddress' | 'controllerCount' | 'state'>,
    private readonly clock: () => Micros = monotonicNow,
  ) {
    this.client = new HttpClient(settings.stateAddress, keepAliveAgent(24));
    this.budgets = new StoreBudgets(settings.controllerCount, settings.state);
  }

  /** Sets whether this controller leads: a leader gets a larger fraction of the rate limits. */
  leading(isLeader: boolean): void {
    this.budgets.leading(isLeader);
  }

  /** How long a write requested now would wait for this controller's write budget. */
  writeWait(): Micros {
    return this.budgets.writes.wait();
  }

  /** Compare-and-swap: applies all writes of `then` if all conditions of `when` hold, and none otherwise. */
  transact(
    when: readonly Condition[],
    then: readonly Write[],
    priority: Priority,
    timeoutMs: number,
  ): Effect.Effect<Outcome, StateFailure> {
    const body = JSON.stringify(wireTransaction(when, then));
    return this.budgets.writes.take(priority, then.length).pipe(
      Effect.zipRight(this.call('POST', '/multi', body, priority, timeoutMs)),
      Effect.flatMap((reply): Effect.Effect<Outcome, StateFailure> => {
        const body = parse(reply);
        if (reply.status === 200) return Effect.succeed({ ok: true, revision: safeCounter(body.ledgerRev) });
        if (reply.status === 409) {
          return Effect.succeed({
            ok: false,
            failed: body.failed ?? [],
            revision: safeCounter(body.ledgerRev),
          });
        }
        return this.refused(reply);
      }),
      Effect.tapErrorTag('Rejected', ({ reason }) =>
        error('transaction rejected', {
          reason,
          ...measureTransaction(when, then, body, this.settings.state),
        }),
      ),
    );
  }

  /** Reads one key. */
  get(key: string, timeoutMs = 1000): Effect.Effect<Found, StateFailure> {
    return this.call('GET', `/kv/${key}`, null, Priority.Read, timeoutMs).pipe(
      Effect.flatMap((reply): Effect.Effect<Found, StateFailure> => {
        const body = parse(reply);
        if (reply.status === 404)
          return Effect.succeed({
            entry: null,
            revision: body.ledgerRev === undefined ? null : safeCounter(body.ledgerRev),
          });
        if (reply.status !== 200) return this.refused(reply);
        return Effect.succeed({
          entry: { key, value: body.value, revision: safeCounter(body.stamp) },
          revision: null,
        });
      }),
    );
  }

  /** Reads up to `limit` keys below `prefix`, starting with the first one after the key `after`. */
  page(
    prefix: string,
    after: string | null,
    limit: number,
    priority: Priority = Priority.Read,
  ): Effect.Effect<Page, StateFailure> {
    const path = `/kv?prefix=${encodeURIComponent(prefix)}${after === null ? '' : `&after=${encodeURIComponent(after)}`}&limit=${limit}`;
    return this.call('GET', path, null, priority, 3000).pipe(
      Effect.flatMap((reply): Effect.Effect<Page, StateFailure> => {
        if (reply.status !== 200) return this.refused(reply);
        const body = parse(reply);
        const entries = (body.entries ?? []).map((entry) => ({
          key: entry.k,
          value: entry.value,
          revision: safeCounter(entry.stamp),
        }));
        return Effect.succeed({ entries, more: body.more === true, revision: safeCounter(body.ledgerRev) });
      }),
    );
  }

  /** Waits up to `blockMs` for changes below `prefix` after the revision `after`. */
  follow(prefix: string, after: number, blockMs: number): Effect.Effect<Changes, StateFailure> {
    const path = `/follow?prefix=${encodeURIComponent(prefix)}&after=${after}&blockMs=${blockMs}`;
    return this.call('GET', path, null, blockMs === 0 ? Priority.Commit : Priority.Read, blockMs + 1500).pipe(
      Effect.flatMap((reply): Effect.Effect<Changes, StateFailure> => {
        if (reply.status === 410) return Effect.succeed({ tooOld: true });
        if (reply.status !== 200) return this.refused(reply);
        const body = parse(reply);
        return Effect.succeed({
          tooOld: false,
          revision: safeCounter(body.ledgerRev),
          changes: (body.log ?? []).map((change) => ({
            key: (change.set ?? change.delete)!,
            value: change.set === undefined ? undefined : change.value,
            revision: safeCounter(change.stamp),
          })),
        });
      }),
    );
  }

  /** Requests a new lease of the duration `ttl`; returns its number. */
  grant(ttl: Micros): Effect.Effect<number, StateFailure> {
    return this.call('POST', '/grants', JSON.stringify({ ttlMs: toMillis(ttl) }), Priority.Lease, 1500).pipe(
      Effect.flatMap((reply) =>
        reply.status === 200 ? Effect.succeed(safeCounter(parse(reply).tenancy)) : this.refused(reply),
      ),
    );
  }

  /** Extends a lease; false: the lease no longer exists. */
  extend(lease: number, timeoutMs: number): Effect.Effect<boolean, StateFailure> {
    return this.call('POST', `/grants/${lease}/extend`, '{}', Priority.Lease, timeoutMs).pipe(
      Effect.flatMap((reply): Effect.Effect<boolean, StateFailure> => {
        if (reply.status === 200) return Effect.succeed(true);
        return reply.status === 404 ? Effect.succeed(false) : this.refused(reply);
      }),
    );
  }

  /** Releases a lease: the service deletes the keys that are attached to it. */
  release(lease: number): Effect.Effect<void, StateFailure> {
    return this.call('DELETE', `/grants/${lease}`, null, Priority.Lease, 800).pipe(Effect.asVoid);
  }

  private refused(reply: ReceivedResponse): Effect.Effect<never, Refused | Rejected> {
    const reason = reply.body.toString('utf8', 0, 200);
    if (reply.status === 400) return Effect.fail(new Rejected({ reason }));
    if (reply.status === 429) {
      this.budgets.drain();
    }
    return Effect.fail(new Refused({ status: reply.status, reason }));
  }

  private call(
    method: string,
    path: string,
    body: string | null,
    priority: Priority,
    timeoutMs: number,
  ): Effect.Effect<ReceivedResponse, NoResponse> {
    countMetric('store');
    return this.budgets.requests.take(priority, 1).pipe(
      Effect.zipRight(this.client.request(method, path, body, timeoutMs)),
      Effect.tap((reply) =>
        Effect.sync(() => {
          if (reply.status === 503) this.lastRefused = this.clock();
          else this.lastServed = this.clock();
        }),
      ),
      Effect.tapError(() =>
        Effect.sync(() => {
          this.lastRefused = this.clock();
        }),
      ),
    );
  }
}

/** Parses a response body. One that is not JSON counts as empty: a revision missing from it raises `CounterOutOfRange`. */
const parse = (reply: ReceivedResponse): WireBody => {
  try {
    return (JSON.parse(reply.body.toString('utf8')) ?? {}) as WireBody;
  } catch {
    return {};
  }
};
