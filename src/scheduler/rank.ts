/** The order within a team's queue, among jobs of the same urgency: smaller goes first. */
import type { Job } from '../jobs/model.js';

export const rankOf = (job: Job): number => job.spec.submitted + (job.spec.deadline ?? 0);
