/**
 * Wire format of the workers' protocol: heartbeats, their responses and orders. No other module uses the
 * protocol's field names.
 */
import { type Micros, seconds, toSeconds } from '@lilacvalve/runtime/micros';

/** State of a task as its worker reports it. */
export type TaskStatus = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/**
 * Why a task exited. `peers`: another member of its gang failed. `alone`: the gang's members did not all start in
 * time.
 */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no-capacity' | 'busy' | 'unknown';

/** A task as reported in a worker's heartbeat. */
export interface ReportedTask {
  /** The job's id and the task's number, as `job/task`. */
  readonly key: string;
  readonly attempt: number;
  readonly status: TaskStatus;
  readonly cause: ExitCause | null;
  /** Whether the task's progress was saved when it was stopped. */
  readonly saved: boolean;
}

/** A worker's periodic message. It requests a renewal of the worker's lease and lists the worker's tasks. */
export interface Heartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The worker's epoch; it grows with each restart and each expiry of the worker's lease. */
  readonly incarnation: number;
  /** Number of the heartbeat within the incarnation. */
  readonly sequence: number;
  /** Highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** Time until the cloud reclaims the machine; null if no recall is announced. */
  readonly recall: Micros | null;
  readonly tasks: readonly ReportedTask[];
}

const STATUS_BY_WIRE_NAME: Record<string, TaskStatus> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const CAUSE_BY_WIRE_NAME: Record<string, ExitCause> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  full: 'no-capacity',
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

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isText = (value: unknown): value is string => typeof value === 'string';

const readTasks = (pieces: unknown): ReportedTask[] | null => {
  if (!Array.isArray(pieces)) return null;
  const tasks: ReportedTask[] = [];
  for (const piece of pieces as (WireTask | null)[]) {
    if (typeof piece !== 'object' || piece === null) return null;
    const status = STATUS_BY_WIRE_NAME[piece.status as string];
    if (!isText(piece.piece) || !isCount(piece.try) || piece.try === 0 || status === undefined) return null;
    tasks.push({
      key: piece.piece,
      attempt: piece.try,
      status,
      // An unknown exit cause is handled as a failure.
      cause: status === 'exited' ? (CAUSE_BY_WIRE_NAME[(piece.cause ?? '') as string] ?? 'error') : null,
      saved: piece.stored === true,
    });
  }
  // A heartbeat that lists the same attempt twice is malformed: acting on either of the two entries could stop a
  // task that should run or keep one that should not.
  if (tasks.length > 1 && new Set(tasks.map((task) => `${task.key} ${task.attempt}`)).size < tasks.length)
    return null;
  return tasks;
};

const heartbeatOf = (wire: WireHeartbeat, tasks: readonly ReportedTask[] | null): Heartbeat | null => {
  if (typeof wire !== 'object' || wire === null || tasks === null) return null;
  const { host, addr, hostKind, room, tenure, tick, warrant } = wire;
  const recall = wire.recallS ?? null;
  const spot = wire.borrowed ?? false;
  if (!isText(host) || host === '' || !isText(addr) || !isText(hostKind) || !isText(room)) return null;
  if (!isCount(tenure) || !isCount(tick) || !isCount(warrant) || typeof spot !== 'boolean') return null;
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

const parseJson = <T>(json: string): T | null => {
  try {
    return JSON.parse(json) as T;
  } catch {
    return null;
  }
};

/**
 * Decodes the body of a heartbeat; null if it is malformed. The checks are written by hand because hundreds of
 * heartbeats arrive per second, and a schema decoder takes several times as long as parsing the JSON.
 */
export const readHeartbeat = (body: Buffer): Heartbeat | null => {
  const wire = parseJson<WireHeartbeat>(body.toString('utf8'));
  return wire === null ? null : heartbeatOf(wire, readTasks(wire.pieces ?? []));
};

const TASKS_KEY = '"pieces":';
/** Larger than the number of machines that send heartbeats to one leader. */
const MAX_CACHED_MACHINES = 4000;

/**
 * Decodes heartbeats like `readHeartbeat`, but reuses the decoded task list of a machine if the text of its tasks
 * is the same as in its previous heartbeat: the returned list is then the same object. Workers send the task list
 * as the last field; any other body is decoded whole.
 */
export class HeartbeatReader {
  /** By machine: the text from the task list to the end of the body, and the tasks decoded from it. */
  private readonly decodedTasks = new Map<
    string,
    { readonly tasksText: string; readonly tasks: readonly ReportedTask[] }
  >();

  read(body: Buffer): Heartbeat | null {
    const text = body.toString('utf8');
    const tasksStart = text.indexOf(TASKS_KEY);
    // The text before the task list must be an object that lacks only its last field; otherwise the body is
    // decoded whole.
    const head = tasksStart < 0 ? null : parseJson<WireHeartbeat>(`${text.slice(0, tasksStart)}"pieces":0}`);
    if (head === null || typeof head !== 'object' || !isText(head.host)) return readHeartbeat(body);
    const tasksText = text.slice(tasksStart);
    const previous = this.decodedTasks.get(head.host);
    if (previous?.tasksText === tasksText) return heartbeatOf(head, previous.tasks);
    const tail = parseJson<WireHeartbeat>(`{${tasksText}`);
    if (tail === null || Object.keys(tail).length !== 1) return readHeartbeat(body);
    const tasks = readTasks(tail.pieces ?? []);
    const heartbeat = heartbeatOf(head, tasks);
    if (heartbeat === null || tasks === null) return null;
    if (this.decodedTasks.size >= MAX_CACHED_MACHINES) this.decodedTasks.clear();
    this.decodedTasks.set(head.host, { tasksText, tasks });
    return heartbeat;
  }
}

const HOST_PATTERN = /"host"\s*:\s*"([^"\\]{1,200})"/;
/**
 * Returns the machine that a heartbeat claims to come from, without decoding the heartbeat; null if no machine is
 * found, in which case the heartbeat is malformed.
 */
export const senderOf = (body: Buffer): string | null =>
  // Workers send the machine as the first field.
  (HOST_PATTERN.exec(body.toString('utf8', 0, 300)) ?? HOST_PATTERN.exec(body.toString('utf8')))?.[1] ?? null;

/** A leader's responses to a batch of heartbeats. */
export interface HeartbeatResponses {
  readonly term: number;
  /**
   * Response bodies in the order of the heartbeats. An empty string stands for a response without orders
   * (`emptyResponse`), null for a malformed heartbeat.
   */
  readonly bodies: readonly (string | null)[];
}
/**
 * Processes a batch of heartbeats, in which null stands for a malformed one. Responds exactly once, immediately or
 * after the next scheduling cycle; with null if this controller does not lead.
 */
export type ReceiveHeartbeats = (
  heartbeats: readonly (Heartbeat | null)[],
  respond: (responses: HeartbeatResponses | null) => void,
) => void;

/** HTTP path to which workers send heartbeats. */
export const HEARTBEAT_PATH = '/agent/beat';

/** Encodes a response without orders. `token` is the leader's fencing token. */
export const emptyResponse = (token: number): string => `{"warrant":${token},"orders":[]}`;

/**
 * An instruction to a worker about one attempt of a task. `grace` is the time that the task has for saving before
 * it is killed.
 */
export type Order =
  | { readonly op: 'start'; readonly key: string; readonly attempt: number }
  | { readonly op: 'stop'; readonly key: string; readonly attempt: number; readonly grace: Micros }
  | { readonly op: 'forget'; readonly key: string; readonly attempt: number };

/**
 * Encodes orders under the leader's fencing token. `incarnation` is the worker's incarnation that the orders are
 * meant for; it is required only for orders sent outside a heartbeat response.
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
