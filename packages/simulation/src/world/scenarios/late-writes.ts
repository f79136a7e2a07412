import {
  CALENDAR,
  LEADER,
  LOG_ENTRIES,
  CLASS_DURATIONS,
  MACHINE_TYPES,
} from '@lilacvalve/controller/jobs/keys';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** What is neither a job's nor a record. */
const kindOf = (key: string): string | null =>
  key === LEADER
    ? 'campaign'
    : key.startsWith(MACHINE_TYPES) || key === CLASS_DURATIONS
      ? 'hint'
      : key.startsWith(CALENDAR)
        ? 'calendar'
        : null;

/** Transactions get no answer and are carried out 2 to 12 s later, after newer ones of the same controller. */
export const lateWrites = (kit: ScenarioKit): Scenario => {
  kit.world.state.onLate = (key) => {
    const { world } = kit;
    const then = world.term();
    const record = key.startsWith(LOG_ENTRIES);
    const leader = world.leader();
    // It ends before it knows what became of its record, and the next one writes its own first.
    if (record && leader !== undefined && world.random.chance(0.1))
      kit.after(world.random.between(0, 1e6), () => kit.changeLeader(leader));
    const kind = kindOf(key);
    return () => {
      const now = world.term();
      if (kind !== null) kit.record(`late ${kind}`);
      if (then !== null && now !== null && now > then)
        kit.record(record ? 'record after a change of leader' : 'write after a change of leader');
    };
  };
  return {
    begin: () => {
      const { world } = kit;
      world.strike('lateWrites');
      const lasts = world.random.between(8e6, 30e6);
      world.state.lateShare = world.random.between(0.05, 0.4);
      world.disturbed(lasts + 12e6);
      kit.after(lasts, () => (world.state.lateShare = 0));
      // What the old leader has sent is carried out under the new one.
      const leader = world.leader();
      if (leader !== undefined && world.random.chance(0.7))
        kit.after(world.random.between(2e6, lasts), () => kit.changeLeader(leader));
    },
  };
};
