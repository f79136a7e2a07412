/** Wire and durable forms of jobs. Wire names stay in this file. */
import { Either, ParseResult, Schema } from 'effect';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { decodeSpent, encodeSpent, type StoredSpent } from '../accounts/codec.js';
import {
  decodeLoans,
  decodeLoanParts,
  encodeLoans,
  encodeLoanParts,
  type StoredLoans,
  type StoredLoanParts,
} from '../lending/codec.js';
import { packFinalState, unpackFinalState } from './finals.js';
import { decodeRanges, encodeRanges } from './ranges.js';
import {
  type LogEntry,
  type FinalState,
  type Job,
  type JobChange,
  type JobSpec,
  NO_HEADER,
  type LogEntryHeader,
  type Shape,
  URGENCY,
  type Urgency,
} from './model.js';

const Amount = Schema.Finite.pipe(Schema.nonNegative());
/** Decades: counted in microseconds, times stay whole. The protocol has no bound of its own, so what is longer is no fault. */
const LONGEST_S = 1e9;
const duration = (s: number): Micros => seconds(Math.min(s, LONGEST_S));
const ShortText = Schema.String.pipe(Schema.minLength(1), Schema.maxLength(200));
const NoneOr = <A, I>(s: Schema.Schema<A, I>) =>
  Schema.optionalWith(Schema.NullOr(s), { default: () => null });

export const JOB_ID = /^job-[0-9]{1,32}$/;

const Submission = Schema.Struct({
  id: Schema.String.pipe(Schema.pattern(JOB_ID)),
  jobClass: ShortText,
  owner: Schema.String,
  shape: Schema.Literal('array', 'ensemble', 'daemon'),
  urgency: Schema.Literal('production', 'high', 'normal', 'low'),
  pieces: Schema.Int.pipe(Schema.between(1, 100_000)),
  vcpus: Amount,
  accelerators: Amount,
  memGb: Amount,
  bundle: ShortText,
  imageGb: Amount,
  hostsKinds: NoneOr(Schema.Array(Schema.String)),
  room: NoneOr(Schema.String),
  samePlace: Schema.Boolean,
  scatter: Schema.Boolean,
  borrowed: Schema.Boolean,
  expectS: Amount,
  saveEveryS: Amount,
  saveTakesS: Amount,
  dueS: NoneOr(Amount),
});
const decodeSubmission = Schema.decodeUnknownEither(Submission, {
  onExcessProperty: 'ignore',
  errors: 'first',
});

const SHAPES: Record<string, Shape> = { array: 'array', ensemble: 'gang', daemon: 'service' };

/** A submission's body, checked; or the reason it is malformed. */
export const readSubmission = (body: unknown, submitted: Micros): Either.Either<JobSpec, string> =>
  decodeSubmission(body).pipe(
    Either.mapBoth({
      onLeft: (e) => {
        const issue = ParseResult.ArrayFormatter.formatErrorSync(e)[0];
        return `${issue?.path.map(String).join('.') || 'body'}: ${issue?.message ?? 'invalid'}`;
      },
      onRight: (b) => ({
        id: b.id,
        jobClass: b.jobClass,
        team: b.owner,
        shape: SHAPES[b.shape]!,
        urgency: URGENCY[b.urgency],
        tasks: b.pieces,
        cpus: b.vcpus,
        gpus: b.accelerators,
        memGb: b.memGb,
        image: b.bundle,
        // Fetching it is estimated in microseconds as well.
        imageGb: Math.min(b.imageGb, LONGEST_S),
        types: b.hostsKinds,
        zone: b.room,
        oneZone: b.samePlace,
        spread: b.scatter,
        spot: b.borrowed,
        estimate: duration(b.expectS),
        checkpoint: duration(b.saveEveryS),
        save: duration(b.saveTakesS),
        deadline: b.dueS === null ? null : duration(b.dueS),
        submitted,
        tie: null,
      }),
    }),
  );

/** Durable form of a job: one key for each. */
interface StoredJob {
  readonly c: string;
  readonly o: string;
  readonly s: Shape;
  readonly u: Urgency;
  readonly n: number;
  readonly r: readonly [number, number, number];
  readonly i: readonly [string, number];
  readonly h: readonly string[] | null;
  readonly z: string | null;
  /** Flags: one zone, spread, spot. */
  readonly b: readonly [0 | 1, 0 | 1, 0 | 1];
  /** Microseconds: estimate, checkpoint, save. */
  readonly e: readonly [number, number, number];
  readonly l: number | null;
  readonly t: number;
  readonly w?: 1;
  /** With `w`: `Job.cancelledFirst`. */
  readonly v?: 1;
  readonly f?: number;
  readonly a?: number;
  readonly d?: string;
  /** machine -> [attempt, tasks, microseconds from submission to the start's log entry][]; without the last: not known */
  readonly p?: Readonly<Record<string, readonly (readonly [number, string, number?])[]>>;
  /** Machines it failed on. */
  readonly x?: readonly string[];
  /** Its tie, and what has been said of it. */
  readonly k?: string;
  readonly q?: number;
  /** Loans, and how many of its tasks services have taken. */
  readonly g?: StoredLoans;
  readonly y?: number;
}
const isNumbers = (v: unknown, n: number): boolean =>
  Array.isArray(v) && v.length === n && v.every((x) => Number.isFinite(x));
/** What decoding relies on. A store that has lost data may also have damaged it. */
const isStoredJob = (v: StoredJob | null): boolean =>
  typeof v === 'object' &&
  v !== null &&
  typeof v.c === 'string' &&
  typeof v.o === 'string' &&
  Number.isSafeInteger(v.n) &&
  isNumbers(v.r, 3) &&
  isNumbers(v.b, 3) &&
  isNumbers(v.e, 3) &&
  Array.isArray(v.i) &&
  Number.isSafeInteger(v.t);
const flag = (b: boolean): 0 | 1 => (b ? 1 : 0);

export const encodeJob = (job: Job, folded: number): StoredJob => {
  const s = job.spec;
  const p: Record<string, [number, string, number?][]> = {};
  // Started by one log entry on one machine: the same attempt and the same time.
  const groups = new Map<string, { readonly attempt: number; readonly since: Micros; tasks: number[] }[]>();
  for (const x of job.placed.values()) {
    let on = groups.get(x.machine);
    if (!on) groups.set(x.machine, (on = []));
    const one = on.find((g) => g.attempt === x.attempt && g.since === x.since);
    if (one) one.tasks.push(x.task);
    else on.push({ attempt: x.attempt, since: x.since, tasks: [x.task] });
  }
  for (const [machine, on] of groups) {
    p[machine] = on.map(({ attempt, since, tasks }) =>
      since === 0
        ? [attempt, encodeRanges(tasks)]
        : [attempt, encodeRanges(tasks), since - job.spec.submitted],
    );
  }
  return {
    c: s.jobClass,
    o: s.team,
    s: s.shape,
    u: s.urgency,
    n: s.tasks,
    r: [s.cpus, s.gpus, s.memGb],
    i: [s.image, s.imageGb],
    h: s.types,
    z: s.zone,
    b: [flag(s.oneZone), flag(s.spread), flag(s.spot)],
    e: [s.estimate, s.checkpoint, s.save],
    l: s.deadline,
    t: s.submitted,
    ...(job.cancelled ? { w: 1 as const } : {}),
    ...(job.cancelled && job.cancelledFirst ? { v: 1 as const } : {}),
    ...(folded > 0 ? { f: folded } : {}),
    ...(job.attempt > 0 ? { a: job.attempt } : {}),
    ...(job.done.size > 0 ? { d: encodeRanges(job.done) } : {}),
    ...(groups.size > 0 ? { p } : {}),
    ...(job.failedOn.size > 0 ? { x: [...job.failedOn] } : {}),
    ...(s.tie === null ? {} : { k: s.tie }),
    ...(job.cutoffRisk ? { q: job.cutoffRisk } : {}),
    ...(job.loans.size > 0 ? { g: encodeLoans(job.loans, s.submitted) } : {}),
    ...(job.preemptedForServices > 0 ? { y: job.preemptedForServices } : {}),
  };
};

/** Throws on a value that can't have been written by `encodeJob`. */
export const decodeJob = (id: string, value: unknown, stamp: number): Job => {
  const v = value as StoredJob;
  if (!isStoredJob(v)) throw new Error(`${id}: not a job`);
  const placed: Job['placed'] = new Map();
  for (const [machine, list] of Object.entries(v.p ?? {})) {
    for (const [attempt, ranges, after] of list) {
      const since = (after === undefined ? 0 : v.t + after) as Micros;
      for (const task of decodeRanges(ranges)) placed.set(task, { task, attempt, machine, since });
    }
  }
  return {
    spec: {
      id,
      jobClass: v.c,
      team: v.o,
      shape: v.s,
      urgency: v.u,
      tasks: v.n,
      cpus: v.r[0],
      gpus: v.r[1],
      memGb: v.r[2],
      image: v.i[0],
      imageGb: v.i[1],
      types: v.h,
      zone: v.z,
      oneZone: v.b[0] === 1,
      spread: v.b[1] === 1,
      spot: v.b[2] === 1,
      estimate: v.e[0] as Micros,
      checkpoint: v.e[1] as Micros,
      save: v.e[2] as Micros,
      deadline: v.l as Micros | null,
      submitted: v.t as Micros,
      tie: typeof v.k === 'string' ? v.k : null,
    },
    cancelled: v.w === 1,
    ...(v.v === 1 ? { cancelledFirst: true } : {}),
    attempt: v.a ?? 0,
    done: new Set(decodeRanges(v.d ?? '')),
    placed,
    failedOn: new Set(v.x ?? []),
    loans: decodeLoans(v.g, v.t as Micros),
    preemptedForServices: v.y ?? 0,
    revision: stamp,
    compactedTo: v.f ?? 0,
    lastSequence: v.f ?? 0,
    ...(v.q === undefined ? {} : { cutoffRisk: v.q }),
  };
};

export const encodeFinalState = (f: FinalState): unknown => [f.status === 'done' ? 1 : 0, f.tasks];
export const decodeFinalState = (value: unknown): FinalState => {
  if (!isNumbers(value, 2)) throw new Error('not a final state');
  const [s, tasks] = value as [number, number];
  return { status: s === 1 ? 'done' : 'cancelled', tasks };
};

/** Several rebuilt jobs in one value. */
export const encodeBundle = (jobs: readonly Job[]): unknown =>
  Object.fromEntries(jobs.map((j) => [j.spec.id, encodeJob(j, j.lastSequence)]));
export const decodeBundle = (value: unknown): Job[] =>
  Object.entries(value as Record<string, unknown>).map(([id, v]) => decodeJob(id, v, 0));

/** Several final states in one value. */
export const encodeFinalStates = (finals: readonly (readonly [string, FinalState])[]): unknown =>
  Object.fromEntries(finals.map(([id, f]) => [id, packFinalState(f)]));
export const decodeFinalStates = (value: unknown): [string, FinalState][] =>
  Object.entries(value as Record<string, number>).map(([id, n]) => [id, unpackFinalState(n)]);

/** What is known of a job that only workers name. */
export interface OrphanedJob {
  /** Time of day of its first mention, microseconds. */
  readonly since: number;
  /** Tasks of it that workers have named. */
  readonly tasks: number;
}

type StoredChange = {
  d?: string;
  g?: string;
  x?: string;
  a?: number;
  p?: Record<string, string>;
  q?: number;
  l?: StoredLoanParts;
  r?: StoredLoanParts;
  y?: number;
};

export const encodeChange = (c: JobChange): StoredChange => ({
  ...(c.done?.length ? { d: encodeRanges(c.done) } : {}),
  ...(c.gone?.length ? { g: encodeRanges(c.gone) } : {}),
  ...(c.failed?.length ? { x: encodeRanges(c.failed) } : {}),
  ...(c.start
    ? { a: c.start.attempt, p: Object.fromEntries([...c.start.on].map(([m, t]) => [m, encodeRanges(t)])) }
    : {}),
  ...(c.cutoffRisk === undefined ? {} : { q: c.cutoffRisk }),
  ...(c.lend?.length ? { l: encodeLoanParts(c.lend) } : {}),
  ...(c.repay?.length ? { r: encodeLoanParts(c.repay) } : {}),
  ...(c.preemptedForServices ? { y: c.preemptedForServices } : {}),
});

/** A log entry's member for its head; no job has such an id. */
const HEADER = '@';
interface StoredHeader extends StoredSpent {
  /** Microseconds, time of day. */
  readonly t: number;
  /** Version of the calendar; absent: none. */
  readonly c?: number;
}

const optionalText = (v: unknown): boolean => v === undefined || typeof v === 'string';
/** What decoding relies on: a log entry whose changes can't be told would else pass for one without any. */
const isStoredChange = (c: StoredChange | null): boolean =>
  typeof c === 'object' &&
  c !== null &&
  optionalText(c.d) &&
  optionalText(c.g) &&
  optionalText(c.x) &&
  (c.a === undefined
    ? c.p === undefined
    : Number.isSafeInteger(c.a) && Object.values(c.p ?? {}).every((t) => typeof t === 'string'));

const decodeHeader = (v: StoredHeader | undefined): LogEntryHeader =>
  v !== undefined && Number.isSafeInteger(v.t)
    ? { at: v.t as Micros, calendar: v.c ?? 0, spent: decodeSpent(v) }
    : NO_HEADER;

/** Throws if it is damaged. */
const decodeChange = (c: StoredChange): JobChange => {
  if (!isStoredChange(c)) throw new Error('a change is damaged');
  return {
    done: c.d === undefined ? undefined : decodeRanges(c.d),
    gone: c.g === undefined ? undefined : decodeRanges(c.g),
    failed: c.x === undefined ? undefined : decodeRanges(c.x),
    start:
      c.a === undefined
        ? undefined
        : {
            attempt: c.a,
            on: new Map(Object.entries(c.p ?? {}).map(([m, t]) => [m, decodeRanges(t)])),
          },
    ...(c.q === undefined ? {} : { cutoffRisk: c.q }),
    lend: decodeLoanParts(c.l),
    repay: decodeLoanParts(c.r),
    preemptedForServices: c.y,
  };
};

export const encodeLogEntry = (jobs: ReadonlyMap<string, JobChange>, head: LogEntryHeader): unknown => ({
  ...Object.fromEntries([...jobs].map(([id, c]) => [id, encodeChange(c)])),
  [HEADER]: {
    t: head.at,
    ...(head.calendar > 0 ? { c: head.calendar } : {}),
    ...encodeSpent(head.spent),
  } satisfies StoredHeader,
});

export const decodeLogEntry = (seq: number, value: unknown, stamp: number): LogEntry => {
  const { [HEADER]: head, ...changes } = value as Record<string, StoredChange> & { [HEADER]?: StoredHeader };
  return {
    sequence: seq,
    revision: stamp,
    head: decodeHeader(head),
    jobs: new Map(Object.entries(changes).map(([id, c]) => [id, decodeChange(c)])),
  };
};

export const STATUS_WORDS = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
} as const;
