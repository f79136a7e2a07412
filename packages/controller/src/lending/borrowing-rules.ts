/**
 * Which jobs a service may take GPUs from: the rules of the protocol's section "Preemption", and one additional guarantee.
 * What a service takes beyond its own team's guarantee never brings the lender's team below its guarantee.
 */
import { EPSILON, type ResourceAmounts } from './resource-amounts.js';

export interface Guarantee {
  readonly cpus: number;
  readonly gpus: number;
}

/** Whether the taker's request lies within its team's guarantee (`own`) or exceeds it (`beyond`). */
export type Entitlement = 'own' | 'beyond';
/**
 * How the lender's team stands relative to its guarantee. `spare`: without the victim it still has its guarantee. `partly`:
 * it runs more than its guarantee, but would have less than it without the victim. `needed`: it runs no more than its
 * guarantee.
 */
export type LenderStanding = 'spare' | 'partly' | 'needed';

/** Standings of the lender's team at which the victim may be taken, by entitlement and by whether its urgency is lower. */
const ROWS: Readonly<Record<Entitlement, Readonly<Record<'lower' | 'other', readonly LenderStanding[]>>>> = {
  own: { lower: ['spare', 'partly', 'needed'], other: ['spare', 'partly'] },
  beyond: { lower: ['spare'], other: [] },
};

/**
 * Returns the entitlement of a replica. `held`: everything that the taker's team may still be running, including machines
 * that do not send heartbeats; `need`: what the replica takes in addition.
 */
export const entitlementOf = (
  held: ResourceAmounts,
  need: ResourceAmounts,
  guarantee: Guarantee,
): Entitlement =>
  held[0] + need[0] <= guarantee.cpus + EPSILON && held[1] + need[1] <= guarantee.gpus + EPSILON
    ? 'own'
    : 'beyond';

/**
 * Returns the standing of the lender's team. `stays`: what the team certainly keeps running, without tasks that are being
 * stopped or cannot be observed; `size`: resources of the whole victim (all members of a gang).
 */
export const standingOf = (
  stays: ResourceAmounts,
  size: ResourceAmounts,
  guarantee: Guarantee,
): LenderStanding => {
  const guaranteed = [guarantee.cpus, guarantee.gpus];
  if (guaranteed.every((amount, i) => size[i]! <= 0 || stays[i]! - size[i]! >= amount - EPSILON))
    return 'spare';
  return guaranteed.some((amount, i) => stays[i]! > amount + EPSILON) ? 'partly' : 'needed';
};

export interface BorrowingRequest {
  readonly sameTeam: boolean;
  /** The victim's urgency is lower than the taker's. */
  readonly lower: boolean;
  readonly entitlement: Entitlement;
  readonly standing: LenderStanding;
}

/** Whether the taker may preempt the victim. Within one team only the urgency decides, because the team's total is unchanged. */
export const mayBorrowFrom = (request: BorrowingRequest): boolean =>
  request.sameTeam
    ? request.lower
    : ROWS[request.entitlement][request.lower ? 'lower' : 'other'].includes(request.standing);
