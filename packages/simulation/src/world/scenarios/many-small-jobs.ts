import { build } from 'hdr-histogram-js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

const A_SECOND = 4;
const LASTS = 100e6;
/** How often jobs that wait are looked at: starts are known so exactly. */
const LOOK = 100_000;

/**
 * One-task jobs, four a second, a quarter of them cancelled while they wait or run. Days of this scenario keep the state
 * service's limits (25 puts and deletes a second for all). What it measures stands in `met`, in milliseconds.
 */
export const manySmallJobs = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  let begun = false;
  const cancels = build();
  const starts = build();
  const put = (what: string, n: number): void => void (kit.occurred[what] = Math.round(n));
  const tell = (): void => {
    for (const [name, h] of [
      ['cancel', cancels],
      ['start', starts],
    ] as const) {
      put(`${name}s`, h.totalCount);
      for (const p of [50, 95]) put(`${name} p${p} ms`, h.getValueAtPercentile(p));
      put(`${name} worst ms`, h.maxValue);
    }
  };
  return {
    begin: () => {
      if (begun) return;
      begun = true;
      world.strike('manySmallJobs');
      world.disturbed(LASTS);
      const from = world.time.now;
      const before = world.state.written.length;
      const accepted = new Map<string, number>();
      const waiting = new Set<string>();
      const cancel = (id: string): void => {
        const asked = world.time.now;
        world.cancel(
          id,
          () => world.anyNode(),
          () => cancels.recordValue(Math.max(1, (world.time.now - asked) / 1000)),
        );
      };
      for (let n = 0; n < (LASTS / 1e6) * A_SECOND; n++)
        kit.after((n * 1e6) / A_SECOND, () => {
          const job = { ...PLAIN_JOB, tasks: 1, cpus: 1, runUs: world.random.between(1e6, 12e6) };
          const id = world.submit({ job, urgency: 'normal', due: null }, () => world.anyNode());
          if (id === undefined) return;
          kit.record('small jobs');
          waiting.add(id);
          if (world.random.chance(0.25)) kit.after(world.random.between(300_000, 6e6), () => cancel(id));
        });
      const most = { jobs: 0, tail: 0, finals: 0 };
      const look = (): void => {
        const now = world.time.now;
        for (const id of waiting) {
          const state = world.rules.state(id);
          if (state !== undefined && !accepted.has(id)) accepted.set(id, now);
          if (state === 'done' || state === 'aborted') waiting.delete(id);
          else if (accepted.has(id) && world.rules.isOn(id)) {
            starts.recordValue(Math.max(1, (now - accepted.get(id)!) / 1000));
            waiting.delete(id);
          }
        }
        for (const c of world.cacheSizes())
          for (const k of ['jobs', 'tail', 'finals'] as const) most[k] = Math.max(most[k], c[k]);
        tell();
        for (const k of ['jobs', 'tail', 'finals'] as const) put(`most ${k}`, most[k]);
        if (now < from + LASTS + 40e6) return kit.after(LOOK, look);
        put('jobs kept at last', Math.max(...world.cacheSizes().map((c) => c.jobs)));
      };
      look();
      kit.after(LASTS, () => {
        const times = world.state.written.slice(before);
        put('writes', times.length);
        put(
          'writes in 10 s, most',
          Math.max(
            ...times.map((at, i) => {
              let n = i;
              while (n < times.length && times[n]! < at + 10e6) n++;
              return n - i;
            }),
          ),
        );
        put('refused as too many', world.state.refusedAsTooMany);
      });
    },
  };
};
