/** More work than all machines that can be had take, urgent and not, over links that are slow or lose a part. */
import { ZONES } from '@lilacvalve/controller/support/settings';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const overload = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let on = false;
  return {
    begin() {
      if (on) return;
      on = true;
      world.strike('overload');
      const lasts = random.between(40e6, 70e6);
      let slow = 0;
      const ends = ['state', 'users', ...world.nodes, ...ZONES.map((z) => `zone:${z}`)];
      for (const a of world.nodes)
        for (const b of ends)
          if (a !== b && random.chance(0.6)) {
            const state = random.chance(0.6) ? 'slow' : 'lossy';
            world.link(a, b, state, lasts);
            if (random.chance(0.7)) world.link(b, a, state, lasts);
            slow++;
          }
      const some = (n: number, urgency: 'normal' | 'high', within: number): string[] => {
        const ids: string[] = [];
        for (let i = 0; i < n; i++)
          kit.after(random.between(0, within), () => {
            // One team has a limit, and must not get beyond it as its less urgent work is being stopped.
            const limited = random.chance(0.25);
            const job = {
              ...PLAIN_JOB,
              team: limited ? 'red' : 'blue',
              tasks: limited ? 3 : 4 + random.int(3),
              cpus: 4,
              saveEvery: random.chance(0.5) ? 5e6 : 0,
              oneZone: random.chance(0.2),
              runUs: limited ? random.between(8e6, 15e6) : random.between(15e6, 30e6),
            };
            const id = world.submit({ job, urgency, due: null }, () => world.anyNode());
            if (id !== undefined) ids.push(id);
          });
        return ids;
      };
      const first = some(12, 'normal', 6e6);
      let urgent: string[] = [];
      kit.after(random.between(18e6, 26e6), () => {
        urgent = some(5, 'high', 4e6);
      });
      const met = new Set<string>();
      const once = (what: string): void => {
        if (!met.has(what)) kit.record(what);
        met.add(what);
      };
      const until = world.time.now + lasts;
      const look = (): void => {
        const there = new Set<string>();
        const stopped = new Set<string>();
        let used = 0;
        for (const x of world.workers.values())
          for (const t of x.tasks.values()) {
            const id = t.key.slice(0, t.key.indexOf('/'));
            if (t.status === 'flushing' || t.cause === 'stopped') stopped.add(id);
            if (t.status === 'ended') continue;
            there.add(t.key);
            used += world.jobs.get(id)?.cpus ?? 0;
          }
        let waiting = 0;
        for (const id of [...first, ...urgent]) {
          const job = world.jobs.get(id);
          if (job === undefined || world.rules.state(id) !== 'accepted') continue;
          for (let i = 0; i < job.tasks; i++)
            if (!job.finished.has(i) && !there.has(`${id}/${i}`)) waiting += job.cpus;
        }
        const room = world.workers.size * 8;
        if (slow > 0 && world.workers.size >= 6 && waiting > room - used + 16)
          once('more work than room, over slow links');
        if (first.some((id) => stopped.has(id))) once('stopped for an urgent one');
        const began = (id: string): boolean => [...there].some((key) => key.startsWith(`${id}/`));
        if (urgent.some(began) && first.some((id) => !began(id) && world.jobs.get(id)!.finished.size === 0))
          once('urgent before what came earlier');
        if (world.time.now < until) kit.after(500_000, look);
        else end();
      };
      const end = (): void => void (on = false);
      look();
    },
  };
};
