import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines that hang at once, at the most. */
const MACHINES = 8;
/** What has long to go. */
const LONG = 40e6;

/**
 * Users call off several jobs that have long to go, within a fifth of a second; mostly their machines hang then, and go on
 * within their leases or beyond them. Now and then the leader changes meanwhile.
 */
export const cancelAndHang = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  let strikes = 0;
  const runs = (x: Worker, ids: ReadonlySet<string>): boolean =>
    [...x.tasks.values()].some((t) => t.status === 'running' && ids.has(t.key.slice(0, t.key.indexOf('/'))));
  const hang = (x: Worker, ids: ReadonlySet<string>, lasts: number): void => {
    if (!x.alive || x.hanging || !runs(x, ids)) return;
    x.hang(lasts, (lapsed) => {
      const cancelled = new Set([...ids].filter((id) => w.rules.state(id) === 'aborted'));
      if (lapsed && cancelled.size > 0) m.record('hung with a cancelled task, went on beyond its lease');
      if (!lapsed && runs(x, cancelled)) m.record('hung with a cancelled task, went on within its lease');
    });
  };
  return {
    begin: () => {
      const l = w.random;
      m.longJobs(6);
      w.disturbed(25e6);
      m.after(l.between(18e6, 25e6), () => {
        const long = [...w.jobs.values()].filter(
          (j) => j.runUs >= LONG && w.rules.isOn(j.id) && w.rules.state(j.id) === 'accepted',
        );
        const chosen = long.sort(() => l.next() - 0.5).slice(0, 1 + l.int(6));
        const ids = new Set(chosen.map((j) => j.id));
        if (ids.size === 0) return;
        w.strike('cancelAndHang');
        for (const id of ids) m.after(l.between(0, 200_000), () => m.cancel(id));
        if (l.chance(0.15)) return;
        const lasts = w.lease * (strikes++ % 2 === 0 ? l.between(0.2, 0.98) : l.between(1.02, 1.8));
        w.disturbed(lasts);
        const leader = w.leader();
        if (leader !== undefined && l.chance(0.3)) m.after(l.between(0, lasts), () => m.changeLeader(leader));
        const machines = [...w.workers.values()].filter((x) => runs(x, ids));
        for (const x of machines.slice(0, MACHINES))
          m.after(l.between(0, 300_000), () => hang(x, ids, lasts));
      });
    },
  };
};
