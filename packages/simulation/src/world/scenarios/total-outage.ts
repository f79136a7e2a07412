/** All controllers are away for longer than a lease, and come back one by one; users cancel in the second before. */
import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

export const totalOutage = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const l = w.random;
  let on = false;

  const away = (ids: readonly string[]): void => {
    w.strike('totalOutage');
    const order = [...w.nodes].sort(() => l.next() - 0.5);
    // For longer than `cancel_s`, too, now and then.
    let back = l.chance(0.3) ? w.cancelWithin + l.between(1e6, 5e6) : w.lease * l.between(1.2, 2.6);
    w.disturbed(back);
    const fall = l.between(1000, 30_000);
    for (const n of order) {
      if (l.chance(0.2)) w.stepDown(n, 0);
      const until = back;
      m.after(fall, () => w.crash(n, until));
      back += l.between(3e6, 12e6);
    }
    const gone = (): boolean => w.nodes.every((n) => w.process(n) === undefined);
    const ran = new Map<string, { readonly on: Worker; readonly incarnation: number }>();
    m.after(500_000, () => {
      if (!gone()) return void (on = false);
      for (const x of w.workers.values())
        for (const t of x.tasks.values())
          if (t.status === 'running') ran.set(t.key, { on: x, incarnation: x.incarnation });
      for (const id of ids)
        if (w.rules.state(id) === 'aborted' && w.rules.isOn(id)) m.record('cancelled as all went away');
      m.after(w.lease * 1.01, () => {
        if (!gone()) return;
        m.record('all away beyond the lease');
        if ([...ran.values()].some((r) => r.on.incarnation > r.incarnation))
          m.record('leases lapsed with all away');
      });
      const met = new Set<string>();
      const once = (what: string): void => {
        if (!met.has(what)) m.record(what);
        met.add(what);
      };
      const ends = w.time.now + back + 10e6;
      const look = (): void => {
        const up = w.nodes.filter((n) => w.process(n) !== undefined);
        const leader = w.leader();
        if (up.length === 1 && leader === up[0]) {
          once('one leads alone, the first one back');
          for (const x of w.workers.values())
            for (const t of x.tasks.values()) {
              const r = ran.get(t.key);
              if (r !== undefined && t.status === 'running' && (x !== r.on || x.incarnation > r.incarnation))
                once('started again by the one that is back');
            }
        }
        if (w.time.now < ends) m.after(200_000, look);
        else on = false;
      };
      look();
    });
  };
  return {
    begin() {
      if (on) return;
      on = true;
      const ids = m.longJobs(10);
      const begins = l.between(18e6, 24e6);
      w.disturbed(begins + 10e6);
      m.after(begins, () => {
        // As the first cancellations are confirmed, mostly.
        let fallen = false;
        const fall = (): void => {
          if (!fallen) away(ids);
          fallen = true;
        };
        for (const id of ids) if (l.chance(0.6)) w.cancel(id, () => w.anyNode(), fall);
        m.after(2e6, fall);
      });
    },
  };
};
