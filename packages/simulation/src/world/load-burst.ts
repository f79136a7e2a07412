/**
 * Draws the jobs of a load burst: a day with enough capacity for nearly all jobs, though never for all at the same
 * time. It has arrays of very different lengths at the same urgency, gangs of up to two thirds of a zone's capacity
 * at a higher urgency, and arrays on GPUs. A scheduler that prefers the job with the least work left starts the
 * longest arrays last; one that starts any gang that fits starts the largest gangs last.
 */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { JobTruth } from './job-truth.js';

/** Properties of a job that is about to be submitted. */
export interface Arrival {
  readonly job: Partial<JobTruth>;
  readonly urgency: 'low' | 'normal' | 'high';
  /** Time from submission to the due time, in seconds; null: no due time. */
  readonly due: number | null;
}

/** Draws from a log-normal distribution with the given median and 95th percentile. */
const logNormal = (random: RandomSource, median: number, p95: number): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp((Math.log(p95 / median) / 1.645) * normal);
};

/** Draws one job of the load burst. */
export const loadBurstArrival = (random: RandomSource): Arrival => {
  const common = { types: null, zone: null, oneZone: false, spread: false, spot: true, broken: false };
  const kind = random.next();
  if (kind < 0.25) {
    const tasks = [1, 2, 4][random.int(3)]!;
    const runUs = Math.min(60e6, logNormal(random, 15e6, 35e6));
    const job = { ...common, jobClass: 'ledger', team: 'blue', shape: 'ensemble', tasks, gpus: 0, runUs };
    return { job: { ...job, cpus: 7, oneZone: true, spot: false }, urgency: 'normal', due: null };
  }
  const onGpu = kind < 0.4;
  const tasks = Math.max(
    1,
    Math.round(onGpu ? Math.min(30, logNormal(random, 6, 20)) : Math.min(200, logNormal(random, 20, 90))),
  );
  const runUs = Math.min(40e6, logNormal(random, onGpu ? 15e6 : 8e6, onGpu ? 35e6 : 20e6));
  const job = {
    ...common,
    jobClass: onGpu ? 'score' : 'render',
    team: 'blue',
    shape: 'array',
    tasks,
    runUs,
    cpus: onGpu ? 2 : 1,
    gpus: onGpu ? 1 : 0,
    types: onGpu ? ['g4'] : null,
  };
  return { job, urgency: 'low', due: (3 * runUs) / 1e6 + 10 };
};
