/** The rows of the capacity table: load of each role of one region at the peak of the planned size, and its limit. */
import type { CapacityInput } from './model.js';

/** The load of a role on one resource. */
export interface CapacityRow {
  readonly role: string;
  readonly quantity: string;
  readonly formula: string;
  /** The load at the planned size; null if it was not measured. */
  readonly value: number | null;
  readonly unit: string;
  /** The limit of the load; null if none is specified. */
  readonly limit: number | null;
  readonly mechanism: string;
  readonly state: 'there' | 'missing';
}

const SECONDS_PER_DAY = 86_400;
/** Maximum heartbeats per second of one worker that the protocol allows when its tasks change. */
const MAX_HEARTBEATS_PER_WORKER = 2;
/** Maximum fraction of the leader's time for scheduling cycles, and the interval after a cycle that left work. */
const MAX_CYCLE_FRACTION = 0.25;
const CYCLE_INTERVAL_S = 0.25;
/** Bytes of a transaction, and fraction of a value, that log entries may fill. */
const MAX_ENTRY_BYTES_PER_TRANSACTION = 64 * 1024 * 0.92;
const VALUE_FILL_FRACTION = 0.85;
const BYTES_PER_KB = 1024;
/** Changes of the state service per job apart from log entries: its acceptance, and the move to its final key. */
const CHANGES_PER_JOB = 3;
/** Fraction of a controller's sockets that users and workers may use. */
const CLIENT_SOCKET_FRACTION = 0.8;
/** Interval at which the leader lists the cloud's machines, and the number of machines per page. */
const LIST_INTERVAL_S = 3;
const LIST_PAGE_SIZE = 500;
const CORES_PER_POLL = 0.00035;
const POLL_INTERVAL_S = 5;
/** Assumed time from a job's submission to its end at the peak: about three times the run time of its tasks. */
const JOB_DURATION_S = 60;

/** Returns the load of one region at the peak. */
const regionLoad = ({ size }: CapacityInput) => {
  const workers = size('workers') / size('regions');
  const starts = size('starts_a_second') / size('regions');
  const tasks = size('running_tasks') / size('regions');
  const jobs = ((size('jobs_a_day') / SECONDS_PER_DAY) * size('peak_of_jobs')) / size('regions');
  return { workers, starts, tasks, jobs };
};

const leaderRows = (input: CapacityInput): CapacityRow[] => {
  const { size, slope } = input;
  const { workers, starts, tasks } = regionLoad(input);
  const heartbeats = workers * slope('reports_a_worker');
  return [
    {
      role: 'leader',
      quantity: 'processor time',
      formula: 'rest + workers x reports_a_worker x a_report + starts x a_start',
      value:
        slope('leader_cores_at_rest') +
        heartbeats * slope('leader_cores_a_report') +
        starts * slope('leader_cores_a_start'),
      unit: 'cores',
      limit: size('controller_cores'),
      mechanism: 'each controller keeps its own workers and sends on what is news',
      state: 'missing',
    },
    {
      role: 'leader',
      quantity: 'reports taken in',
      formula: 'workers x reports_a_worker x a_report',
      value: heartbeats * slope('leader_cores_a_report'),
      unit: 'cores',
      limit: size('controller_cores'),
      mechanism: 'reports passed on in batches; the same again is read once (ReportReader)',
      state: 'there',
    },
    {
      role: 'leader',
      quantity: 'a cycle',
      formula: 'turn_ms, each second of starts in turns of a quarter of a core',
      value: slope('turn_ms'),
      unit: 'ms',
      limit: ((CYCLE_INTERVAL_S * MAX_CYCLE_FRACTION) / (1 - MAX_CYCLE_FRACTION)) * 1000,
      mechanism: 'teams in a heap, machines ranked by what changed, evicted tasks in columns',
      state: 'there',
    },
    {
      role: 'leader',
      quantity: 'memory',
      formula: 'rest + tasks x a_task',
      value: slope('leader_mb_at_rest') + tasks * slope('leader_mb_a_task'),
      unit: 'MB',
      limit: size('controller_memory_mb'),
      mechanism: 'heap by the settings; near its limit no new jobs, then no starts',
      state: 'there',
    },
  ];
};

const stateServiceRows = (input: CapacityInput): CapacityRow[] => {
  const { size, slope } = input;
  const { starts, jobs } = regionLoad(input);
  const cycleS = CYCLE_INTERVAL_S + slope('turn_ms') / 1000;
  const valueBytes = size('state_value_kb') * BYTES_PER_KB * VALUE_FILL_FRACTION;
  const entriesPerCycle = Math.ceil((starts * cycleS * slope('record_bytes_a_start')) / valueBytes);
  return [
    {
      role: 'state service',
      quantity: 'bytes of one turn',
      formula: 'starts x turn x record_bytes_a_start',
      value: starts * cycleS * slope('record_bytes_a_start'),
      unit: 'bytes',
      limit: MAX_ENTRY_BYTES_PER_TRANSACTION,
      mechanism: 'several records in one transaction, arrays started in part',
      state: 'there',
    },
    {
      role: 'state service',
      quantity: 'changes',
      formula: 'records of a turn / turn + 3 x jobs',
      value: entriesPerCycle / cycleS + CHANGES_PER_JOB * jobs,
      unit: 'a second',
      limit: size('state_writes_a_second'),
      mechanism: 'one record for thousands of tasks; folding when the rate has room',
      state: 'there',
    },
    {
      role: 'state service',
      quantity: 'requests',
      formula: 'state_requests',
      value: slope('state_requests'),
      unit: 'a second',
      limit: size('state_requests_a_second'),
      mechanism: 'one watch for each controller',
      state: 'there',
    },
    {
      role: 'state service',
      quantity: 'bytes of watches',
      formula: 'starts x follow_bytes_a_start',
      value: starts * slope('follow_bytes_a_start'),
      unit: 'bytes a second',
      limit: null,
      mechanism: 'every controller reads every record',
      state: 'there',
    },
  ];
};

const cloudRows = (input: CapacityInput): CapacityRow[] => {
  const { size } = input;
  const { workers } = regionLoad(input);
  return [
    {
      role: 'cloud',
      quantity: 'calls for the list',
      formula: 'workers / 500 / 3 s',
      value: Math.ceil(workers / LIST_PAGE_SIZE) / LIST_INTERVAL_S,
      unit: 'a second',
      limit: size('cloud_calls_a_second'),
      mechanism: 'pages of 500, every 3 s',
      state: 'there',
    },
  ];
};

const followerRows = (input: CapacityInput): CapacityRow[] => {
  const { size, slope } = input;
  const { workers, tasks, jobs } = regionLoad(input);
  const followers = size('controllers_a_region') - 1;
  const heartbeats = workers * slope('reports_a_worker');
  return [
    {
      role: 'other controllers',
      quantity: 'processor time of each',
      formula: '(rest + reports x a_report) / others',
      value:
        (slope('followers_cores_at_rest') + heartbeats * slope('followers_cores_a_report')) / followers +
        (CORES_PER_POLL * jobs * JOB_DURATION_S) / POLL_INTERVAL_S / followers,
      unit: 'cores',
      limit: size('controller_cores'),
      mechanism: 'reports as raw bytes, answers as the leader gave them',
      state: 'there',
    },
    {
      role: 'other controllers',
      quantity: 'memory',
      formula: 'rest + tasks x a_task',
      value: slope('follower_mb_at_rest') + tasks * slope('follower_mb_a_task'),
      unit: 'MB',
      limit: size('controller_memory_mb'),
      mechanism: 'jobs and placements from the watch; no worker registry',
      state: 'there',
    },
    {
      role: 'other controllers',
      quantity: 'sockets, one away',
      formula: 'workers / (others - 1) + open jobs',
      value: workers / (followers - 1) + jobs * JOB_DURATION_S,
      unit: 'sockets',
      limit: size('controller_sockets') * CLIENT_SOCKET_FRACTION,
      mechanism: 'workers spread over the controllers by name',
      state: 'there',
    },
  ];
};

const workerRows = ({ size, slope }: CapacityInput): CapacityRow[] => [
  {
    role: 'worker',
    quantity: 'bytes at most',
    formula: '2 a second x report_bytes',
    value: MAX_HEARTBEATS_PER_WORKER * slope('report_bytes'),
    unit: 'bytes a second',
    limit: size('worker_bytes_a_second'),
    mechanism: 'one connection, one report in flight',
    state: 'there',
  },
  {
    role: 'worker',
    quantity: 'bytes, tasks of 80 s',
    formula: 'worker_bytes_calm',
    value: slope('worker_bytes_calm'),
    unit: 'bytes a second',
    limit: size('worker_bytes_a_second'),
    mechanism: 'one connection, one report in flight',
    state: 'there',
  },
  {
    role: 'worker',
    quantity: 'processor time and memory',
    formula: 'not measured: workers are not ours',
    value: null,
    unit: 'cores, MB',
    limit: size('worker_cores'),
    mechanism: 'the protocol asks for a report and its answer',
    state: 'there',
  },
];

const regionRows = ({ size }: CapacityInput): CapacityRow[] => [
  {
    role: 'regions',
    quantity: 'limits of teams over regions',
    formula: 'not measured: there is one region',
    value: null,
    unit: '',
    limit: null,
    mechanism: 'quota shares moved by durable steps, the giver first (docs/scale.md)',
    state: 'missing',
  },
  {
    role: 'regions',
    quantity: 'changes of configuration',
    formula: 'configuration_changes_a_day',
    value: null,
    unit: 'in force within 4 s',
    limit: size('configuration_within_s'),
    mechanism: 'configuration versions in the state service (docs/scale.md)',
    state: 'missing',
  },
];

/** Returns the load divided by its limit; null if either is unknown. */
export const limitRatio = ({ value, limit }: CapacityRow): number | null =>
  value === null || limit === null ? null : value / limit;

/** Returns all rows, sorted by the ratio of load to limit in descending order; rows without a ratio are last. */
export const capacityRows = (input: CapacityInput): CapacityRow[] =>
  [leaderRows, stateServiceRows, cloudRows, followerRows, workerRows, regionRows]
    .flatMap((createRows) => createRows(input))
    .sort((first, second) => (limitRatio(second) ?? -1) - (limitRatio(first) ?? -1));
