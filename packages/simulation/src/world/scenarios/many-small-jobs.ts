import { build } from 'hdr-histogram-js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

const A_SECOND = 4;
const LASTS = 100e6;
/** How often jobs that wait are looked at: starts are known so exactly. */
const LOOK = 100_000;

/**
 * One-task jobs, four a second, a quarter of them cancelled while they wait or run. Days of this trouble keep the state
 * service's limits (25 puts and deletes a second for all). What it measures stands in `met`, in milliseconds.
 */
export const manySmallJobs = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  let begun = false;
  const cancels = build();
  const starts = build();
  const put = (what: string, n: number): void => void (m.occurred[what] = Math.round(n));
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
      w.strike('manySmallJobs');
      w.disturbed(LASTS);
      const from = w.time.now;
      const before = w.state.written.length;
      const accepted = new Map<string, number>();
      const waiting = new Set<string>();
      const cancel = (id: string): void => {
        const asked = w.time.now;
        w.cancel(
          id,
          () => w.anyNode(),
          () => cancels.recordValue(Math.max(1, (w.time.now - asked) / 1000)),
        );
      };
      for (let n = 0; n < (LASTS / 1e6) * A_SECOND; n++)
        m.after((n * 1e6) / A_SECOND, () => {
          const job = { ...PLAIN_JOB, tasks: 1, cpus: 1, runUs: w.random.between(1e6, 12e6) };
          const id = w.submit({ job, urgency: 'normal', due: null }, () => w.anyNode());
          if (id === undefined) return;
          m.record('small jobs');
          waiting.add(id);
          if (w.random.chance(0.25)) m.after(w.random.between(300_000, 6e6), () => cancel(id));
        });
      const most = { jobs: 0, tail: 0, finals: 0 };
      const look = (): void => {
        const now = w.time.now;
        for (const id of waiting) {
          const state = w.rules.state(id);
          if (state !== undefined && !accepted.has(id)) accepted.set(id, now);
          if (state === 'done' || state === 'aborted') waiting.delete(id);
          else if (accepted.has(id) && w.rules.isOn(id)) {
            starts.recordValue(Math.max(1, (now - accepted.get(id)!) / 1000));
            waiting.delete(id);
          }
        }
        for (const c of w.cacheSizes())
          for (const k of ['jobs', 'tail', 'finals'] as const) most[k] = Math.max(most[k], c[k]);
        tell();
        for (const k of ['jobs', 'tail', 'finals'] as const) put(`most ${k}`, most[k]);
        if (now < from + LASTS + 40e6) return m.after(LOOK, look);
        put('jobs kept at last', Math.max(...w.cacheSizes().map((c) => c.jobs)));
      };
      look();
      m.after(LASTS, () => {
        const times = w.state.written.slice(before);
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
        put('refused as too many', w.state.refusedAsTooMany);
      });
    },
  };
};
