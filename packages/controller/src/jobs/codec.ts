/** The stored forms of jobs, final states and log entries. Their names occur here only. */
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeUsage, encodeUsage, type StoredUsage } from '../accounts/codec.js';
import {
  decodeLoans,
  decodeLoanChanges,
  encodeLoans,
  encodeLoanChanges,
  type StoredLoans,
  type StoredLoanChanges,
} from '../lending/codec.js';
import { jsonBytes } from '../state-store/transaction-limits.js';
import { packFinalState, unpackFinalState } from './final-states.js';
import { decodeRanges, encodeRanges } from './ranges.js';
import {
  type LogEntry,
  type FinalState,
  type Job,
  type JobChange,
  NO_HEADER,
  type LogEntryHeader,
  type Shape,
  type Urgency,
} from './model.js';

/** The stored form of a job, as the value of the job's own key or as an item of a bundle. */
export interface StoredJob {
  /** Job class. */
  readonly c: string;
  /** Team. */
  readonly o: string;
  readonly s: Shape;
  readonly u: Urgency;
  /** Number of tasks. */
  readonly n: number;
  /** Resources of one task: CPUs, GPUs, GB of memory. */
  readonly r: readonly [number, number, number];
  /** Image: name, GB. */
  readonly i: readonly [string, number];
  /** Allowed machine types; null: all. */
  readonly h: readonly string[] | null;
  readonly z: string | null;
  /** Flags: one zone, spread, spot. */
  readonly b: readonly [0 | 1, 0 | 1, 0 | 1];
  /** Microseconds: estimate, checkpoint, save. */
  readonly e: readonly [number, number, number];
  /** Microseconds from submission to the deadline; null: none. */
  readonly l: number | null;
  /** Time of day of the submission, in microseconds. */
  readonly t: number;
  /** Present: the job is cancelled. */
  readonly w?: 1;
  /** Only with `w`: `Job.cancelledFirst`. */
  readonly v?: 1;
  /** `Job.compactedTo`. */
  readonly f?: number;
  /** The highest attempt number used. */
  readonly a?: number;
  /** Ranges of completed tasks. */
  readonly d?: string;
  /**
   * Placements by machine: attempt, ranges of tasks, and microseconds from the submission to the log entry that started
   * them. Without the last: not known.
   */
  readonly p?: Readonly<Record<string, readonly (readonly [number, string, number?])[]>>;
  /** Machines on which tasks of the job failed. */
  readonly x?: readonly string[];
  /** The cutoff occurrence that the job is bound to. */
  readonly k?: string;
  /** `Job.cutoffRisk`. */
  readonly q?: number;
  readonly g?: StoredLoans;
  /** `Job.preemptedForServices`. */
  readonly y?: number;
}
const isNumbers = (value: unknown, length: number): boolean =>
  Array.isArray(value) && value.length === length && value.every((item) => Number.isFinite(item));
/** Checks the fields that decoding relies on: a store that has lost data may also return damaged values. */
const isStoredJob = (value: StoredJob | null): boolean =>
  typeof value === 'object' &&
  value !== null &&
  typeof value.c === 'string' &&
  typeof value.o === 'string' &&
  Number.isSafeInteger(value.n) &&
  isNumbers(value.r, 3) &&
  isNumbers(value.b, 3) &&
  isNumbers(value.e, 3) &&
  Array.isArray(value.i) &&
  Number.isSafeInteger(value.t);
const flag = (isSet: boolean): 0 | 1 => (isSet ? 1 : 0);

/** The stored form of a job's placements. Without `withStartTimes` they are stored as started at an unknown time. */
const encodePlacements = (job: Job, withStartTimes: boolean): NonNullable<StoredJob['p']> => {
  const p: Record<string, [number, string, number?][]> = {};
  // Tasks that one log entry started on one machine have the same attempt and time, and are stored as one group.
  const groupsByMachine = new Map<
    string,
    { readonly attempt: number; readonly since: Micros; tasks: number[] }[]
  >();
  for (const { attempt, machine, since: startedAt, task } of job.placed.values()) {
    const since = withStartTimes ? startedAt : (0 as Micros);
    let groups = groupsByMachine.get(machine);
    if (!groups) groupsByMachine.set(machine, (groups = []));
    const group = groups.find((g) => g.attempt === attempt && g.since === since);
    if (group) group.tasks.push(task);
    else groups.push({ attempt, since, tasks: [task] });
  }
  for (const [machine, groups] of groupsByMachine) {
    p[machine] = groups.map(({ attempt, since, tasks }) =>
      since === 0
        ? [attempt, encodeRanges(tasks)]
        : [attempt, encodeRanges(tasks), since - job.spec.submitted],
    );
  }
  return p;
};

/**
 * The stored form of a job. `compactedTo`: the last log entry that is included in `job`. `withStartTimes`: whether it holds
 * when each placed task was started.
 */
export const encodeJob = (job: Job, compactedTo: number, withStartTimes = true): StoredJob => {
  const jobSpec = job.spec;
  return {
    c: jobSpec.jobClass,
    o: jobSpec.team,
    s: jobSpec.shape,
    u: jobSpec.urgency,
    n: jobSpec.tasks,
    r: [jobSpec.cpus, jobSpec.gpus, jobSpec.memGb],
    i: [jobSpec.image, jobSpec.imageGb],
    h: jobSpec.types,
    z: jobSpec.zone,
    b: [flag(jobSpec.oneZone), flag(jobSpec.spread), flag(jobSpec.spot)],
    e: [jobSpec.estimate, jobSpec.checkpoint, jobSpec.save],
    l: jobSpec.deadline,
    t: jobSpec.submitted,
    ...(job.cancelled ? { w: 1 as const } : {}),
    ...(job.cancelled && job.cancelledFirst ? { v: 1 as const } : {}),
    ...(compactedTo > 0 ? { f: compactedTo } : {}),
    ...(job.attempt > 0 ? { a: job.attempt } : {}),
    ...(job.completed.size > 0 ? { d: encodeRanges(job.completed) } : {}),
    ...(job.placed.size > 0 ? { p: encodePlacements(job, withStartTimes) } : {}),
    ...(job.failedOn.size > 0 ? { x: [...job.failedOn] } : {}),
    ...(jobSpec.cutoffBinding === null ? {} : { k: jobSpec.cutoffBinding }),
    ...(job.cutoffRisk ? { q: job.cutoffRisk } : {}),
    ...(job.loans.size > 0 ? { g: encodeLoans(job.loans, jobSpec.submitted) } : {}),
    ...(job.preemptedForServices > 0 ? { y: job.preemptedForServices } : {}),
  };
};

/** A value with its size as JSON. */
export interface SizedValue<A> {
  readonly value: A;
  readonly bytes: number;
}
const sized = <A>(value: A): SizedValue<A> => ({ value, bytes: jsonBytes(value) });

/**
 * The stored form of a job in at most `maxBytes` of JSON. The start times of the placed tasks are left out if they do not
 * fit: only the accounts need them, and count such tasks as started at an unknown time. null: the job does not fit even so.
 */
export const encodeJobWithin = (
  job: Job,
  compactedTo: number,
  maxBytes: number,
): SizedValue<StoredJob> | null => {
  const complete = sized(encodeJob(job, compactedTo));
  if (complete.bytes <= maxBytes) return complete;
  const withoutStartTimes = sized(encodeJob(job, compactedTo, false));
  return withoutStartTimes.bytes <= maxBytes ? withoutStartTimes : null;
};

/**
 * A job's stored value with the mark of its cancellation. The log entries that are not compacted into the value still apply.
 * Machine types are left out if the mark does not fit into `maxBytes`, since no further task of the job is started.
 */
export const cancelStoredJob = (value: unknown, maxBytes: number): unknown => {
  const cancelled: StoredJob = { ...(value as StoredJob), w: 1 };
  return jsonBytes(cancelled) <= maxBytes ? cancelled : { ...cancelled, h: null };
};

/** Decodes the stored form of a job. Throws on a value that `encodeJob` can't have written. */
export const decodeJob = (id: string, value: unknown, revision: number): Job => {
  const stored = value as StoredJob;
  if (!isStoredJob(stored)) throw new Error(`the stored value of ${id} is not a job`);
  const placed: Job['placed'] = new Map();
  for (const [machine, groups] of Object.entries(stored.p ?? {})) {
    for (const [attempt, ranges, sinceSubmission] of groups) {
      const since = (sinceSubmission === undefined ? 0 : stored.t + sinceSubmission) as Micros;
      for (const task of decodeRanges(ranges)) placed.set(task, { task, attempt, machine, since });
    }
  }
  return {
    spec: {
      id,
      jobClass: stored.c,
      team: stored.o,
      shape: stored.s,
      urgency: stored.u,
      tasks: stored.n,
      cpus: stored.r[0],
      gpus: stored.r[1],
      memGb: stored.r[2],
      image: stored.i[0],
      imageGb: stored.i[1],
      types: stored.h,
      zone: stored.z,
      oneZone: stored.b[0] === 1,
      spread: stored.b[1] === 1,
      spot: stored.b[2] === 1,
      estimate: stored.e[0] as Micros,
      checkpoint: stored.e[1] as Micros,
      save: stored.e[2] as Micros,
      deadline: stored.l as Micros | null,
      submitted: stored.t as Micros,
      cutoffBinding: typeof stored.k === 'string' ? stored.k : null,
    },
    cancelled: stored.w === 1,
    ...(stored.v === 1 ? { cancelledFirst: true } : {}),
    attempt: stored.a ?? 0,
    completed: new Set(decodeRanges(stored.d ?? '')),
    placed,
    failedOn: new Set(stored.x ?? []),
    loans: decodeLoans(stored.g, stored.t as Micros),
    preemptedForServices: stored.y ?? 0,
    revision,
    compactedTo: stored.f ?? 0,
    lastSequence: stored.f ?? 0,
    ...(stored.q === undefined ? {} : { cutoffRisk: stored.q }),
  };
};

export const encodeFinalState = (state: FinalState): unknown => [
  state.status === 'done' ? 1 : 0,
  state.tasks,
];
/** Throws on a value that `encodeFinalState` can't have written. */
export const decodeFinalState = (value: unknown): FinalState => {
  if (!isNumbers(value, 2)) throw new Error('a stored final state is not a pair of numbers');
  const [isDone, tasks] = value as [number, number];
  return { status: isDone === 1 ? 'done' : 'cancelled', tasks };
};

/** Encodes several rebuilt jobs into one value. */
export const encodeBundle = (jobs: readonly Job[]): unknown =>
  Object.fromEntries(jobs.map((job) => [job.spec.id, encodeJob(job, job.lastSequence)]));
export const decodeBundle = (value: unknown): Job[] =>
  Object.entries(value as Record<string, unknown>).map(([id, stored]) => decodeJob(id, stored, 0));

/** Encodes several final states, by job id, into one value. */
export const encodeFinalStates = (finals: readonly (readonly [string, FinalState])[]): unknown =>
  Object.fromEntries(finals.map(([id, state]) => [id, packFinalState(state)]));
export const decodeFinalStates = (value: unknown): [string, FinalState][] =>
  Object.entries(value as Record<string, number>).map(([id, packed]) => [id, unpackFinalState(packed)]);

/** An orphaned job: workers report tasks of it, and neither the store nor any controller knows it. Stored as it is. */
export interface OrphanedJob {
  /** Time of day of the first report of one of its tasks, in microseconds. */
  readonly since: number;
  /** Number of its tasks that workers have reported. */
  readonly tasks: number;
}

/** The stored form of `JobChange`. */
type StoredChange = {
  /** Ranges of tasks that completed. */
  d?: string;
  /** Ranges of tasks that exited without completing. */
  g?: string;
  /** Ranges of tasks that failed. */
  x?: string;
  /** The attempt number of the started tasks. */
  a?: number;
  /** Ranges of started tasks by machine. */
  p?: Record<string, string>;
  /** `JobChange.cutoffRisk`. */
  q?: number;
  /** Borrowed GPUs. */
  l?: StoredLoanChanges;
  /** Returned GPUs. */
  r?: StoredLoanChanges;
  /** `JobChange.preemptedForServices`. */
  y?: number;
};

export const encodeChange = (change: JobChange): StoredChange => ({
  ...(change.completed?.length ? { d: encodeRanges(change.completed) } : {}),
  ...(change.exited?.length ? { g: encodeRanges(change.exited) } : {}),
  ...(change.failed?.length ? { x: encodeRanges(change.failed) } : {}),
  ...(change.start
    ? {
        a: change.start.attempt,
        p: Object.fromEntries([...change.start.on].map(([machine, tasks]) => [machine, encodeRanges(tasks)])),
      }
    : {}),
  ...(change.cutoffRisk === undefined ? {} : { q: change.cutoffRisk }),
  ...(change.lend?.length ? { l: encodeLoanChanges(change.lend) } : {}),
  ...(change.repay?.length ? { r: encodeLoanChanges(change.repay) } : {}),
  ...(change.preemptedForServices ? { y: change.preemptedForServices } : {}),
});

/** The field of a stored log entry that holds its header, beside one field for each changed job; not a valid job id. */
const HEADER = '@';
interface StoredHeader extends StoredUsage {
  /** Time of day, in microseconds. */
  readonly t: number;
  /** Version of the calendar; absent: none. */
  readonly c?: number;
}

const optionalText = (value: unknown): boolean => value === undefined || typeof value === 'string';
/** Checks the fields that decoding relies on: otherwise an unreadable change would pass for one that changes nothing. */
const isStoredChange = (change: StoredChange | null): boolean =>
  typeof change === 'object' &&
  change !== null &&
  optionalText(change.d) &&
  optionalText(change.g) &&
  optionalText(change.x) &&
  (change.a === undefined
    ? change.p === undefined
    : Number.isSafeInteger(change.a) &&
      Object.values(change.p ?? {}).every((ranges) => typeof ranges === 'string'));

const decodeHeader = (stored: StoredHeader | undefined): LogEntryHeader =>
  stored !== undefined && Number.isSafeInteger(stored.t)
    ? { at: stored.t as Micros, calendar: stored.c ?? 0, usage: decodeUsage(stored) }
    : NO_HEADER;

/** Throws on a value that `encodeChange` can't have written. */
const decodeChange = (stored: StoredChange): JobChange => {
  if (!isStoredChange(stored)) throw new Error('a log entry contains a damaged change of a job');
  return {
    completed: stored.d === undefined ? undefined : decodeRanges(stored.d),
    exited: stored.g === undefined ? undefined : decodeRanges(stored.g),
    failed: stored.x === undefined ? undefined : decodeRanges(stored.x),
    start:
      stored.a === undefined
        ? undefined
        : {
            attempt: stored.a,
            on: new Map(
              Object.entries(stored.p ?? {}).map(([machine, ranges]) => [machine, decodeRanges(ranges)]),
            ),
          },
    ...(stored.q === undefined ? {} : { cutoffRisk: stored.q }),
    lend: decodeLoanChanges(stored.l),
    repay: decodeLoanChanges(stored.r),
    preemptedForServices: stored.y,
  };
};

/** The stored form of a log entry with these changes by job id. */
export const encodeLogEntry = (jobs: ReadonlyMap<string, JobChange>, head: LogEntryHeader): unknown => ({
  ...Object.fromEntries([...jobs].map(([id, change]) => [id, encodeChange(change)])),
  [HEADER]: {
    t: head.at,
    ...(head.calendar > 0 ? { c: head.calendar } : {}),
    ...encodeUsage(head.usage),
  } satisfies StoredHeader,
});

/** Throws if one of the entry's changes is damaged. */
export const decodeLogEntry = (sequence: number, value: unknown, revision: number): LogEntry => {
  const { [HEADER]: head, ...changes } = value as Record<string, StoredChange> & { [HEADER]?: StoredHeader };
  return {
    sequence,
    revision,
    head: decodeHeader(head),
    jobs: new Map(Object.entries(changes).map(([id, change]) => [id, decodeChange(change)])),
  };
};
