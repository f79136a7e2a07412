import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Maximum number of machines that hang at the same time. */
const MAX_MACHINES = 8;
/** Minimum run time of the jobs that are cancelled, in microseconds. */
const MIN_RUN_US = 40e6;

/**
 * Users cancel several long jobs within a fifth of a second. In most cases the machines of these jobs hang at that time and
 * resume before or after their leases expire, and sometimes the leader changes meanwhile.
 */
export const cancelAndHang = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  let injections = 0;
  const runsAny = (worker: Worker, ids: ReadonlySet<string>): boolean =>
    [...worker.tasks.values()].some(
      (task) => task.status === 'running' && ids.has(task.key.slice(0, task.key.indexOf('/'))),
    );
  const hang = (worker: Worker, ids: ReadonlySet<string>, durationUs: number): void => {
    if (!worker.alive || worker.hanging || !runsAny(worker, ids)) return;
    worker.hang(durationUs, (leaseExpired) => {
      const cancelled = new Set([...ids].filter((id) => world.rules.state(id) === 'aborted'));
      if (leaseExpired && cancelled.size > 0)
        kit.record('machine hung with a cancelled task and resumed after its lease expired');
      if (!leaseExpired && runsAny(worker, cancelled))
        kit.record('machine hung with a cancelled task and resumed within its lease');
    });
  };
  return {
    begin: () => {
      const { random } = world;
      kit.longJobs(6);
      world.markDisruption(25e6);
      kit.after(random.between(18e6, 25e6), () => {
        const longJobs = [...world.jobs.values()].filter(
          (job) =>
            job.runUs >= MIN_RUN_US &&
            world.rules.hasPlacedTask(job.id) &&
            world.rules.state(job.id) === 'accepted',
        );
        const chosen = longJobs.sort(() => random.next() - 0.5).slice(0, 1 + random.int(6));
        const ids = new Set(chosen.map((job) => job.id));
        if (ids.size === 0) return;
        world.recordInjection('cancelAndHang');
        for (const id of ids) kit.after(random.between(0, 200_000), () => kit.cancel(id));
        if (random.chance(0.15)) return;
        const durationUs =
          world.lease * (injections++ % 2 === 0 ? random.between(0.2, 0.98) : random.between(1.02, 1.8));
        world.markDisruption(durationUs);
        const leader = world.leader();
        if (leader !== undefined && random.chance(0.3))
          kit.after(random.between(0, durationUs), () => kit.changeLeader(leader));
        const machines = [...world.workers.values()].filter((worker) => runsAny(worker, ids));
        for (const worker of machines.slice(0, MAX_MACHINES))
          kit.after(random.between(0, 300_000), () => hang(worker, ids, durationUs));
      });
    },
  };
};
