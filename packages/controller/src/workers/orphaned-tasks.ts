/**
 * Tasks from before a loss of durable state that workers report and no record knows of. Those of a known job are adopted,
 * a gang only whole; those of an unknown job are left alone until the job is brought back or aborted.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import type { Placement } from '../jobs/model.js';
import type { Start } from '../scheduler/model.js';
import type { ReportedTask } from './codec.js';
import type { Machine } from './machine.js';
import type { ObservedExits } from './observed-exits.js';

/** Tasks that workers run and no log entry knows, after a loss of data. */
export class OrphanedTasks {
  /** Tasks of known jobs, by job and task: where they run and as which attempt. */
  readonly byJob = new Map<string, Map<number, Placement>>();
  /** Jobs that workers name and nobody knows, with their tasks as `task@machine`. */
  readonly unknownJobs = new Map<string, Set<string>>();
  /** Of these, those that have been left alone for long enough: their tasks are stopped. */
  readonly abortedUnknownJobs = new Set<string>();
  /** Known jobs whose orphaned tasks can't be adopted. */
  private readonly unadoptable = new Set<string>();

  constructor(
    private readonly jobState: JobState,
    private readonly exits: Pick<ObservedExits, 'byJob' | 'has' | 'recordDone'>,
    private readonly requestCycle: () => void,
  ) {}

  /** A heartbeat reports a task whose attempt is from before the loss and that no record places there. */
  note(machine: Machine, reported: ReportedTask): void {
    const slash = reported.key.indexOf('/');
    const id = reported.key.slice(0, slash);
    const task = Number(reported.key.slice(slash + 1));
    const job = this.jobState.jobs.get(id);
    if (job === undefined) {
      const isOver = reported.status === 'exited' && reported.cause !== 'done';
      if (isOver || this.jobState.finalStates.has(id)) return;
      const known = this.unknownJobs.get(id);
      if (known) known.add(`${task}@${machine.id}`);
      else this.unknownJobs.set(id, new Set([`${task}@${machine.id}`]));
      return;
    }
    if (job.cancelled || job.done.has(task) || task >= job.spec.tasks) return;
    // Its result is kept there: it completed, whichever attempt that was.
    if (reported.status === 'exited') {
      if (reported.cause === 'done' && !this.exits.has(id, task)) this.exits.recordDone(job, task);
      return;
    }
    let tasks = this.byJob.get(id);
    if (!tasks) this.byJob.set(id, (tasks = new Map()));
    // The record that adopts it says since when.
    tasks.set(task, { task, attempt: reported.attempt, machine: machine.id, since: 0 as Micros });
    this.requestCycle();
  }

  /** Drops what the machine has reported. */
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

  /** Whether a reported task that no record knows of is left alone for now: neither stopped nor forgotten. */
  isRetained(machine: Machine, reported: ReportedTask): boolean {
    if (reported.attempt > this.jobState.attemptFloor) return false;
    const slash = reported.key.indexOf('/');
    const id = reported.key.slice(0, slash);
    if (this.unknownJobs.get(id)?.has(`${reported.key.slice(slash + 1)}@${machine.id}`) === true)
      return !this.abortedUnknownJobs.has(id);
    const task = Number(reported.key.slice(slash + 1));
    if (reported.status === 'exited')
      return reported.cause === 'done' && this.exits.byJob.get(id)?.done.has(task) === true;
    return (
      this.byJob.get(id)?.get(task)?.machine === machine.id &&
      !this.unadoptable.has(id) &&
      !this.exits.has(id, task)
    );
  }

  /**
   * Starts that have happened already, as a record adopts them: what runs from before a loss and has no other place. A gang
   * is adopted whole; one that is not whole can't be, and is stopped once all leases from before have expired.
   */
  adoptions(): Start[] {
    const starts: Start[] = [];
    for (const [id, tasks] of this.byJob) {
      const job = this.jobState.jobs.get(id);
      if (job === undefined) continue;
      const free = [...tasks.values()].filter((p) => !job.placed.has(p.task) && !this.exits.has(id, p.task));
      const attempt = Math.max(...free.map((p) => p.attempt));
      const adopted = free.filter((p) => p.attempt === attempt);
      if (adopted.length === 0) continue;
      if (job.spec.shape === 'gang') {
        const placed = [...job.placed.values()].filter((p) => p.attempt === attempt).length;
        if (placed + adopted.length < job.spec.tasks) continue;
      }
      const on = new Map<string, number[]>();
      for (const { machine, task } of adopted) {
        const list = on.get(machine);
        if (list) list.push(task);
        else on.set(machine, [task]);
      }
      starts.push({ job, attempt, on });
    }
    return starts;
  }

  /**
   * Gives up the jobs whose orphaned tasks can't be adopted (a gang of which a part is gone), once nothing more of them can
   * appear, and returns those newly given up.
   */
  abandonUnadoptable(priorLeasesExpired: () => boolean): string[] {
    if (this.byJob.size === 0 || !priorLeasesExpired()) return [];
    const adopted = new Set(this.adoptions().map((s) => s.job.spec.id));
    const abandoned = [...this.byJob.keys()].filter((id) => !adopted.has(id) && !this.unadoptable.has(id));
    for (const id of abandoned) this.unadoptable.add(id);
    return abandoned;
  }
}
