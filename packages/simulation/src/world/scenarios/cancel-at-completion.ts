import { decodeJob, decodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { ACTIVE_JOBS, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import type { RequestKind, SentRequest } from '../history.js';
import type { JobTruth } from '../job-truth.js';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** The completion of a job's last task, and the requests about the job around that time; times in microseconds. */
interface JobCompletion {
  /** The task that completes last; any task of a gang. */
  readonly task: number;
  completed: number | null;
  /** When the log entry with the completion was committed. */
  durable: number | null;
  /** When the cancellation was committed. */
  withdrawn: number | null;
  /** When the cancellation was confirmed to the user. */
  confirmed: number | null;
  readonly asked: { readonly ask: RequestKind; readonly began: number; readonly ended: number }[];
}

/** How long before a task completes its completion is predicted, in microseconds. */
const LOOKAHEAD_US = 1.5e6;
/** Maximum interval between events that count as simultaneous, in microseconds. */
const CLOSE_US = 20_000;
const REQUEST_NAMES: Readonly<Record<RequestKind, string>> = {
  submit: 'submission',
  poll: 'poll',
  cancel: 'cancel request',
};

/**
 * Sends cancellations, polls and repeated submissions of a job around the completion of its last task: just before, as it
 * completes, and as the completion is committed.
 */
export const cancelAtCompletion = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let until = 0;
  let probability = 0;
  const completions = new Map<string, JobCompletion>();
  const considered = new Set<string>();

  /** Counts the orders in which the completion, the cancellation and the requests took effect. */
  const recordEnding = (completion: JobCompletion): void => {
    if (completion.completed === null) return;
    if (completion.withdrawn !== null && completion.withdrawn < completion.completed)
      kit.record('task completed after the cancellation was durable');
    if (completion.confirmed !== null && completion.confirmed < completion.completed)
      kit.record('task completed after the cancellation was confirmed');
    if (completion.durable === null) return;
    if (completion.withdrawn !== null) {
      kit.record(
        completion.withdrawn < completion.durable
          ? 'cancellation committed before the completion'
          : 'cancellation committed after the completion',
      );
      if (Math.abs(completion.withdrawn - completion.durable) <= CLOSE_US)
        kit.record('cancellation and completion committed within 20 ms');
    }
    for (const { ask, began, ended } of completion.asked) {
      if (began <= completion.durable && ended >= completion.durable)
        kit.record(`${REQUEST_NAMES[ask]} while the completion became durable`);
      else if (began >= completion.completed && ended < completion.durable)
        kit.record(`${REQUEST_NAMES[ask]} before the completion was durable`);
      else if (began > completion.durable && began - completion.durable <= CLOSE_US)
        kit.record(`${REQUEST_NAMES[ask]} just after the completion was durable`);
    }
  };

  const cancel = (delay: number, id: string, completion: JobCompletion): void =>
    kit.after(delay, () =>
      world.cancel(
        id,
        () => world.anyController(),
        () => (completion.confirmed ??= world.time.now),
      ),
    );

  /** Schedules requests around the predicted completion of a job's last task. */
  const sendRequestsAround = (id: string, task: number, endsAt: number, worker: Worker): void => {
    const completion: JobCompletion = {
      task,
      completed: null,
      durable: null,
      withdrawn: null,
      confirmed: null,
      asked: [],
    };
    completions.set(id, completion);
    const delayToEnd = endsAt - world.time.now;
    const delayAround = (): number =>
      Math.max(
        0,
        delayToEnd +
          [random.between(-700e3, 0), random.between(0, 5000), random.between(0, 900e3)][random.int(3)]!,
      );
    // For some jobs the stop order is lost, and the cancellation comes early enough to be confirmed before the completion.
    if (!worker.deaf && random.chance(0.15)) {
      worker.deaf = true;
      kit.after(delayToEnd + 1000, () => (worker.deaf = false));
      cancel(Math.max(0, delayToEnd - 1.2e6), id, completion);
    } else if (random.chance(0.7)) cancel(delayAround(), id, completion);
    for (const controller of world.nodes)
      for (let i = 0; i < 4; i++) kit.after(delayAround(), () => world.ask('poll', id, controller));
    for (let i = 0; i < 4; i++)
      kit.after(delayAround(), () => world.ask('submit', id, world.anyController()));
    kit.after(LOOKAHEAD_US + 10e6, () => recordEnding(completion));
  };

  /** Sends requests when the completion is durable and has not been reported to any user. */
  const completionCommitted = (id: string, completion: JobCompletion): void => {
    completion.durable = world.time.now;
    const shortDelay = (): number => random.between(0, CLOSE_US / 2);
    for (const controller of world.nodes) kit.after(shortDelay(), () => world.ask('poll', id, controller));
    kit.after(shortDelay(), () => world.ask('submit', id, world.anyController()));
    if (random.chance(0.5)) cancel(shortDelay(), id, completion);
  };

  /** Finds jobs whose last task completes soon and schedules requests around that time. */
  const findEndingTasks = (): void => {
    for (const worker of world.workers.values())
      for (const task of worker.tasks.values()) {
        const slash = task.key.indexOf('/');
        const id = task.key.slice(0, slash);
        const job: JobTruth | undefined = world.jobs.get(id);
        if (task.status !== 'running' || !job || job.shape === 'daemon' || considered.has(id)) continue;
        const unfinished = job.tasks - (world.rules.completed.get(id)?.size ?? 0);
        if (job.shape === 'array' && unfinished > 1) continue;
        const taskIndex = Number(task.key.slice(slash + 1));
        const endsAt =
          task.startedAt + (job.runs?.[taskIndex] ?? job.runUs) - (job.progress.get(taskIndex) ?? 0);
        if (endsAt - world.time.now > LOOKAHEAD_US) continue;
        considered.add(id);
        if (random.chance(probability)) sendRequestsAround(id, taskIndex, endsAt, worker);
      }
    if (world.time.now < until) kit.after(200_000, findEndingTasks);
  };

  return {
    begin: () => {
      world.recordInjection('cancelAtCompletion');
      const durationUs = random.between(20e6, 40e6);
      probability = random.between(0.4, 1);
      const alreadyActive = world.time.now < until;
      until = Math.max(until, world.time.now + durationUs);
      for (let i = 0; i < 8; i++)
        kit.after(random.between(0, durationUs * 0.6), () => {
          const gang = random.chance(0.2);
          const tasks = gang ? 2 : 1 + random.int(2);
          const job = {
            ...PLAIN_JOB,
            shape: gang ? 'ensemble' : 'array',
            tasks,
            cpus: 1,
            runUs: random.between(2e6, 9e6),
          };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
        });
      if (!alreadyActive) findEndingTasks();
    },
    completed: (task) => {
      const slash = task.indexOf('/');
      const completion = completions.get(task.slice(0, slash));
      if (completion && completion.task === Number(task.slice(slash + 1)))
        completion.completed ??= world.time.now;
    },
    committed: (key, value) => {
      if (value === undefined || completions.size === 0) return;
      if (key.startsWith(ACTIVE_JOBS)) {
        const id = key.slice(ACTIVE_JOBS.length);
        const completion = completions.get(id);
        if (completion && decodeJob(id, JSON.parse(value), 1).cancelled)
          completion.withdrawn ??= world.time.now;
      } else if (key.startsWith(LOG_ENTRIES)) {
        const { jobs } = decodeLogEntry(Number(key.slice(LOG_ENTRIES.length)), JSON.parse(value), 1);
        for (const [id, change] of jobs) {
          const completion = completions.get(id);
          if (completion?.durable === null && change.completed?.includes(completion.task))
            completionCommitted(id, completion);
        }
      }
    },
    answered: (asked: SentRequest, response) => {
      if (response?.status === 200)
        completions.get(asked.id)?.asked.push({ ask: asked.ask, began: asked.began, ended: world.time.now });
    },
  };
};
