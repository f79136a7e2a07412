/** Which machines are charged and of no use: workers that can't be reached, or never sent a heartbeat. */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';
import type { Machine } from '../workers/machine.js';
import type { PendingMachine } from './boot-tracker.js';

/** A worker whose lease has expired is given up after so much longer. */
export const SILENT = seconds(40);

const givenUpAfter = ({ lease, cancel }: Settings['workers']): number => Math.max(lease, cancel) + SILENT;

/**
 * Its heartbeats come and it has not shown this term's fencing token, though an older leader's read lease and a worker's lease
 * after it are over by now: it serves nobody, is charged, and might go on like that for ever. An answered deletion settles
 * what was on it.
 */
export const isUnreachable = (machine: Machine, workers: Settings['workers'], at: Micros): boolean =>
  machine.reported && !machine.confirmed && at - machine.unconfirmedSince > givenUpAfter(workers);

/**
 * The cloud has called it running for as long, and no heartbeat of it has come: it is charged and can't be used. What it might
 * hold from an earlier leader an answered deletion settles.
 */
export const isSilent = (machine: Machine, workers: Settings['workers'], at: Micros): boolean =>
  !machine.reported && machine.runningSince !== null && at - machine.runningSince > givenUpAfter(workers);

/** A machine that serves nobody yet, as its part of the pending capacity is estimated. `boot`: the type's stated boot time. */
export const pendingMachine = (machine: Machine, boot: Micros, at: Micros): PendingMachine => ({
  age: (at - machine.since) as Micros,
  boot,
  runningFor: machine.reported
    ? // Its heartbeats may come and responses not reach it: counted from the latest, it was pending for ever.
      ((at - machine.unconfirmedSince) as Micros)
    : machine.runningSince === null
      ? null
      : ((at - machine.runningSince) as Micros),
});
