/**
 * Rentals that were asked for and not answered: carried out already, or later, or never. A request that was carried out gets
 * the same answer when it is repeated under its name and rents nothing more, so whoever wants the same again repeats it: under
 * a new name the same demand was rented for twice.
 */
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import type { RentalRequest } from './cloud.js';
import { type ProvisioningNews, type Offer, offerKey } from './model.js';

interface OpenRequest {
  readonly request: RentalRequest;
  readonly at: Micros;
}
/** What an earlier leader had asked for when it was last heard. */
interface InheritedRequest extends Offer {
  readonly count: number;
  readonly at: Micros;
}

/** Requests for machines whose answer is not known yet, under names that are never used again. */
export class RentalRequests {
  /** By offer. */
  private readonly open = new Map<string, OpenRequest>();
  private readonly inherited: readonly InheritedRequest[];

  /** `shownAfter`: after so long the list shows what was rented, or it was not; `news` as of `at`. */
  constructor(
    private readonly shownAfter: Micros,
    news: ProvisioningNews,
    at: Micros,
  ) {
    this.inherited = (news.asked ?? []).map((a) => ({ ...a, at: plus(at, -a.age) }));
  }

  /** What to ask the cloud for: the same again, if it was not answered, or a new rental by the next name. */
  requestFor(wanted: Offer & { readonly count: number }, nextName: () => string, at: Micros): RentalRequest {
    const key = offerKey(wanted);
    const before = this.open.get(key);
    if (before !== undefined && at - before.at < this.shownAfter) return before.request;
    const { type, zone, spot, count } = wanted;
    const request = { name: nextName(), type, zone, spot, count };
    this.open.set(key, { request, at });
    return request;
  }

  /** The cloud has answered the request. */
  confirm(request: RentalRequest): void {
    this.open.delete(offerKey(request));
  }

  /** Requests without an answer, for the next leader, which can't repeat them by their names. */
  unanswered(at: Micros): NonNullable<ProvisioningNews['asked']> {
    return [...this.open.values()]
      .filter((open) => at - open.at < this.shownAfter)
      .map(({ request: { type, zone, spot, count }, at: since }) => ({
        type,
        zone,
        spot,
        count,
        age: at - since,
      }));
  }

  /** Machines that an earlier leader may have rented and that nobody has seen yet, one entry each. */
  possibleArrivals(known: Iterable<Offer & { readonly since: Micros }>, at: Micros): Offer[] {
    const fresh = this.inherited.filter((request) => at - request.at < this.shownAfter);
    if (fresh.length === 0) return [];
    const machines = [...known];
    return fresh.flatMap((request) => {
      const key = offerKey(request);
      const seen = machines.filter((m) => m.since >= request.at && offerKey(m) === key).length;
      return Array.from({ length: Math.max(0, request.count - seen) }, () => request);
    });
  }
}
