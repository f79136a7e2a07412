import type { Worker } from '../worker/worker.js';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines reach no controller, while direct orders reach them; some come up so. Users cancel what runs there. */
export const outboundLoss = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  /** By task that was on a mute machine: which, and in which session. */
  const held = new Map<string, { readonly on: Worker; readonly incarnation: number }>();
  const bornMute = new Set<Worker>();

  return {
    begin: () => {
      const ids = kit.longJobs(6);
      world.disturbed(25e6);
      kit.after(random.between(18e6, 25e6), () => {
        const share = random.between(0.2, 0.7);
        const mute = [...world.workers.values()].filter((x) => x.alive && !x.mute && random.chance(share));
        if (mute.length === 0) return;
        world.strike('outboundLoss');
        const lasts = random.chance(0.3)
          ? world.lease * random.between(0.3, 0.95)
          : random.between(2 * world.lease, 130e6);
        world.disturbed(lasts);
        if (random.chance(0.5)) world.cloud.muteUntil = world.time.now + lasts;
        for (const x of mute) {
          x.mute = true;
          kit.after(lasts, () => (x.mute = false));
          for (const task of x.held()) held.set(task, { on: x, incarnation: x.incarnation });
        }
        // Half of them: the rest is neither counted on nor lost.
        const there = ids.filter((id) => [...held.keys()].some((task) => task.startsWith(`${id}/`)));
        for (const id of there.filter(() => random.chance(0.5))) {
          const by = () => world.anyNode();
          kit.after(random.between(200_000, 6e6), () => world.cancel(id, by, () => undefined));
        }
        const leader = world.leader();
        if (leader !== undefined && random.chance(0.3))
          kit.after(random.between(4e6, 12e6), () => kit.changeLeader(leader));
      });
    },
    workerStarted: (x) => {
      const left = world.cloud.muteUntil - world.time.now;
      if (left <= 0 || !random.chance(0.5)) return;
      x.mute = true;
      bornMute.add(x);
      kit.after(left, () => (x.mute = false));
    },
    stoppedDirectly: (by, task) => {
      if (by.mute && world.rules.cancelAsked(task.slice(0, task.indexOf('/'))))
        kit.record('cancelled and stopped directly on a mute machine');
    },
    started: (task, machine) => {
      const before = held.get(task);
      if (before === undefined || before.on.place.id === machine) return;
      held.delete(task);
      if (!before.on.alive) kit.record('started again after the machine was deleted');
      else if (before.on.incarnation > before.incarnation)
        kit.record('started again elsewhere after the lease');
    },
    deleted: (x) => {
      if (x?.mute !== true) return;
      kit.record(
        bornMute.has(x) ? 'a machine that came up mute was returned' : 'a mute machine was returned',
      );
    },
  };
};
