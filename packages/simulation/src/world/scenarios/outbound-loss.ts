import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines reach no controller, while direct orders reach them; some come up so. Users cancel what runs there. */
export const outboundLoss = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const l = w.random;
  /** By task that was on a mute machine: which, and in which session. */
  const held = new Map<string, { readonly on: Worker; readonly incarnation: number }>();
  const bornMute = new Set<Worker>();

  return {
    begin: () => {
      const ids = m.longJobs(6);
      w.disturbed(25e6);
      m.after(l.between(18e6, 25e6), () => {
        const share = l.between(0.2, 0.7);
        const mute = [...w.workers.values()].filter((x) => x.alive && !x.mute && l.chance(share));
        if (mute.length === 0) return;
        w.strike('outboundLoss');
        const lasts = l.chance(0.3) ? w.lease * l.between(0.3, 0.95) : l.between(2 * w.lease, 130e6);
        w.disturbed(lasts);
        if (l.chance(0.5)) w.cloud.muteUntil = w.time.now + lasts;
        for (const x of mute) {
          x.mute = true;
          m.after(lasts, () => (x.mute = false));
          for (const task of x.held()) held.set(task, { on: x, incarnation: x.incarnation });
        }
        // Half of them: the rest is neither counted on nor lost.
        const there = ids.filter((id) => [...held.keys()].some((task) => task.startsWith(`${id}/`)));
        for (const id of there.filter(() => l.chance(0.5))) {
          const by = () => w.anyNode();
          m.after(l.between(200_000, 6e6), () => w.cancel(id, by, () => undefined));
        }
        const leader = w.leader();
        if (leader !== undefined && l.chance(0.3))
          m.after(l.between(4e6, 12e6), () => m.changeLeader(leader));
      });
    },
    workerStarted: (x) => {
      const left = w.cloud.muteUntil - w.time.now;
      if (left <= 0 || !l.chance(0.5)) return;
      x.mute = true;
      bornMute.add(x);
      m.after(left, () => (x.mute = false));
    },
    stoppedDirectly: (by, task) => {
      if (by.mute && w.rules.cancelAsked(task.slice(0, task.indexOf('/'))))
        m.record('cancelled and stopped directly on a mute machine');
    },
    started: (task, machine) => {
      const before = held.get(task);
      if (before === undefined || before.on.place.id === machine) return;
      held.delete(task);
      if (!before.on.alive) m.record('started again after the machine was deleted');
      else if (before.on.incarnation > before.incarnation)
        m.record('started again elsewhere after the lease');
    },
    deleted: (x) => {
      if (x?.mute !== true) return;
      m.record(bornMute.has(x) ? 'a machine that came up mute was returned' : 'a mute machine was returned');
    },
  };
};
