/**
 * Upper bounds of the size of a job's stored value, in bytes of JSON in UTF-8. A job may be cancelled, compacted and
 * rebuilt at any time, each of which writes the whole job, so tasks are started only while the job's value is certain to
 * fit whatever happens to them. The bounds hold for the form without start times (`encodeJobWithin`).
 */
import { Buffer } from 'node:buffer';
import { jsonBytes } from '../state-store/transaction-limits.js';
import { encodeJob } from './codec.js';
import { acceptedJob, FAILURES_KEPT, type Job, type JobSpec } from './model.js';

/** Maximum bytes of the fields of a job that change after its acceptance, without the items of lists. */
const CHANGING_FIELDS_BYTES = 128;
/** Maximum bytes of a loan: the lender's id, three integers and punctuation. */
export const LOAN_BYTES = 100;
/** Bytes of the name of a machine that the job does not run on yet, in estimates. */
const ESTIMATED_MACHINE_BYTES = 12;
/** Bytes that the name of no machine exceeds, in the bound that does not look at the names. */
const MAX_MACHINE_BYTES = 32;
/** Bytes of `"":[],` around a machine's groups of tasks. */
const MACHINE_OVERHEAD_BYTES = 6;
/** Bytes of `[,""],` around the attempt and the ranges of a group of tasks. */
const GROUP_OVERHEAD_BYTES = 6;

/** The placements of a start: task numbers by machine. */
export type TasksByMachine = ReadonlyMap<string, readonly number[]>;

const digits = (count: number): number => String(count).length;
/** Maximum bytes of a task in the ranges of completed or placed tasks: its number and a comma. */
const taskBytes = (spec: JobSpec): number => digits(spec.tasks) + 1;
const groupBytes = (attempt: number): number => digits(attempt) + GROUP_OVERHEAD_BYTES;
const machineBytes = (machine: string): number => Buffer.byteLength(machine) + MACHINE_OVERHEAD_BYTES;

const sizes = new WeakMap<JobSpec, number>();
/** Returns the maximum bytes of the stored value of a job without placements, completed tasks and failures. */
const fixedBytes = (spec: JobSpec): number => {
  let bytes = sizes.get(spec);
  if (bytes === undefined) {
    bytes = jsonBytes(encodeJob(acceptedJob(spec), 0)) + CHANGING_FIELDS_BYTES;
    sizes.set(spec, bytes);
  }
  return bytes;
};

/** Returns the number of bounds of ranges that the stored form of `completed` has. */
const rangeBounds = (completed: ReadonlySet<number>): number => {
  let bounds = 0;
  for (const task of completed) if (!completed.has(task - 1) || !completed.has(task + 1)) bounds++;
  return bounds;
};

/** Returns the bytes of the placements, each task counted as a range of its own: the others of its range may exit first. */
const placedBytes = (job: Job): number => {
  let bytes = job.placed.size * taskBytes(job.spec);
  const seen = new Set<string>();
  for (const { machine, attempt } of job.placed.values()) {
    if (!seen.has(machine)) bytes += machineBytes(machine);
    seen.add(machine);
    const group = `${attempt} ${machine}`;
    if (!seen.has(group)) bytes += groupBytes(attempt);
    seen.add(group);
  }
  return bytes;
};

/** Returns the bytes of the names of machines on which tasks of the job have failed or may still fail. */
const failureBytes = (job: Job, machines: Iterable<string>): number => {
  let longest = ESTIMATED_MACHINE_BYTES;
  for (const machine of machines) longest = Math.max(longest, machineBytes(machine));
  for (const machine of job.failedOn) longest = Math.max(longest, machineBytes(machine));
  return FAILURES_KEPT * longest;
};

const placedMachines = (job: Job): Set<string> => {
  const machines = new Set<string>();
  for (const { machine } of job.placed.values()) machines.add(machine);
  return machines;
};

/** Returns the maximum bytes that the stored value of a job can grow to while no further task is started. */
export const maxStoredBytes = (job: Job): number =>
  fixedBytes(job.spec) +
  rangeBounds(job.completed) * taskBytes(job.spec) +
  placedBytes(job) +
  failureBytes(job, placedMachines(job)) +
  job.loans.size * LOAN_BYTES;

/** Returns the maximum bytes that a start adds to a job's stored value. */
const startBytes = (job: Job, attempt: number, tasksByMachine: TasksByMachine): number => {
  let bytes = failureBytes(job, tasksByMachine.keys());
  for (const [machine, tasks] of tasksByMachine)
    bytes += machineBytes(machine) + groupBytes(attempt) + tasks.length * taskBytes(job.spec);
  return bytes;
};

/** Maximum bytes of the completed and placed tasks, without the machines, if no two of them share a range or a group. */
const separateTasksBytes = (job: Job): number =>
  (job.completed.size + job.placed.size) * taskBytes(job.spec) + job.placed.size * groupBytes(job.attempt);

/** An upper bound of `maxStoredBytes` that takes no time for each task. */
const quickBound = (job: Job): number =>
  fixedBytes(job.spec) +
  separateTasksBytes(job) +
  (job.placed.size + FAILURES_KEPT) * (MAX_MACHINE_BYTES + MACHINE_OVERHEAD_BYTES) +
  job.loans.size * LOAN_BYTES;

/** An upper bound of `maxStoredBytes` that looks at the placed tasks' machines only. */
const boundByMachines = (job: Job): number => {
  const machines = placedMachines(job);
  let bytes = fixedBytes(job.spec) + separateTasksBytes(job) + job.loans.size * LOAN_BYTES;
  for (const machine of machines) bytes += machineBytes(machine);
  return bytes + failureBytes(job, machines);
};

/** Returns a bound of the job's stored value: a cheap one if it leaves `needed` of `maxBytes`, else the tightest. */
const boundLeaving = (job: Job, needed: number, maxBytes: number): number => {
  for (const bound of [quickBound, boundByMachines]) {
    const bytes = bound(job);
    if (bytes + needed <= maxBytes) return bytes;
  }
  return maxStoredBytes(job);
};

/** Whether the stored value of a job is certain to stay within `maxBytes` after a start. */
export const startFits = (
  job: Job,
  attempt: number,
  tasksByMachine: TasksByMachine,
  maxBytes: number,
): boolean => {
  const added = startBytes(job, attempt, tasksByMachine);
  return boundLeaving(job, added, maxBytes) + added <= maxBytes;
};

/** Returns the tasks of a start on its first machines, as many as certainly fit into `maxBytes` of the job's stored value. */
export const fittingTasks = (
  job: Job,
  attempt: number,
  tasksByMachine: TasksByMachine,
  maxBytes: number,
): TasksByMachine => {
  let left = maxBytes - maxStoredBytes(job) - failureBytes(job, tasksByMachine.keys());
  const fitting = new Map<string, readonly number[]>();
  for (const [machine, tasks] of tasksByMachine) {
    left -= machineBytes(machine) + groupBytes(attempt);
    const count = Math.min(tasks.length, Math.floor(left / taskBytes(job.spec)));
    if (count <= 0) break;
    fitting.set(machine, tasks.slice(0, count));
    left -= count * taskBytes(job.spec);
  }
  return fitting;
};

/**
 * Returns how many of `wanted` tasks can be started so that the job's stored value stays within `maxBytes`, even if each
 * task gets a machine of its own. The attempt number of the start is the one after `attemptFloor` or after the job's last.
 */
export const startableTasks = (job: Job, attemptFloor: number, wanted: number, maxBytes: number): number => {
  const attempt = Math.max(attemptFloor, job.attempt) + 1;
  const perTask =
    ESTIMATED_MACHINE_BYTES + MACHINE_OVERHEAD_BYTES + groupBytes(attempt) + taskBytes(job.spec);
  const bytesLeft = maxBytes - boundLeaving(job, wanted * perTask, maxBytes);
  return Math.max(0, Math.min(wanted, Math.floor(bytesLeft / perTask)));
};

/** Whether the stored value of a new job can hold `tasks` of its tasks, at most `tasksPerMachine` of them on each machine. */
export const canBeStored = (
  spec: JobSpec,
  tasks: number,
  tasksPerMachine: number,
  maxBytes: number,
): boolean => {
  const machines = Math.ceil(tasks / Math.max(1, tasksPerMachine));
  const perMachine = ESTIMATED_MACHINE_BYTES + MACHINE_OVERHEAD_BYTES + groupBytes(Number.MAX_SAFE_INTEGER);
  return fixedBytes(spec) + (machines + FAILURES_KEPT) * perMachine + tasks * taskBytes(spec) <= maxBytes;
};
