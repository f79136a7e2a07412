/** The rows of the capacity table: what each role of one region has to carry at the size's peak, and its limit. */
import type { CapacityInput } from './model.js';

export interface CapacityRow {
  readonly role: string;
  readonly what: string;
  readonly formula: string;
  /** null: not measured. */
  readonly value: number | null;
  readonly unit: string;
  /** null: none is stated. */
  readonly limit: number | null;
  readonly mechanism: string;
  readonly state: 'there' | 'missing';
}

const SECONDS_A_DAY = 86_400;
/** The protocol lets a worker report a change this often. */
const MOST_REPORTS_A_WORKER = 2;
/** What a turn's computing may take of the leader's time, and the gap after one that left something (leadership/leader-session.ts). */
const TURN_PART = 0.25;
const TURN_GAP_S = 0.25;
/** A transaction's part that records may fill, and a value's (scheduler/draft.ts). */
const TRANSACTION_BYTES = 64 * 1024 * 0.92;
const VALUE_PART = 0.85;
const BYTES_A_KB = 1024;
/** Changes of a job that is not a record's: accepted, and moved to its final key. */
const CHANGES_A_JOB = 3;
/** Of a controller's sockets, what users and workers may have (main.ts). */
const SOCKETS_FOR_USERS = 0.8;
/** The leader lists the cloud's machines so often, so many at a time. */
const LIST_EVERY_S = 3;
const LIST_PAGE = 500;
const CORES_A_POLL = 0.00035;
const POLL_EVERY_S = 5;
/** A job at the peak is open for about three runs of its tasks: an assumption. */
const JOB_OPEN_S = 60;

/** One region's part at the peak, worked out from the size. */
const regionOf = ({ size }: CapacityInput) => {
  const workers = size('workers') / size('regions');
  const starts = size('starts_a_second') / size('regions');
  const tasks = size('running_tasks') / size('regions');
  const jobs = ((size('jobs_a_day') / SECONDS_A_DAY) * size('peak_of_jobs')) / size('regions');
  return { workers, starts, tasks, jobs };
};

const leaderRows = (input: CapacityInput): CapacityRow[] => {
  const { size, slope } = input;
  const { workers, starts, tasks, jobs } = regionOf(input);
  const reports = workers * slope('reports_a_worker');
  const turnS = TURN_GAP_S + slope('turn_ms') / 1000;
  const valueBytes = size('state_value_kb') * BYTES_A_KB * VALUE_PART;
  const recordsATurn = Math.ceil((starts * turnS * slope('record_bytes_a_start')) / valueBytes);
  return [
    {
      role: 'leader',
      what: 'processor time',
      formula: 'rest + workers x reports_a_worker x a_report + starts x a_start',
      value:
        slope('leader_cores_at_rest') +
        reports * slope('leader_cores_a_report') +
        starts * slope('leader_cores_a_start'),
      unit: 'cores',
      limit: size('controller_cores'),
      mechanism: 'each controller keeps its own workers and sends on what is news',
      state: 'missing',
    },
    {
      role: 'leader',
      what: 'reports taken in',
      formula: 'workers x reports_a_worker x a_report',
      value: reports * slope('leader_cores_a_report'),
      unit: 'cores',
      limit: size('controller_cores'),
      mechanism: 'reports passed on in batches; the same again is read once (ReportReader)',
      state: 'there',
    },
    {
      role: 'leader',
      what: 'a cycle',
      formula: 'turn_ms, each second of starts in turns of a quarter of a core',
      value: slope('turn_ms'),
      unit: 'ms',
      limit: ((TURN_GAP_S * TURN_PART) / (1 - TURN_PART)) * 1000,
      mechanism: 'teams in a heap, machines ranked by what changed, evicted tasks in columns',
      state: 'there',
    },
    {
      role: 'leader',
      what: 'memory',
      formula: 'rest + tasks x a_task',
      value: slope('leader_mb_at_rest') + tasks * slope('leader_mb_a_task'),
      unit: 'MB',
      limit: size('controller_memory_mb'),
      mechanism: 'heap by the settings; near its limit no new jobs, then no starts',
      state: 'there',
    },
    {
      role: 'state service',
      what: 'bytes of one turn',
      formula: 'starts x turn x record_bytes_a_start',
      value: starts * turnS * slope('record_bytes_a_start'),
      unit: 'bytes',
      limit: TRANSACTION_BYTES,
      mechanism: 'several records in one transaction, arrays started in part',
      state: 'there',
    },
    {
      role: 'state service',
      what: 'changes',
      formula: 'records of a turn / turn + 3 x jobs',
      value: recordsATurn / turnS + CHANGES_A_JOB * jobs,
      unit: 'a second',
      limit: size('state_writes_a_second'),
      mechanism: 'one record for thousands of tasks; folding when the rate has room',
      state: 'there',
    },
    {
      role: 'state service',
      what: 'requests',
      formula: 'state_requests',
      value: slope('state_requests'),
      unit: 'a second',
      limit: size('state_requests_a_second'),
      mechanism: 'one watch for each controller',
      state: 'there',
    },
    {
      role: 'state service',
      what: 'bytes of watches',
      formula: 'starts x follow_bytes_a_start',
      value: starts * slope('follow_bytes_a_start'),
      unit: 'bytes a second',
      limit: null,
      mechanism: 'every controller reads every record',
      state: 'there',
    },
    {
      role: 'cloud',
      what: 'calls for the list',
      formula: 'workers / 500 / 3 s',
      value: Math.ceil(workers / LIST_PAGE) / LIST_EVERY_S,
      unit: 'a second',
      limit: size('cloud_calls_a_second'),
      mechanism: 'pages of 500, every 3 s',
      state: 'there',
    },
  ];
};

const otherRows = (input: CapacityInput): CapacityRow[] => {
  const { size, slope } = input;
  const { workers, tasks, jobs } = regionOf(input);
  const followers = size('controllers_a_region') - 1;
  const reports = workers * slope('reports_a_worker');
  return [
    {
      role: 'other controllers',
      what: 'processor time of each',
      formula: '(rest + reports x a_report) / others',
      value:
        (slope('followers_cores_at_rest') + reports * slope('followers_cores_a_report')) / followers +
        (CORES_A_POLL * jobs * JOB_OPEN_S) / POLL_EVERY_S / followers,
      unit: 'cores',
      limit: size('controller_cores'),
      mechanism: 'reports as raw bytes, answers as the leader gave them',
      state: 'there',
    },
    {
      role: 'other controllers',
      what: 'memory',
      formula: 'rest + tasks x a_task',
      value: slope('follower_mb_at_rest') + tasks * slope('follower_mb_a_task'),
      unit: 'MB',
      limit: size('controller_memory_mb'),
      mechanism: 'jobs and placements from the watch; no worker registry',
      state: 'there',
    },
    {
      role: 'other controllers',
      what: 'sockets, one away',
      formula: 'workers / (others - 1) + open jobs',
      value: workers / (followers - 1) + jobs * JOB_OPEN_S,
      unit: 'sockets',
      limit: size('controller_sockets') * SOCKETS_FOR_USERS,
      mechanism: 'workers spread over the controllers by name',
      state: 'there',
    },
    {
      role: 'worker',
      what: 'bytes at most',
      formula: '2 a second x report_bytes',
      value: MOST_REPORTS_A_WORKER * slope('report_bytes'),
      unit: 'bytes a second',
      limit: size('worker_bytes_a_second'),
      mechanism: 'one connection, one report in flight',
      state: 'there',
    },
    {
      role: 'worker',
      what: 'bytes, tasks of 80 s',
      formula: 'worker_bytes_calm',
      value: slope('worker_bytes_calm'),
      unit: 'bytes a second',
      limit: size('worker_bytes_a_second'),
      mechanism: 'one connection, one report in flight',
      state: 'there',
    },
    {
      role: 'worker',
      what: 'processor time and memory',
      formula: 'not measured: workers are not ours',
      value: null,
      unit: 'cores, MB',
      limit: size('worker_cores'),
      mechanism: 'the protocol asks for a report and its answer',
      state: 'there',
    },
    {
      role: 'regions',
      what: 'limits of teams over regions',
      formula: 'not measured: there is one region',
      value: null,
      unit: '',
      limit: null,
      mechanism: 'quota shares moved by durable steps, the giver first (docs/scale.md)',
      state: 'missing',
    },
    {
      role: 'regions',
      what: 'changes of configuration',
      formula: 'configuration_changes_a_day',
      value: null,
      unit: 'in force within 4 s',
      limit: size('configuration_within_s'),
      mechanism: 'configuration versions in the state service (docs/scale.md)',
      state: 'missing',
    },
  ];
};

/** How many times the limit; null: that is not known. */
export const timesOver = ({ value, limit }: CapacityRow): number | null =>
  value === null || limit === null ? null : value / limit;

/** All rows, those that are furthest over their limit first; then what has no figure. */
export const capacityRows = (input: CapacityInput): CapacityRow[] =>
  [...leaderRows(input), ...otherRows(input)].sort((a, b) => (timesOver(b) ?? -1) - (timesOver(a) ?? -1));
