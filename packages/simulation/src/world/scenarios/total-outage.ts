/** All controllers are away for longer than a lease, and come back one by one; users cancel in the second before. */
import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

export const totalOutage = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let on = false;

  const away = (ids: readonly string[]): void => {
    world.strike('totalOutage');
    const order = [...world.nodes].sort(() => random.next() - 0.5);
    // For longer than `cancel_s`, too, now and then.
    let back = random.chance(0.3)
      ? world.cancelWithin + random.between(1e6, 5e6)
      : world.lease * random.between(1.2, 2.6);
    world.disturbed(back);
    const fall = random.between(1000, 30_000);
    for (const n of order) {
      if (random.chance(0.2)) world.stepDown(n, 0);
      const until = back;
      kit.after(fall, () => world.crash(n, until));
      back += random.between(3e6, 12e6);
    }
    const gone = (): boolean => world.nodes.every((n) => world.process(n) === undefined);
    const ran = new Map<string, { readonly on: Worker; readonly incarnation: number }>();
    kit.after(500_000, () => {
      if (!gone()) return void (on = false);
      for (const x of world.workers.values())
        for (const t of x.tasks.values())
          if (t.status === 'running') ran.set(t.key, { on: x, incarnation: x.incarnation });
      for (const id of ids)
        if (world.rules.state(id) === 'aborted' && world.rules.isOn(id))
          kit.record('cancelled as all went away');
      kit.after(world.lease * 1.01, () => {
        if (!gone()) return;
        kit.record('all away beyond the lease');
        if ([...ran.values()].some((r) => r.on.incarnation > r.incarnation))
          kit.record('leases lapsed with all away');
      });
      const met = new Set<string>();
      const once = (what: string): void => {
        if (!met.has(what)) kit.record(what);
        met.add(what);
      };
      const ends = world.time.now + back + 10e6;
      const look = (): void => {
        const up = world.nodes.filter((n) => world.process(n) !== undefined);
        const leader = world.leader();
        if (up.length === 1 && leader === up[0]) {
          once('one leads alone, the first one back');
          for (const x of world.workers.values())
            for (const t of x.tasks.values()) {
              const r = ran.get(t.key);
              if (r !== undefined && t.status === 'running' && (x !== r.on || x.incarnation > r.incarnation))
                once('started again by the one that is back');
            }
        }
        if (world.time.now < ends) kit.after(200_000, look);
        else on = false;
      };
      look();
    });
  };
  return {
    begin() {
      if (on) return;
      on = true;
      const ids = kit.longJobs(10);
      const begins = random.between(18e6, 24e6);
      world.disturbed(begins + 10e6);
      kit.after(begins, () => {
        // As the first cancellations are confirmed, mostly.
        let fallen = false;
        const fall = (): void => {
          if (!fallen) away(ids);
          fallen = true;
        };
        for (const id of ids) if (random.chance(0.6)) world.cancel(id, () => world.anyNode(), fall);
        kit.after(2e6, fall);
      });
    },
  };
};
