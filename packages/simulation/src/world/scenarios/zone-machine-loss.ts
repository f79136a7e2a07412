/** Jobs bound to one zone, arrays too, lose machines: by their end, by a new session, or to stand still, inside and beyond a lease. */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const zoneMachineLoss = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let on = false;

  interface On {
    readonly x: Worker;
    readonly key: string;
    readonly attempt: number;
  }
  const onOf = (id: string): On[] =>
    [...world.workers.values()].flatMap((x) =>
      x.alive
        ? [...x.tasks.values()].flatMap((t) =>
            t.status !== 'ended' && t.status !== 'fetching' && t.key.startsWith(`${id}/`)
              ? [{ x, key: t.key, attempt: t.attempt }]
              : [],
          )
        : [],
    );
  const stand = (x: Worker, lasts: number): void => {
    if (x.hanging) return;
    x.hanging = true;
    world.disturbed(lasts);
    kit.after(lasts, () => (x.hanging = false));
  };
  /** Once all of it is gone from `from`, a job that names no zone may go to another; one that has not may not. */
  const watch = (id: string, lost: ReadonlyMap<string, number>, from: string, shape: string): void => {
    const until = world.time.now + 60e6;
    const look = (): void => {
      const now = onOf(id);
      const again = now.filter((o) => o.attempt > (lost.get(o.key) ?? o.attempt));
      if (again.some((o) => o.x.place.zone === from))
        return kit.record(
          `${shape}: started again in its zone${now.length > again.length ? ', beside others' : ''}`,
        );
      if (again.some((o) => o.x.place.zone !== from))
        return kit.record(`${shape}: moved to another zone as a whole`);
      if (world.time.now < until) kit.after(200_000, look);
    };
    kit.after(1e6, look);
  };

  const lose = (ids: readonly string[]): void => {
    const id = ids[random.int(ids.length)];
    const job = id === undefined ? undefined : world.jobs.get(id);
    if (id === undefined || job === undefined) return;
    const placed = onOf(id);
    const machines = [...new Set(placed.map((p) => p.x))];
    if (machines.length === 0) return;
    const all = random.chance(0.35);
    const chosen = all ? machines : [machines[random.int(machines.length)]!];
    const lost = new Map(placed.filter((p) => chosen.includes(p.x)).map((p) => [p.key, p.attempt]));
    const shape = job.shape === 'ensemble' ? 'gang' : 'array';
    if (all) kit.record(`${shape} of one zone lost all machines`);
    else if (machines.length > 1) kit.record(`${shape} of one zone lost a machine of several`);
    const how = random.int(3);
    for (const x of chosen)
      if (how === 0) world.loseMachine(x.place.id);
      else if (how === 1 && !x.hanging) x.restart(random.between(50_000, 500_000));
      else stand(x, world.lease * random.between(0.3, 2));
    watch(id, lost, chosen[0]!.place.zone, shape);
    const leader = world.leader();
    if (leader !== undefined && random.chance(0.35))
      kit.after(random.between(0, 3e6), () => kit.changeLeader(leader));
  };

  return {
    begin() {
      if (on) return;
      on = true;
      world.strike('zoneMachineLoss');
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
        const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
        if (id !== undefined) ids.push(id);
      }
      let at = random.between(16e6, 24e6);
      world.disturbed(at + 10e6);
      for (let i = 0; i < 5; i++, at += random.between(1e6, 8e6)) {
        world.disturbed(at + 5e6);
        kit.after(at, () => lose(ids));
      }
      kit.after(at, () => (on = false));
    },
  };
};
