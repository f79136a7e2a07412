import type { Answered, Ask, Asked } from '../history.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** What users were told right before they ask again. */
type News = 'accepted' | 'done' | 'aborted';
/** From the news to a question that counts as asked at once. */
const AT_ONCE = 10_000;
export const LOOKS = 'close look';
export const UNANSWERED = 'close look without an answer';
export const REFUSED = 'close look refused';
/** Of all controllers together: the deployments allow 80 to 180. */
export const BUSIEST = 'requests to the state service, busiest second';

/**
 * Right after a job was accepted, ended or confirmed as cancelled, users ask at all controllers, again and again within
 * milliseconds, and repeat the submission; some cancel at once. Others ask about jobs that were never submitted.
 */
export const concurrentReads = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let until = 0;
  const told = new Map<string, News>();

  const count = (asked: Asked, a: Answered | null): void => {
    kit.record(LOOKS);
    if (a === null) kit.record(UNANSWERED);
    else if (a.status === 503 || a.status === 429) kit.record(REFUSED);
    else if (a.status === 404 && !world.jobs.has(asked.id)) kit.record('404 in the storm');
  };
  const ask = (delay: number, what: Ask, id: string, node: string, then = count): void =>
    kit.after(delay, () => world.ask(what, id, node, then));

  /** `by` has just told it. */
  const storm = (id: string, news: News, by: string): void => {
    const at = world.time.now;
    const then = (asked: Asked, a: Answered | null): void => {
      count(asked, a);
      if (a?.status === 200 && asked.node !== by && asked.began - at <= AT_ONCE)
        kit.record(
          `${asked.ask === 'submit' ? 'submitted again' : 'asked'} elsewhere, ${news} at once before`,
        );
    };
    for (const node of world.nodes)
      for (const within of [2000, AT_ONCE, 60_000, 500_000])
        ask(random.between(0, within), 'poll', id, node, then);
    for (const within of [AT_ONCE, 100_000])
      ask(random.between(0, within), 'submit', id, world.anyNode(), then);
    ask(
      random.between(0, AT_ONCE),
      'poll',
      `job-8${String(random.int(1e8)).padStart(10, '0')}`,
      world.anyNode(),
    );
    if (news === 'accepted' && random.chance(0.25))
      kit.after(random.between(0, AT_ONCE), () => world.cancel(id, () => world.anyNode(), () => kit.record('cancelled at once'))); // prettier-ignore
  };

  return {
    begin: () => {
      world.strike('concurrentReads');
      const lasts = random.between(15e6, 30e6);
      until = Math.max(until, world.time.now + lasts);
      const from = Math.floor(world.time.now / 1e6);
      kit.after(lasts, () => {
        const busiest = Math.max(...world.state.requests.slice(from));
        kit.occurred[BUSIEST] = Math.max(kit.occurred[BUSIEST] ?? 0, busiest);
      });
      for (let i = 0; i < 6; i++)
        kit.after(random.between(0, lasts * 0.7), () => {
          const job = { ...PLAIN_JOB, tasks: 1 + random.int(2), cpus: 1, runUs: random.between(1e6, 8e6) };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
        });
    },
    answered: (asked, a) => {
      if (a === null || (a.status !== 200 && a.status !== 201)) return;
      const { id, node } = asked;
      const news: News = a.state === 'done' || a.state === 'aborted' ? a.state : 'accepted';
      const before = told.get(id);
      if (before !== undefined && (news === 'accepted' || before !== 'accepted')) return;
      told.set(id, news);
      if (world.time.now < until) storm(id, news, node);
    },
    // Its end is not told yet: questions meet it on its way.
    completed: (task) => {
      const id = task.slice(0, task.indexOf('/'));
      if (world.time.now >= until || world.rules.completed.get(id)?.size !== world.jobs.get(id)?.tasks)
        return;
      for (const node of world.nodes)
        for (let i = 0; i < 6; i++) ask(random.between(0, 900_000), 'poll', id, node);
    },
  };
};
