import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** From the refusal on: for how long a hold's view may be behind where it starts something, and an answer on its way. */
const STARTS_OVER = 7e6;

/** The leader is refused, users cancel through the others, then nobody is served for longer than they may wait. */
export const rollingRefusal = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  /** Whether another leads while the old one still answers reports. */
  const beside = (old: string, until: number): void => {
    const leader = world.leader();
    if (leader !== undefined && leader !== old && world.answering(old))
      return kit.record('new leader beside a hold');
    if (world.time.now < until) kit.after(50_000, () => beside(old, until));
  };
  /** Jobs cancelled beside a leader that is refused: until when a start by its older view may still arrive. */
  const startsOver = new Map<string, number>();
  return {
    begin: () => {
      const { random } = world;
      const ids = kit.longJobs(8);
      const fresh: string[] = [];
      world.disturbed(25e6);
      const when = random.between(18e6, 25e6);
      // Starts that are durable, and that machines have not been told of yet.
      for (let i = 0; i < 8; i++)
        kit.after(when - random.between(0, 1.2e6), () => {
          const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(40e6, 60e6) };
          const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
          if (id !== undefined) fresh.push(id);
        });
      kit.after(when, () => {
        const old = world.leader();
        if (old === undefined || world.state.out) return;
        world.strike('rollingRefusal');
        const process = world.process(old);
        const began = world.time.now;
        const dark = random.between(0.9e6, 2.4e6);
        kit.refuseFor(old, random.between(10e6, 18e6));
        const confirmed: string[] = [];
        for (const x of world.workers.values())
          if (x.alive && !x.hanging && random.chance(0.4))
            x.hang(random.between(4e6, 0.9 * world.lease), () => undefined);
        for (const id of fresh)
          kit.after(random.between(0, 1.7e6), () =>
            world.cancel(id, kit.anyOther(old), () => {
              if (world.process(old) === process && world.time.now < began + dark)
                startsOver.set(id, began + STARTS_OVER);
            }),
          );
        for (const id of ids.filter((x) => world.rules.isOn(x) && random.chance(0.8)))
          kit.after(random.between(0, 1.7e6), () =>
            world.cancel(id, kit.anyOther(old), (by) => {
              if (by === old || world.time.now >= began + dark) return;
              confirmed.push(id);
              if (world.rules.isOn(id) && world.process(old) === process && world.answering(old))
                kit.record('cancelled beside a leader refused alone');
            }),
          );
        kit.after(dark, () => {
          if (world.state.out) return;
          world.state.outage(true);
          // Short, now and then: then the one that holds loses its peers too as the others are served again.
          const short = random.chance(0.3);
          const lasts = short ? random.between(7e6, 18e6) : world.cancelWithin + random.between(2e6, 25e6);
          world.disturbed(lasts);
          kit.after(lasts, () => world.state.outage(false));
          if (short)
            kit.after(lasts - random.between(0, 500_000), () => {
              const more = random.between(5e6, 25e6);
              for (const end of ['state', ...world.nodes.filter((n) => n !== old)])
                world.cut(old, end, 'held', more);
              beside(old, world.time.now + more);
            });
          // The hold is on, by then: its right by lease is over.
          kit.after(5e6, () => {
            const holds = world.process(old) === process && world.answering(old);
            for (const id of confirmed)
              if (holds && world.rules.isOn(id)) kit.record('cancelled beside a hold');
            for (const id of startsOver.keys())
              if (holds && fresh.includes(id) && world.hasPlaced(old, id) && !world.rules.isOn(id))
                kit.record('cancelled beside a hold that has its start still to send');
          });
        });
      });
    },
    ordered: (task) => {
      const until = startsOver.get(task.slice(0, task.indexOf('/')));
      if (until === undefined) return;
      kit.record('start ordered after the word that its job is cancelled');
      if (world.time.now > until) world.rules.broken.push(`started_cancelled: ${task} at ${world.time.now}`);
    },
  };
};
