/**
 * Messages between controllers, over one link per peer: peer heartbeats, relayed workers' heartbeats, and pages of
 * views.
 */
import { NoResponse, type ReceivedResponse } from '@lilacvalve/runtime/http-client';
import { Link } from '@lilacvalve/runtime/link';
import { Effect } from 'effect';
import { decodePeerHeartbeat, encodePeerHeartbeat } from './leadership/codec.js';
import type { PeerHeartbeat } from './leadership/model.js';
import type { PeerPort } from './leadership/peers.js';
import type { ViewPort } from './recovery/model.js';
import type { Peer } from './settings/settings.js';
import { RELAY_TIMEOUT_MS, type RelayPort } from './workers/heartbeat-relay.js';

/** Timeout of a request for a page of a peer's view. */
const VIEW_TIMEOUT_MS = 2500;
const HEARTBEAT_TIMEOUT_MS = 900;

/** The links to all peers. Each link is created when first used. */
export class Links implements PeerPort, ViewPort, RelayPort {
  private readonly links = new Map<string, Link>();

  private linkTo(peer: Peer): Link {
    let link = this.links.get(peer.label);
    if (!link) this.links.set(peer.label, (link = new Link(peer.address)));
    return link;
  }

  relay(peer: Peer, batch: Buffer): Effect.Effect<Buffer, NoResponse> {
    return Effect.map(
      this.linkTo(peer).request('/relay', batch, RELAY_TIMEOUT_MS),
      (response) => response.body,
    );
  }

  request(peer: Peer, path: string, body: Buffer): Effect.Effect<Buffer, NoResponse> {
    return Effect.flatMap(this.linkTo(peer).request(path, body, VIEW_TIMEOUT_MS), (response) =>
      response.status === 200 ? Effect.succeed(response.body) : invalidResponse(response, 'view page'),
    );
  }

  exchange(peer: Peer, heartbeat: PeerHeartbeat): Effect.Effect<PeerHeartbeat, NoResponse> {
    return Effect.flatMap(
      this.linkTo(peer).request('/beat', encodePeerHeartbeat(heartbeat), HEARTBEAT_TIMEOUT_MS),
      (response) => {
        const peerHeartbeat = decodePeerHeartbeat(response.body);
        return peerHeartbeat === null
          ? invalidResponse(response, 'peer heartbeat')
          : Effect.succeed(peerHeartbeat);
      },
    );
  }
}

const invalidResponse = (response: ReceivedResponse, expected: string): Effect.Effect<never, NoResponse> =>
  Effect.fail(new NoResponse({ reason: `expected a ${expected}, got status ${response.status}` }));
