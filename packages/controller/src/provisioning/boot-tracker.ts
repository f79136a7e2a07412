/**
 * What to expect of machines that were rented and have not reported yet. A machine on its way is room that is
 * coming, so nothing else is rented for the work that waits for it; but one that is overdue may come very late, or
 * never. It counts for less the longer it is overdue, and what it counts less is rented elsewhere.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** Most machines are up within this many times their stated boot time. */
const USUAL = 1.5;
/** From `USUAL` on a machine counts for less, and from here on for nothing. */
const NOTHING = 3.5;
/** Listed as running, and its worker silent: usual up to here, nothing from there on. */
const SILENT = seconds(10);
const SILENT_NOTHING = seconds(40);
/** At the most this part of what is on its way is rented a second time. */
const REPLACED = 1 / 2;
/** Arrivals looked back on, and for how long they say something. */
const KEPT = 8;
const REMEMBERED = seconds(240);
/** Where the middle one of the last arrivals took this many stated boot times, other offers go first. */
const LATE = 2;
/** So many overdue, and none come lately, tells the same before any of them is up. */
const OVERDUE = 2;
const GIVEN_UP = { least: seconds(90), times: 5, learnt: 1.5 };

export interface Awaited {
  readonly age: Micros;
  readonly boot: Micros;
  /** For how long the cloud has called it running; null: not yet. */
  readonly runningFor: Micros | null;
}

const fade = (x: number, from: number, to: number): number =>
  Math.min(1, Math.max(0, (to - x) / (to - from)));

/** How far a machine on its way counts as room: 1 as rented, 0 as good as lost. */
export const countsFor = (a: Awaited): number => {
  const byAge = fade(a.age, a.boot * USUAL, a.boot * NOTHING);
  return a.runningFor === null ? byAge : Math.max(byAge, fade(a.runningFor, SILENT, SILENT_NOTHING));
};

export const isOverdue = (a: Awaited): boolean => countsFor(a) < 1;

/** How many of these, alike in type and zone, count as room. */
export const roomOnTheWay = (awaited: readonly Awaited[]): number => {
  const sum = awaited.reduce((n, a) => n + countsFor(a), 0);
  const least = awaited.length > 1 ? Math.ceil(awaited.length * (1 - REPLACED)) : 0;
  return Math.min(awaited.length, Math.max(least, Math.round(sum)));
};

/** Boot times of what came up lately, by type and zone. */
export class BootTracker {
  private readonly arrivals = new Map<string, { at: Micros; took: Micros }[]>();

  came(offer: string, took: Micros, at: Micros): void {
    const list = this.arrivals.get(offer) ?? [];
    list.push({ at, took });
    if (list.length > KEPT) list.shift();
    this.arrivals.set(offer, list);
  }

  private lately(offer: string, at: Micros): number[] {
    return (this.arrivals.get(offer) ?? []).filter((a) => at - a.at < REMEMBERED).map((a) => a.took);
  }

  /** Machines of this offer come late: others go first. */
  late(offer: string, boot: Micros, overdue: number, at: Micros): boolean {
    const took = this.lately(offer, at).sort((a, b) => a - b);
    if (took.length === 0) return overdue >= OVERDUE;
    return took[Math.floor(took.length / 2)]! > boot * LATE;
  }

  /** After this age a machine that has not come is given up and deleted. */
  givenUpAfter(offer: string, boot: Micros, at: Micros): Micros {
    const longest = Math.max(0, ...this.lately(offer, at));
    return Math.max(GIVEN_UP.least, GIVEN_UP.times * boot, GIVEN_UP.learnt * longest) as Micros;
  }
}
