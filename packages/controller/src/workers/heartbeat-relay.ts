/**
 * Reports that reach a follower. It passes them to the leader as they came, several in one message, and gives the
 * worker the leader's own answer, token and all. So a worker need not find the leader: one that stands still, ends, or
 * can't be reached by the workers costs only those that talk to that very node, and a new leader is not met by all
 * workers' connections at once.
 *
 * What passes is a report and its answer, nothing else: a follower that holds either for too long has it dropped,
 * by the book (an older tick) or by the worker (which waits 4 s). A follower reads nothing of a report but who sent
 * it: decoding it here and encoding it again cost more than all that the leader does with it.
 */
import { Effect, Queue } from 'effect';
import { pack, unpack } from 'msgpackr';
import { supervise } from '@lilacvalve/runtime/supervise';
import { type Answer, json, type Quick, retryLater } from '@lilacvalve/runtime/http-server';
import type { NoAnswer } from '@lilacvalve/runtime/http-client';
import { type Micros, millis } from '@lilacvalve/runtime/micros';
import { recordAnomaly, countMetric } from '../metrics.js';
import type { Peer } from '../settings/settings.js';
import { type Answers, plainBody, type Receive, type HeartbeatReader, senderOf } from './codec.js';

/** Carries a batch to the leader and its answers back. */
export interface RelayPort {
  relay(peer: Peer, batch: Buffer): Effect.Effect<Buffer, NoAnswer>;
}

/** Reports are gathered for so long before they are passed on: longer where many come, which saves messages. */
const GATHER_MS = { few: 80, many: 160, most: 240 };
const MANY = 4;
const VERY_MANY = 12;
const gatherMs = (last: number): number =>
  last > VERY_MANY ? GATHER_MS.most : last > MANY ? GATHER_MS.many : GATHER_MS.few;
/** A leader may wait for its next turn before it answers; past this it stands still. */
export const RELAY_TIMEOUT_MS = 2500;
/** Batches on their way at once; what comes meanwhile is gathered. */
const FLYING = 6;
/** Reports in one batch: a large one would keep the leader from others. */
const MOST = 60;
/** Reports that wait to be passed on: what all batches on their way hold, once more. Past it the worker tries elsewhere. */
const MOST_WAITING = FLYING * MOST;
/** A report that has waited here for longer would reach its worker's time-out before its answer does. */
const LONGEST_WAIT = millis(1200);

interface Waiting {
  readonly report: Buffer;
  readonly since: Micros;
  readonly reply: (a: Answer) => void;
}

export class HeartbeatRelay {
  private waiting: Waiting[] = [];
  private flying = 0;
  /** In the last batch. */
  private gathered = 0;
  private readonly wake = Effect.runSync(Queue.sliding<void>(1));

  constructor(
    private readonly port: RelayPort,
    private readonly leader: () => Peer | null,
    private readonly heard: (label: string) => void,
    private readonly clock: () => Micros,
  ) {}

  /** Replies with the leader's answer to a report; with 503, at once, when it can't be had. */
  pass(report: Buffer, reply: (a: Answer) => void): void {
    if (this.waiting.length >= MOST_WAITING) return reply(retryLater('too many reports'));
    this.waiting.push({ report, since: this.clock(), reply });
    if (this.waiting.length === 1) Queue.unsafeOffer(this.wake, undefined);
  }

  readonly run: Effect.Effect<never> = supervise(
    'relay',
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
    const flights: Waiting[][] = [];
    while (this.waiting.length > 0 && this.flying < FLYING) {
      this.flying++;
      flights.push(this.waiting.splice(0, MOST));
    }
    const old = this.clock() - LONGEST_WAIT;
    if (this.waiting.length > 0 && this.waiting[0]!.since < old) {
      const late = this.waiting.filter((w) => w.since < old);
      this.waiting = this.waiting.filter((w) => w.since >= old);
      for (const w of late) w.reply(retryLater('too many reports'));
    }
    return Effect.forEach(flights, (batch) => Effect.forkDaemon(this.fly(peer, batch)), { discard: true });
  }

  private fly(peer: Peer, batch: readonly Waiting[]): Effect.Effect<void> {
    return this.port.relay(peer, pack(batch.map((w) => w.report))).pipe(
      Effect.map((body) => {
        this.heard(peer.label);
        return readAnswers(body, batch.length);
      }),
      Effect.orElseSucceed(() => null),
      Effect.map((answers) => {
        this.flying--;
        batch.forEach((w, i) => w.reply(answerOf(answers, i)));
        if (this.waiting.length > 0) Queue.unsafeOffer(this.wake, undefined);
      }),
    );
  }
}

/** The answer to the `i`th report; null: the leader has not answered. */
export const answerOf = (answers: Answers | null, i: number): Answer => {
  if (answers === null) return retryLater('leader not reached');
  const body = answers.bodies[i]!;
  if (body === null) return json(400, { error: 'malformed report' });
  return { status: 200, body: body === '' ? plainBody(answers.term) : body };
};

/** null: not the answers of a leader to so many reports. */
const readAnswers = (body: Buffer, count: number): Answers | null => {
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

const readBatch = (body: Buffer): Buffer[] | null => {
  try {
    const v: unknown = unpack(body);
    return Array.isArray(v) && v.every((r) => r instanceof Uint8Array) ? (v as Buffer[]) : null;
  } catch {
    return null;
  }
};

/** The leader's side: a batch comes in, its answers go back; 503 if it does not lead. */
export const relayHandler =
  (receive: Receive, reader: HeartbeatReader): Quick =>
  (request, reply) => {
    const batch = request.body === null ? null : readBatch(request.body);
    if (batch === null) {
      recordAnomaly('malformed', 'malformed batch', () => ({}));
      reply(json(400, {}));
      return true;
    }
    countMetric('relayed', batch.length);
    receive(
      batch.map((b) => {
        const report = reader.read(b);
        if (report === null) recordAnomaly('malformed', 'malformed report', () => ({ machine: senderOf(b) }));
        return report;
      }),
      (answers) =>
        reply(
          answers === null
            ? retryLater('not leading')
            : {
                status: 200,
                body: pack([answers.term, answers.bodies]),
                headers: { 'Content-Type': 'application/msgpack' },
              },
        ),
    );
    return true;
  };
