/** Wire form of reports and orders. */
import { type Micros, seconds, toSeconds } from '@lilacvalve/runtime/micros';

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
export interface Heartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly incarnation: number;
  readonly sequence: number;
  /** Highest token the worker has seen. */
  readonly fencingToken: number;
  /** Time until the cloud takes the machine. */
  readonly recall: Micros | null;
  readonly tasks: readonly ReportedTask[];
}

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

interface WireReport {
  readonly host: unknown;
  readonly addr: unknown;
  readonly hostKind: unknown;
  readonly room: unknown;
  readonly borrowed?: unknown;
  readonly tenure: unknown;
  readonly tick: unknown;
  readonly warrant: unknown;
  readonly recallS?: unknown;
  readonly pieces?: unknown;
}
interface WirePiece {
  readonly piece: unknown;
  readonly try: unknown;
  readonly status: unknown;
  readonly cause?: unknown;
  readonly stored?: unknown;
}

const count = (v: unknown): v is number => Number.isSafeInteger(v) && (v as number) >= 0;
const text = (v: unknown): v is string => typeof v === 'string';

const readTasks = (pieces: unknown): ReportedTask[] | null => {
  if (!Array.isArray(pieces)) return null;
  const tasks: ReportedTask[] = [];
  for (const p of pieces as (WirePiece | null)[]) {
    if (typeof p !== 'object' || p === null) return null;
    const status = STATUS[p.status as string];
    if (!text(p.piece) || !count(p.try) || p.try === 0 || status === undefined) return null;
    tasks.push({
      key: p.piece,
      attempt: p.try,
      status,
      // An exit of a kind we don't know is handled as a failure.
      cause: status === 'exited' ? (CAUSE[(p.cause ?? '') as string] ?? 'error') : null,
      saved: p.stored === true,
    });
  }
  // The same attempt twice: whichever of the two is true, the other would end or keep a task.
  if (tasks.length > 1 && new Set(tasks.map((t) => `${t.key} ${t.attempt}`)).size < tasks.length) return null;
  return tasks;
};

const reportOf = (v: WireReport, tasks: readonly ReportedTask[] | null): Heartbeat | null => {
  if (typeof v !== 'object' || v === null || tasks === null) return null;
  const { host, addr, hostKind, room, tenure, tick, warrant } = v;
  const recall = v.recallS ?? null;
  const spot = v.borrowed ?? false;
  if (!text(host) || host === '' || !text(addr) || !text(hostKind) || !text(room)) return null;
  if (!count(tenure) || !count(tick) || !count(warrant) || typeof spot !== 'boolean') return null;
  if (recall !== null && !Number.isFinite(recall)) return null;
  return {
    machine: host,
    addr,
    type: hostKind,
    zone: room,
    spot,
    incarnation: tenure,
    sequence: tick,
    fencingToken: warrant,
    recall: recall === null ? null : seconds(recall as number),
    tasks,
  };
};

const parsed = <T>(json: string): T | null => {
  try {
    return JSON.parse(json) as T;
  } catch {
    return null;
  }
};

/**
 * A report's body; null: it is malformed. Checked by hand: hundreds come in a second, and a schema's decoder takes
 * several times as long as reading the JSON does.
 */
export const readReport = (body: Buffer): Heartbeat | null => {
  const v = parsed<WireReport>(body.toString('utf8'));
  return v === null ? null : reportOf(v, readTasks(v.pieces ?? []));
};

const PIECES = '"pieces":';
/** More machines than report to one leader. */
const MOST_KNOWN = 4000;

/**
 * Reads reports as `readReport` does, the tasks of one that says the same of them as the machine's last one only once.
 * Workers put their tasks last; where they don't, the whole is read.
 */
export class HeartbeatReader {
  /** By machine: the text from its tasks on, and what that means. */
  private readonly known = new Map<
    string,
    { readonly rest: string; readonly tasks: readonly ReportedTask[] }
  >();

  read(body: Buffer): Heartbeat | null {
    const all = body.toString('utf8');
    const from = all.indexOf(PIECES);
    // Up to here it is an object that awaits a key, or this is no object.
    const head = from < 0 ? null : parsed<WireReport>(`${all.slice(0, from)}"pieces":0}`);
    if (head === null || typeof head !== 'object' || !text(head.host)) return readReport(body);
    const rest = all.slice(from);
    const known = this.known.get(head.host);
    if (known?.rest === rest) return reportOf(head, known.tasks);
    const tail = parsed<WireReport>(`{${rest}`);
    if (tail === null || Object.keys(tail).length !== 1) return readReport(body);
    const tasks = readTasks(tail.pieces ?? []);
    const report = reportOf(head, tasks);
    if (report === null || tasks === null) return null;
    if (this.known.size >= MOST_KNOWN) this.known.clear();
    this.known.set(head.host, { rest, tasks });
    return report;
  }
}

const HOST = /"host"\s*:\s*"([^"\\]{1,200})"/;
/** Whose report this seems to be, without reading it; null: whoever reads it will find it malformed. */
export const senderOf = (body: Buffer): string | null =>
  // The field stands first in what workers send.
  (HOST.exec(body.toString('utf8', 0, 300)) ?? HOST.exec(body.toString('utf8')))?.[1] ?? null;

/** What a leader answers to several reports. */
export interface Answers {
  readonly term: number;
  /** Bodies in the reports' order. Empty: no orders, `plainBody` is the answer. null: that report was malformed. */
  readonly bodies: readonly (string | null)[];
}
/** Takes reports in, null for a malformed one; answers once, at once or after the next turn. null: it does not lead. */
export type Receive = (
  reports: readonly (Heartbeat | null)[],
  answer: (answers: Answers | null) => void,
) => void;

/** Where workers report. */
export const REPORTS = '/agent/beat';

export const plainBody = (token: number): string => `{"warrant":${token},"orders":[]}`;

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
