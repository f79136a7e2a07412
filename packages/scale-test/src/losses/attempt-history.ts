/** Checks on which machines tasks ran: a task on two machines at once, or an attempt ordered on two, is a violation. */
import { taskName, type WorkerEvent } from '../model.js';

/** Records the events of all hollow workers of a run. Each event must be passed at the moment it happens. */
export class AttemptHistory {
  readonly violations: string[] = [];
  /** Number of executed run orders. */
  ordered = 0;
  private readonly machineOfAttempt = new Map<string, string>();
  private readonly completions = new Map<string, number>();

  /**
   * `machinesWith` returns the machines that hold an attempt of the task that has not exited, including those still
   * fetching its image.
   */
  constructor(private readonly machinesWith: (task: string) => readonly string[]) {}

  /** Number of tasks completed more than once. This is allowed, since the result of a task can be lost. */
  get completedAgain(): number {
    return [...this.completions.values()].filter((count) => count > 1).length;
  }

  /** Records an event of a worker, before the worker's state changes any further. */
  recordEvent(event: WorkerEvent): void {
    const name = taskName(event.job, event.task);
    if (event.kind === 'ordered') this.recordOrder(name, event);
    else if (event.kind === 'left' && event.completed)
      this.completions.set(name, (this.completions.get(name) ?? 0) + 1);
  }

  private recordOrder(name: string, { attempt, machine }: WorkerEvent): void {
    this.ordered++;
    for (const otherMachine of this.machinesWith(name))
      if (otherMachine !== machine) this.violations.push(`${name} is on both ${otherMachine} and ${machine}`);
    const key = `${name}#${attempt}`;
    const previousMachine = this.machineOfAttempt.get(key);
    if (previousMachine !== undefined && previousMachine !== machine)
      this.violations.push(`${name}: attempt ${attempt} was ordered on two machines`);
    this.machineOfAttempt.set(key, machine);
  }
}
