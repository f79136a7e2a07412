/**
 * Client of the state service. Failures keep apart what the caller must treat differently: `Refused` was
 * surely not carried out, `NoAnswer` may have been, or may be later.
 */
import { Data, Effect } from 'effect';
import { HttpClient, keptOpen, type NoAnswer, type Reply } from '@lilacvalve/runtime/http-client';
import { type Micros, now, toMillis } from '@lilacvalve/runtime/micros';
import { countMetric } from '../metrics.js';
import type { Settings } from '../settings/settings.js';
import { Parts, Priority } from './budget.js';

/** The service said it did not carry the request out (429, 503, 400). */
export class Refused extends Data.TaggedError('Refused')<{
  readonly status: number;
  readonly reason: string;
}> {}
export type StateFailure = Refused | NoAnswer;

export interface Condition {
  readonly key: string;
  readonly stamp: number;
}
export type Write =
  { readonly set: string; readonly value: unknown; readonly lease?: number } | { readonly delete: string };
export type Outcome =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly failed: readonly string[]; readonly revision: number };
export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly stamp: number;
}
/** One key's value; where it does not exist, as of which revision (null: not said). */
export interface Found {
  readonly entry: Entry | null;
  readonly revision: number | null;
}
export interface Page {
  readonly entries: readonly Entry[];
  readonly more: boolean;
  readonly revision: number;
}
export interface Change {
  readonly key: string;
  /** undefined: the key was deleted. */
  readonly value: unknown;
  readonly stamp: number;
}
export type Changes =
  | { readonly tooOld: true }
  | { readonly tooOld: false; readonly revision: number; readonly changes: readonly Change[] };

const safe = (n: unknown): number => {
  // Beyond 2^53 two revisions could compare equal; refuse rather than act on a wrong comparison.
  if (typeof n !== 'number' || !Number.isSafeInteger(n))
    throw new Error(`counter out of range: ${String(n)}`);
  return n;
};

export class StateStore {
  private readonly client: HttpClient;
  private readonly parts: Parts;
  /** When the service last served this node. */
  lastServed = Number.NEGATIVE_INFINITY;
  /** When the service last refused with 503, or gave no answer. */
  lastRefused = Number.NEGATIVE_INFINITY;

  constructor(
    settings: Pick<Settings, 'stateAddress' | 'nodes' | 'state'>,
    private readonly clock: () => Micros = now,
  ) {
    this.client = new HttpClient(settings.stateAddress, keptOpen(24));
    this.parts = new Parts(settings.nodes, settings.state);
  }

  leading(yes: boolean): void {
    this.parts.leading(yes);
  }

  /** How long a change asked for now would wait for its part of the rate. */
  writeWait(): Micros {
    return this.parts.writes.wait();
  }

  transact(
    when: readonly Condition[],
    then: readonly Write[],
    priority: Priority,
    timeoutMs: number,
  ): Effect.Effect<Outcome, StateFailure> {
    const body = JSON.stringify({
      when: when.map((c) => ({ k: c.key, stamp: c.stamp })),
      then: then.map((w) =>
        'set' in w ? { set: w.set, value: w.value, tenancy: w.lease } : { delete: w.delete },
      ),
    });
    return this.parts.writes.take(priority, then.length).pipe(
      Effect.zipRight(this.call('POST', '/multi', body, priority, timeoutMs)),
      Effect.flatMap((reply): Effect.Effect<Outcome, StateFailure> => {
        const value = parse(reply);
        if (reply.status === 200) return Effect.succeed({ ok: true, revision: safe(value.ledgerRev) });
        if (reply.status === 409) {
          return Effect.succeed({
            ok: false,
            failed: (value.failed ?? []) as string[],
            revision: safe(value.ledgerRev),
          });
        }
        return this.refused(reply);
      }),
    );
  }

  get(key: string, timeoutMs = 1000): Effect.Effect<Found, StateFailure> {
    return this.call('GET', `/kv/${key}`, null, Priority.Read, timeoutMs).pipe(
      Effect.flatMap((reply): Effect.Effect<Found, StateFailure> => {
        const v = parse(reply);
        if (reply.status === 404)
          return Effect.succeed({
            entry: null,
            revision: v.ledgerRev === undefined ? null : safe(v.ledgerRev),
          });
        if (reply.status !== 200) return this.refused(reply);
        return Effect.succeed({ entry: { key, value: v.value, stamp: safe(v.stamp) }, revision: null });
      }),
    );
  }

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
        const v = parse(reply);
        const entries = ((v.entries ?? []) as { k: string; value: unknown; stamp: number }[]).map((e) => ({
          key: e.k,
          value: e.value,
          stamp: safe(e.stamp),
        }));
        return Effect.succeed({ entries, more: v.more === true, revision: safe(v.ledgerRev) });
      }),
    );
  }

  follow(prefix: string, after: number, blockMs: number): Effect.Effect<Changes, StateFailure> {
    const path = `/follow?prefix=${encodeURIComponent(prefix)}&after=${after}&blockMs=${blockMs}`;
    return this.call('GET', path, null, blockMs === 0 ? Priority.Commit : Priority.Read, blockMs + 1500).pipe(
      Effect.flatMap((reply): Effect.Effect<Changes, StateFailure> => {
        if (reply.status === 410) return Effect.succeed({ tooOld: true });
        if (reply.status !== 200) return this.refused(reply);
        const v = parse(reply);
        const log = (v.log ?? []) as { set?: string; delete?: string; value?: unknown; stamp: number }[];
        return Effect.succeed({
          tooOld: false,
          revision: safe(v.ledgerRev),
          changes: log.map((e) => ({
            key: (e.set ?? e.delete)!,
            value: e.set === undefined ? undefined : e.value,
            stamp: safe(e.stamp),
          })),
        });
      }),
    );
  }

  grant(ttl: Micros): Effect.Effect<number, StateFailure> {
    return this.call('POST', '/grants', JSON.stringify({ ttlMs: toMillis(ttl) }), Priority.Lease, 1500).pipe(
      Effect.flatMap((r) => (r.status === 200 ? Effect.succeed(safe(parse(r).tenancy)) : this.refused(r))),
    );
  }

  /** true: extended; false: the lease is gone. */
  extend(lease: number, timeoutMs: number): Effect.Effect<boolean, StateFailure> {
    return this.call('POST', `/grants/${lease}/extend`, '{}', Priority.Lease, timeoutMs).pipe(
      Effect.flatMap((r): Effect.Effect<boolean, StateFailure> => {
        if (r.status === 200) return Effect.succeed(true);
        return r.status === 404 ? Effect.succeed(false) : this.refused(r);
      }),
    );
  }

  release(lease: number): Effect.Effect<void, StateFailure> {
    return this.call('DELETE', `/grants/${lease}`, null, Priority.Lease, 800).pipe(Effect.asVoid);
  }

  private refused(reply: Reply): Effect.Effect<never, Refused> {
    if (reply.status === 429) {
      this.parts.drain();
    }
    return Effect.fail(new Refused({ status: reply.status, reason: reply.body.toString('utf8', 0, 200) }));
  }

  private call(
    method: string,
    path: string,
    body: string | null,
    priority: Priority,
    timeoutMs: number,
  ): Effect.Effect<Reply, NoAnswer> {
    countMetric('store');
    return this.parts.requests.take(priority, 1).pipe(
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

// eslint-disable-next-line @typescript-eslint/no-explicit-any
const parse = (reply: Reply): any => {
  try {
    return JSON.parse(reply.body.toString('utf8')) ?? {};
  } catch {
    return {};
  }
};
