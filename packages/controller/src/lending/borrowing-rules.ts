/**
 * Who may take GPUs from whom: the protocol's "Preemption", and one promise more. What a service takes beyond its team's
 * guarantee never brings the lender's team below its own.
 */
import { EPSILON, type Room } from './room.js';

export interface Guarantee {
  readonly cpus: number;
  readonly gpus: number;
}

/** What the taker asks for lies within its team's guarantee, or not. */
export type Entitlement = 'own' | 'beyond';
/**
 * How the lender's team stands. `spare`: without the victim it still has its guarantee. `partly`: it runs beyond its
 * guarantee, but would have less without the victim. `needed`: it runs no more than its guarantee.
 */
export type LenderStanding = 'spare' | 'partly' | 'needed';

const ROWS: Readonly<Record<Entitlement, Readonly<Record<'lower' | 'other', readonly LenderStanding[]>>>> = {
  own: { lower: ['spare', 'partly', 'needed'], other: ['spare', 'partly'] },
  beyond: { lower: ['spare'], other: [] },
};

/** `held`: all that the team may still be running, also where nobody hears from; `need`: what one replica takes more. */
export const entitlementOf = (held: Room, need: Room, guarantee: Guarantee): Entitlement =>
  held[0] + need[0] <= guarantee.cpus + EPSILON && held[1] + need[1] <= guarantee.gpus + EPSILON
    ? 'own'
    : 'beyond';

/** `stays`: what the lender's team surely keeps, nothing that is leaving or out of sight; `size`: of the victim, whole. */
export const standingOf = (stays: Room, size: Room, guarantee: Guarantee): LenderStanding => {
  const promised = [guarantee.cpus, guarantee.gpus];
  if (promised.every((g, i) => size[i]! <= 0 || stays[i]! - size[i]! >= g - EPSILON)) return 'spare';
  return promised.some((g, i) => stays[i]! > g + EPSILON) ? 'partly' : 'needed';
};

export interface BorrowingRequest {
  readonly sameTeam: boolean;
  /** The victim's urgency is under the taker's. */
  readonly lower: boolean;
  readonly entitlement: Entitlement;
  readonly standing: LenderStanding;
}

/** Within one team nothing changes hands: urgency alone decides. */
export const mayBorrowFrom = (a: BorrowingRequest): boolean =>
  a.sameTeam ? a.lower : ROWS[a.entitlement][a.lower ? 'lower' : 'other'].includes(a.standing);
