/**
 * Arrays and gangs bound to one zone lose machines: a machine disappears, its worker restarts, or the worker hangs for less or
 * more than its lease.
 */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const zoneMachineLoss = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let active = false;

  /** A task that has its image and has not exited, with its attempt and worker. */
  interface PlacedTask {
    readonly worker: Worker;
    readonly key: string;
    readonly attempt: number;
  }
  const placedTasks = (id: string): PlacedTask[] =>
    [...world.workers.values()].flatMap((worker) =>
      worker.alive
        ? [...worker.tasks.values()].flatMap((task) =>
            task.status !== 'ended' && task.status !== 'fetching' && task.key.startsWith(`${id}/`)
              ? [{ worker: worker, key: task.key, attempt: task.attempt }]
              : [],
          )
        : [],
    );
  const hang = (worker: Worker, durationUs: number): void => {
    if (worker.hanging) return;
    worker.hanging = true;
    world.markDisruption(durationUs);
    kit.after(durationUs, () => (worker.hanging = false));
  };
  /**
   * Records where the lost tasks restart. A job that names no zone may move to another zone only after all its tasks in
   * `lostZone` have exited.
   */
  const watch = (
    id: string,
    lostAttempts: ReadonlyMap<string, number>,
    lostZone: string,
    shape: string,
  ): void => {
    const until = world.time.now + 60e6;
    const check = (): void => {
      const current = placedTasks(id);
      const restarted = current.filter(
        (placement) => placement.attempt > (lostAttempts.get(placement.key) ?? placement.attempt),
      );
      if (restarted.some((placement) => placement.worker.place.zone === lostZone))
        return kit.record(
          `${shape}: task restarted in its zone${current.length > restarted.length ? ', beside running tasks' : ''}`,
        );
      if (restarted.some((placement) => placement.worker.place.zone !== lostZone))
        return kit.record(`${shape}: restarted as a whole in another zone`);
      if (world.time.now < until) kit.after(200_000, check);
    };
    kit.after(1e6, check);
  };

  const loseMachines = (ids: readonly string[]): void => {
    const id = ids[random.int(ids.length)];
    const job = id === undefined ? undefined : world.jobs.get(id);
    if (id === undefined || job === undefined) return;
    const placed = placedTasks(id);
    const machines = [...new Set(placed.map((placement) => placement.worker))];
    if (machines.length === 0) return;
    const losesAll = random.chance(0.35);
    const chosen = losesAll ? machines : [machines[random.int(machines.length)]!];
    const lostAttempts = new Map(
      placed
        .filter((placement) => chosen.includes(placement.worker))
        .map((placement) => [placement.key, placement.attempt]),
    );
    const shape = job.shape === 'ensemble' ? 'gang' : 'array';
    if (losesAll) kit.record(`${shape} bound to one zone lost all machines`);
    else if (machines.length > 1) kit.record(`${shape} bound to one zone lost one of several machines`);
    const lossKind = random.int(3);
    for (const worker of chosen)
      if (lossKind === 0) world.loseMachine(worker.place.id);
      else if (lossKind === 1 && !worker.hanging) worker.restart(random.between(50_000, 500_000));
      else hang(worker, world.lease * random.between(0.3, 2));
    watch(id, lostAttempts, chosen[0]!.place.zone, shape);
    const leader = world.leader();
    if (leader !== undefined && random.chance(0.35))
      kit.after(random.between(0, 3e6), () => kit.changeLeader(leader));
  };

  return {
    begin() {
      if (active) return;
      active = true;
      world.recordInjection('zoneMachineLoss');
      const ids: string[] = [];
      for (let i = 0; i < 5; i++) {
        const gang = random.chance(0.35);
        const zone = random.chance(0.4) ? ZONES[random.int(ZONES.length)]! : null;
        const job = {
          ...PLAIN_JOB,
          shape: gang ? 'ensemble' : 'array',
          tasks: 2 + random.int(4),
          cpus: 3 + random.int(3),
          zone,
          oneZone: zone === null || random.chance(0.5),
          spot: random.chance(0.3),
          runUs: random.between(25e6, 60e6),
        };
        const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
        if (id !== undefined) ids.push(id);
      }
      let delay = random.between(16e6, 24e6);
      world.markDisruption(delay + 10e6);
      for (let i = 0; i < 5; i++, delay += random.between(1e6, 8e6)) {
        world.markDisruption(delay + 5e6);
        kit.after(delay, () => loseMachines(ids));
      }
      kit.after(delay, () => (active = false));
    },
  };
};
