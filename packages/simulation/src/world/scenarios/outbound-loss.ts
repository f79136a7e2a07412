import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/**
 * Machines reach no controller, while direct orders reach them; some new machines start in this state. Users cancel jobs
 * that run on them.
 */
export const outboundLoss = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  /** By task that was on a mute machine: the machine and its incarnation at that time. */
  const tasksOnMute = new Map<string, { readonly worker: Worker; readonly incarnation: number }>();
  const muteSinceStart = new Set<Worker>();

  return {
    begin: () => {
      const ids = kit.longJobs(6);
      world.markDisruption(25e6);
      kit.after(random.between(18e6, 25e6), () => {
        const probability = random.between(0.2, 0.7);
        const muteWorkers = [...world.workers.values()].filter(
          (worker) => worker.alive && !worker.mute && random.chance(probability),
        );
        if (muteWorkers.length === 0) return;
        world.recordInjection('outboundLoss');
        const durationUs = random.chance(0.3)
          ? world.lease * random.between(0.3, 0.95)
          : random.between(2 * world.lease, 130e6);
        world.markDisruption(durationUs);
        if (random.chance(0.5)) world.cloud.muteUntil = world.time.now + durationUs;
        for (const worker of muteWorkers) {
          worker.mute = true;
          kit.after(durationUs, () => (worker.mute = false));
          for (const task of worker.heldTasks())
            tasksOnMute.set(task, { worker: worker, incarnation: worker.incarnation });
        }
        // Half of the affected jobs are cancelled; the others must run to completion.
        const affected = ids.filter((id) =>
          [...tasksOnMute.keys()].some((task) => task.startsWith(`${id}/`)),
        );
        for (const id of affected.filter(() => random.chance(0.5))) {
          const via = () => world.anyController();
          kit.after(random.between(200_000, 6e6), () => world.cancel(id, via, () => undefined));
        }
        const leader = world.leader();
        if (leader !== undefined && random.chance(0.3))
          kit.after(random.between(4e6, 12e6), () => kit.changeLeader(leader));
      });
    },
    workerStarted: (worker) => {
      const remainingUs = world.cloud.muteUntil - world.time.now;
      if (remainingUs <= 0 || !random.chance(0.5)) return;
      worker.mute = true;
      muteSinceStart.add(worker);
      kit.after(remainingUs, () => (worker.mute = false));
    },
    stoppedDirectly: (worker, task) => {
      if (worker.mute && world.rules.isCancelRequested(task.slice(0, task.indexOf('/'))))
        kit.record('cancelled task stopped by a direct order on a machine without outbound messages');
    },
    started: (task, machine) => {
      const lost = tasksOnMute.get(task);
      if (lost === undefined || lost.worker.place.id === machine) return;
      tasksOnMute.delete(task);
      if (!lost.worker.alive) kit.record('task restarted after its machine was deleted');
      else if (lost.worker.incarnation > lost.incarnation)
        kit.record('task restarted on another machine after the lease expired');
    },
    deleted: (worker) => {
      if (worker?.mute !== true) return;
      kit.record(
        muteSinceStart.has(worker)
          ? 'machine without outbound messages since its start was returned'
          : 'machine that lost outbound messages was returned',
      );
    },
  };
};
