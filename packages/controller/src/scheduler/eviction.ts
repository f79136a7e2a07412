/**
 * Prepares a cycle's refill: evicts every fair-share-preemptible running task into its team's queue, and queues the waiting
 * jobs with them. Free resources are counted as if all evicted tasks were still in place.
 *
 * Eviction exists in the computation only: a task that gets its own machine back is not touched.
 */
import type { Job } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';
import { EvictedRun, type RunUnit } from './evicted-run.js';
import {
  add,
  type CycleInput,
  type PlacedTask,
  type MachineView,
  type QueuedJob,
  type Resources,
  resourcesOf,
} from './model.js';
import type { MachineState, TeamState } from './cluster-capacity.js';
import type { OrderedTeam } from './team-order.js';

/** A waiting job in a team's queue. */
export interface QueuedItem {
  readonly kind: 'queued';
  readonly queued: QueuedJob;
  /** Resources of the item's next gang or task. */
  readonly size: Resources;
  /** Index of the next task. */
  nextTask: number;
  /** The machine that took the last task without preemption, and whether the task fitted into its free resources. */
  lastPlacement: { readonly machine: MachineState; readonly free: boolean } | null;
  /** See `Cycle.failureKey`; null: not determined yet. */
  failureKey: string | null;
  /** Whether all tasks were placed before the refill, on resources reserved by an earlier cycle. */
  finished: boolean;
}
/** An item of a team's queue. */
export type Item = EvictedRun | QueuedItem;

/** A team with its queue. */
export interface QueueTeam extends TeamState, OrderedTeam {
  /** In the order in which the team's items are served. */
  queue: readonly Item[];
  /** Index of the next item. */
  next: number;
  /**
   * The last position in the order of teams (share and rank) at which a team was served since evicted units of this team were
   * last restored. This team's evicted units that come before that position are to be restored.
   */
  servedBefore: { share: number; rank: number };
}

/** Returns the position that precedes all others: no team has been served. */
export const noneServed = (): QueueTeam['servedBefore'] => ({ share: Number.NEGATIVE_INFINITY, rank: -1 });

/** What the evicted tasks of a job have in common. */
interface JobEviction {
  readonly team: QueueTeam;
  readonly need: Resources;
  readonly run: EvictedRun;
  readonly zoneRules: boolean;
  /** Evicted members of a gang; null for other jobs. */
  readonly members: PlacedTask[] | null;
}

const NO_TEAM: TeamSettings = { name: '', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } };
/** Number of urgencies, 0 to 3. */
const URGENCIES = 4;
/** Rank of evicted tasks among the queued jobs of their urgency. */
const EVICTED_RANK = -1;

/** Whether the job's placement depends on the zones of its tasks. */
export const hasZoneRules = ({ spec }: Job): boolean => spec.oneZone || spec.spread;

const machineStateOf = (view: MachineView, index: number, idle: boolean): MachineState => ({
  view,
  index,
  free: [...view.total],
  terminating: [0, 0, 0],
  evictedResources: [
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
  ],
  taskSlots: view.taskSlots ?? Number.POSITIVE_INFINITY,
  idle,
  reservation: null,
});

/** Returns the resources of the job's whole gang, or of one task. */
const sizeOf = ({ spec }: Job): Resources => {
  const count = spec.shape === 'gang' ? spec.tasks : 1;
  return [spec.cpus * count, spec.gpus * count, spec.memGb * count];
};

const byRank = (a: QueuedItem, b: QueuedItem): number =>
  a.queued.rank - b.queued.rank || (a.queued.job.spec.id < b.queued.job.spec.id ? -1 : 1);

/** Collects a team's items by urgency. */
class TeamQueueBuilder {
  readonly runs: readonly EvictedRun[];
  readonly queued: QueuedItem[][] = Array.from({ length: URGENCIES }, () => []);

  constructor(team: TeamState) {
    this.runs = Array.from({ length: URGENCIES }, () => new EvictedRun(team));
  }

  /** Returns the items, most urgent first; within an urgency, evicted tasks and then waiting jobs by rank and id. */
  inOrder(): Item[] {
    const items: Item[] = [];
    for (let urgency = URGENCIES - 1; urgency >= 0; urgency--) {
      const waiting = this.queued[urgency]!.sort(byRank);
      const firstAfter = waiting.findIndex((item) => !(item.queued.rank < EVICTED_RANK));
      const before = firstAfter < 0 ? waiting.length : firstAfter;
      items.push(...waiting.slice(0, before));
      if (this.runs[urgency]!.length > 0) items.push(this.runs[urgency]!);
      items.push(...waiting.slice(before));
    }
    return items;
  }
}

/** Machines, teams and queues at the start of a refill. */
export class Evictions {
  readonly machines = new Map<string, MachineState>();
  /** Sum of the resources of all machines. */
  readonly total: Resources = [0, 0, 0];
  readonly teams = new Map<string, QueueTeam>();
  /** See `ClusterCapacity`. */
  readonly zonesHeld = new Map<Job, Map<string, number>>();
  readonly zoneUnknown = new Set<Job>();
  private readonly queueBuilders = new Map<QueueTeam, TeamQueueBuilder>();
  private readonly jobs = new Map<Job, JobEviction>();
  private readonly gangs: RunUnit[] = [];
  /** Evicted units by machine index; null: not determined yet. */
  private unitsByMachine: RunUnit[][] | null = null;

  constructor(private readonly input: CycleInput) {
    for (const view of input.machines) {
      this.machines.set(view.id, machineStateOf(view, this.machines.size, input.idleMachines.has(view.id)));
      add(this.total, view.total);
    }
    this.evictPlacedTasks();
    for (const queued of input.queued) this.enqueue(queued);
    for (const [team, items] of this.queueBuilders) team.queue = items.inOrder();
  }

  /** Returns the evicted units on a machine, preempted ones included. */
  on(machine: MachineState): readonly RunUnit[] {
    this.unitsByMachine ??= this.locateUnits();
    return this.unitsByMachine[machine.index]!;
  }

  private teamOf(name: string): QueueTeam {
    let team = this.teams.get(name);
    if (team === undefined) {
      const { teams, weights } = this.input;
      team = {
        settings: teams.find((settings) => settings.name === name) ?? { ...NO_TEAM, name },
        weight: weights.get(name) ?? 1,
        used: [0, 0, 0],
        held: [0, 0, 0],
        retained: [0, 0, 0],
        queue: [],
        next: 0,
        share: Number.POSITIVE_INFINITY,
        rank: this.teams.size,
        heapIndex: -1,
        servedBefore: noneServed(),
      };
      this.teams.set(name, team);
      this.queueBuilders.set(team, new TeamQueueBuilder(team));
    }
    return team;
  }

  private jobEvictionOf(job: Job): JobEviction {
    let eviction = this.jobs.get(job);
    if (eviction === undefined) {
      const team = this.teamOf(job.spec.team);
      eviction = {
        team,
        need: resourcesOf(job.spec),
        run: this.queueBuilders.get(team)!.runs[job.spec.urgency]!,
        zoneRules: hasZoneRules(job),
        members: job.spec.shape === 'gang' ? [] : null,
      };
      this.jobs.set(job, eviction);
    }
    return eviction;
  }

  private evictPlacedTasks(): void {
    const gangs = new Map<Job, JobEviction>();
    for (const placed of this.input.placedTasks) {
      const { job } = placed;
      const eviction = this.jobEvictionOf(job);
      const { team, need } = eviction;
      const machine = this.machines.get(placed.machine);
      add(team.held, need);
      if (machine !== undefined) add(machine.free, need, -1);
      if (eviction.zoneRules) this.recordZone(placed);
      if (placed.terminating) {
        if (machine !== undefined) add(machine.terminating, need);
        add(team.used, need);
        continue;
      }
      if (eviction.members === null) {
        add(team.retained, need);
        if (machine !== undefined) add(machine.evictedResources[job.spec.urgency]!, need);
        eviction.run.addTask(placed, need);
      } else if (eviction.members.push(placed) === 1) gangs.set(job, eviction);
    }
    for (const [job, eviction] of gangs) this.evictGang(job, eviction, eviction.members!);
  }

  private evictGang(job: Job, { team, need, run }: JobEviction, members: readonly PlacedTask[]): void {
    const count = members.length;
    const size: Resources = [need[0] * count, need[1] * count, need[2] * count];
    add(team.retained, size);
    for (const member of members) {
      const machine = this.machines.get(member.machine);
      if (machine !== undefined) add(machine.evictedResources[job.spec.urgency]!, need);
    }
    this.gangs.push(run.addGang(job, members, need, size));
  }

  private recordZone(placed: PlacedTask): void {
    if (placed.zone === null) {
      this.zoneUnknown.add(placed.job);
      return;
    }
    let zones = this.zonesHeld.get(placed.job);
    if (zones === undefined) this.zonesHeld.set(placed.job, (zones = new Map()));
    zones.set(placed.zone, (zones.get(placed.zone) ?? 0) + 1);
  }

  /** Finds the evicted units on each machine, in a second pass over the placed tasks in the same order as the first. */
  private locateUnits(): RunUnit[][] {
    const unitsByMachine: RunUnit[][] = Array.from({ length: this.machines.size }, () => []);
    const nextIndex = new Map<EvictedRun, number>();
    for (const placed of this.input.placedTasks) {
      const { run, members } = this.jobs.get(placed.job)!;
      if (placed.terminating || members !== null) continue;
      const index = nextIndex.get(run) ?? 0;
      nextIndex.set(run, index + 1);
      const machine = this.machines.get(placed.machine);
      if (machine !== undefined) unitsByMachine[machine.index]!.push(run.unit(index));
    }
    for (const unit of this.gangs)
      for (const id of new Set(unit.members.map((member) => member.machine))) {
        const machine = this.machines.get(id);
        if (machine !== undefined) unitsByMachine[machine.index]!.push(unit);
      }
    return unitsByMachine;
  }

  private enqueue(queued: QueuedJob): void {
    if (queued.tasks.length === 0) return;
    const { job } = queued;
    const { queued: waiting } = this.queueBuilders.get(this.teamOf(job.spec.team))!;
    waiting[job.spec.urgency]!.push({
      kind: 'queued',
      queued,
      size: sizeOf(job),
      nextTask: 0,
      lastPlacement: null,
      failureKey: null,
      finished: false,
    });
  }
}
