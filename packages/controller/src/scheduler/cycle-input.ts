/** What the cycle is given: holders, machines, queues, weights and co-located demand as the worker registry and the jobs have them now. */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { dayOf, paceOf } from '../calendar/cutoff-tracking.js';
import { cutoffRank } from '../calendar/slack.js';
import { isComplete, type Job, taskKey } from '../jobs/model.js';
import { mayBorrow } from '../lending/loans.js';
import { type TaskExits, hasExited } from '../workers/observed-exits.js';
import type { WorkerRegistry } from '../workers/worker-registry.js';
import {
  type CoLocatedDemand,
  fits,
  type PlacedTask,
  type LendingView,
  type NodeView,
  type QueuedJob,
  resourcesOf,
} from './model.js';
import { RESERVES_AFTER, IN_TIME_RANK, starvingFrom, type ClassObjective, rankOf } from './rank.js';
import type { CycleContext } from './cycle-context.js';

/** A task on a machine. What stopping it would cost is asked of few, so it is looked up when asked. */
class PlacedTaskView implements PlacedTask {
  constructor(
    readonly job: Job,
    readonly task: number,
    readonly machine: string,
    readonly zone: string | null,
    readonly leaving: boolean,
    private readonly key: string,
    private readonly at: Micros,
    private readonly registry: WorkerRegistry,
  ) {}

  get loss(): Micros {
    const run = this.registry.running.get(this.key);
    const since = run ? this.at - run.since : 0;
    const { checkpoint, save } = this.job.spec;
    return (checkpoint > 0 ? Math.min(since, save) : since) as Micros;
  }

  get left(): Micros {
    const run = this.registry.running.get(this.key);
    return Math.max(0, this.job.spec.estimate - (run ? this.at - run.since : 0)) as Micros;
  }
}

export const placedTasksOf = (t: CycleContext, at: Micros): PlacedTask[] => {
  const out: PlacedTask[] = [];
  const { registry } = t;
  // Thousands of tasks at each cycle: what is the same for all of a machine or a job is asked once.
  interface OfJob {
    readonly leaves: boolean;
    readonly ends: TaskExits | undefined;
  }
  const jobs = new Map<Job, OfJob>();
  let last: Job | null = null;
  let known: OfJob = { leaves: false, ends: undefined };
  const preemptions = registry.stopping.size > 0;
  for (const [machine, on] of t.jobState.placementsByMachine) {
    const m = registry.machines.get(machine);
    const zone = m?.zone ?? null;
    const away = m === undefined || !m.confirmed;
    on.forEach((p, key) => {
      const { job, task } = p;
      if (job !== last) {
        let of = jobs.get(job);
        if (of === undefined) {
          of = { leaves: job.cancelled || registry.isBrokenGang(job), ends: registry.exits.get(job.spec.id) };
          jobs.set(job, of);
        }
        last = job;
        known = of;
      }
      // Seen to be over: the log entry that says so is the one that fills its room again.
      if (known.ends !== undefined && hasExited(known.ends, task)) return;
      const leaving = away || known.leaves || (preemptions && registry.stopping.has(key));
      out.push(new PlacedTaskView(job, task, machine, zone, leaving, key, at, registry));
    });
  }
  return out;
};

/** Machines on their way to serve. */
const fetchingWeights = (t: CycleContext): Set<string> => {
  const out = new Set<string>();
  for (const job of t.jobState.jobs.values()) {
    if (!mayBorrow(job.spec) || job.cancelled) continue;
    for (const p of job.placed.values())
      if (t.registry.machines.get(p.machine)?.images.has(job.spec.image) === false) out.add(p.machine);
  }
  return out;
};

export const nodesOf = (t: CycleContext, at: Micros): NodeView[] => {
  const types = new Map(t.types().map((k) => [k.name, k]));
  const out: NodeView[] = [];
  const fetches = fetchingWeights(t);
  for (const m of t.registry.machines.values()) {
    const k = types.get(m.type);
    if (!k || !m.reported) continue;
    out.push({
      id: m.id,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      total: [k.cpus, k.gpus, k.memGb],
      images: m.images,
      ...(fetches.has(m.id) ? { fetchingWeights: true } : {}),
      open: t.registry.isSchedulable(m, at),
    });
  }
  return out;
};

/**
 * What is promised to a class's jobs. An aim on their end orders those that have none on their start: thousands of
 * tiny jobs need not wait behind one huge array of the same team. Where a start is promised, first come goes first.
 */
const objectiveOf = (t: CycleContext, jobClass: string): ClassObjective => {
  const aims = t.settings.objectives.filter((o) => o.jobClass === jobClass);
  const multiples = aims.filter((o) => o.kind === 'deadline').map((o) => o.times);
  const ends = aims.some((o) => o.kind === 'wait') ? [] : aims.filter((o) => o.kind === 'finished');
  return {
    multiples: multiples.length === 0 ? [1] : multiples.sort((a, b) => a - b),
    within: ends.length === 0 ? null : (Math.min(...ends.map((o) => o.within)) as Micros),
  };
};

/**
 * Nothing is rented for what looks broken, unless a try has been due for so long: there may be no other machine,
 * and a good job that met faulty ones must still get done.
 */
const RETRY_OVERDUE = seconds(45);

/** Jobs with tasks to start, once what the worker registry has seen to end is recorded. */
export const queuedJobsOf = (t: CycleContext, at: Micros): QueuedJob[] => {
  const out: QueuedJob[] = [];
  const day = t.dayTime();
  const promises = new Map<string, ClassObjective>();
  for (const { spec } of t.jobState.jobs.values()) t.largestJobs.observe(spec);
  const limits = new Map(t.settings.teams.map((s) => [s.name, s.limit]));
  const calendar = t.jobState.calendars.current;
  const cutoffDay = dayOf(t);
  const pace = paceOf(t);
  // What one job's key must be able to hold.
  const most = Math.max(50, Math.floor((t.settings.state.valueBytes * 0.5) / 12));
  for (const job of t.jobState.jobs.values()) {
    if (job.cancelled || isComplete(job) || at < t.registry.retryNotBefore(job, at)) continue;
    const ends = t.registry.exits.get(job.spec.id);
    const on = job.placed.size - (ends ? [...job.placed.keys()].filter((i) => hasExited(ends, i)).length : 0);
    const tasks: number[] = [];
    const broken = t.registry.isSuspect(job, at);
    const gang = job.spec.shape === 'gang';
    // Something of it runs that no log entry knows of: it is taken up or seen to end before more of it is started.
    if (t.registry.orphanedTasks.has(job.spec.id)) continue;
    if (gang || broken ? on > 0 : on + job.done.size >= job.spec.tasks) continue;
    // Of what looks broken one task shows as much as all.
    const room = gang ? job.spec.tasks : broken ? 1 : most - job.placed.size;
    for (let i = 0; i < job.spec.tasks && tasks.length < room; i++) {
      if (job.done.has(i) || ends?.done.has(i) || (job.placed.has(i) && !ends?.gone.has(i))) continue;
      tasks.push(i);
    }
    if (tasks.length === 0) continue;
    let promise = promises.get(job.spec.jobClass);
    if (!promise) promises.set(job.spec.jobClass, (promise = objectiveOf(t, job.spec.jobClass)));
    const from = t.largestJobs.has(job.spec)
      ? starvingFrom(job, day, limits.get(job.spec.team), gang ? Number.POSITIVE_INFINITY : most)
      : null;
    const tied = broken || job.spec.tie === null ? null : cutoffRank(job, calendar, cutoffDay, pace);
    const passedOver = from !== null && day >= from;
    const rank =
      tied === null ? rankOf(job, day, promise, broken, from) : passedOver ? from : IN_TIME_RANK + tied;
    const mayRent = !broken || at - t.registry.retryNotBefore(job, at) > RETRY_OVERDUE;
    const starving = gang && !broken && from !== null && day >= from + RESERVES_AFTER;
    const overdue = t.startWaits.overdue(job, at) && !broken;
    out.push({ job, tasks, rank, starving, cautious: broken, mayRent, ...(overdue ? { overdue } : {}) });
  }
  t.startWaits.retain(t.jobState.jobs);
  return out;
};

/** How long a machine rented now takes to come, in stated boot times; and for how long a job waits for that alone. */
const BOOT_TIME_FACTOR = 1.2;
const RENTED_FIRST = seconds(10);

/** What placing a replica asks of the world; undefined while none of a GPU service is missing. */
export const lendingViewOf = (
  t: CycleContext,
  at: Micros,
  queued: readonly QueuedJob[],
): LendingView | undefined => {
  if (!queued.some((q) => mayBorrow(q.job.spec))) return undefined;
  const { registry, jobState } = t;
  const day = t.dayTime();
  const types = new Map(t.types().map((k) => [k.name, k]));
  const aims = new Map<string, number>();
  for (const o of t.settings.objectives)
    if (o.kind === 'wait') aims.set(o.jobClass, Math.min(o.within, aims.get(o.jobClass) ?? o.within));
  /** Images that machines fetch, and since when. */
  const fetching = new Map<string, Map<string, number>>();
  const fetchingOn = (id: string): Map<string, number> => {
    let on = fetching.get(id);
    if (on) return on;
    fetching.set(id, (on = new Map()));
    const m = registry.machines.get(id);
    for (const [key, p] of jobState.placementsByMachine.get(id) ?? []) {
      const status = m?.tasks.get(key)?.status;
      const { image } = p.job.spec;
      if ((status !== undefined && status !== 'fetching') || m?.images.has(image)) continue;
      on.set(image, Math.min(p.since === 0 ? day : p.since, on.get(image) ?? day));
    }
    return on;
  };
  const pull = (machine: string): number =>
    types.get(registry.machines.get(machine)?.type ?? '')?.fetchGbPerS ?? 0;
  const fetch = (imageGb: number, gbPerS: number): Micros =>
    (gbPerS > 0 ? Math.round((imageGb / gbPerS) * 1e6) : 0) as Micros;
  return {
    imageStatus: (job, machine) => {
      const on = fetchingOn(machine.id);
      const { image, imageGb } = job.spec;
      const since = on.get(image);
      return {
        gb: imageGb,
        gbPerS: pull(machine.id),
        present: machine.images.has(image),
        fetchedFor: since === undefined ? null : (Math.max(0, day - since) as Micros),
        others: on.size - (since === undefined ? 0 : 1),
      };
    },
    victim: ({ job: { spec, placed }, task, machine }) => {
      const run = registry.running.get(taskKey(spec.id, task));
      // A new leader has seen it run for a moment only; the log entry of its start is older.
      const since = placed.get(task)?.since ?? 0;
      const byRecord = since === 0 ? 0 : day - since - fetch(spec.imageGb, pull(machine));
      return {
        ran: (run === undefined ? 0 : Math.max(at - run.since, byRecord)) as Micros,
        estimate: spec.estimate,
        checkpoint: spec.checkpoint,
        save: spec.save,
      };
    },
    reachable: (id) => {
      const m = registry.machines.get(id);
      const late = t.settings.workers.report * 1.5 + 1e6;
      return m !== undefined && m.confirmed && m.recallAt === null && at - m.lastAnswered < late;
    },
    due: ({ spec }) => {
      const within = aims.get(spec.jobClass);
      return within === undefined ? null : ((spec.submitted + within - day) as Micros);
    },
    rental: ({ spec }) => {
      if (day - spec.submitted > RENTED_FIRST) return null;
      let best: { boot: Micros; fetch: Micros } | null = null;
      for (const k of types.values()) {
        if (spec.types !== null && !spec.types.includes(k.name)) continue;
        if (!fits(resourcesOf(spec), [k.cpus, k.gpus, k.memGb])) continue;
        const way = {
          boot: Math.round(k.boot * BOOT_TIME_FACTOR) as Micros,
          fetch: fetch(spec.imageGb, k.fetchGbPerS),
        };
        if (best === null || way.boot + way.fetch < best.boot + best.fetch) best = way;
      }
      return best;
    },
  };
};

/**
 * Priority factors of teams without a guarantee: of those whose classes have an aim on their end only, and of those with
 * no aim at all. The latter come with idle-time work; at the same factor as others they would hold half of everything
 * before others that wait.
 */
const PROMISED_END = 4;
const PROMISED_NOTHING = 20;

export const teamWeightsOf = (t: CycleContext): Map<string, number> => {
  const weights = new Map<string, number>();
  const named = new Map<string, number>();
  for (const o of t.settings.objectives) {
    const soon = o.kind === 'wait' || o.kind === 'deadline';
    named.set(o.jobClass, Math.max(named.get(o.jobClass) ?? 0, soon ? 1 : 1 / PROMISED_END));
  }
  if (named.size === 0) return weights;
  for (const { guarantee, name } of t.settings.teams)
    weights.set(name, guarantee.cpus > 0 || guarantee.gpus > 0 ? 1 : 1 / PROMISED_NOTHING);
  for (const { spec } of t.jobState.jobs.values())
    weights.set(spec.team, Math.max(weights.get(spec.team) ?? 0, named.get(spec.jobClass) ?? 0));
  return weights;
};

/** A class of GPU jobs counts for this long after its last job was there: the next one is likely to come. */
const REMEMBERED = 300e6;

export const coLocatedDemandOf = (t: CycleContext, at: Micros): CoLocatedDemand[] => {
  const waiting = new Set<string>();
  for (const job of t.jobState.jobs.values()) {
    const { spec } = job;
    if (spec.gpus === 0) continue;
    if (!job.cancelled && job.done.size + job.placed.size < spec.tasks) waiting.add(spec.jobClass);
    const slack = spec.deadline === null ? 0 : Math.max(0, spec.deadline - spec.estimate);
    const known = t.coLocatedDemand.get(spec.jobClass);
    t.coLocatedDemand.set(spec.jobClass, {
      urgency: spec.urgency,
      cpusPerGpu: spec.cpus / spec.gpus,
      memPerGpu: spec.memGb / spec.gpus,
      patience: Math.min(known?.patience ?? Number.POSITIVE_INFINITY, slack / 2) as Micros,
      seen: at,
    });
  }
  return [...t.coLocatedDemand]
    .filter(([, c]) => at - c.seen < REMEMBERED)
    .map(([jobClass, c]) => ({ ...c, waiting: waiting.has(jobClass) }));
};
