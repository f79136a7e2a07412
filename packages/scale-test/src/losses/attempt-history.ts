/** What ran where: a task on two machines at once, and an attempt that was used on two, are violations. */
import { taskName, type WorkerEvent } from '../model.js';

/** Takes the events of a run's hollow workers at the moment at which they happen. */
export class AttemptHistory {
  readonly violations: string[] = [];
  /** Run orders that were executed. */
  ordered = 0;
  private readonly machineOf = new Map<string, string>();
  private readonly completions = new Map<string, number>();

  /** `machinesWith`: the machines that hold a task which has not ended, images that are still fetched included. */
  constructor(private readonly machinesWith: (task: string) => readonly string[]) {}

  /** Tasks that were completed more than once: work done twice, which a lost result allows. */
  get completedAgain(): number {
    return [...this.completions.values()].filter((times) => times > 1).length;
  }

  /** An event of a worker, before anything else happens there. */
  take(event: WorkerEvent): void {
    const name = taskName(event.job, event.task);
    if (event.kind === 'ordered') this.order(name, event);
    else if (event.kind === 'left' && event.completed)
      this.completions.set(name, (this.completions.get(name) ?? 0) + 1);
  }

  private order(name: string, { attempt, machine }: WorkerEvent): void {
    this.ordered++;
    for (const other of this.machinesWith(name))
      if (other !== machine) this.violations.push(`${name} on ${other} and ${machine}`);
    const key = `${name}#${attempt}`;
    const first = this.machineOf.get(key);
    if (first !== undefined && first !== machine) this.violations.push(`${name} attempt ${attempt} twice`);
    this.machineOf.set(key, machine);
  }
}
