import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** From the refusal on: for how long a hold's view may be behind where it starts something, and an answer on its way. */
const STARTS_OVER = 7e6;

/** The leader is refused, users cancel through the others, then nobody is served for longer than they may wait. */
export const rollingRefusal = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  /** Whether another leads while the old one still answers reports. */
  const beside = (old: string, until: number): void => {
    const leader = w.leader();
    if (leader !== undefined && leader !== old && w.answering(old))
      return m.record('new leader beside a hold');
    if (w.time.now < until) m.after(50_000, () => beside(old, until));
  };
  /** Jobs cancelled beside a leader that is refused: until when a start by its older view may still arrive. */
  const startsOver = new Map<string, number>();
  return {
    begin: () => {
      const l = w.random;
      const ids = m.longJobs(8);
      const fresh: string[] = [];
      w.disturbed(25e6);
      const when = l.between(18e6, 25e6);
      // Starts that are durable, and that machines have not been told of yet.
      for (let i = 0; i < 8; i++)
        m.after(when - l.between(0, 1.2e6), () => {
          const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: l.between(40e6, 60e6) };
          const id = w.submit({ job, urgency: 'high', due: null }, () => w.anyNode());
          if (id !== undefined) fresh.push(id);
        });
      m.after(when, () => {
        const old = w.leader();
        if (old === undefined || w.state.out) return;
        w.strike('rollingRefusal');
        const process = w.process(old);
        const began = w.time.now;
        const dark = l.between(0.9e6, 2.4e6);
        m.refuseFor(old, l.between(10e6, 18e6));
        const confirmed: string[] = [];
        for (const x of w.workers.values())
          if (x.alive && !x.hanging && l.chance(0.4)) x.hang(l.between(4e6, 0.9 * w.lease), () => undefined);
        for (const id of fresh)
          m.after(l.between(0, 1.7e6), () =>
            w.cancel(id, m.anyOther(old), () => {
              if (w.process(old) === process && w.time.now < began + dark)
                startsOver.set(id, began + STARTS_OVER);
            }),
          );
        for (const id of ids.filter((x) => w.rules.isOn(x) && l.chance(0.8)))
          m.after(l.between(0, 1.7e6), () =>
            w.cancel(id, m.anyOther(old), (by) => {
              if (by === old || w.time.now >= began + dark) return;
              confirmed.push(id);
              if (w.rules.isOn(id) && w.process(old) === process && w.answering(old))
                m.record('cancelled beside a leader refused alone');
            }),
          );
        m.after(dark, () => {
          if (w.state.out) return;
          w.state.outage(true);
          // Short, now and then: then the one that holds loses its peers too as the others are served again.
          const short = l.chance(0.3);
          const lasts = short ? l.between(7e6, 18e6) : w.cancelWithin + l.between(2e6, 25e6);
          w.disturbed(lasts);
          m.after(lasts, () => w.state.outage(false));
          if (short)
            m.after(lasts - l.between(0, 500_000), () => {
              const more = l.between(5e6, 25e6);
              for (const end of ['state', ...w.nodes.filter((n) => n !== old)]) w.cut(old, end, 'held', more);
              beside(old, w.time.now + more);
            });
          // The hold is on, by then: its right by lease is over.
          m.after(5e6, () => {
            const holds = w.process(old) === process && w.answering(old);
            for (const id of confirmed) if (holds && w.rules.isOn(id)) m.record('cancelled beside a hold');
            for (const id of startsOver.keys())
              if (holds && fresh.includes(id) && w.hasPlaced(old, id) && !w.rules.isOn(id))
                m.record('cancelled beside a hold that has its start still to send');
          });
        });
      });
    },
    ordered: (task) => {
      const until = startsOver.get(task.slice(0, task.indexOf('/')));
      if (until === undefined) return;
      m.record('start ordered after the word that its job is cancelled');
      if (w.time.now > until) w.rules.broken.push(`started_cancelled: ${task} at ${w.time.now}`);
    },
  };
};
