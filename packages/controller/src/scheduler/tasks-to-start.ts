/** Chooses the tasks of a job that a scheduling cycle tries to start. */
import type { Job } from '../jobs/model.js';
import { startableTasks } from '../jobs/stored-size.js';
import { maxValueBytes } from '../state-store/transaction-limits.js';
import { hasExited, type TaskExits } from '../workers/observed-exits.js';
import type { CycleContext } from './cycle-context.js';

/** Limits on the tasks of a job that are placed at the same time. */
export interface PlacementLimits {
  /** Maximum number of placed tasks. */
  readonly maxPlaced: number;
  /** Maximum bytes of the job's stored value. */
  readonly maxValueBytes: number;
  /** The next start has a higher attempt number than this one. */
  readonly attemptFloor: number;
}

/** Expected bytes of a placement in a job's stored value. */
const PLACEMENT_BYTES = 12;
/** Fraction of a job's stored value that placements of the expected size may fill. */
const PLACEMENTS_RATIO = 0.5;
const MIN_PLACED = 50;

/** Returns the limits that the settings and the present leadership term give. */
export const placementLimits = ({ settings, jobState }: CycleContext): PlacementLimits => ({
  maxPlaced: Math.max(
    MIN_PLACED,
    Math.floor((settings.state.valueBytes * PLACEMENTS_RATIO) / PLACEMENT_BYTES),
  ),
  maxValueBytes: maxValueBytes(settings.state),
  attemptFloor: Math.max(jobState.attemptFloor, jobState.attemptBase),
});

/**
 * Returns the next tasks of a job that are neither running nor completed, as many as may be placed beside those that are.
 * `exits`: the job's observed exits that are not durable yet. Returns one task at a time of a suspect job.
 */
export const tasksToStart = (
  job: Job,
  exits: TaskExits | undefined,
  suspect: boolean,
  { maxPlaced, maxValueBytes: maxBytes, attemptFloor }: PlacementLimits,
): number[] => {
  const tasks: number[] = [];
  const gang = job.spec.shape === 'gang';
  const running =
    job.placed.size - (exits ? [...job.placed.keys()].filter((task) => hasExited(exits, task)).length : 0);
  if (gang || suspect ? running > 0 : running + job.completed.size >= job.spec.tasks) return tasks;
  const waiting = job.spec.tasks - job.completed.size - running;
  // One task of a suspect job shows as well as all tasks whether the job still fails.
  const wanted = Math.max(0, Math.min(suspect ? 1 : waiting, maxPlaced - job.placed.size));
  const count = gang ? job.spec.tasks : startableTasks(job, attemptFloor, wanted, maxBytes);
  for (let task = 0; task < job.spec.tasks && tasks.length < count; task++) {
    if (
      job.completed.has(task) ||
      exits?.completed.has(task) ||
      (job.placed.has(task) && !exits?.exited.has(task))
    )
      continue;
    tasks.push(task);
  }
  return tasks;
};
