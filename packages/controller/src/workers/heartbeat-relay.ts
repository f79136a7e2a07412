/**
 * Heartbeats that reach a follower. It forwards them to the leader as they came, several in one message, and gives the
 * worker the leader's own response with its fencing token. So a worker need not find the leader: a controller that stalls,
 * fails or can't be reached costs only the workers that talk to it, and a new leader is not met by all workers' connections
 * at once.
 *
 * Only a heartbeat and its response are forwarded: if a follower holds either for too long, the registry drops it as stale
 * or the worker has given up waiting (4 s). A follower decodes nothing of a heartbeat but its sender: decoding it here and
 * encoding it again cost more than all that the leader does with it.
 */
import { Effect, Queue } from 'effect';
import { pack, unpack } from 'msgpackr';
import { supervise } from '@lilacvalve/runtime/supervise';
import { type Answer, json, type Quick, retryLater } from '@lilacvalve/runtime/http-server';
import type { NoAnswer } from '@lilacvalve/runtime/http-client';
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

/** Carries a batch of heartbeats to the leader and its responses back. */
export interface RelayPort {
  relay(peer: Peer, batch: Buffer): Effect.Effect<Buffer, NoAnswer>;
}

/** Heartbeats are gathered for so long before they are forwarded: longer where many come, which saves messages. */
const GATHER_MS = { few: 80, many: 160, most: 240 };
const MANY = 4;
const VERY_MANY = 12;
const gatherMs = (last: number): number =>
  last > VERY_MANY ? GATHER_MS.most : last > MANY ? GATHER_MS.many : GATHER_MS.few;
/** A leader may wait for its next scheduling cycle before it answers; past this it has stalled. */
export const RELAY_TIMEOUT_MS = 2500;
/** Batches in flight at once; what comes meanwhile is gathered. */
const MAX_BATCHES_IN_FLIGHT = 6;
/** Heartbeats in one batch: a large one would keep the leader from others. */
const MAX_BATCH = 60;
/** Heartbeats waiting to be forwarded: as many as all batches in flight hold. Past it the worker tries another controller. */
const MAX_WAITING = MAX_BATCHES_IN_FLIGHT * MAX_BATCH;
/** A heartbeat that has waited here for longer would reach its worker's timeout before its response does. */
const MAX_WAIT = millis(1200);

interface Waiting {
  readonly heartbeat: Buffer;
  readonly since: Micros;
  readonly reply: (a: Answer) => void;
}

/** A follower's side. */
export class HeartbeatRelay {
  private waiting: Waiting[] = [];
  private inFlight = 0;
  /** How many heartbeats were gathered last. */
  private gathered = 0;
  private readonly wake = Effect.runSync(Queue.sliding<void>(1));

  constructor(
    private readonly port: RelayPort,
    private readonly leader: () => Peer | null,
    private readonly noteAnswer: (label: string) => void,
    private readonly clock: () => Micros,
  ) {}

  /** Replies with the leader's response to a heartbeat; with 503, at once, when it can't be had. */
  forward(heartbeat: Buffer, reply: (a: Answer) => void): void {
    if (this.waiting.length >= MAX_WAITING) return reply(retryLater('too many reports'));
    this.waiting.push({ heartbeat, since: this.clock(), reply });
    if (this.waiting.length === 1) Queue.unsafeOffer(this.wake, undefined);
  }

  /** Forwards what is waiting, for ever. */
  readonly run: Effect.Effect<never> = supervise(
    'heartbeat-relay',
    Effect.suspend(() => Queue.take(this.wake)).pipe(
      Effect.zipRight(Effect.suspend(() => Effect.sleep(gatherMs(this.gathered)))),
      Effect.zipRight(Effect.suspend(() => this.flush())),
      Effect.forever,
    ),
  );

  private flush(): Effect.Effect<void> {
    this.gathered = this.waiting.length;
    const peer = this.leader();
    if (peer === null) {
      for (const w of this.waiting.splice(0)) w.reply(retryLater('leader unknown'));
      return Effect.void;
    }
    const batches: Waiting[][] = [];
    while (this.waiting.length > 0 && this.inFlight < MAX_BATCHES_IN_FLIGHT) {
      this.inFlight++;
      batches.push(this.waiting.splice(0, MAX_BATCH));
    }
    const limit = this.clock() - MAX_WAIT;
    if (this.waiting.length > 0 && this.waiting[0]!.since < limit) {
      const late = this.waiting.filter((w) => w.since < limit);
      this.waiting = this.waiting.filter((w) => w.since >= limit);
      for (const w of late) w.reply(retryLater('too many reports'));
    }
    return Effect.forEach(batches, (batch) => Effect.forkDaemon(this.send(peer, batch)), { discard: true });
  }

  private send(peer: Peer, batch: readonly Waiting[]): Effect.Effect<void> {
    return this.port.relay(peer, pack(batch.map((w) => w.heartbeat))).pipe(
      Effect.map((body) => {
        this.noteAnswer(peer.label);
        return decodeResponses(body, batch.length);
      }),
      Effect.orElseSucceed(() => null),
      Effect.map((responses) => {
        this.inFlight--;
        batch.forEach((w, i) => w.reply(responseAt(responses, i)));
        if (this.waiting.length > 0) Queue.unsafeOffer(this.wake, undefined);
      }),
    );
  }
}

/** The HTTP response to the heartbeat at `index`; `responses` is null where the leader has not answered. */
export const responseAt = (responses: HeartbeatResponses | null, index: number): Answer => {
  if (responses === null) return retryLater('leader not reached');
  const body = responses.bodies[index]!;
  if (body === null) return json(400, { error: 'malformed report' });
  return { status: 200, body: body === '' ? emptyResponse(responses.term) : body };
};

/** null: not a leader's responses to so many heartbeats. */
const decodeResponses = (body: Buffer, count: number): HeartbeatResponses | null => {
  try {
    const [term, bodies] = unpack(body) as [number, (string | null)[]];
    return Number.isSafeInteger(term) &&
      Array.isArray(bodies) &&
      bodies.length === count &&
      bodies.every((x) => x === null || typeof x === 'string')
      ? { term, bodies }
      : null;
  } catch {
    return null;
  }
};

/** null: not a batch of heartbeats. */
const decodeBatch = (body: Buffer): Buffer[] | null => {
  try {
    const batch: unknown = unpack(body);
    const isBatch = Array.isArray(batch) && batch.every((b) => b instanceof Uint8Array);
    return isBatch ? (batch as Buffer[]) : null;
  } catch {
    return null;
  }
};

/** The leader's side: a batch comes in, its responses go back; 503 if this controller does not lead. */
export const relayHandler =
  (receive: ReceiveHeartbeats, reader: HeartbeatReader): Quick =>
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
