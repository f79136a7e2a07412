/** A controller and the workers of a zone are cut off together, from everything else, for longer than a lease. */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const zonePartition = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let on = false;

  const cut = (): void => {
    world.strike('zonePartition');
    const zone = ZONES[random.int(ZONES.length)]!;
    const node = kit.mostlyLeader();
    const lasts = world.lease * random.between(1.15, 3);
    const mode = random.chance(0.5) ? 'held' : 'reset';
    const rest = world.nodes.filter((n) => n !== node);
    for (const end of ['state', 'users', ...rest]) world.cut(node, end, mode, lasts);
    for (const z of ZONES) if (z !== zone) world.cut(`zone:${z}`, node, mode, lasts);
    for (const n of rest) world.cut(`zone:${zone}`, n, mode, lasts);
    if (node === world.leader()) kit.record('the leader is cut off with the zone');

    const began = world.time.now;
    const inside = [...world.workers.values()].filter((x) => x.place.zone === zone);
    const incarnations = new Map(inside.map((x) => [x, x.incarnation]));
    const ran = new Map<string, Worker>();
    for (const x of inside) for (const t of x.tasks.values()) if (t.status === 'running') ran.set(t.key, x);
    // Work that the rest begins meanwhile.
    for (let i = 0; i < 6; i++)
      kit.after(random.between(500_000, lasts * 0.6), () => {
        const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(5e6, 30e6) };
        world.submit({ job, urgency: 'high', due: null }, kit.anyOther(node));
      });
    const met = new Set<string>();
    const once = (what: string): void => {
      if (!met.has(what)) kit.record(what);
      met.add(what);
    };
    const look = (): void => {
      const outside = [...world.workers.values()].filter((x) => x.place.zone !== zone);
      const lapsed = inside.filter((x) => x.alive && x.incarnation > incarnations.get(x)!);
      if (lapsed.some((x) => [...ran.values()].includes(x)))
        once('a lease with tasks lapsed in the cut zone');
      const goesOn = [...ran].some(([key, x]) => x.tasks.get(key)?.status === 'running');
      for (const x of outside)
        for (const t of x.tasks.values()) {
          if (t.status !== 'running' || t.began <= began) continue;
          if (goesOn) once('tasks go on in the cut zone beside starts elsewhere');
          if (ran.has(t.key)) once('lapsed in the cut zone and started again elsewhere');
        }
      if (world.time.now < began + lasts + 20e6) kit.after(100_000, look);
      else on = false;
    };
    look();
  };
  return {
    begin() {
      if (on) return;
      on = true;
      kit.longJobs(6);
      const begins = random.between(16e6, 22e6);
      world.disturbed(begins + 10e6);
      kit.after(begins, cut);
    },
  };
};
