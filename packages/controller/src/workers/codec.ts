/** The workers' wire format: heartbeats and orders. The protocol's names stand only here. */
import { type Micros, seconds, toSeconds } from '@lilacvalve/runtime/micros';

/** What a worker says of a task. */
export type TaskStatus = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task exited. `peers`: its gang broke; `alone`: its gang did not come together in time. */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no-room' | 'busy' | 'unknown';

/** A task as a worker's heartbeat reports it. */
export interface ReportedTask {
  /** `job/task`. */
  readonly key: string;
  readonly attempt: number;
  readonly status: TaskStatus;
  readonly cause: ExitCause | null;
  /** Its progress was saved when it was stopped. */
  readonly saved: boolean;
}

/** A worker's periodic message: it asks for its lease, and says what the worker holds. */
export interface Heartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The worker's epoch. */
  readonly incarnation: number;
  /** Number within the incarnation. */
  readonly sequence: number;
  /** Highest fencing token the worker has seen. */
  readonly fencingToken: number;
  /** Time until the cloud reclaims the machine; null: not announced. */
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

interface WireHeartbeat {
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
interface WireTask {
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
  for (const piece of pieces as (WireTask | null)[]) {
    if (typeof piece !== 'object' || piece === null) return null;
    const status = STATUS[piece.status as string];
    if (!text(piece.piece) || !count(piece.try) || piece.try === 0 || status === undefined) return null;
    tasks.push({
      key: piece.piece,
      attempt: piece.try,
      status,
      // An exit of an unknown kind is handled as a failure.
      cause: status === 'exited' ? (CAUSE[(piece.cause ?? '') as string] ?? 'error') : null,
      saved: piece.stored === true,
    });
  }
  // The same attempt twice: whichever of the two is true, the other would stop or keep a task.
  if (tasks.length > 1 && new Set(tasks.map((t) => `${t.key} ${t.attempt}`)).size < tasks.length) return null;
  return tasks;
};

const heartbeatOf = (wire: WireHeartbeat, tasks: readonly ReportedTask[] | null): Heartbeat | null => {
  if (typeof wire !== 'object' || wire === null || tasks === null) return null;
  const { host, addr, hostKind, room, tenure, tick, warrant } = wire;
  const recall = wire.recallS ?? null;
  const spot = wire.borrowed ?? false;
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
 * Decodes a heartbeat's body; null: it is malformed. Checked by hand: hundreds come in a second, and a schema's decoder takes
 * several times as long as reading the JSON does.
 */
export const readHeartbeat = (body: Buffer): Heartbeat | null => {
  const wire = parsed<WireHeartbeat>(body.toString('utf8'));
  return wire === null ? null : heartbeatOf(wire, readTasks(wire.pieces ?? []));
};

const PIECES = '"pieces":';
/** More machines than send heartbeats to one leader. */
const MAX_KNOWN = 4000;

/**
 * Decodes heartbeats as `readHeartbeat` does. Tasks that a machine reports in the same words as last time are not decoded
 * again: the very list of last time is returned. Workers put their tasks last; where they don't, the whole is decoded.
 */
export class HeartbeatReader {
  /** By machine: the text from its tasks on, and what it was decoded to. */
  private readonly known = new Map<
    string,
    { readonly rest: string; readonly tasks: readonly ReportedTask[] }
  >();

  read(body: Buffer): Heartbeat | null {
    const all = body.toString('utf8');
    const from = all.indexOf(PIECES);
    // Up to here it is an object that awaits a key, or this is no object.
    const head = from < 0 ? null : parsed<WireHeartbeat>(`${all.slice(0, from)}"pieces":0}`);
    if (head === null || typeof head !== 'object' || !text(head.host)) return readHeartbeat(body);
    const rest = all.slice(from);
    const known = this.known.get(head.host);
    if (known?.rest === rest) return heartbeatOf(head, known.tasks);
    const tail = parsed<WireHeartbeat>(`{${rest}`);
    if (tail === null || Object.keys(tail).length !== 1) return readHeartbeat(body);
    const tasks = readTasks(tail.pieces ?? []);
    const heartbeat = heartbeatOf(head, tasks);
    if (heartbeat === null || tasks === null) return null;
    if (this.known.size >= MAX_KNOWN) this.known.clear();
    this.known.set(head.host, { rest, tasks });
    return heartbeat;
  }
}

const HOST = /"host"\s*:\s*"([^"\\]{1,200})"/;
/** Which machine's heartbeat this seems to be, without decoding it; null: whoever decodes it will find it malformed. */
export const senderOf = (body: Buffer): string | null =>
  // The field stands first in what workers send.
  (HOST.exec(body.toString('utf8', 0, 300)) ?? HOST.exec(body.toString('utf8')))?.[1] ?? null;

/** A leader's responses to several heartbeats. */
export interface HeartbeatResponses {
  readonly term: number;
  /** Bodies in the heartbeats' order. Empty: no orders, `emptyResponse` is the body. null: that heartbeat was malformed. */
  readonly bodies: readonly (string | null)[];
}
/**
 * Takes heartbeats in, null for a malformed one; answers once, at once or after the next scheduling cycle, with null if this
 * controller does not lead.
 */
export type ReceiveHeartbeats = (
  heartbeats: readonly (Heartbeat | null)[],
  answer: (answers: HeartbeatResponses | null) => void,
) => void;

/** Where workers send heartbeats. */
export const HEARTBEAT_PATH = '/agent/beat';

/** A response without orders; `token`: the leader's fencing token. */
export const emptyResponse = (token: number): string => `{"warrant":${token},"orders":[]}`;

/** What a worker should do with an attempt of a task; `grace`: time to save before it is killed. */
export type Order =
  | { readonly op: 'start'; readonly key: string; readonly attempt: number }
  | { readonly op: 'stop'; readonly key: string; readonly attempt: number; readonly grace: Micros }
  | { readonly op: 'forget'; readonly key: string; readonly attempt: number };

/**
 * Encodes orders under the leader's fencing token. `incarnation`: the worker's that they are meant for; needed only where they
 * are not a response.
 */
export const encodeOrders = (token: number, orders: readonly Order[], incarnation?: number): string =>
  JSON.stringify({
    warrant: token,
    ...(incarnation === undefined ? {} : { tenure: incarnation }),
    orders: orders.map((order) => {
      const base = { piece: order.key, try: order.attempt };
      if (order.op === 'start') return { orderKind: 'run', ...base };
      if (order.op === 'forget') return { orderKind: 'reap', ...base };
      return { orderKind: 'stop', ...base, windDownS: toSeconds(order.grace) };
    }),
  });
