/**
 * What a cycle works on: every fair-share-preemptible running task evicted into its team's queue, the rooms that machines
 * and teams have while all of them are still in their places, and what waits behind them.
 *
 * Eviction is a device of the computation: a task that gets its own machine back is not touched.
 */
import type { Job } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';
import { EvictedRun, type RunUnit } from './evicted-run.js';
import {
  add,
  type CycleInput,
  type PlacedTask,
  type NodeView,
  type QueuedJob,
  type Resources,
  resourcesOf,
} from './model.js';
import type { NodeState, TeamState } from './cluster-capacity.js';
import type { OrderedTeam } from './team-order.js';

export interface QueuedItem {
  readonly kind: 'queued';
  readonly queued: QueuedJob;
  /** What its next gang or task takes. */
  readonly size: Resources;
  /** Index of the next task. */
  nextTask: number;
  /** The machine that took the last one without displacing anybody, and whether on free room. */
  lastPlacement: { readonly n: NodeState; readonly free: boolean } | null;
  /** See `Cycle.failureKey`; null: not asked yet. */
  shape: string | null;
  /** It had its turn before all others, on room that was being left for it. */
  finished: boolean;
}
export type Item = EvictedRun | QueuedItem;

export interface QueueTeam extends TeamState, OrderedTeam {
  /** In the order in which the team's items are served. */
  queue: readonly Item[];
  /** Index of the next one. */
  next: number;
  /**
   * The greatest share, and the rank of the team that had it, at which a team was served since this one's evicted tasks were
   * last let return: those that come before it have had their turn.
   */
  servedBefore: { share: number; rank: number };
}

/** Nobody has been served. */
export const noneServed = (): QueueTeam['servedBefore'] => ({ share: Number.NEGATIVE_INFINITY, rank: -1 });

/** What all tasks of a job have in common. */
interface JobEviction {
  readonly team: QueueTeam;
  readonly need: Resources;
  readonly run: EvictedRun;
  readonly zoneRules: boolean;
  /** Of a gang: its evicted members. */
  readonly members: PlacedTask[] | null;
}

const NO_TEAM: TeamSettings = { name: '', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } };
const URGENCIES = 4;
/** What is evicted ranks here among the queued jobs of its urgency. */
const EVICTED_RANK = -1;

/** Where a job's tasks are matters only to jobs with rules about zones. */
export const hasZoneRules = ({ spec }: Job): boolean => spec.oneZone || spec.spread;

const nodeStateOf = (view: NodeView, index: number, idle: boolean): NodeState => ({
  view,
  index,
  free: [...view.total],
  leaving: [0, 0, 0],
  evictedResources: [
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
  ],
  idle,
  reservation: null,
});

const sizeOf = ({ spec }: Job): Resources => {
  const count = spec.shape === 'gang' ? spec.tasks : 1;
  return [spec.cpus * count, spec.gpus * count, spec.memGb * count];
};

const byRank = (a: QueuedItem, b: QueuedItem): number =>
  a.queued.rank - b.queued.rank || (a.queued.job.spec.id < b.queued.job.spec.id ? -1 : 1);

/** A team's items while they are gathered, by urgency. */
class TeamQueueBuilder {
  readonly runs: readonly EvictedRun[];
  readonly queued: QueuedItem[][] = Array.from({ length: URGENCIES }, () => []);

  constructor(team: TeamState) {
    this.runs = Array.from({ length: URGENCIES }, () => new EvictedRun(team));
  }

  /** The most urgent first; among equals what runs, then what waits by rank and id. */
  inOrder(): Item[] {
    const out: Item[] = [];
    for (let urgency = URGENCIES - 1; urgency >= 0; urgency--) {
      const waiting = this.queued[urgency]!.sort(byRank);
      const first = waiting.findIndex((item) => !(item.queued.rank < EVICTED_RANK));
      const before = first < 0 ? waiting.length : first;
      out.push(...waiting.slice(0, before));
      if (this.runs[urgency]!.length > 0) out.push(this.runs[urgency]!);
      out.push(...waiting.slice(before));
    }
    return out;
  }
}

export class Evictions {
  readonly nodes = new Map<string, NodeState>();
  /** All room of reporting machines. */
  readonly total: Resources = [0, 0, 0];
  readonly teams = new Map<string, QueueTeam>();
  /** See `ClusterCapacity`. */
  readonly zonesHeld = new Map<Job, Map<string, number>>();
  readonly zoneUnknown = new Set<Job>();
  private readonly queueBuilders = new Map<QueueTeam, TeamQueueBuilder>();
  private readonly jobs = new Map<Job, JobEviction>();
  private readonly gangs: RunUnit[] = [];
  /** Evicted units by their machine's index; null: nobody has asked yet. */
  private unitsByNode: RunUnit[][] | null = null;

  constructor(private readonly input: CycleInput) {
    for (const view of input.nodes) {
      this.nodes.set(view.id, nodeStateOf(view, this.nodes.size, input.idleNodes.has(view.id)));
      add(this.total, view.total);
    }
    this.evictPlacedTasks();
    for (const q of input.queued) this.enqueue(q);
    for (const [team, items] of this.queueBuilders) team.queue = items.inOrder();
  }

  /** The evicted units on a machine, displaced ones included. */
  on(node: NodeState): readonly RunUnit[] {
    this.unitsByNode ??= this.locateUnits();
    return this.unitsByNode[node.index]!;
  }

  private teamOf(name: string): QueueTeam {
    let team = this.teams.get(name);
    if (team === undefined) {
      const { teams, weights } = this.input;
      team = {
        settings: teams.find((s) => s.name === name) ?? { ...NO_TEAM, name },
        weight: weights.get(name) ?? 1,
        used: [0, 0, 0],
        held: [0, 0, 0],
        staying: [0, 0, 0],
        queue: [],
        next: 0,
        share: Number.POSITIVE_INFINITY,
        rank: this.teams.size,
        place: -1,
        servedBefore: noneServed(),
      };
      this.teams.set(name, team);
      this.queueBuilders.set(team, new TeamQueueBuilder(team));
    }
    return team;
  }

  private jobEvictionOf(job: Job): JobEviction {
    let ground = this.jobs.get(job);
    if (ground === undefined) {
      const team = this.teamOf(job.spec.team);
      ground = {
        team,
        need: resourcesOf(job.spec),
        run: this.queueBuilders.get(team)!.runs[job.spec.urgency]!,
        zoneRules: hasZoneRules(job),
        members: job.spec.shape === 'gang' ? [] : null,
      };
      this.jobs.set(job, ground);
    }
    return ground;
  }

  private evictPlacedTasks(): void {
    const gangs = new Map<Job, JobEviction>();
    for (const h of this.input.placedTasks) {
      const { job } = h;
      const ground = this.jobEvictionOf(job);
      const { team, need } = ground;
      const node = this.nodes.get(h.machine);
      add(team.held, need);
      if (node !== undefined) add(node.free, need, -1);
      if (ground.zoneRules) this.noteZone(h);
      if (h.leaving) {
        if (node !== undefined) add(node.leaving, need);
        add(team.used, need);
        continue;
      }
      if (ground.members === null) {
        add(team.staying, need);
        if (node !== undefined) add(node.evictedResources[job.spec.urgency]!, need);
        ground.run.addTask(h, need);
      } else if (ground.members.push(h) === 1) gangs.set(job, ground);
    }
    for (const [job, ground] of gangs) this.evictGang(job, ground, ground.members!);
  }

  private evictGang(job: Job, { team, need, run }: JobEviction, members: readonly PlacedTask[]): void {
    const k = members.length;
    const size: Resources = [need[0] * k, need[1] * k, need[2] * k];
    add(team.staying, size);
    for (const m of members) {
      const node = this.nodes.get(m.machine);
      if (node !== undefined) add(node.evictedResources[job.spec.urgency]!, need);
    }
    this.gangs.push(run.addGang(job, members, need, size));
  }

  private noteZone(h: PlacedTask): void {
    if (h.zone === null) {
      this.zoneUnknown.add(h.job);
      return;
    }
    let zones = this.zonesHeld.get(h.job);
    if (zones === undefined) this.zonesHeld.set(h.job, (zones = new Map()));
    zones.set(h.zone, (zones.get(h.zone) ?? 0) + 1);
  }

  /** Goes over the holders once more, in the same order, and notes where each evicted unit is. */
  private locateUnits(): RunUnit[][] {
    const places: RunUnit[][] = Array.from({ length: this.nodes.size }, () => []);
    const passed = new Map<EvictedRun, number>();
    for (const h of this.input.placedTasks) {
      const { run, members } = this.jobs.get(h.job)!;
      if (h.leaving || members !== null) continue;
      const index = passed.get(run) ?? 0;
      passed.set(run, index + 1);
      const node = this.nodes.get(h.machine);
      if (node !== undefined) places[node.index]!.push(run.unit(index));
    }
    for (const unit of this.gangs)
      for (const machine of new Set(unit.members.map((m) => m.machine))) {
        const node = this.nodes.get(machine);
        if (node !== undefined) places[node.index]!.push(unit);
      }
    return places;
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
      shape: null,
      finished: false,
    });
  }
}
