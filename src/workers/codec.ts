/** Wire form of reports and orders. */
import { Either, Schema } from 'effect';
import { type Micros, seconds, toSeconds } from '../base/micros.js';

export type TaskStatus = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no-room' | 'busy' | 'unknown';

export interface ReportedTask {
  /** `job/task`. */
  readonly key: string;
  readonly attempt: number;
  readonly status: TaskStatus;
  readonly cause: ExitCause | null;
  readonly saved: boolean;
}
export interface Report {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly tenure: number;
  readonly tick: number;
  /** Highest token the worker has seen. */
  readonly token: number;
  /** Time until the cloud takes the machine. */
  readonly recall: Micros | null;
  readonly tasks: readonly ReportedTask[];
}

const Count = Schema.Int.pipe(Schema.nonNegative());
const Beat = Schema.Struct({
  host: Schema.NonEmptyString,
  addr: Schema.String,
  hostKind: Schema.String,
  room: Schema.String,
  borrowed: Schema.optionalWith(Schema.Boolean, { default: () => false, nullable: true }),
  tenure: Count,
  tick: Count,
  warrant: Count,
  recallS: Schema.optionalWith(Schema.NullOr(Schema.Number), { default: () => null }),
});
const decodeBeat = Schema.decodeUnknownEither(Beat);

const STATUS: Record<string, TaskStatus> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const CAUSE: Record<string, ExitCause> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  full: 'no-room',
  in_use: 'busy',
  unknown: 'unknown',
};

interface WirePiece {
  piece: string;
  try: number;
  status: string;
  cause?: string | null;
  stored?: boolean;
}

/** The frame is checked by Schema; the task list, which may hold hundreds, by hand: it is read many times a second. */
export const readReport = (body: Buffer): Either.Either<Report, string> => {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    return Either.left('not JSON');
  }
  const beat = decodeBeat(value);
  if (Either.isLeft(beat)) return Either.left(beat.left.message.slice(0, 300));
  const b = beat.right;
  const pieces = (value as { pieces?: WirePiece[] | null }).pieces ?? [];
  if (!Array.isArray(pieces)) return Either.left('pieces is not a list');
  const tasks: ReportedTask[] = [];
  for (const p of pieces) {
    const status = STATUS[p.status];
    if (typeof p.piece !== 'string' || !Number.isSafeInteger(p.try) || !status)
      return Either.left('a piece is malformed');
    tasks.push({
      key: p.piece,
      attempt: p.try,
      status,
      // An exit of a kind we don't know is handled as a failure.
      cause: status === 'exited' ? (CAUSE[p.cause ?? ''] ?? 'error') : null,
      saved: p.stored === true,
    });
  }
  return Either.right({
    machine: b.host,
    addr: b.addr,
    type: b.hostKind,
    zone: b.room,
    spot: b.borrowed,
    tenure: b.tenure,
    tick: b.tick,
    token: b.warrant,
    recall: b.recallS === null ? null : seconds(b.recallS),
    tasks,
  });
};

export type Order =
  | { readonly op: 'start'; readonly key: string; readonly attempt: number }
  | { readonly op: 'stop'; readonly key: string; readonly attempt: number; readonly grace: Micros }
  | { readonly op: 'forget'; readonly key: string; readonly attempt: number };

export const writeOrders = (token: number, orders: readonly Order[], tenure?: number): string =>
  JSON.stringify({
    warrant: token,
    ...(tenure === undefined ? {} : { tenure }),
    orders: orders.map((o) => {
      const base = { piece: o.key, try: o.attempt };
      if (o.op === 'start') return { orderKind: 'run', ...base };
      if (o.op === 'forget') return { orderKind: 'reap', ...base };
      return { orderKind: 'stop', ...base, windDownS: toSeconds(o.grace) };
    }),
  });
