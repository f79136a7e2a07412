/**
 * What to expect of machines that were rented and have not reported yet. A pending machine is capacity to come, so nothing else
 * is rented for the work that waits for it; but one that is overdue may come very late, or never. It counts for less the longer
 * it is overdue, and what it counts less is rented elsewhere.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** Most machines are up within this many times their stated boot time. */
const USUAL_BOOT = 1.5;
/** From `USUAL_BOOT` on a machine counts for less, and from here on for nothing. */
const HOPELESS_BOOT = 3.5;
/** Listed as running, and its worker silent: usual up to here; counts for nothing from `HOPELESS_SILENCE` on. */
const USUAL_SILENCE = seconds(10);
const HOPELESS_SILENCE = seconds(40);
/** At the most this part of what is pending is rented a second time. */
const MAX_REPLACED = 1 / 2;
/** Boots looked back on, and for how long they say something. */
const BOOTS_KEPT = 8;
const REMEMBERED = seconds(240);
/** Where the median of the last boots took this many stated boot times, other offers go first. */
const SLOW_BOOT = 2;
/** So many overdue, and none up lately, tells the same before any of them is up. */
const SLOW_IF_OVERDUE = 2;
/** A machine is given up after the longest of these: a time, stated boot times, the longest boot learnt. */
const GIVE_UP = { least: seconds(90), times: 5, learnt: 1.5 };

/** A machine that was rented and serves nobody yet. */
export interface PendingMachine {
  /** Since it was rented. */
  readonly age: Micros;
  /** Its type's stated boot time. */
  readonly boot: Micros;
  /** For how long the cloud has called it running; null: not yet. */
  readonly runningFor: Micros | null;
}

/** 1 up to `from`, falling to 0 at `to`. */
const fade = (value: number, from: number, to: number): number =>
  Math.min(1, Math.max(0, (to - value) / (to - from)));

/** How far a pending machine counts as capacity: 1 as rented, 0 as good as lost. */
export const expectedShare = (pending: PendingMachine): number => {
  const byAge = fade(pending.age, pending.boot * USUAL_BOOT, pending.boot * HOPELESS_BOOT);
  return pending.runningFor === null
    ? byAge
    : Math.max(byAge, fade(pending.runningFor, USUAL_SILENCE, HOPELESS_SILENCE));
};

/** It takes longer than usual. */
export const isOverdue = (pending: PendingMachine): boolean => expectedShare(pending) < 1;

/** How many of these, alike in type and zone, count as capacity. */
export const pendingCapacity = (pending: readonly PendingMachine[]): number => {
  const sum = pending.reduce((n, a) => n + expectedShare(a), 0);
  const least = pending.length > 1 ? Math.ceil(pending.length * (1 - MAX_REPLACED)) : 0;
  return Math.min(pending.length, Math.max(least, Math.round(sum)));
};

/** Boot times are learnt by type and zone, whatever the price. */
export const bootKey = (offer: { readonly type: string; readonly zone: string }): string =>
  `${offer.type}|${offer.zone}`;

/** Boot times of what came up lately, by `bootKey`. */
export class BootTracker {
  private readonly boots = new Map<string, { at: Micros; took: Micros }[]>();

  /** A machine of this offer came up `took` after it was rented. */
  recordBoot(offer: string, took: Micros, at: Micros): void {
    const boots = this.boots.get(offer) ?? [];
    boots.push({ at, took });
    if (boots.length > BOOTS_KEPT) boots.shift();
    this.boots.set(offer, boots);
  }

  private recentBootTimes(offer: string, at: Micros): number[] {
    return (this.boots.get(offer) ?? []).filter((a) => at - a.at < REMEMBERED).map((a) => a.took);
  }

  /** Machines of this offer come up late at present: others go first. `overdue`: how many of them are. */
  bootsSlowly(offer: string, boot: Micros, overdue: number, at: Micros): boolean {
    const took = this.recentBootTimes(offer, at).sort((a, b) => a - b);
    if (took.length === 0) return overdue >= SLOW_IF_OVERDUE;
    return took[Math.floor(took.length / 2)]! > boot * SLOW_BOOT;
  }

  /** After this age a machine that has not reported is given up and deleted. */
  giveUpAfter(offer: string, boot: Micros, at: Micros): Micros {
    const longest = Math.max(0, ...this.recentBootTimes(offer, at));
    return Math.max(GIVE_UP.least, GIVE_UP.times * boot, GIVE_UP.learnt * longest) as Micros;
  }
}
