/**
 * Confirms that the starts in heartbeat responses reach the worker. A worker whose heartbeats arrive but whose
 * responses are lost would hold its tasks' resources forever. After a few lost responses its tasks are placed
 * elsewhere, and it gets no new tasks for a while.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Machine } from './machine.js';

/** Number of consecutive lost responses with starts after which a worker counts as unreachable. */
const MAX_LOST_RESPONSES = 3;
/**
 * Heartbeats that arrive closer together than this were delayed together: the worker could not use the responses
 * between them, so these do not count as lost.
 */
const MIN_HEARTBEAT_GAP = seconds(1);
/**
 * Time in which an unreachable worker gets no new tasks; it doubles with each further lost response, up to
 * `MAX_COOLDOWN`.
 */
const INITIAL_COOLDOWN = seconds(10);
const MAX_COOLDOWN = seconds(60);

/** Tracks whether dispatched starts reach their workers. */
export class StartConfirmation {
  /** Workers found to be unreachable since the caller last emptied this list. */
  readonly unreachable: string[] = [];

  /**
   * Checks whether the worker holds the tasks that the previous response started, `elapsed` microseconds after the
   * previous heartbeat. Returns true if starts have failed so often that the tasks should be placed elsewhere.
   */
  startsFailed(machine: Machine, elapsed: number, at: Micros): boolean {
    if (machine.dispatched.every((key) => machine.tasks.has(key))) {
      machine.unacknowledged = 0;
      return false;
    }
    if (elapsed < MIN_HEARTBEAT_GAP || ++machine.unacknowledged < MAX_LOST_RESPONSES) return false;
    const cooldown = INITIAL_COOLDOWN * 2 ** (machine.unacknowledged - MAX_LOST_RESPONSES);
    machine.cooldownUntil = plus(at, Math.min(MAX_COOLDOWN, cooldown));
    this.unreachable.push(machine.id);
    return true;
  }
}
