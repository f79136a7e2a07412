/**
 * Estimates the capacity of machines that were rented and have not reported yet. A pending machine counts as future capacity,
 * so nothing else is rented for the work that waits for it. An overdue machine may boot very late or never: the longer it is
 * overdue, the smaller the fraction of it that counts, and the rest is rented elsewhere.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** Nearly all machines report within this many times their stated boot time. */
const NORMAL_BOOT_FACTOR = 1.5;
/** At this many times the stated boot time a machine no longer counts as capacity. */
const LOST_BOOT_FACTOR = 3.5;
/** Usual maximum delay between the cloud listing a machine as running and its first heartbeat. */
const NORMAL_FIRST_HEARTBEAT_DELAY = seconds(10);
/** After this delay a machine that is listed as running and has sent no heartbeat no longer counts as capacity. */
const LOST_FIRST_HEARTBEAT_DELAY = seconds(40);
/** Maximum fraction of the pending machines that is rented a second time. */
const MAX_REPLACED_FRACTION = 1 / 2;
/** Number of latest boot times kept for each type and zone. */
const MAX_BOOTS = 8;
/** Boot times older than this are ignored. */
const MAX_BOOT_AGE = seconds(240);
/** If the median of the recent boot times exceeds this many stated boot times, other offers are preferred. */
const SLOW_BOOT_FACTOR = 2;
/** With no recent boot, this many overdue machines also make the controller prefer other offers. */
const MIN_OVERDUE_FOR_SLOW = 2;
/**
 * A machine is given up after the largest of: a minimum, a multiple of its stated boot time, and a multiple of the longest
 * recently observed boot time.
 */
const GIVE_UP = { minimum: seconds(90), statedFactor: 5, observedFactor: 1.5 };

/** A rented machine that can't run tasks yet. */
export interface PendingMachine {
  /** Time since the rental. */
  readonly age: Micros;
  /** The machine type's stated boot time. */
  readonly boot: Micros;
  /** For how long the cloud has listed the machine as running; null if it has not. */
  readonly runningFor: Micros | null;
}

/** Returns 1 for values up to `from`, decreasing linearly to 0 at `to`. */
const linearDecrease = (value: number, from: number, to: number): number =>
  Math.min(1, Math.max(0, (to - value) / (to - from)));

/** Returns the fraction of a pending machine that counts as capacity: 1 while it is on time, 0 once it is considered lost. */
export const expectedFraction = (pending: PendingMachine): number => {
  const byAge = linearDecrease(
    pending.age,
    pending.boot * NORMAL_BOOT_FACTOR,
    pending.boot * LOST_BOOT_FACTOR,
  );
  return pending.runningFor === null
    ? byAge
    : Math.max(
        byAge,
        linearDecrease(pending.runningFor, NORMAL_FIRST_HEARTBEAT_DELAY, LOST_FIRST_HEARTBEAT_DELAY),
      );
};

/** Whether a pending machine takes longer to boot or report than usual. */
export const isOverdue = (pending: PendingMachine): boolean => expectedFraction(pending) < 1;

/** Returns how many of these pending machines, all of the same type and zone, count as capacity. */
export const pendingCapacity = (pending: readonly PendingMachine[]): number => {
  const sum = pending.reduce((total, machine) => total + expectedFraction(machine), 0);
  const minimum = pending.length > 1 ? Math.ceil(pending.length * (1 - MAX_REPLACED_FRACTION)) : 0;
  return Math.min(pending.length, Math.max(minimum, Math.round(sum)));
};

/** Returns the key under which boot times are kept: type and zone. Spot machines boot like the others. */
export const bootKey = (offer: { readonly type: string; readonly zone: string }): string =>
  `${offer.type}|${offer.zone}`;

/** Keeps the recently observed boot times, by `bootKey`. */
export class BootTracker {
  private readonly boots = new Map<string, { at: Micros; bootTime: Micros }[]>();

  /** Records that a machine of the type and zone `key` sent its first heartbeat `bootTime` after its rental. */
  recordBoot(key: string, bootTime: Micros, at: Micros): void {
    const boots = this.boots.get(key) ?? [];
    boots.push({ at, bootTime });
    if (boots.length > MAX_BOOTS) boots.shift();
    this.boots.set(key, boots);
  }

  private recentBootTimes(key: string, at: Micros): number[] {
    return (this.boots.get(key) ?? [])
      .filter((boot) => at - boot.at < MAX_BOOT_AGE)
      .map((boot) => boot.bootTime);
  }

  /**
   * Whether machines of the type and zone `key` currently boot late, so that other offers are preferred. `boot` is the stated
   * boot time, `overdue` the number of pending machines of this kind that are overdue.
   */
  bootsSlowly(key: string, boot: Micros, overdue: number, at: Micros): boolean {
    const bootTimes = this.recentBootTimes(key, at).sort((a, b) => a - b);
    if (bootTimes.length === 0) return overdue >= MIN_OVERDUE_FOR_SLOW;
    return bootTimes[Math.floor(bootTimes.length / 2)]! > boot * SLOW_BOOT_FACTOR;
  }

  /** Returns the age at which a machine that has not reported is given up and deleted. */
  giveUpAfter(key: string, boot: Micros, at: Micros): Micros {
    const longest = Math.max(0, ...this.recentBootTimes(key, at));
    return Math.max(GIVE_UP.minimum, GIVE_UP.statedFactor * boot, GIVE_UP.observedFactor * longest) as Micros;
  }
}
