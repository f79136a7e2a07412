/** What controllers tell each other, in msgpack: a beat with what each sees of the state service. */
import { Effect } from 'effect';
import { pack, unpack } from 'msgpackr';
import { duty } from '../base/duty.js';
import { HttpClient } from '../base/http-client.js';
import { type Answer, type Incoming, json } from '../base/http-server.js';
import type { Micros } from '../base/micros.js';
import type { Settings } from '../settings/settings.js';

export interface Beat {
  readonly from: string;
  readonly term: number;
  /** The state service serves the sender. */
  readonly served: boolean;
}

const EVERY_MS = 1000;
const FRESH = 3_500_000;

export class Peers {
  private readonly heard = new Map<string, { beat: Beat; at: Micros }>();
  private readonly clients: readonly HttpClient[];

  constructor(
    settings: Settings,
    private readonly mine: () => Beat,
    private readonly clock: () => Micros,
  ) {
    this.clients = settings.peers.map((p) => new HttpClient(p.address, 2, 'application/msgpack'));
  }

  private hear(body: Buffer): void {
    const beat = unpack(body) as Beat;
    if (typeof beat?.from === 'string') this.heard.set(beat.from, { beat, at: this.clock() });
  }

  /** Some other controller is served by the state service. */
  otherServed(): boolean {
    const at = this.clock();
    for (const h of this.heard.values()) if (h.beat.served && at - h.at < FRESH) return true;
    return false;
  }

  readonly handler = (request: Incoming): Effect.Effect<Answer> =>
    Effect.sync(() => {
      if (request.path !== '/beat' || request.body === null) return json(404, {});
      this.hear(request.body);
      return {
        status: 200,
        body: Buffer.from(pack(this.mine())),
        headers: { 'Content-Type': 'application/msgpack' },
      };
    });

  readonly run = duty(
    'peers',
    Effect.suspend(() => {
      const body = Buffer.from(pack(this.mine()));
      return Effect.forEach(
        this.clients,
        (c) =>
          c.request('POST', '/beat', body, 900).pipe(
            Effect.map((r) => {
              if (r.status === 200) this.hear(r.body);
            }),
            Effect.ignore,
          ),
        { concurrency: 'unbounded', discard: true },
      );
    }).pipe(Effect.zipRight(Effect.sleep(EVERY_MS)), Effect.forever),
  );
}
