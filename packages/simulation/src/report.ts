/** What many days of one experiment say together. */
import { build, type Histogram } from 'hdr-histogram-js';
import { type DayResult, faultsOf, type Recovery } from './play.js';

const STEPS = ['noticed', 'durable', 'answers', 'started'] as const satisfies readonly (keyof Recovery)[];
const SAID: Record<(typeof STEPS)[number], string> = {
  noticed: 'loss noticed',
  durable: 'all known durable',
  answers: 'first answer after that',
  started: 'first start after that',
};

const histogram = (): Histogram =>
  build({ bitBucketSize: 64, numberOfSignificantValueDigits: 3, highestTrackableValue: 3_600_000 });

/** Lines for a person: totals, then recovery times as percentiles. */
export const table = (days: readonly DayResult[]): string[] => {
  const sum = (of: (d: DayResult) => number): number => days.reduce((n, d) => n + of(d), 0);
  const bad = days.filter((d) => faultsOf(d).length > 0);
  const lines = [
    `${days.length} days, ${bad.length} with a fault; losses ${sum((d) => d.losses)} on ${days.filter((d) => d.losses > 0).length} days, ` +
      `of them ${sum((d) => d.unwitnessed)} that no controller lived through`,
    `jobs accepted ${sum((d) => d.accepted)}, over ${sum((d) => d.over)}; tasks started ${sum((d) => d.started)}, killed by a lease ${sum((d) => d.killed)}`,
  ];
  const silences = days.map((d) => d.silence).sort((a, b) => a - b);
  const silent = (part: number): string =>
    (silences[Math.floor(part * (silences.length - 1))] ?? 0).toFixed(1);
  lines.push(
    `longest that a job went unanswered after the troubles, by day: middle ${silent(0.5)} s, 9 in 10 ${silent(0.9)} s, longest ${silent(1)} s`,
  );
  if (days.some((d) => d.lending !== null)) {
    const of = (k: 'loans' | 'wanted' | 'up' | 'all' | 'soon'): number => sum((d) => d.lending?.[k] ?? 0);
    const died = Object.entries(Object.assign({}, ...days.map((d) => d.struck)) as object)
      .filter(([k]) => k.startsWith('after_'))
      .map(([k]) => `${k.slice(6)} ${sum((d) => d.struck[k] ?? 0)}`);
    lines.push(
      `loans ${of('loans')}; services ${of('all')}, complete within 60 s ${(of('soon') / Math.max(1, of('all'))).toFixed(3)}, ` +
        `up ${(of('up') / Math.max(1, of('wanted'))).toFixed(3)} of the time wanted; leaders that died after: ${died.join(', ')}`,
    );
  }
  for (const step of STEPS) {
    const h = histogram();
    for (const d of days) {
      const ms = d.recovery[step];
      if (ms !== null) h.recordValue(ms);
    }
    if (h.totalCount === 0) continue;
    const at = (p: number): string => `${(h.getValueAtPercentile(p) / 1000).toFixed(2)} s`;
    lines.push(
      `${SAID[step]}: middle ${at(50)}, 9 in 10 ${at(90)}, 99 in 100 ${at(99)}, longest ${(h.maxValue / 1000).toFixed(2)} s (${h.totalCount})`,
    );
  }
  for (const of of [...new Set(days.flatMap((d) => d.least.map((r) => r.of)))].sort()) {
    const rows = days.flatMap((d) => d.least.filter((r) => r.of === of));
    const jobs = rows.reduce((n, r) => n + r.jobs, 0);
    const part = (by: 'served' | 'begun'): string =>
      `${(rows.reduce((n, r) => n + r[by] * r.jobs, 0) / jobs).toFixed(3)} (least on a day ${Math.min(...rows.map((r) => r[by])).toFixed(2)})`;
    lines.push(
      `${of}: ${jobs} jobs, served ${part('served')}, begun within four minutes ${part('begun')}, longest ${Math.max(...rows.map((r) => r.longest))} s`,
    );
  }
  for (const d of bad) lines.push(`seed ${d.seed}: ${faultsOf(d).slice(0, 3).join('; ')}`);
  return lines;
};
