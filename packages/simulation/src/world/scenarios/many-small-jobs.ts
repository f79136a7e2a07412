import { build } from 'hdr-histogram-js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

const JOBS_PER_SECOND = 4;
const DURATION_US = 100e6;
/** Interval at which waiting jobs are checked, which bounds the precision of start latencies; microseconds. */
const CHECK_INTERVAL_US = 100_000;

/**
 * Submits four jobs of one task a second and cancels a quarter of them while they wait or run. Days of this scenario keep
 * the state service's limits (25 puts and deletes a second for all controllers). The latencies are counters of the day, in
 * milliseconds.
 */
export const manySmallJobs = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  let active = false;
  const cancelLatencies = build();
  const startLatencies = build();
  const setCounter = (name: string, value: number): void => void (kit.occurred[name] = Math.round(value));
  const updateLatencyCounters = (): void => {
    for (const [name, histogram] of [
      ['cancel', cancelLatencies],
      ['start', startLatencies],
    ] as const) {
      setCounter(`${name}s`, histogram.totalCount);
      for (const percentile of [50, 95])
        setCounter(`${name} p${percentile} ms`, histogram.getValueAtPercentile(percentile));
      setCounter(`${name} max ms`, histogram.maxValue);
    }
  };
  return {
    begin: () => {
      if (active) return;
      active = true;
      world.recordInjection('manySmallJobs');
      world.markDisruption(DURATION_US);
      const startedAt = world.time.now;
      const writesBefore = world.state.writeTimes.length;
      const accepted = new Map<string, number>();
      const waiting = new Set<string>();
      const cancel = (id: string): void => {
        const requestedAt = world.time.now;
        world.cancel(
          id,
          () => world.anyController(),
          () => cancelLatencies.recordValue(Math.max(1, (world.time.now - requestedAt) / 1000)),
        );
      };
      for (let i = 0; i < (DURATION_US / 1e6) * JOBS_PER_SECOND; i++)
        kit.after((i * 1e6) / JOBS_PER_SECOND, () => {
          const job = { ...PLAIN_JOB, tasks: 1, cpus: 1, runUs: world.random.between(1e6, 12e6) };
          const id = world.submit({ job, urgency: 'normal', due: null }, () => world.anyController());
          if (id === undefined) return;
          kit.record('small jobs');
          waiting.add(id);
          if (world.random.chance(0.25)) kit.after(world.random.between(300_000, 6e6), () => cancel(id));
        });
      const maxSizes = { jobs: 0, tail: 0, finals: 0 };
      const check = (): void => {
        const now = world.time.now;
        for (const id of waiting) {
          const state = world.rules.state(id);
          if (state !== undefined && !accepted.has(id)) accepted.set(id, now);
          if (state === 'done' || state === 'aborted') waiting.delete(id);
          else if (accepted.has(id) && world.rules.hasPlacedTask(id)) {
            startLatencies.recordValue(Math.max(1, (now - accepted.get(id)!) / 1000));
            waiting.delete(id);
          }
        }
        for (const sizes of world.cacheSizes())
          for (const size of ['jobs', 'tail', 'finals'] as const)
            maxSizes[size] = Math.max(maxSizes[size], sizes[size]);
        updateLatencyCounters();
        for (const size of ['jobs', 'tail', 'finals'] as const) setCounter(`max ${size}`, maxSizes[size]);
        if (now < startedAt + DURATION_US + 40e6) return kit.after(CHECK_INTERVAL_US, check);
        setCounter('jobs in memory at the end', Math.max(...world.cacheSizes().map((sizes) => sizes.jobs)));
      };
      check();
      kit.after(DURATION_US, () => {
        const writeTimes = world.state.writeTimes.slice(writesBefore);
        setCounter('writes', writeTimes.length);
        setCounter(
          'max writes in 10 s',
          Math.max(
            ...writeTimes.map((at, i) => {
              let end = i;
              while (end < writeTimes.length && writeTimes[end]! < at + 10e6) end++;
              return end - i;
            }),
          ),
        );
        setCounter('writes refused by the rate limit', world.state.rejectedRequests);
      });
    },
  };
};
