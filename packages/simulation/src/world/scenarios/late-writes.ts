import { CALENDAR, LEADER, RECORD, SHOWN, TYPES } from '@lilacvalve/controller/jobs/keys';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** What is neither a job's nor a record. */
const kindOf = (key: string): string | null =>
  key === LEADER
    ? 'campaign'
    : key.startsWith(TYPES) || key === SHOWN
      ? 'hint'
      : key.startsWith(CALENDAR)
        ? 'calendar'
        : null;

/** Transactions get no answer and are carried out 2 to 12 s later, after newer ones of the same controller. */
export const lateWrites = (m: ScenarioKit): Scenario => {
  m.world.state.onLate = (key) => {
    const { world: w } = m;
    const then = w.term();
    const record = key.startsWith(RECORD);
    const leader = w.leader();
    // It ends before it knows what became of its record, and the next one writes its own first.
    if (record && leader !== undefined && w.random.chance(0.1))
      m.after(w.random.between(0, 1e6), () => m.changeLeader(leader));
    const kind = kindOf(key);
    return () => {
      const now = w.term();
      if (kind !== null) m.record(`late ${kind}`);
      if (then !== null && now !== null && now > then)
        m.record(record ? 'record after a change of leader' : 'write after a change of leader');
    };
  };
  return {
    begin: () => {
      const { world: w } = m;
      w.strike('lateWrites');
      const lasts = w.random.between(8e6, 30e6);
      w.state.lateShare = w.random.between(0.05, 0.4);
      w.disturbed(lasts + 12e6);
      m.after(lasts, () => (w.state.lateShare = 0));
      // What the old leader has sent is carried out under the new one.
      const leader = w.leader();
      if (leader !== undefined && w.random.chance(0.7))
        m.after(w.random.between(2e6, lasts), () => m.changeLeader(leader));
    },
  };
};
