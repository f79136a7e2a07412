/** Detects machines that are charged and can't be used: their worker can't be reached or never sent a heartbeat. */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';
import type { Machine } from '../workers/machine.js';
import type { PendingMachine } from './boot-tracker.js';

/** Time after the expiry of a worker's lease at which the machine is given up. */
export const GIVE_UP_MARGIN = seconds(40);

/** Returns the time without contact after which a machine is given up. */
const giveUpTimeout = ({ lease, cancel }: Settings['workers']): number =>
  Math.max(lease, cancel) + GIVE_UP_MARGIN;

/**
 * Whether the machine sends heartbeats that never carry this term's fencing token, although an older leader's read lease and
 * the worker's lease after it have expired by now. Such a machine gets no tasks, is charged, and could stay in this state
 * forever. Once the cloud confirms its deletion, the tasks that it ran are known to have stopped.
 */
export const isUnreachable = (machine: Machine, workers: Settings['workers'], at: Micros): boolean =>
  machine.reported && !machine.confirmed && at - machine.unconfirmedSince > giveUpTimeout(workers);

/**
 * Whether the cloud has listed the machine as running for the same time without any heartbeat from it: it is charged and
 * can't be used. Once the cloud confirms its deletion, tasks of an earlier leader on it are known to have stopped.
 */
export const isSilent = (machine: Machine, workers: Settings['workers'], at: Micros): boolean =>
  !machine.reported && machine.runningSince !== null && at - machine.runningSince > giveUpTimeout(workers);

/** Returns the data from which a pending machine's capacity is estimated. `boot` is the machine type's stated boot time. */
export const pendingMachine = (machine: Machine, boot: Micros, at: Micros): PendingMachine => ({
  age: (at - machine.since) as Micros,
  boot,
  runningFor: machine.reported
    ? // Heartbeats may arrive while no response reaches the worker. Measured from the latest heartbeat, such a machine
      // stayed pending forever.
      ((at - machine.unconfirmedSince) as Micros)
    : machine.runningSince === null
      ? null
      : ((at - machine.runningSince) as Micros),
});
