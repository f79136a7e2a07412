import type { Shared, Trouble } from './stage.js';

/** The leader is refused, users cancel through the others, then nobody is served for longer than they may wait. */
export const gap = (m: Shared): Trouble => {
  /** Whether another leads while the old one still answers reports. */
  const beside = (old: string, until: number): void => {
    const { w } = m;
    const leader = w.leader();
    if (leader !== undefined && leader !== old && w.answering(old)) return m.meet('new leader beside a hold');
    if (w.time.now < until) m.at(50_000, () => beside(old, until));
  };
  return {
    begin: () => {
      const { w } = m;
      const l = w.luck;
      const ids = m.longJobs(8);
      w.troubled(25e6);
      m.at(l.between(18e6, 25e6), () => {
        const old = w.leader();
        if (old === undefined || w.state.out) return;
        w.strike('gap');
        const process = w.process(old);
        const began = w.time.now;
        const dark = l.between(0.9e6, 2.4e6);
        m.refuse(old, l.between(10e6, 18e6));
        const confirmed: string[] = [];
        for (const id of ids.filter((x) => w.rules.isOn(x) && l.chance(0.8)))
          m.at(l.between(0, 1.7e6), () =>
            w.cancel(id, m.others(old), (by) => {
              if (by === old || w.time.now >= began + dark) return;
              confirmed.push(id);
              if (w.rules.isOn(id) && w.process(old) === process && w.answering(old))
                m.meet('cancelled beside a leader refused alone');
            }),
          );
        m.at(dark, () => {
          if (w.state.out) return;
          w.state.outage(true);
          // Short, now and then: then the one that holds loses its peers too as the others are served again.
          const short = l.chance(0.3);
          const lasts = short ? l.between(7e6, 18e6) : w.cancelWithin + l.between(2e6, 25e6);
          w.troubled(lasts);
          m.at(lasts, () => w.state.outage(false));
          if (short)
            m.at(lasts - l.between(0, 500_000), () => {
              const more = l.between(5e6, 25e6);
              for (const end of ['state', ...w.nodes.filter((n) => n !== old)]) w.cut(old, end, 'held', more);
              beside(old, w.time.now + more);
            });
          // The hold is on, by then: its right by lease is over.
          m.at(5e6, () => {
            const holds = w.process(old) === process && w.answering(old);
            for (const id of confirmed) if (holds && w.rules.isOn(id)) m.meet('cancelled beside a hold');
          });
        });
      });
    },
  };
};
