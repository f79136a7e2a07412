/**
 * Reports that reach a follower. It passes them to the leader, several in one message, and gives the worker the
 * leader's own answer, token and all. So a worker need not find the leader: one that stands still, ends, or can't
 * be reached by the workers costs only those that talk to that very node, and a new leader is not met by all
 * workers' connections at once.
 *
 * What passes is a report and its answer, nothing else: a follower that holds either for too long has it dropped,
 * by the book (an older tick) or by the worker (which waits 4 s).
 */
import { Effect } from 'effect';
import { pack, unpack } from 'msgpackr';
import type { Answer, Incoming } from '../base/http-server.js';
import { json, retryLater } from '../base/http-server.js';
import { HttpClient, keptOpen, type NoAnswer } from '../base/http-client.js';
import type { Peer } from '../settings/settings.js';
import type { Report } from './codec.js';

/** Carries a batch to the leader and its answers back. */
export interface RelayPort {
  relay(peer: Peer, batch: Buffer): Effect.Effect<Buffer, NoAnswer>;
}

/** Reports are gathered for so long before they are passed on. */
const GATHER_MS = 80;
/** A leader may wait for its next turn before it answers; past this it stands still. */
export const RELAY_TIMEOUT_MS = 2500;
/** Batches on their way at once; what comes meanwhile is gathered. */
const FLYING = 6;
/** Reports in one batch: a large one would keep the leader from others. */
const MOST = 60;

interface Waiting {
  readonly report: Report;
  readonly answer: (a: Answer) => void;
}

export class Relay {
  private waiting: Waiting[] = [];
  private flying = 0;
  private armed = false;

  constructor(
    private readonly port: RelayPort,
    private readonly heard: (label: string) => void,
  ) {}

  /** The leader's answer to a report; 503 at once when it can't be had. */
  pass(report: Report, leader: () => Peer | null): Effect.Effect<Answer> {
    return Effect.async<Answer>((resume) => {
      const entry: Waiting = { report, answer: (a) => resume(Effect.succeed(a)) };
      this.waiting.push(entry);
      return Effect.sync(() => {
        this.waiting = this.waiting.filter((w) => w !== entry);
      });
    }).pipe((answered) => Effect.zipRight(Effect.forkDaemon(this.flushSoon(leader)), answered));
  }

  private flushSoon(leader: () => Peer | null): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.armed) return Effect.void;
      this.armed = true;
      return Effect.sleep(GATHER_MS).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            this.armed = false;
            return this.flush(leader);
          }),
        ),
      );
    });
  }

  private flush(leader: () => Peer | null): Effect.Effect<void> {
    return Effect.suspend(() => {
      const peer = leader();
      if (peer === null) {
        for (const w of this.waiting.splice(0)) w.answer(retryLater('leader unknown'));
        return Effect.void;
      }
      if (this.waiting.length === 0 || this.flying >= FLYING) return Effect.void;
      const batch = this.waiting.splice(0, MOST);
      this.flying++;
      return this.port.relay(peer, Buffer.from(pack(batch.map((w) => w.report)))).pipe(
        Effect.map((body) => {
          this.heard(peer.label);
          return readAnswers(body, batch.length);
        }),
        Effect.orElseSucceed(() => null),
        Effect.flatMap((answers) => {
          this.flying--;
          batch.forEach((w, i) => {
            const body = answers?.[i];
            w.answer(body === undefined ? retryLater('leader not reached') : { status: 200, body });
          });
          return this.waiting.length > 0 ? this.flushSoon(leader) : Effect.void;
        }),
      );
    });
  }
}

/** null: not the answers of a leader to so many reports. */
const readAnswers = (body: Buffer, count: number): string[] | null => {
  try {
    const v: unknown = unpack(body);
    return Array.isArray(v) && v.length === count && v.every((x) => typeof x === 'string') ? v : null;
  } catch {
    return null;
  }
};

const readBatch = (body: Buffer): Report[] | null => {
  try {
    const v = unpack(body) as Report[];
    const sound = (r: Report): boolean =>
      typeof r.machine === 'string' &&
      Number.isSafeInteger(r.tenure) &&
      Number.isSafeInteger(r.tick) &&
      Number.isSafeInteger(r.token) &&
      Array.isArray(r.tasks);
    return Array.isArray(v) && v.every(sound) ? v : null;
  } catch {
    return null;
  }
};

/** The leader's side: a batch comes in, the bodies of its answers go back; 503 if it does not lead. */
export const relayHandler =
  (receive: (reports: readonly Report[]) => Effect.Effect<readonly string[] | null>) =>
  (request: Incoming): Effect.Effect<Answer> =>
    Effect.suspend(() => {
      const batch = request.body === null ? null : readBatch(request.body);
      if (batch === null) return Effect.succeed(json(400, {}));
      return receive(batch).pipe(
        Effect.map((bodies) =>
          bodies === null
            ? retryLater('not leading')
            : {
                status: 200,
                body: Buffer.from(pack(bodies)),
                headers: { 'Content-Type': 'application/msgpack' },
              },
        ),
      );
    });

export class HttpRelay implements RelayPort {
  private readonly clients = new Map<string, HttpClient>();

  relay(peer: Peer, batch: Buffer): Effect.Effect<Buffer, NoAnswer> {
    let c = this.clients.get(peer.label);
    if (!c)
      this.clients.set(
        peer.label,
        (c = new HttpClient(peer.address, keptOpen(FLYING), 'application/msgpack')),
      );
    return c.request('POST', '/relay', batch, RELAY_TIMEOUT_MS).pipe(Effect.map((r) => r.body));
  }
}
