/**
 * Arrivals of a day that has room for nearly all, though never for all at once: arrays of very different lengths at the
 * same urgency, gangs of up to two thirds of a zone above them, and arrays on GPUs. What goes by least work left begins
 * the longest arrays last; what takes whichever gang fits begins the largest gangs last.
 */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { JobTruth } from './job-truth.js';

export interface Arrival {
  readonly job: Partial<JobTruth>;
  readonly urgency: 'low' | 'normal' | 'high';
  /** Seconds; null: none. */
  readonly due: number | null;
}

/** Median and 95 in 100 of a log-normal number. */
const skewed = (luck: RandomSource, median: number, p95: number): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - luck.next())) * Math.cos(2 * Math.PI * luck.next());
  return median * Math.exp((Math.log(p95 / median) / 1.645) * normal);
};

export const loadBurstArrival = (luck: RandomSource): Arrival => {
  const common = { types: null, zone: null, oneZone: false, spread: false, spot: true, broken: false };
  const kind = luck.next();
  if (kind < 0.25) {
    const tasks = [1, 2, 4][luck.int(3)]!;
    const runUs = Math.min(60e6, skewed(luck, 15e6, 35e6));
    const job = { ...common, jobClass: 'ledger', team: 'blue', shape: 'ensemble', tasks, gpus: 0, runUs };
    return { job: { ...job, cpus: 7, oneZone: true, spot: false }, urgency: 'normal', due: null };
  }
  const gpu = kind < 0.4;
  const tasks = Math.max(
    1,
    Math.round(gpu ? Math.min(30, skewed(luck, 6, 20)) : Math.min(200, skewed(luck, 20, 90))),
  );
  const runUs = Math.min(40e6, skewed(luck, gpu ? 15e6 : 8e6, gpu ? 35e6 : 20e6));
  const job = {
    ...common,
    jobClass: gpu ? 'score' : 'render',
    team: 'blue',
    shape: 'array',
    tasks,
    runUs,
    cpus: gpu ? 2 : 1,
    gpus: gpu ? 1 : 0,
    types: gpu ? ['g4'] : null,
  };
  return { job, urgency: 'low', due: (3 * runUs) / 1e6 + 10 };
};
