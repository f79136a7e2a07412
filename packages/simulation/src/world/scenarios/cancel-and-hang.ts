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
export const cancelAndHang = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  let strikes = 0;
  const runs = (x: Worker, ids: ReadonlySet<string>): boolean =>
    [...x.tasks.values()].some((t) => t.status === 'running' && ids.has(t.key.slice(0, t.key.indexOf('/'))));
  const hang = (x: Worker, ids: ReadonlySet<string>, lasts: number): void => {
    if (!x.alive || x.hanging || !runs(x, ids)) return;
    x.hang(lasts, (lapsed) => {
      const cancelled = new Set([...ids].filter((id) => world.rules.state(id) === 'aborted'));
      if (lapsed && cancelled.size > 0) kit.record('hung with a cancelled task, went on beyond its lease');
      if (!lapsed && runs(x, cancelled)) kit.record('hung with a cancelled task, went on within its lease');
    });
  };
  return {
    begin: () => {
      const { random } = world;
      kit.longJobs(6);
      world.disturbed(25e6);
      kit.after(random.between(18e6, 25e6), () => {
        const long = [...world.jobs.values()].filter(
          (j) => j.runUs >= LONG && world.rules.isOn(j.id) && world.rules.state(j.id) === 'accepted',
        );
        const chosen = long.sort(() => random.next() - 0.5).slice(0, 1 + random.int(6));
        const ids = new Set(chosen.map((j) => j.id));
        if (ids.size === 0) return;
        world.strike('cancelAndHang');
        for (const id of ids) kit.after(random.between(0, 200_000), () => kit.cancel(id));
        if (random.chance(0.15)) return;
        const lasts =
          world.lease * (strikes++ % 2 === 0 ? random.between(0.2, 0.98) : random.between(1.02, 1.8));
        world.disturbed(lasts);
        const leader = world.leader();
        if (leader !== undefined && random.chance(0.3))
          kit.after(random.between(0, lasts), () => kit.changeLeader(leader));
        const machines = [...world.workers.values()].filter((x) => runs(x, ids));
        for (const x of machines.slice(0, MACHINES))
          kit.after(random.between(0, 300_000), () => hang(x, ids, lasts));
      });
    },
  };
};
