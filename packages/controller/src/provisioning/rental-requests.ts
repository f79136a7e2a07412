/**
 * Rentals that were asked for and not answered: carried out already, or later, or never. One that was carried out gets the
 * same answer under its name again and rents nothing, so whoever wants the same again asks by that name: under a new one it
 * was rented twice for the same want.
 */
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import type { RentalRequest } from './cloud.js';
import { type ProvisioningNews, type Offer, offerKey } from './model.js';

interface Asked {
  readonly hire: RentalRequest;
  readonly at: Micros;
}
/** What an earlier leader had asked for when it was last heard. */
interface Inherited extends Offer {
  readonly count: number;
  readonly at: Micros;
}

export class RentalRequests {
  private readonly open = new Map<string, Asked>();
  private readonly inherited: readonly Inherited[];

  /** `shown`: after so long the list shows what was rented, or it was not; `news` as of `at`. */
  constructor(
    private readonly shown: Micros,
    news: ProvisioningNews,
    at: Micros,
  ) {
    this.inherited = (news.asked ?? []).map((a) => ({ ...a, at: plus(at, -a.age) }));
  }

  /** What to ask the cloud for: the same again, if it was not answered, or a new rental. */
  ask(wanted: Offer & { readonly count: number }, name: () => string, at: Micros): RentalRequest {
    const key = offerKey(wanted);
    const before = this.open.get(key);
    if (before !== undefined && at - before.at < this.shown) return before.hire;
    const { type, zone, spot, count } = wanted;
    const hire = { name: name(), type, zone, spot, count };
    this.open.set(key, { hire, at });
    return hire;
  }

  answered(hire: RentalRequest): void {
    this.open.delete(offerKey(hire));
  }

  /** For the next leader, which can't ask by these names. */
  asked(at: Micros): NonNullable<ProvisioningNews['asked']> {
    return [...this.open.values()]
      .filter((a) => at - a.at < this.shown)
      .map(({ hire: { type, zone, spot, count }, at: since }) => ({
        type,
        zone,
        spot,
        count,
        age: at - since,
      }));
  }

  /** Machines that an earlier leader may have rented and that nobody has seen yet, of each offer. */
  mayCome(known: Iterable<Offer & { readonly since: Micros }>, at: Micros): Offer[] {
    const fresh = this.inherited.filter((a) => at - a.at < this.shown);
    if (fresh.length === 0) return [];
    const machines = [...known];
    return fresh.flatMap((a) => {
      const key = offerKey(a);
      const seen = machines.filter((m) => m.since >= a.at && offerKey(m) === key).length;
      return Array.from({ length: Math.max(0, a.count - seen) }, () => a);
    });
  }
}
