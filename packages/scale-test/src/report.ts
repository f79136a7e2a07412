/** Formats the output of a scale run: progress lines, then a table or one line of JSON. */
import type { Histogram } from 'hdr-histogram-js';
import type { Progress, RunResult } from './run-model.js';

const PERCENTILES = [50, 90, 99, 100] as const;

const formatPercentiles = (histogram: Histogram): string =>
  histogram.totalCount === 0
    ? 'none'
    : PERCENTILES.map(
        (percentile) => `p${percentile} ${(histogram.getValueAtPercentile(percentile) / 1000).toFixed(2)} s`,
      ).join(', ');

const percentileFields = (histogram: Histogram): Record<string, number> =>
  Object.fromEntries(
    PERCENTILES.map((percentile) => [
      `p${percentile}Ms`,
      histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile),
    ]),
  );

/** Returns the progress line of a running test. */
export const progressLine = ({ phase, secondsLeft, machines, tasks, started }: Progress): string =>
  `${phase}, ${secondsLeft} s left: ${machines} machines, ${tasks} tasks on them, ${started} started`;

const LABEL_WIDTH = 26;
const row = (label: string, value: string): string => `${label.padEnd(LABEL_WIDTH)} ${value}\n`;

/** Formats the result as a table for people, with one line per figure. */
export const asTable = (result: RunResult): string => {
  const { counters } = result.workers;
  const perSecond = (count: number): string => (count / result.lengthS).toFixed(1);
  return [
    row(
      'measured',
      `${result.lengthS.toFixed(0)} s, ${result.machines} machines, ${result.tasksHeld} tasks held`,
    ),
    row('task starts, completions', `${result.startsPerS.toFixed(0)}, ${result.endsPerS.toFixed(0)} a second; longest pause without a start ${(result.longestPauseMs / 1000).toFixed(2)} s`), // prettier-ignore
    row('urgent work waits', `${formatPercentiles(result.users.urgentWaitMs)} (${result.users.urgentStarted} of ${result.users.urgentTasks} tasks started)`), // prettier-ignore
    row(
      'responses to heartbeats',
      `${formatPercentiles(result.answerMs)}; ${perSecond(counters.reports)} heartbeats a second`,
    ),
    row('failed heartbeats', `${counters.unanswered} without a response, ${counters.refused} rejected`),
    row('responses to submissions', `${formatPercentiles(result.users.submitMs)}; ${result.users.accepted} of ${result.users.submitted} accepted, ${result.users.retries} retries`), // prettier-ignore
    row('responses to polls', `${formatPercentiles(result.users.pollMs)}; ${result.users.polls}, ${result.users.pollsRefused} rejected, ${result.users.pollsUnanswered} without a response`), // prettier-ignore
    ...result.roles.map(
      (usage) =>
      row(usage.role, `${usage.cores.toFixed(3)} cores in ${usage.processes}, ${usage.residentMb.toFixed(0)} MB (peak ${usage.peakMb.toFixed(0)}) in the largest process`), // prettier-ignore
    ),
    row('bytes per worker', `median ${result.workerBytesPerS.median.toFixed(0)}, p99 ${result.workerBytesPerS.p99.toFixed(0)} a second`), // prettier-ignore
    row('leases lost', `${counters.leasesLost}, with ${counters.tasksKilled} tasks`),
    row('state service', `${perSecond(result.state.requests)} requests, ${perSecond(result.state.changes)} changes, ${perSecond(result.state.writtenBytes)} bytes written a second, ${result.state.refused} refused, ${result.state.rejected} rejected`), // prettier-ignore
    row('cloud', `${result.cloudCalls} calls`),
    row(
      'jobs',
      `${result.users.done} done, ${result.users.cancelled} cancelled, ${result.users.rejected} rejected`,
    ),
    row('unexpected exits', result.unexpectedEnds.length === 0 ? 'none' : result.unexpectedEnds.join('; ')),
    row('rules broken', result.violations.length === 0 ? 'none' : String(result.violations.length)),
    ...result.violations.slice(0, 10).map((violation) => row(`  ${violation.rule}`, violation.detail)),
    ...(result.stopped === null ? [] : [row('stopped early', result.stopped)]),
  ].join('');
};

/** Formats the result as one line of JSON for programs. */
export const asJson = (result: RunResult): string =>
  `${JSON.stringify({
    lengthS: result.lengthS,
    machines: result.machines,
    tasksHeld: result.tasksHeld,
    startsPerS: result.startsPerS,
    endsPerS: result.endsPerS,
    longestPauseMs: result.longestPauseMs,
    urgentWait: percentileFields(result.users.urgentWaitMs),
    urgentTasks: result.users.urgentTasks,
    urgentStarted: result.users.urgentStarted,
    answers: percentileFields(result.answerMs),
    reportsPerS: result.workers.counters.reports / result.lengthS,
    counters: result.workers.counters,
    submissions: percentileFields(result.users.submitMs),
    polls: percentileFields(result.users.pollMs),
    roles: result.roles,
    workerBytesPerS: result.workerBytesPerS,
    state: result.state,
    cloudCalls: result.cloudCalls,
    users: {
      submitted: result.users.submitted,
      accepted: result.users.accepted,
      rejected: result.users.rejected,
      done: result.users.done,
      cancelled: result.users.cancelled,
      retries: result.users.retries,
      polls: result.users.polls,
      pollsRefused: result.users.pollsRefused,
      pollsUnanswered: result.users.pollsUnanswered,
    },
    unexpectedEnds: result.unexpectedEnds,
    violations: result.violations,
    stopped: result.stopped,
  })}\n`;
