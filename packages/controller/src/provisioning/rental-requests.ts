/**
 * Rental requests that got no response: the cloud may have carried them out, may do so later, or never. A request repeated
 * under its name gets the same response and rents nothing more, so the same demand is requested again under the same name.
 * With a new name each time, machines for the same demand were rented twice.
 */
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import type { RentalRequest } from './cloud.js';
import { type ProvisioningUpdate, type Offer, offerKey } from './model.js';

/** A request of this leader without a response. */
interface OpenRequest {
  readonly request: RentalRequest;
  readonly sentAt: Micros;
}
/** A request without a response that an earlier leader published before this leader's term. */
interface InheritedRequest extends Offer {
  readonly count: number;
  readonly sentAt: Micros;
}

/** Tracks the rental requests whose outcome is not known; their names are never reused. */
export class RentalRequests {
  /** Requests of this leader, by `offerKey`. */
  private readonly open = new Map<string, OpenRequest>();
  private readonly inherited: readonly InheritedRequest[];

  /**
   * `listDelay` is the time after which the cloud's list shows every machine that a request rented. `news` is the earlier
   * leader's published state as of `at`.
   */
  constructor(
    private readonly listDelay: Micros,
    news: ProvisioningUpdate,
    at: Micros,
  ) {
    this.inherited = (news.asked ?? []).map((request) => ({ ...request, sentAt: plus(at, -request.age) }));
  }

  /** Returns the request to send: the earlier one if it got no response, otherwise a new one under the next name. */
  requestFor(wanted: Offer & { readonly count: number }, nextName: () => string, at: Micros): RentalRequest {
    const key = offerKey(wanted);
    const previous = this.open.get(key);
    if (previous !== undefined && at - previous.sentAt < this.listDelay) return previous.request;
    const { type, zone, spot, count } = wanted;
    const request = { name: nextName(), type, zone, spot, count };
    this.open.set(key, { request, sentAt: at });
    return request;
  }

  /** Removes a request that the cloud has responded to. */
  complete(request: RentalRequest): void {
    this.open.delete(offerKey(request));
  }

  /** Returns the requests without a response, for the next leader, which can't repeat them because it lacks their names. */
  unresolved(at: Micros): NonNullable<ProvisioningUpdate['asked']> {
    return [...this.open.values()]
      .filter((open) => at - open.sentAt < this.listDelay)
      .map(({ request: { type, zone, spot, count }, sentAt: since }) => ({
        type,
        zone,
        spot,
        count,
        age: at - since,
      }));
  }

  /** Returns one entry for each machine that an earlier leader may have rented and that is not among the `known` ones. */
  possibleArrivals(known: Iterable<Offer & { readonly since: Micros }>, at: Micros): Offer[] {
    const recent = this.inherited.filter((request) => at - request.sentAt < this.listDelay);
    if (recent.length === 0) return [];
    const machines = [...known];
    return recent.flatMap((request) => {
      const key = offerKey(request);
      const seen = machines.filter(
        (machine) => machine.since >= request.sentAt && offerKey(machine) === key,
      ).length;
      return Array.from({ length: Math.max(0, request.count - seen) }, () => request);
    });
  }
}
