/** Checks that no job waits although resources are free, and that no machine is charged without being used. */
import { CostCheck } from './cost-check.js';
import type { Cloud } from './cloud.js';
import type { Rules } from './rules.js';
import type { Time } from './time.js';
import {
  type Amounts,
  amounts,
  type Limit,
  type FreeMachine,
  StarvationCheck,
  type UnfinishedJob,
} from './starvation-check.js';
import { type JobTruth, TASK_MEM_GB } from './job-truth.js';
import type { Worker } from './worker/worker.js';

/** Ratio of its stated boot time after which a booting machine is overdue and no longer counts as free capacity. */
const OVERDUE_BOOT_RATIO = 1.5;

type PlacedTasks = ReadonlyMap<string, ReadonlyMap<string, { readonly zone: string }>>;

/** Dependencies of the capacity check. */
export interface CapacityCheckOptions {
  readonly time: Time;
  readonly rules: Rules;
  readonly cloud: Cloud;
  readonly workers: ReadonlyMap<string, Worker>;
  readonly jobs: ReadonlyMap<string, JobTruth>;
  readonly limits: Readonly<Record<string, { readonly cpus: number; readonly gpus: number }>>;
  /** Whether some controller must still know that the job was accepted. */
  readonly remembers: (id: string) => boolean;
  /** Whether the day checks costs too. */
  readonly checksCost: boolean;
}

/** The placed tasks and the free resources of all machines. */
interface Occupancy {
  readonly placed: PlacedTasks;
  readonly used: ReadonlyMap<string, Amounts>;
  readonly freeResources: readonly FreeMachine[];
}

/** Runs the starvation check, and on some days the cost check, on the actual state of machines and jobs. */
export class CapacityCheck {
  readonly starvation: StarvationCheck;
  readonly costs: CostCheck;

  constructor(private readonly options: CapacityCheckOptions) {
    const onViolation = (violation: string): void => void options.rules.violations.push(violation);
    this.starvation = new StarvationCheck(onViolation);
    this.costs = new CostCheck(onViolation);
  }

  /** Whether costs are checked and some machine is still being charged. */
  get hasCharges(): boolean {
    return this.options.checksCost && this.costs.hasCharges;
  }

  /** Handles a rental, just before the machines are rented. */
  rented(count: number): void {
    if (!this.options.checksCost) return;
    this.check();
    this.costs.rented(this.options.time.now, count);
  }

  /**
   * Checks the machines and jobs as they are now. Starvation is checked only while no fault is in progress, costs at
   * any time.
   */
  check(): void {
    const { checksCost, jobs, limits, remembers, rules, time } = this.options;
    const undisturbed = time.now >= rules.disruptedUntil;
    if (!undisturbed) this.starvation.reset();
    if (!undisturbed && !checksCost) return;
    const occupancy = this.occupancy();
    const allJobs = [...jobs.values()];
    if (checksCost) {
      // A controller may know of a job before its user does, and may learn of a cancellation only after the user has
      // requested it.
      const known = allJobs.filter((job) => ['accepted', undefined].includes(rules.state(job.id)));
      this.checkCosts(wantedOf(known, occupancy.placed), occupancy.freeResources);
    }
    if (!undisturbed) return;
    const wanted = allJobs
      .filter((job) => rules.state(job.id) === 'accepted' && !rules.isCancelRequested(job.id) && !job.broken)
      .filter((job) => remembers(job.id));
    const limitOf = new Map(
      Object.entries(limits).map(([team, { cpus, gpus }]): [string, Limit] => [team, [cpus, gpus]]),
    );
    const { placed, freeResources, used } = occupancy;
    this.starvation.check(time.now, wantedOf(wanted, placed), freeResources, used, limitOf);
  }

  private occupancy(): Occupancy {
    const placed = new Map<string, Map<string, { readonly zone: string }>>();
    const used = new Map<string, Amounts>();
    const freeResources: FreeMachine[] = [];
    for (const worker of this.options.workers.values()) {
      if (!worker.alive) continue;
      const { place } = worker;
      for (const key of worker.heldTasks()) {
        const id = key.slice(0, key.indexOf('/'));
        const tasks = placed.get(id) ?? new Map<string, { readonly zone: string }>();
        placed.set(id, tasks.set(key, place));
        const { team, cpus, gpus } = this.options.jobs.get(id)!;
        const current = used.get(team) ?? [0, 0, 0];
        const need = amounts(cpus, gpus, TASK_MEM_GB);
        used.set(team, [current[0] + need[0], current[1] + need[1], current[2] + need[2]]);
      }
      const free = worker.freeResources();
      if (free !== null) freeResources.push({ machine: place.id, ...place, free });
    }
    return { placed, used, freeResources };
  }

  private checkCosts(wanted: readonly UnfinishedJob[], freeResources: readonly FreeMachine[]): void {
    const { cloud, rules, time, workers } = this.options;
    const { now } = time;
    const charged = cloud.charged();
    const booting = charged
      .filter(
        (machine) =>
          machine.status === 'booting' && now - machine.rentedAt < OVERDUE_BOOT_RATIO * machine.type.boot,
      )
      .map(({ id, type, zone, spot }): FreeMachine => {
        const free = amounts(type.cpus, type.gpus, type.memGb);
        return { machine: id, type: type.name, zone, spot, free };
      });
    this.costs.check(
      now,
      rules.disruptedUntil,
      charged.map((machine) => ({
        id: machine.id,
        rentedAt: machine.rentedAt,
        boot: machine.type.boot,
        up: machine.status === 'running',
        used: (workers.get(machine.id)?.heldTasks().length ?? 0) > 0,
      })),
      wanted,
      [...freeResources, ...booting],
    );
  }
}

/** Returns the number of waiting tasks of each job, and the placement of the other tasks. */
const wantedOf = (jobs: readonly JobTruth[], placed: PlacedTasks): UnfinishedJob[] =>
  jobs.map((job): UnfinishedJob => {
    const on = placed.get(job.id) ?? new Map<string, { readonly zone: string }>();
    let waiting = 0;
    for (let task = 0; task < job.tasks; task++)
      if (!job.finished.has(task) && !on.has(`${job.id}/${task}`)) waiting++;
    const need = amounts(job.cpus, job.gpus, TASK_MEM_GB);
    return { spec: job, shape: job.shape, waiting, placed: on, need };
  });
