import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

const WAYS = ['in order', 'by crash', 'by a lapsed lease', 'with answers on their way'] as const;
type Way = (typeof WAYS)[number];

interface Confirmed {
  readonly by: string;
  readonly at: number;
}
/** A confirmation counts for a hand-over until so long after it. */
const AFTER = 2e6;

/** Users cancel what runs, and what is being started, in the seconds in which the lead changes hands. */
export const cancelDuringHandover = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const cancelled = new Set<string>();
  let strikes = 0;

  const hand = (way: Way, old: string): void => {
    const l = w.random;
    if (way === 'in order') w.stepDown(old, l.between(0, 3e6));
    else if (way === 'by crash') w.crash(old, l.between(500_000, 8e6));
    else if (way === 'by a lapsed lease') {
      // Refused, or it stands still and goes on as if nothing had been.
      const lasts = l.between(4e6, 10e6);
      if (l.chance(0.5)) m.refuseFor(old, lasts);
      else w.freeze(old, lasts);
    } else {
      // Reports, relayed ones and their answers are held, and arrive when another leads.
      const lasts = l.between(1.5e6, 3.6e6);
      for (const z of w.zones) if (l.chance(0.7)) w.cut(old, `zone:${z}`, 'held', lasts);
      for (const n of w.nodes) if (n !== old && l.chance(0.7)) w.cut(old, n, 'held', lasts);
      m.after(l.between(0, 700_000), () =>
        l.chance(0.5) ? w.stepDown(old, l.between(0, 3e6)) : w.crash(old, l.between(3e6, 8e6)),
      );
    }
  };

  /** Once another term has begun: who confirmed what, as its tasks were running. */
  const tell = (way: Way, old: string, before: number | null, confirmed: readonly Confirmed[]): void => {
    let since: number | null = null;
    let next = '';
    const met = new Set<Confirmed>();
    const look = (times: number): void => {
      const { now } = w.time;
      if (since === null && (w.term() ?? 0) > (before ?? 0)) {
        since = now;
        next = w.leader()!;
      }
      if (since !== null)
        for (const c of confirmed) {
          if (c.at > since + AFTER || met.has(c)) continue;
          met.add(c);
          const by = c.by === next ? 'new' : c.by === old ? 'old' : 'third';
          m.record(`cancelled while it ran, handed over ${way}`);
          m.record(`cancelled while it ran, confirmed by the ${by}`);
        }
      if (times > 0 && (since === null || now < since + 2 * AFTER)) m.after(200_000, () => look(times - 1));
    };
    look(100);
  };

  return {
    begin: () => {
      const l = w.random;
      const ids = m.longJobs(6);
      w.disturbed(25e6);
      m.after(l.between(18e6, 25e6), () => {
        const old = w.leader();
        if (old === undefined) return;
        w.strike('cancelDuringHandover');
        const before = w.term();
        const way = WAYS[strikes++ % WAYS.length]!;
        const confirmed: Confirmed[] = [];
        const cancel = (id: string): void => {
          // The old one, any other, or whoever leads by then.
          const draw = l.next();
          const other = m.anyOther(old);
          const via = draw < 0.3 ? () => old : draw < 0.6 ? other : () => w.leader() ?? other();
          w.cancel(id, via, (by) => {
            cancelled.add(id);
            if (w.rules.isOn(id)) confirmed.push({ by, at: w.time.now });
          });
        };
        for (const id of ids) if (l.chance(0.8)) m.after(l.between(0, 5e6), () => cancel(id));
        // Some whose starts are durable, sent or on their way.
        for (let i = 0; i < 4; i++)
          m.after(l.between(0, 2e6), () => {
            const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: l.between(40e6, 60e6) };
            const id = w.submit({ job, urgency: 'high', due: null }, () => w.anyNode());
            if (id !== undefined) m.after(l.between(500_000, 4e6), () => cancel(id));
          });
        w.disturbed(6e6);
        m.after(l.between(500_000, 1.5e6), () => hand(way, old));
        tell(way, old, before, confirmed);
      });
    },
    started: (task) => {
      if (cancelled.has(task.slice(0, task.indexOf('/')))) m.record('started after the confirmation');
    },
  };
};
