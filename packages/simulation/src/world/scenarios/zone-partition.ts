/** A controller and the workers of a zone are cut off together, from everything else, for longer than a lease. */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const zonePartition = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const l = w.random;
  let on = false;

  const cut = (): void => {
    w.strike('zonePartition');
    const zone = ZONES[l.int(ZONES.length)]!;
    const node = m.mostlyLeader();
    const lasts = w.lease * l.between(1.15, 3);
    const mode = l.chance(0.5) ? 'held' : 'reset';
    const rest = w.nodes.filter((n) => n !== node);
    for (const end of ['state', 'users', ...rest]) w.cut(node, end, mode, lasts);
    for (const z of ZONES) if (z !== zone) w.cut(`zone:${z}`, node, mode, lasts);
    for (const n of rest) w.cut(`zone:${zone}`, n, mode, lasts);
    if (node === w.leader()) m.record('the leader is cut off with the zone');

    const began = w.time.now;
    const inside = [...w.workers.values()].filter((x) => x.place.zone === zone);
    const incarnations = new Map(inside.map((x) => [x, x.incarnation]));
    const ran = new Map<string, Worker>();
    for (const x of inside) for (const t of x.tasks.values()) if (t.status === 'running') ran.set(t.key, x);
    // Work that the rest begins meanwhile.
    for (let i = 0; i < 6; i++)
      m.after(l.between(500_000, lasts * 0.6), () => {
        const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: l.between(5e6, 30e6) };
        w.submit({ job, urgency: 'high', due: null }, m.anyOther(node));
      });
    const met = new Set<string>();
    const once = (what: string): void => {
      if (!met.has(what)) m.record(what);
      met.add(what);
    };
    const look = (): void => {
      const outside = [...w.workers.values()].filter((x) => x.place.zone !== zone);
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
      if (w.time.now < began + lasts + 20e6) m.after(100_000, look);
      else on = false;
    };
    look();
  };
  return {
    begin() {
      if (on) return;
      on = true;
      m.longJobs(6);
      const begins = l.between(16e6, 22e6);
      w.disturbed(begins + 10e6);
      m.after(begins, cut);
    },
  };
};
