/** A controller and the workers of one zone are together cut off from everything else for longer than a lease. */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const zonePartition = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let active = false;

  const partition = (): void => {
    world.recordInjection('zonePartition');
    const zone = ZONES[random.int(ZONES.length)]!;
    const isolated = kit.mostlyLeader();
    const durationUs = world.lease * random.between(1.15, 3);
    const linkState = random.chance(0.5) ? 'held' : 'reset';
    const others = world.nodes.filter((controller) => controller !== isolated);
    for (const endpoint of ['state', 'users', ...others])
      world.cut(isolated, endpoint, linkState, durationUs);
    for (const otherZone of ZONES)
      if (otherZone !== zone) world.cut(`zone:${otherZone}`, isolated, linkState, durationUs);
    for (const controller of others) world.cut(`zone:${zone}`, controller, linkState, durationUs);
    if (isolated === world.leader()) kit.record('leader cut off with the zone');

    const startedAt = world.time.now;
    const inside = [...world.workers.values()].filter((worker) => worker.place.zone === zone);
    const incarnations = new Map(inside.map((worker) => [worker, worker.incarnation]));
    const tasksBefore = new Map<string, Worker>();
    for (const worker of inside)
      for (const task of worker.tasks.values())
        if (task.status === 'running') tasksBefore.set(task.key, worker);
    // Jobs that the other controllers accept and start meanwhile.
    for (let i = 0; i < 6; i++)
      kit.after(random.between(500_000, durationUs * 0.6), () => {
        const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(5e6, 30e6) };
        world.submit({ job, urgency: 'high', due: null }, kit.anyOther(isolated));
      });
    const recorded = new Set<string>();
    const recordOnce = (situation: string): void => {
      if (!recorded.has(situation)) kit.record(situation);
      recorded.add(situation);
    };
    const check = (): void => {
      const outside = [...world.workers.values()].filter((worker) => worker.place.zone !== zone);
      const expired = inside.filter(
        (worker) => worker.alive && worker.incarnation > incarnations.get(worker)!,
      );
      if (expired.some((worker) => [...tasksBefore.values()].includes(worker)))
        recordOnce('worker lease with tasks expired in the cut-off zone');
      const stillRunning = [...tasksBefore].some(
        ([key, worker]) => worker.tasks.get(key)?.status === 'running',
      );
      for (const worker of outside)
        for (const task of worker.tasks.values()) {
          if (task.status !== 'running' || task.startedAt <= startedAt) continue;
          if (stillRunning) recordOnce('tasks run on in the cut-off zone while others start elsewhere');
          if (tasksBefore.has(task.key)) recordOnce('task lost in the cut-off zone restarted elsewhere');
        }
      if (world.time.now < startedAt + durationUs + 20e6) kit.after(100_000, check);
      else active = false;
    };
    check();
  };
  return {
    begin() {
      if (active) return;
      active = true;
      kit.longJobs(6);
      const beginsAfterUs = random.between(16e6, 22e6);
      world.markDisruption(beginsAfterUs + 10e6);
      kit.after(beginsAfterUs, partition);
    },
  };
};
