/** Summarizes many days of one experiment as text. */
import { build, type Histogram } from 'hdr-histogram-js';
import { type DayResult, failuresOf, type Recovery } from './play.js';

const STEPS = ['noticed', 'durable', 'answers', 'started'] as const satisfies readonly (keyof Recovery)[];
const STEP_LABELS: Record<(typeof STEPS)[number], string> = {
  noticed: 'data loss suspected',
  durable: 'all known durable',
  answers: 'first response after that',
  started: 'first start after that',
};

const newHistogram = (): Histogram =>
  build({ bitBucketSize: 64, numberOfSignificantValueDigits: 3, highestTrackableValue: 3_600_000 });

/** Returns the lines of the summary: totals, recovery times as percentiles, rows of classes and teams, and failed days. */
export const summaryLines = (days: readonly DayResult[]): string[] => {
  const sum = (of: (day: DayResult) => number): number => days.reduce((total, day) => total + of(day), 0);
  const failedDays = days.filter((day) => failuresOf(day).length > 0);
  const lines = [
    `${days.length} days, ${failedDays.length} failed; data losses ${sum((day) => day.losses)} on ${days.filter((day) => day.losses > 0).length} days, ` +
      `${sum((day) => day.unwitnessed)} of them survived by no controller`,
    `jobs accepted ${sum((day) => day.accepted)}, finished ${sum((day) => day.over)}; tasks started ${sum((day) => day.started)}, killed by lease expiry ${sum((day) => day.killed)}`,
  ];
  const silences = days.map((day) => day.silence).sort((a, b) => a - b);
  const silenceQuantile = (fraction: number): string =>
    (silences[Math.floor(fraction * (silences.length - 1))] ?? 0).toFixed(1);
  lines.push(
    `longest time without a response for a job after the last fault, by day: median ${silenceQuantile(0.5)} s, 90th percentile ${silenceQuantile(0.9)} s, maximum ${silenceQuantile(1)} s`,
  );
  if (days.some((day) => day.lending !== null)) {
    const of = (field: 'loans' | 'wanted' | 'up' | 'all' | 'soon'): number =>
      sum((day) => day.lending?.[field] ?? 0);
    const leaderDeaths = Object.entries(Object.assign({}, ...days.map((day) => day.struck)) as object)
      .filter(([field]) => field.startsWith('after_'))
      .map(([field]) => `${field.slice(6)} ${sum((day) => day.struck[field] ?? 0)}`);
    lines.push(
      `loans ${of('loans')}; services ${of('all')}, complete within 60 s ${(of('soon') / Math.max(1, of('all'))).toFixed(3)}, ` +
        `running for ${(of('up') / Math.max(1, of('wanted'))).toFixed(3)} of the wanted time; leaders that ended after: ${leaderDeaths.join(', ')}`,
    );
  }
  for (const step of STEPS) {
    const histogram = newHistogram();
    for (const day of days) {
      const ms = day.recovery[step];
      if (ms !== null) histogram.recordValue(ms);
    }
    if (histogram.totalCount === 0) continue;
    const secondsAt = (percentile: number): string =>
      `${(histogram.getValueAtPercentile(percentile) / 1000).toFixed(2)} s`;
    lines.push(
      `${STEP_LABELS[step]}: median ${secondsAt(50)}, 90th percentile ${secondsAt(90)}, 99th percentile ${secondsAt(99)}, maximum ${(histogram.maxValue / 1000).toFixed(2)} s (${histogram.totalCount})`,
    );
  }
  for (const of of [...new Set(days.flatMap((day) => day.least.map((row) => row.of)))].sort()) {
    const rows = days.flatMap((day) => day.least.filter((row) => row.of === of));
    const jobs = rows.reduce((total, row) => total + row.jobs, 0);
    const fraction = (by: 'served' | 'begun'): string =>
      `${(rows.reduce((total, row) => total + row[by] * row.jobs, 0) / jobs).toFixed(3)} (minimum of a day ${Math.min(...rows.map((row) => row[by])).toFixed(2)})`;
    lines.push(
      `${of}: ${jobs} jobs, finished ${fraction('served')}, begun within four minutes ${fraction('begun')}, longest wait ${Math.max(...rows.map((row) => row.longest))} s`,
    );
  }
  for (const day of failedDays) lines.push(`seed ${day.seed}: ${failuresOf(day).slice(0, 3).join('; ')}`);
  return lines;
};
