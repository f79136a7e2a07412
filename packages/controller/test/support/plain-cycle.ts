/**
 * Reference implementation of the scheduling cycle, without optimisations: each step of the refill visits every team. A
 * property test checks that `src/scheduler/cycle.ts` decides the same.
 */
import type { Job } from '../../src/jobs/model.js';
import type { TeamSettings } from '../../src/settings/settings.js';
import {
  add,
  type CycleInput,
  type CycleResult,
  type QueuedJob,
  fits,
  type PlacedTask,
  type Resources,
  resourcesOf,
  type Start,
  type Preemption,
  type Unplaced,
} from '../../src/scheduler/model.js';
import { mayBorrow } from '../../src/lending/loans.js';
import { plainPlacementSearch } from './plain-placement-search.js';
import { reserve } from '../../src/scheduler/reserve.js';
import { replicaSearch } from '../../src/scheduler/replica-search.js';
import {
  type PlacementChoice,
  EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  protectedDemand,
  isUnavailable,
  strandsGpus,
  type MachineState,
  type TeamState,
  WITH_PREEMPTION,
  FREE_ONLY,
  WITHOUT_PREEMPTION,
} from '../../src/scheduler/cluster-capacity.js';

const NO_TEAM: TeamSettings = { name: '', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } };

interface PlainMachineState extends MachineState {
  readonly evicted: Set<EvictedUnit>;
}
interface QueuedItem {
  readonly kind: 'queued';
  readonly queued: QueuedJob;
  readonly urgency: number;
  readonly rank: number;
  /** Index of the next task. */
  nextTask: number;
  /** The machine that took the last task without preemption, and whether the task fitted into its free resources. */
  lastPlacement: { readonly machine: MachineState; readonly free: boolean } | null;
}
type Item =
  | { readonly kind: 'evicted'; readonly unit: EvictedUnit; readonly urgency: number; readonly rank: number }
  | QueuedItem;
interface PlainTeamState extends TeamState {
  readonly queue: Item[];
  /** Index of the next item. */
  next: number;
  /** Share with the next item placed; null: must be computed again. */
  share: number | null;
}

export const plainSchedule = (
  input: CycleInput,
  search: (capacity: ClusterCapacity) => PlacementSearch = plainPlacementSearch,
): CycleResult => {
  const machines = new Map<string, PlainMachineState>();
  const total: Resources = [0, 0, 0];
  for (const view of input.machines) {
    machines.set(view.id, {
      view,
      index: machines.size,
      free: [...view.total],
      terminating: [0, 0, 0],
      evicted: new Set(),
      evictedResources: [
        [0, 0, 0],
        [0, 0, 0],
        [0, 0, 0],
        [0, 0, 0],
      ],
      taskSlots: view.taskSlots ?? Number.POSITIVE_INFINITY,
      idle: input.idleMachines.has(view.id),
      reservation: null,
    });
    add(total, view.total);
  }
  const teams = new Map<string, PlainTeamState>();
  const teamOf = (name: string): PlainTeamState => {
    let team = teams.get(name);
    if (!team) {
      team = {
        settings: input.teams.find((settings) => settings.name === name) ?? { ...NO_TEAM, name },
        weight: input.weights.get(name) ?? 1,
        used: [0, 0, 0],
        held: [0, 0, 0],
        retained: [0, 0, 0],
        queue: [],
        next: 0,
        share: null,
      };
      teams.set(name, team);
    }
    return team;
  };

  // Eviction: all placed tasks hold resources; evicted ones may be preempted later.
  const gangs = new Map<Job, PlacedTask[]>();
  const zonesHeld = new Map<Job, Map<string, number>>();
  /** Jobs with a task on a machine whose zone is not known: their zone rules can't be followed yet. */
  const zoneUnknown = new Set<Job>();
  const evict = (job: Job, members: readonly PlacedTask[]): void => {
    const team = teamOf(job.spec.team);
    const need = resourcesOf(job.spec);
    const count = members.length;
    const size: Resources = count === 1 ? need : [need[0] * count, need[1] * count, need[2] * count];
    const unit = new EvictedUnit(team, job, members, need, size);
    add(team.retained, size);
    for (const member of members) {
      const machine = machines.get(member.machine);
      machine?.evicted.add(unit);
      if (machine) add(machine.evictedResources[job.spec.urgency]!, need);
    }
    team.queue.push({ kind: 'evicted', unit, urgency: job.spec.urgency, rank: -1 });
  };
  for (const placed of input.placedTasks) {
    const need = resourcesOf(placed.job.spec);
    const team = teamOf(placed.job.spec.team);
    add(team.held, need);
    const machine = machines.get(placed.machine);
    if (machine) add(machine.free, need, -1);
    if (placed.zone === null) zoneUnknown.add(placed.job);
    else {
      let zones = zonesHeld.get(placed.job);
      if (!zones) zonesHeld.set(placed.job, (zones = new Map()));
      zones.set(placed.zone, (zones.get(placed.zone) ?? 0) + 1);
    }
    if (placed.terminating) {
      if (machine) add(machine.terminating, need);
      add(team.used, need);
    } else if (placed.job.spec.shape === 'gang') {
      const members = gangs.get(placed.job);
      if (members) members.push(placed);
      else gangs.set(placed.job, [placed]);
    } else {
      evict(placed.job, [placed]);
    }
  }
  for (const [job, members] of gangs) evict(job, members);

  for (const queuedJob of input.queued) {
    if (queuedJob.tasks.length === 0) continue;
    teamOf(queuedJob.job.spec.team).queue.push({
      kind: 'queued',
      queued: queuedJob,
      urgency: queuedJob.job.spec.urgency,
      rank: queuedJob.rank,
      nextTask: 0,
      lastPlacement: null,
    });
  }
  for (const team of teams.values()) {
    team.queue.sort(
      (a, b) =>
        b.urgency - a.urgency ||
        a.rank - b.rank ||
        (a.kind === 'evicted' || b.kind === 'evicted'
          ? 0
          : a.queued.job.spec.id < b.queued.job.spec.id
            ? -1
            : 1),
    );
  }

  const starts = new Map<Job, Start>();
  const preemptions: Preemption[] = [];
  const unplaced: Unplaced[] = [];
  const reservations = new Map<string, number>();
  /**
   * By failure key, the smallest number of tasks for which a search failed in this cycle: a search for as many similar tasks
   * or more fails, too, and is skipped.
   */
  const unplaceable = new Map<string, number>();

  const sizeOf = (item: Item): Resources => {
    if (item.kind === 'evicted') return item.unit.size;
    const { job } = item.queued;
    const count = job.spec.shape === 'gang' ? job.spec.tasks : 1;
    const need = resourcesOf(job.spec);
    return [need[0] * count, need[1] * count, need[2] * count];
  };
  /** Returns the team's dominant share divided by its weight, with `more` resources in use. */
  const share = (team: TeamState, more: Resources): number => {
    let dominant = 0;
    for (let i = 0; i < 3; i++) {
      if (total[i]! > 0) dominant = Math.max(dominant, (team.used[i]! + more[i]!) / total[i]!);
    }
    return dominant / team.weight;
  };
  const withinGuarantee = (team: TeamState, more: Resources): boolean => {
    const teamGuarantee = team.settings.guarantee;
    return (
      team.used[0] + more[0] <= teamGuarantee.cpus + 1e-6 &&
      team.used[1] + more[1] <= teamGuarantee.gpus + 1e-6
    );
  };
  const overLimit = (team: PlainTeamState, more: Resources): boolean => {
    const teamLimit = team.settings.limit;
    return (
      (teamLimit.cpus > 0 && team.held[0] + more[0] > teamLimit.cpus + 1e-6) ||
      (teamLimit.gpus > 0 && team.held[1] + more[1] > teamLimit.gpus + 1e-6)
    );
  };

  /** By job, the number of tasks with GPUs that this cycle preempts for services. */
  const takenForServices = new Map<Job, number>();
  const preempt = (unit: EvictedUnit, borrower: Job): void => {
    unit.preempted = true;
    const { need } = unit;
    add(unit.team.retained, unit.size, -1);
    const lent = input.lending !== undefined && mayBorrow(borrower.spec) && need[1] > 0;
    if (lent) takenForServices.set(unit.job, (takenForServices.get(unit.job) ?? 0) + unit.members.length);
    for (const member of unit.members) {
      const machine = machines.get(member.machine);
      if (machine) {
        machine.evicted.delete(unit);
        add(machine.evictedResources[unit.job.spec.urgency]!, need, -1);
        add(machine.terminating, need);
      }
      const preemption = { job: unit.job, task: member.task, machine: member.machine };
      preemptions.push(lent ? { ...preemption, taker: borrower } : preemption);
    }
  };

  const NO_RESOURCES: Resources = [0, 0, 0];
  const NO_VICTIMS: ReadonlySet<EvictedUnit> = new Set();
  /**
   * Overdue jobs of which this cycle has placed nothing yet. Only one task of each, or one gang, may use resources kept for
   * future GPU jobs.
   */
  const overdue = new Set(input.queued.flatMap((queued) => (queued.overdue === true ? [queued.job] : [])));
  const capacity: ClusterCapacity = {
    machines,
    evictedOn: (machine) => [...(machine as PlainMachineState).evicted],
    markChanged: () => undefined,
    changedMachines: [],
    zones: [...new Set(input.machines.map((machine) => machine.zone))].sort(),
    zonesHeld,
    zoneUnknown,
    coLocatedDemand: input.coLocatedDemand,
    avoid: input.avoid,
    overdue,
    share: (team) => share(team, NO_RESOURCES),
    withinGuarantee,
  };
  const findMachines = replicaSearch(capacity, search(capacity), input.lending, takenForServices);

  const occupy = (
    job: Job,
    team: PlainTeamState,
    tasks: readonly number[],
    choice: PlacementChoice,
  ): void => {
    const need = resourcesOf(job.spec);
    for (const victim of choice.victims) {
      if (victim.preempted) continue;
      // The resources of a restored unit were counted as used by its team.
      if (restored.has(victim)) add(victim.team.used, victim.size, -1);
      (victim.team as PlainTeamState).share = null;
      preempt(victim, job);
    }
    let start = starts.get(job);
    if (choice.free && !start) {
      start = { job, attempt: Math.max(job.attempt, input.attemptFloor ?? 0) + 1, tasksByMachine: new Map() };
      starts.set(job, start);
    }
    let zones = zonesHeld.get(job);
    if (!zones) zonesHeld.set(job, (zones = new Map()));
    tasks.forEach((task, i) => {
      const machine = choice.machines[i]!;
      add(machine.free, need, -1);
      machine.taskSlots--;
      add(team.used, need);
      add(team.held, need);
      zones.set(machine.view.zone, (zones.get(machine.view.zone) ?? 0) + 1);
      if (choice.free) {
        const startedOn = start!.tasksByMachine.get(machine.view.id);
        if (startedOn) startedOn.push(task);
        else {
          start!.tasksByMachine.set(machine.view.id, [task]);
          placements++;
        }
      }
    });
    // Resources that the tasks wait for are taken from those of terminating tasks, so that no other task gets them.
    if (!choice.free) {
      for (const machine of choice.machines) {
        for (let i = 0; i < 3; i++) {
          if (machine.free[i]! < 0) {
            machine.terminating[i]! += machine.free[i]!;
            machine.free[i] = 0;
          }
        }
      }
    }
  };
  /** Evicted units that were restored to their machines. */
  const restored = new Set<EvictedUnit>();
  /** Number of placements (starts of a job on one machine) so far. */
  let placements = 0;

  /** Places `group`, the next tasks of the item, as chosen; returns false if `choice` is null. */
  const place = (
    team: PlainTeamState,
    item: QueuedItem,
    group: readonly number[],
    choice: PlacementChoice | null,
  ): boolean => {
    if (choice === null) return false;
    const { job } = item.queued;
    occupy(job, team, group, choice);
    overdue.delete(job);
    item.lastPlacement =
      choice.victims.size === 0 && job.spec.shape !== 'gang'
        ? { machine: choice.machines[0]!, free: choice.free }
        : null;
    if (!choice.free) reservations.set(job.spec.id, (reservations.get(job.spec.id) ?? 0) + group.length);
    item.nextTask += group.length;
    return true;
  };
  /** Returns the tasks to place together: all tasks of a gang, otherwise the next task. */
  const nextTasks = (item: QueuedItem): readonly number[] =>
    item.queued.job.spec.shape === 'gang' ? item.queued.tasks : [item.queued.tasks[item.nextTask]!];

  /**
   * Returns the machine of the item's last task if the next task fits there at the same level, into free resources or those
   * of terminating tasks: the machine was the tightest fit and now fits tighter. If the last task did not fit into free
   * resources of any machine, the next one does not either.
   */
  const sameMachineAsLast = (item: QueuedItem, job: Job): PlacementChoice | null => {
    if (item.lastPlacement === null || job.spec.spread || isUnavailable(item.lastPlacement.machine, job))
      return null;
    if (input.lending !== undefined && mayBorrow(job.spec)) return null;
    const { machine, free } = item.lastPlacement;
    const need = resourcesOf(job.spec);
    const remaining: Resources = [
      machine.free[0] - need[0],
      machine.free[1] - need[1],
      machine.free[2] - need[2],
    ];
    if (
      strandsGpus(
        protectedDemand(input.coLocatedDemand, job),
        job,
        machine.view.total,
        machine.idle,
        remaining,
      )
    )
      return null;
    if (!free) add(remaining, machine.terminating);
    if (!fits(NO_RESOURCES, remaining)) return null;
    return { machines: [machine], victims: NO_VICTIMS, free };
  };

  /** Whether machines have been reserved in this cycle: at most one starving gang gets a reservation. */
  let madeReservation = false;

  /** Places the next task or gang of the item. Returns whether the item has tasks left that may be placed in this cycle. */
  const serve = (team: PlainTeamState, item: QueuedItem): boolean => {
    const { job, tasks, suspect, mayRent } = item.queued;
    const gang = job.spec.shape === 'gang';
    const group = nextTasks(item);
    const { spec } = job;
    // Equal for items whose searches fail alike; empty if the search depends on the job itself, such as that of a suspect job,
    // which only uses free resources, or of a gang that avoids machines where it failed.
    const failureKey =
      suspect ||
      overdue.has(job) ||
      (gang && input.avoid(job) !== null) ||
      (input.lending !== undefined && mayBorrow(spec))
        ? ''
        : [
            spec.team,
            spec.urgency,
            spec.cpus,
            spec.gpus,
            spec.memGb,
            spec.types,
            spec.zone,
            spec.spot,
            gang ? `${spec.oneZone}${spec.spread}` : spec.spread || spec.oneZone ? spec.id : '',
            spec.gpus > 0 ? '' : protectedDemand(input.coLocatedDemand, job).length,
          ].join('|');
    const limited = overLimit(team, sizeOf(item));
    const choice =
      limited ||
      (failureKey !== '' && group.length >= (unplaceable.get(failureKey) ?? Number.POSITIVE_INFINITY))
        ? null
        : (sameMachineAsLast(item, job) ??
          findMachines(job, team, group.length, suspect ? FREE_ONLY : WITH_PREEMPTION));
    if (!place(team, item, group, choice)) {
      if (failureKey !== '' && !limited)
        unplaceable.set(
          failureKey,
          Math.min(group.length, unplaceable.get(failureKey) ?? Number.POSITIVE_INFINITY),
        );
      if (!limited && !madeReservation && item.queued.starving)
        madeReservation = reserve(capacity, input.placedTasks, job, team);
      // More machines would not help a team at its limit.
      if (!limited && mayRent)
        unplaced.push({ job, count: gang ? tasks.length : tasks.length - item.nextTask });
      return false;
    }
    return item.nextTask < tasks.length;
  };

  // Tasks for which earlier cycles preempted others are placed first: they were selected when the others were stopped.
  const finished = new Set<Item>();
  for (const [id, count] of input.reservations) {
    for (const team of teams.values()) {
      const item = team.queue.find((queued) => queued.kind === 'queued' && queued.queued.job.spec.id === id);
      if (item?.kind !== 'queued' || item.queued.suspect) continue;
      while (item.nextTask < Math.min(count, item.queued.tasks.length) && !overLimit(team, sizeOf(item))) {
        const group = nextTasks(item);
        if (!place(team, item, group, findMachines(item.queued.job, team, group.length, WITHOUT_PREEMPTION)))
          break;
      }
      if (item.nextTask >= item.queued.tasks.length) finished.add(item);
    }
  }

  // Refill: serves the team with the smallest share, restoring evicted units and placing waiting items in the order of its
  // queue.
  for (;;) {
    let team: PlainTeamState | null = null;
    let smallestShare = Number.POSITIVE_INFINITY;
    for (const candidate of teams.values()) {
      while (candidate.next < candidate.queue.length && finished.has(candidate.queue[candidate.next]!)) {
        candidate.next++;
        candidate.share = null;
      }
      const item = candidate.queue[candidate.next];
      if (!item) continue;
      const candidateShare = (candidate.share ??= share(candidate, sizeOf(item)));
      if (candidateShare < smallestShare) {
        smallestShare = candidateShare;
        team = candidate;
      }
    }
    if (team === null) break;
    team.share = null;
    const item = team.queue[team.next]!;
    if (item.kind === 'evicted') {
      team.next++;
      if (item.unit.preempted) continue;
      add(team.used, item.unit.size);
      restored.add(item.unit);
      continue;
    }
    if (placements >= (input.maxPlacements ?? Number.POSITIVE_INFINITY)) {
      for (const unserved of teams.values())
        for (const waiting of unserved.queue.slice(unserved.next)) {
          if (
            waiting.kind === 'evicted' ||
            finished.has(waiting) ||
            !waiting.queued.mayRent ||
            overLimit(unserved, sizeOf(waiting))
          )
            continue;
          const { job, tasks } = waiting.queued;
          unplaced.push({
            job,
            count: job.spec.shape === 'gang' ? tasks.length : tasks.length - waiting.nextTask,
          });
        }
      break;
    }
    if (!serve(team, item)) team.next++;
  }

  const free = new Map<string, Resources>();
  for (const machine of machines.values()) free.set(machine.view.id, [...machine.free]);
  return { starts: [...starts.values()], preemptions, unplaced, reservations, free };
};
