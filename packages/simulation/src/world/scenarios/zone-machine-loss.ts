/** Jobs bound to one zone, arrays too, lose machines: by their end, by a new session, or to stand still, inside and beyond a lease. */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const zoneMachineLoss = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const l = w.random;
  let on = false;

  interface On {
    readonly x: Worker;
    readonly key: string;
    readonly attempt: number;
  }
  const onOf = (id: string): On[] =>
    [...w.workers.values()].flatMap((x) =>
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
    w.disturbed(lasts);
    m.after(lasts, () => (x.hanging = false));
  };
  /** Once all of it is gone from `from`, a job that names no zone may go to another; one that has not may not. */
  const watch = (id: string, lost: ReadonlyMap<string, number>, from: string, shape: string): void => {
    const until = w.time.now + 60e6;
    const look = (): void => {
      const now = onOf(id);
      const again = now.filter((o) => o.attempt > (lost.get(o.key) ?? o.attempt));
      if (again.some((o) => o.x.place.zone === from))
        return m.record(
          `${shape}: started again in its zone${now.length > again.length ? ', beside others' : ''}`,
        );
      if (again.some((o) => o.x.place.zone !== from))
        return m.record(`${shape}: moved to another zone as a whole`);
      if (w.time.now < until) m.after(200_000, look);
    };
    m.after(1e6, look);
  };

  const lose = (ids: readonly string[]): void => {
    const id = ids[l.int(ids.length)];
    const job = id === undefined ? undefined : w.jobs.get(id);
    if (id === undefined || job === undefined) return;
    const placed = onOf(id);
    const machines = [...new Set(placed.map((p) => p.x))];
    if (machines.length === 0) return;
    const all = l.chance(0.35);
    const chosen = all ? machines : [machines[l.int(machines.length)]!];
    const lost = new Map(placed.filter((p) => chosen.includes(p.x)).map((p) => [p.key, p.attempt]));
    const shape = job.shape === 'ensemble' ? 'gang' : 'array';
    if (all) m.record(`${shape} of one zone lost all machines`);
    else if (machines.length > 1) m.record(`${shape} of one zone lost a machine of several`);
    const how = l.int(3);
    for (const x of chosen)
      if (how === 0) w.loseMachine(x.place.id);
      else if (how === 1 && !x.hanging) x.restart(l.between(50_000, 500_000));
      else stand(x, w.lease * l.between(0.3, 2));
    watch(id, lost, chosen[0]!.place.zone, shape);
    const leader = w.leader();
    if (leader !== undefined && l.chance(0.35)) m.after(l.between(0, 3e6), () => m.changeLeader(leader));
  };

  return {
    begin() {
      if (on) return;
      on = true;
      w.strike('zoneMachineLoss');
      const ids: string[] = [];
      for (let i = 0; i < 5; i++) {
        const gang = l.chance(0.35);
        const zone = l.chance(0.4) ? ZONES[l.int(ZONES.length)]! : null;
        const job = {
          ...PLAIN_JOB,
          shape: gang ? 'ensemble' : 'array',
          tasks: 2 + l.int(4),
          cpus: 3 + l.int(3),
          zone,
          oneZone: zone === null || l.chance(0.5),
          spot: l.chance(0.3),
          runUs: l.between(25e6, 60e6),
        };
        const id = w.submit({ job, urgency: 'high', due: null }, () => w.anyNode());
        if (id !== undefined) ids.push(id);
      }
      let at = l.between(16e6, 24e6);
      w.disturbed(at + 10e6);
      for (let i = 0; i < 5; i++, at += l.between(1e6, 8e6)) {
        w.disturbed(at + 5e6);
        m.after(at, () => lose(ids));
      }
      m.after(at, () => (on = false));
    },
  };
};
