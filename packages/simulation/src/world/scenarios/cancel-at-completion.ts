import { decodeJob, decodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { ACTIVE_JOBS, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import type { Ask, Asked } from '../history.js';
import type { JobTruth } from '../job-truth.js';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** What became of a job's last end, and who asked about the job around it. */
interface Ending {
  /** The task that ends last; of a gang any. */
  readonly task: number;
  completed: number | null;
  /** A record of the end was committed. */
  durable: number | null;
  /** A withdrawal was committed, and told. */
  withdrawn: number | null;
  confirmed: number | null;
  readonly asked: { readonly ask: Ask; readonly began: number; readonly ended: number }[];
}

/** Ends are looked for so far ahead. */
const AHEAD = 1.5e6;
const CLOSE = 20_000;
const WORDS: Readonly<Record<Ask, string>> = {
  submit: 'submission',
  poll: 'question',
  cancel: 'cancellation',
};

/** A cancellation, questions and repeated submissions meet the end of a job's last task: just before, as it ends, as it is recorded. */
export const cancelAtCompletion = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let until = 0;
  let share = 0;
  const endings = new Map<string, Ending>();
  const passed = new Set<string>();

  const judge = (e: Ending): void => {
    if (e.completed === null) return;
    if (e.withdrawn !== null && e.withdrawn < e.completed)
      kit.record('completed after its withdrawal was durable');
    if (e.confirmed !== null && e.confirmed < e.completed)
      kit.record('completed after its cancellation was confirmed');
    if (e.durable === null) return;
    if (e.withdrawn !== null) {
      kit.record(e.withdrawn < e.durable ? 'withdrawal before the end' : 'withdrawal after the end');
      if (Math.abs(e.withdrawn - e.durable) <= CLOSE) kit.record('withdrawal and end within 20 ms');
    }
    for (const { ask, began, ended } of e.asked) {
      if (began <= e.durable && ended >= e.durable) kit.record(`${WORDS[ask]} as the end became durable`);
      else if (began >= e.completed && ended < e.durable)
        kit.record(`${WORDS[ask]} before the end was durable`);
      else if (began > e.durable && began - e.durable <= CLOSE)
        kit.record(`${WORDS[ask]} just after the end`);
    }
  };

  const cancel = (delay: number, id: string, e: Ending): void =>
    kit.after(delay, () =>
      world.cancel(
        id,
        () => world.anyNode(),
        () => (e.confirmed ??= world.time.now),
      ),
    );

  const meetEnd = (id: string, task: number, end: number, on: Worker): void => {
    const e: Ending = { task, completed: null, durable: null, withdrawn: null, confirmed: null, asked: [] };
    endings.set(id, e);
    const to = end - world.time.now;
    const around = (): number =>
      Math.max(
        0,
        to + [random.between(-700e3, 0), random.between(0, 5000), random.between(0, 900e3)][random.int(3)]!,
      );
    // Of some the stop is lost, and they are cancelled early enough for that to be confirmed before the end.
    if (!on.deaf && random.chance(0.15)) {
      on.deaf = true;
      kit.after(to + 1000, () => (on.deaf = false));
      cancel(Math.max(0, to - 1.2e6), id, e);
    } else if (random.chance(0.7)) cancel(around(), id, e);
    for (const node of world.nodes)
      for (let i = 0; i < 4; i++) kit.after(around(), () => world.ask('poll', id, node));
    for (let i = 0; i < 4; i++) kit.after(around(), () => world.ask('submit', id, world.anyNode()));
    kit.after(AHEAD + 10e6, () => judge(e));
  };

  /** Its end is durable now, and told to nobody yet. */
  const recorded = (id: string, e: Ending): void => {
    e.durable = world.time.now;
    const soon = (): number => random.between(0, CLOSE / 2);
    for (const node of world.nodes) kit.after(soon(), () => world.ask('poll', id, node));
    kit.after(soon(), () => world.ask('submit', id, world.anyNode()));
    if (random.chance(0.5)) cancel(soon(), id, e);
  };

  /** When the job's last task will end; null: that is far off, or not the last. */
  const look = (): void => {
    for (const x of world.workers.values())
      for (const t of x.tasks.values()) {
        const at = t.key.indexOf('/');
        const id = t.key.slice(0, at);
        const job: JobTruth | undefined = world.jobs.get(id);
        if (t.status !== 'running' || !job || job.shape === 'daemon' || passed.has(id)) continue;
        const open = job.tasks - (world.rules.completed.get(id)?.size ?? 0);
        if (job.shape === 'array' && open > 1) continue;
        const n = Number(t.key.slice(at + 1));
        const end = t.began + (job.runs?.[n] ?? job.runUs) - (job.progress.get(n) ?? 0);
        if (end - world.time.now > AHEAD) continue;
        passed.add(id);
        if (random.chance(share)) meetEnd(id, n, end, x);
      }
    if (world.time.now < until) kit.after(200_000, look);
  };

  return {
    begin: () => {
      world.strike('cancelAtCompletion');
      const lasts = random.between(20e6, 40e6);
      share = random.between(0.4, 1);
      const going = world.time.now < until;
      until = Math.max(until, world.time.now + lasts);
      for (let i = 0; i < 8; i++)
        kit.after(random.between(0, lasts * 0.6), () => {
          const gang = random.chance(0.2);
          const tasks = gang ? 2 : 1 + random.int(2);
          const job = {
            ...PLAIN_JOB,
            shape: gang ? 'ensemble' : 'array',
            tasks,
            cpus: 1,
            runUs: random.between(2e6, 9e6),
          };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
        });
      if (!going) look();
    },
    completed: (task) => {
      const at = task.indexOf('/');
      const e = endings.get(task.slice(0, at));
      if (e && e.task === Number(task.slice(at + 1))) e.completed ??= world.time.now;
    },
    committed: (key, value) => {
      if (value === undefined || endings.size === 0) return;
      if (key.startsWith(ACTIVE_JOBS)) {
        const id = key.slice(ACTIVE_JOBS.length);
        const e = endings.get(id);
        if (e && decodeJob(id, JSON.parse(value), 1).cancelled) e.withdrawn ??= world.time.now;
      } else if (key.startsWith(LOG_ENTRIES)) {
        const { jobs } = decodeLogEntry(Number(key.slice(LOG_ENTRIES.length)), JSON.parse(value), 1);
        for (const [id, c] of jobs) {
          const e = endings.get(id);
          if (e?.durable === null && c.completed?.includes(e.task)) recorded(id, e);
        }
      }
    },
    answered: (asked: Asked, a) => {
      if (a?.status === 200)
        endings.get(asked.id)?.asked.push({ ask: asked.ask, began: asked.began, ended: world.time.now });
    },
  };
};
