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
export const concurrentReads = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const l = w.random;
  let until = 0;
  const told = new Map<string, News>();

  const count = (asked: Asked, a: Answered | null): void => {
    m.record(LOOKS);
    if (a === null) m.record(UNANSWERED);
    else if (a.status === 503 || a.status === 429) m.record(REFUSED);
    else if (a.status === 404 && !w.jobs.has(asked.id)) m.record('404 in the storm');
  };
  const ask = (delay: number, what: Ask, id: string, node: string, then = count): void =>
    m.after(delay, () => w.ask(what, id, node, then));

  /** `by` has just told it. */
  const storm = (id: string, news: News, by: string): void => {
    const at = w.time.now;
    const then = (asked: Asked, a: Answered | null): void => {
      count(asked, a);
      if (a?.status === 200 && asked.node !== by && asked.began - at <= AT_ONCE)
        m.record(`${asked.ask === 'submit' ? 'submitted again' : 'asked'} elsewhere, ${news} at once before`);
    };
    for (const node of w.nodes)
      for (const within of [2000, AT_ONCE, 60_000, 500_000])
        ask(l.between(0, within), 'poll', id, node, then);
    for (const within of [AT_ONCE, 100_000]) ask(l.between(0, within), 'submit', id, w.anyNode(), then);
    ask(l.between(0, AT_ONCE), 'poll', `job-8${String(l.int(1e8)).padStart(10, '0')}`, w.anyNode());
    if (news === 'accepted' && l.chance(0.25))
      m.after(l.between(0, AT_ONCE), () => w.cancel(id, () => w.anyNode(), () => m.record('cancelled at once'))); // prettier-ignore
  };

  return {
    begin: () => {
      w.strike('concurrentReads');
      const lasts = l.between(15e6, 30e6);
      until = Math.max(until, w.time.now + lasts);
      const from = Math.floor(w.time.now / 1e6);
      m.after(lasts, () => {
        const busiest = Math.max(...w.state.requests.slice(from));
        m.occurred[BUSIEST] = Math.max(m.occurred[BUSIEST] ?? 0, busiest);
      });
      for (let i = 0; i < 6; i++)
        m.after(l.between(0, lasts * 0.7), () => {
          const job = { ...PLAIN_JOB, tasks: 1 + l.int(2), cpus: 1, runUs: l.between(1e6, 8e6) };
          w.submit({ job, urgency: 'high', due: null }, () => w.anyNode());
        });
    },
    answered: (asked, a) => {
      if (a === null || (a.status !== 200 && a.status !== 201)) return;
      const { id, node } = asked;
      const news: News = a.state === 'done' || a.state === 'aborted' ? a.state : 'accepted';
      const before = told.get(id);
      if (before !== undefined && (news === 'accepted' || before !== 'accepted')) return;
      told.set(id, news);
      if (w.time.now < until) storm(id, news, node);
    },
    // Its end is not told yet: questions meet it on its way.
    completed: (task) => {
      const id = task.slice(0, task.indexOf('/'));
      if (w.time.now >= until || w.rules.completed.get(id)?.size !== w.jobs.get(id)?.tasks) return;
      for (const node of w.nodes) for (let i = 0; i < 6; i++) ask(l.between(0, 900_000), 'poll', id, node);
    },
  };
};
