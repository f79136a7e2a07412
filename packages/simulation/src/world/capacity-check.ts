/** Looks at who waits although there is room, and at machines that are paid for and not used. */
import { CostCheck } from './cost-check.js';
import type { Cloud } from './cloud.js';
import type { Rules } from './rules.js';
import type { Time } from './time.js';
import {
  type Amounts,
  amounts,
  type Limit,
  type RoomOn,
  StarvationCheck,
  type Wanted,
} from './starvation-check.js';
import { type JobTruth, TASK_MEM_GB } from './job-truth.js';
import type { Worker } from './worker/worker.js';

/** A machine that is overdue by this part of its boot time does not count as room. */
const OVERDUE = 1.5;

type PlacedTasks = ReadonlyMap<string, ReadonlyMap<string, { readonly zone: string }>>;

/** What the capacity check looks at. */
export interface CapacityCheckOptions {
  readonly time: Time;
  readonly rules: Rules;
  readonly cloud: Cloud;
  readonly workers: ReadonlyMap<string, Worker>;
  readonly jobs: ReadonlyMap<string, JobTruth>;
  readonly limits: Readonly<Record<string, { readonly cpus: number; readonly gpus: number }>>;
  /** The job's acceptance was promised to be known still. */
  readonly remembers: (id: string) => boolean;
  /** The day is about what is paid for: costs are checked too. */
  readonly checksCost: boolean;
}

/** What is placed and free on the machines now. */
interface Occupancy {
  readonly placed: PlacedTasks;
  readonly used: ReadonlyMap<string, Amounts>;
  readonly rooms: readonly RoomOn[];
}

/** Feeds the starvation check and, on some days, the cost check with what is true of machines and jobs. */
export class CapacityCheck {
  readonly waiting: StarvationCheck;
  readonly charged: CostCheck;

  constructor(private readonly options: CapacityCheckOptions) {
    const broke = (what: string): void => void options.rules.broken.push(what);
    this.waiting = new StarvationCheck(broke);
    this.charged = new CostCheck(broke);
  }

  /** Machines are charged still, and that is checked. */
  get open(): boolean {
    return this.options.checksCost && this.charged.open;
  }

  /** Machines are about to be rented. */
  rented(count: number): void {
    if (!this.options.checksCost) return;
    this.look();
    this.charged.rented(this.options.time.now, count);
  }

  /** Once the faults are over: who waits although there is room; and at any time what is paid for. */
  look(): void {
    const { checksCost, jobs, limits, remembers, rules, time } = this.options;
    const calm = time.now >= rules.quiescentAt;
    if (!calm) this.waiting.troubled();
    if (!calm && !checksCost) return;
    const occupancy = this.occupancy();
    const all = [...jobs.values()];
    if (checksCost) {
      // A controller may know of a job before its user does, and of a cancellation after.
      const known = all.filter((job) => ['accepted', undefined].includes(rules.state(job.id)));
      this.lookAtCharges(wantedOf(known, occupancy.placed), occupancy.rooms);
    }
    if (!calm) return;
    const wanted = all
      .filter((job) => rules.state(job.id) === 'accepted' && !rules.cancelAsked(job.id) && !job.broken)
      .filter((job) => remembers(job.id));
    const limitOf = new Map(
      Object.entries(limits).map(([team, { cpus, gpus }]): [string, Limit] => [team, [cpus, gpus]]),
    );
    const { placed, rooms, used } = occupancy;
    this.waiting.look(time.now, wantedOf(wanted, placed), rooms, used, limitOf);
  }

  private occupancy(): Occupancy {
    const placed = new Map<string, Map<string, { readonly zone: string }>>();
    const used = new Map<string, Amounts>();
    const rooms: RoomOn[] = [];
    for (const worker of this.options.workers.values()) {
      if (!worker.alive) continue;
      const { place } = worker;
      for (const key of worker.held()) {
        const id = key.slice(0, key.indexOf('/'));
        const tasks = placed.get(id) ?? new Map<string, { readonly zone: string }>();
        placed.set(id, tasks.set(key, place));
        const { team, cpus, gpus } = this.options.jobs.get(id)!;
        const before = used.get(team) ?? [0, 0, 0];
        const need = amounts(cpus, gpus, TASK_MEM_GB);
        used.set(team, [before[0] + need[0], before[1] + need[1], before[2] + need[2]]);
      }
      const free = worker.spare();
      if (free !== null) rooms.push({ machine: place.id, ...place, free });
    }
    return { placed, used, rooms };
  }

  private lookAtCharges(wanted: readonly Wanted[], rooms: readonly RoomOn[]): void {
    const { cloud, rules, time, workers } = this.options;
    const { now } = time;
    const paid = cloud.charged();
    const booting = paid
      .filter((machine) => machine.status === 'booting' && now - machine.at < OVERDUE * machine.type.boot)
      .map(({ id, type, zone, spot }): RoomOn => {
        const free = amounts(type.cpus, type.gpus, type.memGb);
        return { machine: id, type: type.name, zone, spot, free };
      });
    this.charged.look(
      now,
      rules.quiescentAt,
      paid.map((machine) => ({
        id: machine.id,
        rentedAt: machine.at,
        boot: machine.type.boot,
        up: machine.status === 'running',
        used: (workers.get(machine.id)?.held().length ?? 0) > 0,
      })),
      wanted,
      [...rooms, ...booting],
    );
  }
}

/** How many tasks of each job wait, and where the others are. */
const wantedOf = (jobs: readonly JobTruth[], placed: PlacedTasks): Wanted[] =>
  jobs.map((job): Wanted => {
    const on = placed.get(job.id) ?? new Map<string, { readonly zone: string }>();
    let waiting = 0;
    for (let task = 0; task < job.tasks; task++)
      if (!job.finished.has(task) && !on.has(`${job.id}/${task}`)) waiting++;
    const need = amounts(job.cpus, job.gpus, TASK_MEM_GB);
    return { spec: job, shape: job.shape, waiting, on, need };
  });
