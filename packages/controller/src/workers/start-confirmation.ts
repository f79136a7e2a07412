/**
 * Whether the starts in responses arrive. A worker whose heartbeats come but whose responses are lost would hold its
 * tasks' room for ever: after a few lost responses its tasks go elsewhere, and it gets none for a while.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Machine } from './machine.js';

/** A worker is unreachable once so many responses in a row that start something have been lost. */
const LOST_RESPONSES = 3;
/** Heartbeats that come closer together were held up together: nobody waited for the responses between them. */
const HELD_UP = seconds(1);
/** An unreachable worker gets nothing for so long; doubles while it turns out to be unreachable still. */
const COOLDOWN = seconds(10);
const MAX_COOLDOWN = seconds(60);

/** Whether the starts that were sent have arrived. */
export class StartConfirmation {
  /** Workers found unreachable since this was last emptied. */
  readonly unreachable: string[] = [];

  /**
   * Checks, `elapsed` after the heartbeat before, that the worker has what the last response told it to start. True: that
   * has failed so often that its tasks should go elsewhere.
   */
  failed(machine: Machine, elapsed: number, at: Micros): boolean {
    if (machine.dispatched.every((key) => machine.tasks.has(key))) {
      machine.unacknowledged = 0;
      return false;
    }
    if (elapsed < HELD_UP || ++machine.unacknowledged < LOST_RESPONSES) return false;
    const cooldown = COOLDOWN * 2 ** (machine.unacknowledged - LOST_RESPONSES);
    machine.cooldownUntil = plus(at, Math.min(MAX_COOLDOWN, cooldown));
    this.unreachable.push(machine.id);
    return true;
  }
}
