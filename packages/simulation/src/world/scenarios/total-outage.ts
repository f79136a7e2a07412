/** All controllers are down for longer than a worker lease and restart one by one; users cancel jobs just before. */
import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

export const totalOutage = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let active = false;

  const crashAll = (ids: readonly string[]): void => {
    world.recordInjection('totalOutage');
    const restartOrder = [...world.nodes].sort(() => random.next() - 0.5);
    // Some outages are longer than the setting `cancel_s`.
    let restartDelayUs = random.chance(0.3)
      ? world.cancelTimeout + random.between(1e6, 5e6)
      : world.lease * random.between(1.2, 2.6);
    world.markDisruption(restartDelayUs);
    const crashDelayUs = random.between(1000, 30_000);
    for (const controller of restartOrder) {
      if (random.chance(0.2)) world.stepDown(controller, 0);
      const thisDelayUs = restartDelayUs;
      kit.after(crashDelayUs, () => world.crash(controller, thisDelayUs));
      restartDelayUs += random.between(3e6, 12e6);
    }
    const allDown = (): boolean => world.nodes.every((controller) => world.process(controller) === undefined);
    const tasksBefore = new Map<string, { readonly worker: Worker; readonly incarnation: number }>();
    kit.after(500_000, () => {
      if (!allDown()) return void (active = false);
      for (const worker of world.workers.values())
        for (const task of worker.tasks.values())
          if (task.status === 'running')
            tasksBefore.set(task.key, { worker: worker, incarnation: worker.incarnation });
      for (const id of ids)
        if (world.rules.state(id) === 'aborted' && world.rules.hasPlacedTask(id))
          kit.record('running job cancelled as all controllers crashed');
      kit.after(world.lease * 1.01, () => {
        if (!allDown()) return;
        kit.record('all controllers down beyond the lease');
        if ([...tasksBefore.values()].some((previous) => previous.worker.incarnation > previous.incarnation))
          kit.record('worker leases expired with all controllers down');
      });
      const recorded = new Set<string>();
      const recordOnce = (situation: string): void => {
        if (!recorded.has(situation)) kit.record(situation);
        recorded.add(situation);
      };
      const endsAt = world.time.now + restartDelayUs + 10e6;
      const check = (): void => {
        const running = world.nodes.filter((controller) => world.process(controller) !== undefined);
        const leader = world.leader();
        if (running.length === 1 && leader === running[0]) {
          recordOnce('first restarted controller leads alone');
          for (const worker of world.workers.values())
            for (const task of worker.tasks.values()) {
              const previous = tasksBefore.get(task.key);
              if (
                previous !== undefined &&
                task.status === 'running' &&
                (worker !== previous.worker || worker.incarnation > previous.incarnation)
              )
                recordOnce('task restarted by the first restarted controller');
            }
        }
        if (world.time.now < endsAt) kit.after(200_000, check);
        else active = false;
      };
      check();
    });
  };
  return {
    begin() {
      if (active) return;
      active = true;
      const ids = kit.longJobs(10);
      const beginsAfterUs = random.between(18e6, 24e6);
      world.markDisruption(beginsAfterUs + 10e6);
      kit.after(beginsAfterUs, () => {
        // Crashes all controllers as the first cancellation is confirmed, or after two seconds.
        let crashed = false;
        const crashOnce = (): void => {
          if (!crashed) crashAll(ids);
          crashed = true;
        };
        for (const id of ids)
          if (random.chance(0.6)) world.cancel(id, () => world.anyController(), crashOnce);
        kit.after(2e6, crashOnce);
      });
    },
  };
};
