/** What a scale run prints: progress while it goes on, then a table, or one line of JSON. */
import type { Histogram } from 'hdr-histogram-js';
import type { Progress, RunResult } from './run.js';

const PERCENTILES = [50, 90, 99, 100] as const;

const percentiles = (h: Histogram): string =>
  h.totalCount === 0
    ? 'none'
    : PERCENTILES.map((p) => `p${p} ${(h.getValueAtPercentile(p) / 1000).toFixed(2)} s`).join(', ');

const percentileFields = (h: Histogram): Record<string, number> =>
  Object.fromEntries(PERCENTILES.map((p) => [`p${p}Ms`, h.totalCount === 0 ? 0 : h.getValueAtPercentile(p)]));

export const progressLine = (p: Progress): string =>
  `${p.phase}, ${p.secondsLeft} s left: ${p.machines} machines, ${p.tasks} tasks on them, ${p.started} started`;

const LABEL_WIDTH = 26;
const row = (label: string, value: string): string => `${label.padEnd(LABEL_WIDTH)} ${value}\n`;

export const asTable = (r: RunResult): string => {
  const { counters } = r.workers;
  const perS = (n: number): string => (n / r.lengthS).toFixed(1);
  return [
    row('measured', `${r.lengthS.toFixed(0)} s, ${r.machines} machines, ${r.tasksHeld} tasks held`),
    row('task starts, ends', `${r.startsPerS.toFixed(0)}, ${r.endsPerS.toFixed(0)} a second; longest pause without a start ${(r.longestPauseMs / 1000).toFixed(2)} s`), // prettier-ignore
    row('urgent work waits', `${percentiles(r.users.urgentWaitMs)} (${r.users.urgentStarted} of ${r.users.urgentTasks} tasks started)`), // prettier-ignore
    row('answers to reports', `${percentiles(r.answerMs)}; ${perS(counters.reports)} reports a second`),
    row('reports not answered', `${counters.unanswered} without, ${counters.refused} refused`),
    row('answers to submissions', `${percentiles(r.users.submitMs)}; ${r.users.accepted} of ${r.users.submitted} accepted, ${r.users.retries} retries`), // prettier-ignore
    row('answers to polls', `${percentiles(r.users.pollMs)}; ${r.users.polls}, ${r.users.pollsRefused} refused, ${r.users.pollsUnanswered} without`), // prettier-ignore
    ...r.roles.map(
      (u) =>
      row(u.role, `${u.cores.toFixed(3)} cores in ${u.processes}, ${u.residentMb.toFixed(0)} MB (peak ${u.peakMb.toFixed(0)}) in the largest`), // prettier-ignore
    ),
    row('bytes of a worker', `median ${r.workerBytesPerS.median.toFixed(0)}, p99 ${r.workerBytesPerS.p99.toFixed(0)} a second`), // prettier-ignore
    row('leases lost', `${counters.leasesLost}, with ${counters.tasksKilled} tasks`),
    row('state service', `${perS(r.state.requests)} requests, ${perS(r.state.changes)} changes, ${perS(r.state.writtenBytes)} bytes written a second, ${r.state.refused} refused`), // prettier-ignore
    row('cloud', `${r.cloudCalls} calls`),
    row('jobs', `${r.users.done} done, ${r.users.cancelled} cancelled, ${r.users.rejected} rejected`),
    row('controllers that ended', r.unexpectedEnds.length === 0 ? 'none' : r.unexpectedEnds.join('; ')),
    row('rules broken', r.violations.length === 0 ? 'none' : String(r.violations.length)),
    ...r.violations.slice(0, 10).map((v) => row(`  ${v.rule}`, v.detail)),
    ...(r.stopped === null ? [] : [row('stopped early', r.stopped)]),
  ].join('');
};

export const asJson = (r: RunResult): string =>
  `${JSON.stringify({
    lengthS: r.lengthS,
    machines: r.machines,
    tasksHeld: r.tasksHeld,
    startsPerS: r.startsPerS,
    endsPerS: r.endsPerS,
    longestPauseMs: r.longestPauseMs,
    urgentWait: percentileFields(r.users.urgentWaitMs),
    urgentTasks: r.users.urgentTasks,
    urgentStarted: r.users.urgentStarted,
    answers: percentileFields(r.answerMs),
    reportsPerS: r.workers.counters.reports / r.lengthS,
    counters: r.workers.counters,
    submissions: percentileFields(r.users.submitMs),
    polls: percentileFields(r.users.pollMs),
    roles: r.roles,
    workerBytesPerS: r.workerBytesPerS,
    state: r.state,
    cloudCalls: r.cloudCalls,
    users: {
      submitted: r.users.submitted,
      accepted: r.users.accepted,
      rejected: r.users.rejected,
      done: r.users.done,
      cancelled: r.users.cancelled,
      retries: r.users.retries,
      polls: r.users.polls,
      pollsRefused: r.users.pollsRefused,
      pollsUnanswered: r.users.pollsUnanswered,
    },
    unexpectedEnds: r.unexpectedEnds,
    violations: r.violations,
    stopped: r.stopped,
  })}\n`;
