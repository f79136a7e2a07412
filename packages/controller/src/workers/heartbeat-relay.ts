/**
 * Relays heartbeats from followers to the leader. A follower forwards heartbeats unchanged, in batches, and
 * returns the leader's response with the leader's fencing token to the worker. Workers therefore do not have to
 * find the leader: a controller that stalls, fails or is unreachable affects only the workers connected to it, and
 * a new leader does not receive connections from all workers at once.
 *
 * Delays are harmless: if a follower holds a heartbeat for too long, the registry drops it as stale, and if it
 * holds a response for too long, the worker has already timed out (4 s). A follower reads nothing from a heartbeat
 * but its sender, because decoding and encoding it again costs more than all of the leader's work on it.
 */
import { Effect, Queue } from 'effect';
import { pack, unpack } from 'msgpackr';
import { supervise } from '@lilacvalve/runtime/supervise';
import { type HttpResponse, json, type FastPathHandler, retryLater } from '@lilacvalve/runtime/http-server';
import type { NoResponse } from '@lilacvalve/runtime/http-client';
import { type Micros, millis } from '@lilacvalve/runtime/micros';
import { recordAnomaly, countMetric } from '../metrics.js';
import type { Peer } from '../settings/settings.js';
import {
  type HeartbeatResponses,
  emptyResponse,
  type ReceiveHeartbeats,
  type HeartbeatReader,
  senderOf,
} from './codec.js';

/** Transport of heartbeat batches to the leader and of their responses back. */
export interface RelayPort {
  relay(peer: Peer, batch: Buffer): Effect.Effect<Buffer, NoResponse>;
}

/**
 * Delay before collected heartbeats are forwarded, in milliseconds. It grows with the size of the previous batch,
 * to save messages.
 */
const BATCHING_DELAY_MS = { low: 80, medium: 160, high: 240 };
/** Batch sizes above which the medium and the high delay apply. */
const MEDIUM_BATCH = 4;
const LARGE_BATCH = 12;
const batchingDelayMs = (lastBatchSize: number): number =>
  lastBatchSize > LARGE_BATCH
    ? BATCHING_DELAY_MS.high
    : lastBatchSize > MEDIUM_BATCH
      ? BATCHING_DELAY_MS.medium
      : BATCHING_DELAY_MS.low;
/**
 * Timeout of a batch. A leader may wait for its next scheduling cycle before it responds; after this time it has
 * stalled.
 */
export const RELAY_TIMEOUT_MS = 2500;
/** Maximum number of batches in flight. Heartbeats that arrive meanwhile are collected. */
const MAX_BATCHES_IN_FLIGHT = 6;
/** Maximum number of heartbeats in a batch. A larger batch would delay the leader's other requests. */
const MAX_BATCH = 60;
/**
 * Maximum number of heartbeats waiting to be forwarded, equal to the capacity of all batches in flight. Beyond it,
 * workers are refused and try another controller.
 */
const MAX_PENDING = MAX_BATCHES_IN_FLIGHT * MAX_BATCH;
/**
 * Maximum time a heartbeat waits to be forwarded. After a longer wait, the worker would time out before the
 * response arrives.
 */
const MAX_QUEUE_TIME = millis(1200);

interface PendingHeartbeat {
  readonly heartbeat: Buffer;
  readonly since: Micros;
  readonly reply: (response: HttpResponse) => void;
}

/** Forwards heartbeats from a follower to the leader. */
export class HeartbeatRelay {
  private pending: PendingHeartbeat[] = [];
  private inFlight = 0;
  /** Number of heartbeats collected before the previous flush. */
  private lastBatchSize = 0;
  private readonly wake = Effect.runSync(Queue.sliding<void>(1));

  constructor(
    private readonly port: RelayPort,
    private readonly leader: () => Peer | null,
    private readonly noteResponse: (label: string) => void,
    private readonly clock: () => Micros,
  ) {}

  /**
   * Forwards a heartbeat and replies with the leader's response, or immediately with status 503 if too many
   * heartbeats are waiting.
   */
  forward(heartbeat: Buffer, reply: (response: HttpResponse) => void): void {
    if (this.pending.length >= MAX_PENDING) return reply(retryLater('too many reports'));
    this.pending.push({ heartbeat, since: this.clock(), reply });
    if (this.pending.length === 1) Queue.unsafeOffer(this.wake, undefined);
  }

  /** Forwards collected heartbeats; never ends. */
  readonly run: Effect.Effect<never> = supervise(
    'heartbeat-relay',
    Effect.suspend(() => Queue.take(this.wake)).pipe(
      Effect.zipRight(Effect.suspend(() => Effect.sleep(batchingDelayMs(this.lastBatchSize)))),
      Effect.zipRight(Effect.suspend(() => this.flush())),
      Effect.forever,
    ),
  );

  private flush(): Effect.Effect<void> {
    this.lastBatchSize = this.pending.length;
    const peer = this.leader();
    if (peer === null) {
      for (const waiter of this.pending.splice(0)) waiter.reply(retryLater('leader unknown'));
      return Effect.void;
    }
    const batches: PendingHeartbeat[][] = [];
    while (this.pending.length > 0 && this.inFlight < MAX_BATCHES_IN_FLIGHT) {
      this.inFlight++;
      batches.push(this.pending.splice(0, MAX_BATCH));
    }
    const oldestAllowed = this.clock() - MAX_QUEUE_TIME;
    if (this.pending.length > 0 && this.pending[0]!.since < oldestAllowed) {
      const overdue = this.pending.filter((waiter) => waiter.since < oldestAllowed);
      this.pending = this.pending.filter((waiter) => waiter.since >= oldestAllowed);
      for (const waiter of overdue) waiter.reply(retryLater('too many reports'));
    }
    return Effect.forEach(batches, (batch) => Effect.forkDaemon(this.send(peer, batch)), { discard: true });
  }

  private send(peer: Peer, batch: readonly PendingHeartbeat[]): Effect.Effect<void> {
    return this.port.relay(peer, pack(batch.map((waiter) => waiter.heartbeat))).pipe(
      Effect.map((body) => {
        this.noteResponse(peer.label);
        return decodeResponses(body, batch.length);
      }),
      Effect.orElseSucceed(() => null),
      Effect.map((responses) => {
        this.inFlight--;
        batch.forEach((waiter, index) => waiter.reply(responseAt(responses, index)));
        if (this.pending.length > 0) Queue.unsafeOffer(this.wake, undefined);
      }),
    );
  }
}

/** Builds the HTTP response to the heartbeat at `index`. `responses` is null if the leader did not respond. */
export const responseAt = (responses: HeartbeatResponses | null, index: number): HttpResponse => {
  if (responses === null) return retryLater('leader not reached');
  const body = responses.bodies[index]!;
  if (body === null) return json(400, { error: 'malformed report' });
  return { status: 200, body: body === '' ? emptyResponse(responses.term) : body };
};

/** Decodes a leader's responses; null if the body is not a list of exactly `count` responses. */
const decodeResponses = (body: Buffer, count: number): HeartbeatResponses | null => {
  try {
    const [term, bodies] = unpack(body) as [number, (string | null)[]];
    return Number.isSafeInteger(term) &&
      Array.isArray(bodies) &&
      bodies.length === count &&
      bodies.every((item) => item === null || typeof item === 'string')
      ? { term, bodies }
      : null;
  } catch {
    return null;
  }
};

/** Decodes a batch of heartbeats; null if the body is not one. */
const decodeBatch = (body: Buffer): Buffer[] | null => {
  try {
    const batch: unknown = unpack(body);
    const isBatch = Array.isArray(batch) && batch.every((item) => item instanceof Uint8Array);
    return isBatch ? (batch as Buffer[]) : null;
  } catch {
    return null;
  }
};

/**
 * Handles batches on the leader: decodes each heartbeat and returns all responses in one message, or status 503 if
 * this controller does not lead.
 */
export const relayHandler =
  (receive: ReceiveHeartbeats, reader: HeartbeatReader): FastPathHandler =>
  (request, reply) => {
    const batch = request.body === null ? null : decodeBatch(request.body);
    if (batch === null) {
      recordAnomaly('malformed', 'malformed heartbeat batch', () => ({}));
      reply(json(400, {}));
      return true;
    }
    countMetric('relayed', batch.length);
    receive(
      batch.map((body) => {
        const heartbeat = reader.read(body);
        if (heartbeat === null)
          recordAnomaly('malformed', 'malformed heartbeat', () => ({ machine: senderOf(body) }));
        return heartbeat;
      }),
      (responses) =>
        reply(
          responses === null
            ? retryLater('not leading')
            : {
                status: 200,
                body: pack([responses.term, responses.bodies]),
                headers: { 'Content-Type': 'application/msgpack' },
              },
        ),
    );
    return true;
  };
