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
export const cancelDuringHandover = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const cancelled = new Set<string>();
  let strikes = 0;

  const hand = (way: Way, old: string): void => {
    const { random } = world;
    if (way === 'in order') world.stepDown(old, random.between(0, 3e6));
    else if (way === 'by crash') world.crash(old, random.between(500_000, 8e6));
    else if (way === 'by a lapsed lease') {
      // Refused, or it stands still and goes on as if nothing had been.
      const lasts = random.between(4e6, 10e6);
      if (random.chance(0.5)) kit.refuseFor(old, lasts);
      else world.freeze(old, lasts);
    } else {
      // Reports, relayed ones and their answers are held, and arrive when another leads.
      const lasts = random.between(1.5e6, 3.6e6);
      for (const z of world.zones) if (random.chance(0.7)) world.cut(old, `zone:${z}`, 'held', lasts);
      for (const n of world.nodes) if (n !== old && random.chance(0.7)) world.cut(old, n, 'held', lasts);
      kit.after(random.between(0, 700_000), () =>
        random.chance(0.5)
          ? world.stepDown(old, random.between(0, 3e6))
          : world.crash(old, random.between(3e6, 8e6)),
      );
    }
  };

  /** Once another term has begun: who confirmed what, as its tasks were running. */
  const tell = (way: Way, old: string, before: number | null, confirmed: readonly Confirmed[]): void => {
    let since: number | null = null;
    let next = '';
    const met = new Set<Confirmed>();
    const look = (times: number): void => {
      const { now } = world.time;
      if (since === null && (world.term() ?? 0) > (before ?? 0)) {
        since = now;
        next = world.leader()!;
      }
      if (since !== null)
        for (const c of confirmed) {
          if (c.at > since + AFTER || met.has(c)) continue;
          met.add(c);
          const by = c.by === next ? 'new' : c.by === old ? 'old' : 'third';
          kit.record(`cancelled while it ran, handed over ${way}`);
          kit.record(`cancelled while it ran, confirmed by the ${by}`);
        }
      if (times > 0 && (since === null || now < since + 2 * AFTER)) kit.after(200_000, () => look(times - 1));
    };
    look(100);
  };

  return {
    begin: () => {
      const { random } = world;
      const ids = kit.longJobs(6);
      world.disturbed(25e6);
      kit.after(random.between(18e6, 25e6), () => {
        const old = world.leader();
        if (old === undefined) return;
        world.strike('cancelDuringHandover');
        const before = world.term();
        const way = WAYS[strikes++ % WAYS.length]!;
        const confirmed: Confirmed[] = [];
        const cancel = (id: string): void => {
          // The old one, any other, or whoever leads by then.
          const draw = random.next();
          const other = kit.anyOther(old);
          const via = draw < 0.3 ? () => old : draw < 0.6 ? other : () => world.leader() ?? other();
          world.cancel(id, via, (by) => {
            cancelled.add(id);
            if (world.rules.isOn(id)) confirmed.push({ by, at: world.time.now });
          });
        };
        for (const id of ids) if (random.chance(0.8)) kit.after(random.between(0, 5e6), () => cancel(id));
        // Some whose starts are durable, sent or on their way.
        for (let i = 0; i < 4; i++)
          kit.after(random.between(0, 2e6), () => {
            const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(40e6, 60e6) };
            const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
            if (id !== undefined) kit.after(random.between(500_000, 4e6), () => cancel(id));
          });
        world.disturbed(6e6);
        kit.after(random.between(500_000, 1.5e6), () => hand(way, old));
        tell(way, old, before, confirmed);
      });
    },
    started: (task) => {
      if (cancelled.has(task.slice(0, task.indexOf('/')))) kit.record('started after the confirmation');
    },
  };
};
