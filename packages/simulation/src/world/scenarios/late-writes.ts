import {
  CALENDAR,
  LEADER,
  LOG_ENTRIES,
  CLASS_DURATIONS,
  MACHINE_TYPES,
} from '@lilacvalve/controller/jobs/keys';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** The kind of a key that belongs neither to a job nor to the log; null: it belongs to one of them. */
const kindOf = (key: string): string | null =>
  key === LEADER
    ? 'campaign'
    : key.startsWith(MACHINE_TYPES) || key === CLASS_DURATIONS
      ? 'hint'
      : key.startsWith(CALENDAR)
        ? 'calendar'
        : null;

/**
 * Transactions get no response and are committed 2 to 12 s later, after newer transactions of the same controller.
 */
export const lateWrites = (kit: ScenarioKit): Scenario => {
  kit.world.state.onLate = (key) => {
    const { world } = kit;
    const termAtSend = world.term();
    const isLogEntry = key.startsWith(LOG_ENTRIES);
    const leader = world.leader();
    // The leader may change before it learns whether its log entry was committed; the next leader's entry comes first then.
    if (isLogEntry && leader !== undefined && world.random.chance(0.1))
      kit.after(world.random.between(0, 1e6), () => kit.changeLeader(leader));
    const kind = kindOf(key);
    return () => {
      const termAtCommit = world.term();
      if (kind !== null) kit.record(`late ${kind}`);
      if (termAtSend !== null && termAtCommit !== null && termAtCommit > termAtSend)
        kit.record(isLogEntry ? 'log entry after a change of leader' : 'write after a change of leader');
    };
  };
  return {
    begin: () => {
      const { world } = kit;
      world.recordInjection('lateWrites');
      const durationUs = world.random.between(8e6, 30e6);
      world.state.lateFraction = world.random.between(0.05, 0.4);
      world.markDisruption(durationUs + 12e6);
      kit.after(durationUs, () => (world.state.lateFraction = 0));
      // Transactions of the old leader are committed under the new leader.
      const leader = world.leader();
      if (leader !== undefined && world.random.chance(0.7))
        kit.after(world.random.between(2e6, durationUs), () => kit.changeLeader(leader));
    },
  };
};
