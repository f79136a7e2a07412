/** Builds the input of a scheduling cycle from the worker registry and the job state. */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { monotonicDayTime, slackInputsOf } from '../calendar/cutoff-tracking.js';
import { cutoffRank } from '../calendar/slack.js';
import { isComplete, type Job, taskKey } from '../jobs/model.js';
import { mayBorrow } from '../lending/loans.js';
import { MAX_TASKS_PER_MACHINE } from '../workers/message-limits.js';
import { hasExited, type TaskExits } from '../workers/observed-exits.js';
import type { WorkerRegistry } from '../workers/worker-registry.js';
import {
  type CoLocatedDemand,
  fits,
  type PlacedTask,
  type LendingView,
  type MachineView,
  type QueuedJob,
  resourcesOf,
} from './model.js';
import { RESERVES_AFTER, IN_TIME_RANK, starvingFrom, type ClassObjective, rankOf } from './rank.js';
import type { CycleContext } from './cycle-context.js';
import { placementLimits, tasksToStart } from './tasks-to-start.js';

/** A placed task. Its loss and remaining time are computed on demand, since a cycle needs them for few tasks only. */
class PlacedTaskView implements PlacedTask {
  constructor(
    readonly job: Job,
    readonly task: number,
    readonly machine: string,
    readonly zone: string | null,
    readonly terminating: boolean,
    private readonly key: string,
    private readonly now: Micros,
    private readonly registry: WorkerRegistry,
  ) {}

  get loss(): Micros {
    const run = this.registry.running.get(this.key);
    const since = run ? this.now - run.since : 0;
    const { checkpoint, save } = this.job.spec;
    return (checkpoint > 0 ? Math.min(since, save) : since) as Micros;
  }

  get remaining(): Micros {
    const run = this.registry.running.get(this.key);
    return Math.max(0, this.job.spec.estimate - (run ? this.now - run.since : 0)) as Micros;
  }
}

/** Returns the tasks that hold resources at `now`: all placed tasks whose exits have not been observed. */
export const placedTasksOf = (context: CycleContext, now: Micros): PlacedTask[] => {
  const placedTasks: PlacedTask[] = [];
  const { registry } = context;
  // Each cycle visits thousands of tasks: values that are equal for all tasks of a machine or a job are looked up once.
  interface JobLookup {
    readonly terminating: boolean;
    readonly exits: TaskExits | undefined;
  }
  const lookups = new Map<Job, JobLookup>();
  let lastJob: Job | null = null;
  let current: JobLookup = { terminating: false, exits: undefined };
  const anyStopping = registry.stopping.size > 0;
  for (const [machineId, placements] of context.jobState.placementsByMachine) {
    const machine = registry.machines.get(machineId);
    const zone = machine?.zone ?? null;
    const unconfirmed = machine === undefined || !machine.confirmed;
    placements.forEach((placement, key) => {
      const { job, task } = placement;
      if (job !== lastJob) {
        let lookup = lookups.get(job);
        if (lookup === undefined) {
          lookup = {
            terminating: job.cancelled || registry.isBrokenGang(job),
            exits: registry.exits.get(job.spec.id),
          };
          lookups.set(job, lookup);
        }
        lastJob = job;
        current = lookup;
      }
      // The log entry that records the exit also records the starts on the freed resources.
      if (current.exits !== undefined && hasExited(current.exits, task)) return;
      const terminating = unconfirmed || current.terminating || (anyStopping && registry.stopping.has(key));
      placedTasks.push(new PlacedTaskView(job, task, machineId, zone, terminating, key, now, registry));
    });
  }
  return placedTasks;
};

/** Returns the machines that fetch the image of a GPU service for a replica placed on them. */
const machinesFetchingWeights = (context: CycleContext): Set<string> => {
  const machineIds = new Set<string>();
  for (const job of context.jobState.jobs.values()) {
    if (!mayBorrow(job.spec) || job.cancelled) continue;
    for (const placement of job.placed.values())
      if (context.registry.machines.get(placement.machine)?.images.has(job.spec.image) === false)
        machineIds.add(placement.machine);
  }
  return machineIds;
};

/** Returns the machines of known types whose workers have reported. */
export const reportedMachines = (context: CycleContext, now: Micros): MachineView[] => {
  const types = new Map(context.types().map((type) => [type.name, type]));
  const machines: MachineView[] = [];
  const fetching = machinesFetchingWeights(context);
  for (const machine of context.registry.machines.values()) {
    const type = types.get(machine.type);
    if (!type || !machine.reported) continue;
    machines.push({
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      total: [type.cpus, type.gpus, type.memGb],
      images: machine.images,
      ...(fetching.has(machine.id) ? { fetchingWeights: true } : {}),
      taskSlots: MAX_TASKS_PER_MACHINE - (context.jobState.placementsByMachine.get(machine.id)?.size ?? 0),
      open: context.registry.isSchedulable(machine, now),
    });
  }
  return machines;
};

/**
 * Returns the objectives of a class that order the queue. An objective for the time to finish counts only if the class has
 * none for the wait until the start: it lets thousands of tiny jobs go before one huge array of the same team. Classes with
 * an objective for the wait are served in the order of submission.
 */
const objectiveOf = (context: CycleContext, jobClass: string): ClassObjective => {
  const objectives = context.settings.objectives.filter((objective) => objective.jobClass === jobClass);
  const multiples = objectives
    .filter((objective) => objective.kind === 'deadline')
    .map((objective) => objective.times);
  const finishObjectives = objectives.some((objective) => objective.kind === 'wait')
    ? []
    : objectives.filter((objective) => objective.kind === 'finished');
  return {
    multiples: multiples.length === 0 ? [1] : multiples.sort((a, b) => a - b),
    within:
      finishObjectives.length === 0
        ? null
        : (Math.min(...finishObjectives.map((objective) => objective.within)) as Micros),
  };
};

/**
 * Machines are rented for a job suspected to be faulty only when its retry has been due for longer than this: all present
 * machines may be faulty, and a correct job that failed on faulty machines must still finish.
 */
const RETRY_OVERDUE = seconds(45);

/** Returns the jobs with tasks to start, as of the commit of all exits observed so far. */
export const queuedJobsOf = (context: CycleContext, now: Micros): QueuedJob[] => {
  const { registry, jobState, largestJobs } = context;
  const queuedJobs: QueuedJob[] = [];
  const day = context.dayTime();
  const objectives = new Map<string, ClassObjective>();
  for (const { spec } of jobState.jobs.values()) largestJobs.observe(spec);
  const limits = new Map(context.settings.teams.map((team) => [team.name, team.limit]));
  const calendar = jobState.calendars.current;
  const cutoffDay = monotonicDayTime(context);
  const pace = slackInputsOf(context);
  const placementLimit = placementLimits(context);
  for (const job of jobState.jobs.values()) {
    const { spec } = job;
    if (job.cancelled || isComplete(job) || now < registry.retryNotBefore(job, now)) continue;
    const suspect = registry.isSuspect(job, now);
    // Tasks of the job run without a log entry of their start: they are adopted or exit before more tasks are started.
    if (registry.orphanedTasks.has(spec.id)) continue;
    const tasks = tasksToStart(job, registry.exits.get(spec.id), suspect, placementLimit);
    if (tasks.length === 0) continue;
    let objective = objectives.get(spec.jobClass);
    if (!objective) objectives.set(spec.jobClass, (objective = objectiveOf(context, spec.jobClass)));
    const gang = spec.shape === 'gang';
    const starvingSince = largestJobs.has(spec)
      ? starvingFrom(
          job,
          day,
          limits.get(spec.team),
          gang ? Number.POSITIVE_INFINITY : placementLimit.maxPlaced,
        )
      : null;
    const boundRank =
      suspect || spec.cutoffBinding === null ? null : cutoffRank(job, calendar, cutoffDay, pace);
    const rankOfBound = (cutoff: number): number =>
      starvingSince !== null && day >= starvingSince ? starvingSince : IN_TIME_RANK + cutoff;
    const rank =
      boundRank === null ? rankOf(job, day, objective, suspect, starvingSince) : rankOfBound(boundRank);
    const mayRent = !suspect || now - registry.retryNotBefore(job, now) > RETRY_OVERDUE;
    const starving = gang && !suspect && starvingSince !== null && day >= starvingSince + RESERVES_AFTER;
    const overdue = context.startWaits.overdue(job, now) && !suspect;
    queuedJobs.push({
      job,
      tasks,
      rank,
      starving,
      suspect,
      mayRent,
      ...(overdue ? { overdue } : {}),
    });
  }
  context.startWaits.retain(jobState.jobs);
  return queuedJobs;
};

/** Expected time until a rented machine is up, as a multiple of the boot time that the cloud states. */
const BOOT_TIME_FACTOR = 1.2;
/** Age of a job up to which its replicas may wait for a rented machine instead of preempting tasks. */
const RENTAL_MAX_AGE = seconds(10);

/** Returns the information for placing replicas; undefined if no replica of a GPU service is queued. */
export const lendingViewOf = (
  context: CycleContext,
  now: Micros,
  queued: readonly QueuedJob[],
): LendingView | undefined => {
  if (!queued.some((item) => mayBorrow(item.job.spec))) return undefined;
  const { registry, jobState } = context;
  const day = context.dayTime();
  const types = new Map(context.types().map((type) => [type.name, type]));
  const waitObjectives = new Map<string, number>();
  for (const objective of context.settings.objectives)
    if (objective.kind === 'wait')
      waitObjectives.set(
        objective.jobClass,
        Math.min(objective.within, waitObjectives.get(objective.jobClass) ?? objective.within),
      );
  /** Images being fetched and the time of day since when, by machine. */
  const fetching = new Map<string, Map<string, number>>();
  const fetchingOn = (id: string): Map<string, number> => {
    let images = fetching.get(id);
    if (images) return images;
    fetching.set(id, (images = new Map()));
    const machine = registry.machines.get(id);
    for (const [key, placement] of jobState.placementsByMachine.get(id) ?? []) {
      const status = machine?.tasks.get(key)?.status;
      const { image } = placement.job.spec;
      if ((status !== undefined && status !== 'fetching') || machine?.images.has(image)) continue;
      images.set(image, Math.min(placement.since === 0 ? day : placement.since, images.get(image) ?? day));
    }
    return images;
  };
  const fetchRateOf = (machine: string): number =>
    types.get(registry.machines.get(machine)?.type ?? '')?.fetchGbPerS ?? 0;
  const fetchDuration = (imageGb: number, gbPerS: number): Micros =>
    (gbPerS > 0 ? Math.round((imageGb / gbPerS) * 1e6) : 0) as Micros;
  return {
    imageStatus: (job, machine) => {
      const images = fetchingOn(machine.id);
      const { image, imageGb } = job.spec;
      const since = images.get(image);
      return {
        gb: imageGb,
        gbPerS: fetchRateOf(machine.id),
        present: machine.images.has(image),
        fetchedFor: since === undefined ? null : (Math.max(0, day - since) as Micros),
        others: images.size - (since === undefined ? 0 : 1),
      };
    },
    victim: ({ job: { spec, placed }, task, machine }) => {
      const run = registry.running.get(taskKey(spec.id, task));
      // A new leader has observed the task for a short time only; the log entry of its start is older.
      const since = placed.get(task)?.since ?? 0;
      const ranByLogEntry = since === 0 ? 0 : day - since - fetchDuration(spec.imageGb, fetchRateOf(machine));
      return {
        ran: (run === undefined ? 0 : Math.max(now - run.since, ranByLogEntry)) as Micros,
        estimate: spec.estimate,
        checkpoint: spec.checkpoint,
        save: spec.save,
      };
    },
    reachable: (id) => {
      const machine = registry.machines.get(id);
      const maxAge = context.settings.workers.heartbeatInterval * 1.5 + 1e6;
      return (
        machine !== undefined &&
        machine.confirmed &&
        machine.recallAt === null &&
        now - machine.lastResponseAt < maxAge
      );
    },
    due: ({ spec }) => {
      const within = waitObjectives.get(spec.jobClass);
      return within === undefined ? null : ((spec.submitted + within - day) as Micros);
    },
    rental: ({ spec }) => {
      if (day - spec.submitted > RENTAL_MAX_AGE) return null;
      let best: { boot: Micros; fetch: Micros } | null = null;
      for (const type of types.values()) {
        if (spec.types !== null && !spec.types.includes(type.name)) continue;
        if (!fits(resourcesOf(spec), [type.cpus, type.gpus, type.memGb])) continue;
        const option = {
          boot: Math.round(type.boot * BOOT_TIME_FACTOR) as Micros,
          fetch: fetchDuration(spec.imageGb, type.fetchGbPerS),
        };
        if (best === null || option.boot + option.fetch < best.boot + best.fetch) best = option;
      }
      return best;
    },
  };
};

/** Priority factor of a team without a guarantee whose classes have objectives for the time to finish only. */
const FINISH_OBJECTIVE_FACTOR = 4;
/**
 * Priority factor of a team without a guarantee and without objectives. Such teams submit idle-time work; with the factor of
 * other teams they would hold half of the capacity while others wait.
 */
const NO_OBJECTIVE_FACTOR = 20;

/** Returns the teams' weights; empty if the settings have no objectives. */
export const teamWeightsOf = (context: CycleContext): Map<string, number> => {
  const weights = new Map<string, number>();
  const weightByClass = new Map<string, number>();
  for (const objective of context.settings.objectives) {
    const urgent = objective.kind === 'wait' || objective.kind === 'deadline';
    weightByClass.set(
      objective.jobClass,
      Math.max(weightByClass.get(objective.jobClass) ?? 0, urgent ? 1 : 1 / FINISH_OBJECTIVE_FACTOR),
    );
  }
  if (weightByClass.size === 0) return weights;
  for (const { guarantee, name } of context.settings.teams)
    weights.set(name, guarantee.cpus > 0 || guarantee.gpus > 0 ? 1 : 1 / NO_OBJECTIVE_FACTOR);
  for (const { spec } of context.jobState.jobs.values())
    weights.set(spec.team, Math.max(weights.get(spec.team) ?? 0, weightByClass.get(spec.jobClass) ?? 0));
  return weights;
};

/**
 * Time for which a class of GPU jobs counts after its last unfinished job was seen, in microseconds: the class's next job is
 * likely to be submitted within it.
 */
const DEMAND_MAX_AGE = 300e6;

/** Returns the co-located demand of GPU jobs by class, and updates what the context remembers of it. */
export const coLocatedDemandOf = (context: CycleContext, now: Micros): CoLocatedDemand[] => {
  const waiting = new Set<string>();
  for (const job of context.jobState.jobs.values()) {
    const { spec } = job;
    if (spec.gpus === 0) continue;
    if (!job.cancelled && job.completed.size + job.placed.size < spec.tasks) waiting.add(spec.jobClass);
    const slack = spec.deadline === null ? 0 : Math.max(0, spec.deadline - spec.estimate);
    const known = context.coLocatedDemand.get(spec.jobClass);
    context.coLocatedDemand.set(spec.jobClass, {
      urgency: spec.urgency,
      cpusPerGpu: spec.cpus / spec.gpus,
      memPerGpu: spec.memGb / spec.gpus,
      patience: Math.min(known?.patience ?? Number.POSITIVE_INFINITY, slack / 2) as Micros,
      seen: now,
    });
  }
  return [...context.coLocatedDemand]
    .filter(([, demand]) => now - demand.seen < DEMAND_MAX_AGE)
    .map(([jobClass, demand]) => ({ ...demand, waiting: waiting.has(jobClass) }));
};
