/** Test support: a job as the store has it, with no task started. */
import type { Micros } from '@lilacvalve/runtime/micros';
import { acceptedJob, type Job, type JobSpec } from '../../src/jobs/model.js';

const ZERO = 0 as Micros;
/** A job of one task with a key of its own; `overrides` replaces fields of its specification. */
export const job = (id: string, overrides: Partial<JobSpec> = {}): Job => ({
  ...acceptedJob({
    id,
    jobClass: 'x',
    team: 'red',
    shape: 'array',
    urgency: 0,
    tasks: 1,
    cpus: 1,
    gpus: 0,
    memGb: 1,
    image: 'i',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimate: ZERO,
    checkpoint: ZERO,
    save: ZERO,
    deadline: null,
    submitted: ZERO,
    cutoffBinding: null,
    ...overrides,
  }),
  revision: 1,
});
