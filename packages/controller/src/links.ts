/** Everything that controllers say to each other, over one link to each: beats, reports passed on, views. */
import { NoAnswer, type Reply } from '@lilacvalve/runtime/http-client';
import { Link } from '@lilacvalve/runtime/link';
import { Effect } from 'effect';
import { decodePeerHeartbeat, encodePeerHeartbeat } from './leadership/codec.js';
import type { PeerHeartbeat } from './leadership/model.js';
import type { PeerPort } from './leadership/peers.js';
import type { ViewPort } from './recovery/model.js';
import type { Peer } from './settings/settings.js';
import { RELAY_TIMEOUT_MS, type RelayPort } from './workers/heartbeat-relay.js';

/** How long a peer may take for a page of its view. */
const VIEW_TIMEOUT_MS = 2500;
const BEAT_TIMEOUT_MS = 900;

export class Links implements PeerPort, ViewPort, RelayPort {
  private readonly links = new Map<string, Link>();

  private to(peer: Peer): Link {
    let l = this.links.get(peer.label);
    if (!l) this.links.set(peer.label, (l = new Link(peer.address)));
    return l;
  }

  relay(peer: Peer, batch: Buffer): Effect.Effect<Buffer, NoAnswer> {
    return Effect.map(this.to(peer).ask('/relay', batch, RELAY_TIMEOUT_MS), (r) => r.body);
  }

  request(peer: Peer, path: string, body: Buffer): Effect.Effect<Buffer, NoAnswer> {
    return Effect.flatMap(this.to(peer).ask(path, body, VIEW_TIMEOUT_MS), (r) =>
      r.status === 200 ? Effect.succeed(r.body) : none(r, 'answer'),
    );
  }

  exchange(peer: Peer, beat: PeerHeartbeat): Effect.Effect<PeerHeartbeat, NoAnswer> {
    return Effect.flatMap(this.to(peer).ask('/beat', encodePeerHeartbeat(beat), BEAT_TIMEOUT_MS), (r) => {
      const heartbeat = decodePeerHeartbeat(r.body);
      return heartbeat === null ? none(r, 'beat') : Effect.succeed(heartbeat);
    });
  }
}

const none = (r: Reply, what: string): Effect.Effect<never, NoAnswer> =>
  Effect.fail(new NoAnswer({ reason: `no ${what}, status ${r.status}` }));
