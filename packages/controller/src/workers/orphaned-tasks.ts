/**
 * Orphaned tasks: tasks from before a data loss that workers report and no log entry contains. Tasks of a known
 * job are adopted, those of a gang only if the whole gang runs. Tasks of an unknown job keep running until the job
 * is restored or aborted.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import type { Placement } from '../jobs/model.js';
import type { Start } from '../scheduler/model.js';
import type { ReportedTask } from './codec.js';
import type { Machine } from './machine.js';
import type { ObservedExits } from './observed-exits.js';

/** Tracks tasks that workers run and no log entry contains after a data loss. */
export class OrphanedTasks {
  /** Orphaned tasks of known jobs with their machine and attempt, by job id and task number. */
  readonly byJob = new Map<string, Map<number, Placement>>();
  /** Jobs that workers report but no controller knows, with their tasks as `task@machine`. */
  readonly unknownJobs = new Map<string, Set<string>>();
  /** The subset of `unknownJobs` whose waiting time has passed: their tasks are stopped. */
  readonly abortedUnknownJobs = new Set<string>();
  /** Known jobs whose orphaned tasks cannot be adopted. */
  private readonly unadoptable = new Set<string>();

  constructor(
    private readonly jobState: JobState,
    private readonly exits: Pick<ObservedExits, 'byJob' | 'has' | 'recordCompletion'>,
    private readonly requestCycle: () => void,
  ) {}

  /**
   * Records a reported task whose attempt is from before the data loss and that the committed state does not place
   * on the machine.
   */
  recordReported(machine: Machine, reported: ReportedTask): void {
    const slash = reported.key.indexOf('/');
    const id = reported.key.slice(0, slash);
    const task = Number(reported.key.slice(slash + 1));
    const job = this.jobState.jobs.get(id);
    if (job === undefined) {
      const exitedIncomplete = reported.status === 'exited' && reported.cause !== 'done';
      if (exitedIncomplete || this.jobState.finalStates.has(id)) return;
      const knownTasks = this.unknownJobs.get(id);
      if (knownTasks) knownTasks.add(`${task}@${machine.id}`);
      else this.unknownJobs.set(id, new Set([`${task}@${machine.id}`]));
      return;
    }
    if (job.cancelled || job.completed.has(task) || task >= job.spec.tasks) return;
    // The worker keeps the result of a completed task, so the task counts as completed whatever its attempt was.
    if (reported.status === 'exited') {
      if (reported.cause === 'done' && !this.exits.has(id, task)) this.exits.recordCompletion(job, task);
      return;
    }
    let tasks = this.byJob.get(id);
    if (!tasks) this.byJob.set(id, (tasks = new Map()));
    // The log entry that adopts the task determines its start time.
    tasks.set(task, { task, attempt: reported.attempt, machine: machine.id, since: 0 as Micros });
    this.requestCycle();
  }

  /** Drops the tasks that the machine has reported. */
  forgetMachine(machine: string): void {
    for (const [id, tasks] of this.byJob) {
      for (const [task, placement] of tasks) if (placement.machine === machine) tasks.delete(task);
      if (tasks.size === 0) this.byJob.delete(id);
    }
    for (const [id, tasks] of this.unknownJobs) {
      for (const task of tasks) if (task.endsWith(`@${machine}`)) tasks.delete(task);
      if (tasks.size === 0) this.unknownJobs.delete(id);
    }
  }

  /** Whether a reported task that no log entry contains is retained for now: neither stopped nor forgotten. */
  isRetained(machine: Machine, reported: ReportedTask): boolean {
    if (reported.attempt > this.jobState.attemptFloor) return false;
    const slash = reported.key.indexOf('/');
    const id = reported.key.slice(0, slash);
    if (this.unknownJobs.get(id)?.has(`${reported.key.slice(slash + 1)}@${machine.id}`) === true)
      return !this.abortedUnknownJobs.has(id);
    const task = Number(reported.key.slice(slash + 1));
    if (reported.status === 'exited')
      return reported.cause === 'done' && this.exits.byJob.get(id)?.completed.has(task) === true;
    return (
      this.byJob.get(id)?.get(task)?.machine === machine.id &&
      !this.unadoptable.has(id) &&
      !this.exits.has(id, task)
    );
  }

  /**
   * Starts by which a log entry adopts tasks that already run: those from before the data loss that are placed
   * nowhere. A gang is adopted only as a whole; the tasks of an incomplete gang are stopped once all leases from
   * before have expired.
   */
  adoptions(): Start[] {
    const starts: Start[] = [];
    for (const [id, tasks] of this.byJob) {
      const job = this.jobState.jobs.get(id);
      if (job === undefined) continue;
      const unplaced = [...tasks.values()].filter(
        (placement) => !job.placed.has(placement.task) && !this.exits.has(id, placement.task),
      );
      const attempt = Math.max(...unplaced.map((placement) => placement.attempt));
      const adopted = unplaced.filter((placement) => placement.attempt === attempt);
      if (adopted.length === 0) continue;
      if (job.spec.shape === 'gang') {
        const placedCount = [...job.placed.values()].filter(
          (placement) => placement.attempt === attempt,
        ).length;
        if (placedCount + adopted.length < job.spec.tasks) continue;
      }
      const tasksByMachine = new Map<string, number[]>();
      for (const { machine, task } of adopted) {
        const machineTasks = tasksByMachine.get(machine);
        if (machineTasks) machineTasks.push(task);
        else tasksByMachine.set(machine, [task]);
      }
      starts.push({ job, attempt, tasksByMachine });
    }
    return starts;
  }

  /**
   * Gives up jobs whose orphaned tasks cannot be adopted (gangs with missing members), once all earlier leases
   * have expired and no further tasks can be reported. Returns the jobs newly given up.
   */
  abandonUnadoptable(priorLeasesExpired: () => boolean): string[] {
    if (this.byJob.size === 0 || !priorLeasesExpired()) return [];
    const adopted = new Set(this.adoptions().map((start) => start.job.spec.id));
    const abandoned = [...this.byJob.keys()].filter((id) => !adopted.has(id) && !this.unadoptable.has(id));
    for (const id of abandoned) this.unadoptable.add(id);
    return abandoned;
  }
}
