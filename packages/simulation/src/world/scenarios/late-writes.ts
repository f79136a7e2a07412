import { CALENDAR, LEADER, RECORD, SHOWN, TYPES } from '@lilacvalve/controller/jobs/keys';
import type { Shared, Trouble } from './scenario-kit.js';

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
export const lateWrites = (m: Shared): Trouble => {
  m.w.state.onLate = (key) => {
    const { w } = m;
    const then = w.term();
    const record = key.startsWith(RECORD);
    const leader = w.leader();
    // It ends before it knows what became of its record, and the next one writes its own first.
    if (record && leader !== undefined && w.luck.chance(0.1))
      m.at(w.luck.between(0, 1e6), () => m.change(leader));
    const kind = kindOf(key);
    return () => {
      const now = w.term();
      if (kind !== null) m.meet(`late ${kind}`);
      if (then !== null && now !== null && now > then)
        m.meet(record ? 'record after a change of leader' : 'write after a change of leader');
    };
  };
  return {
    begin: () => {
      const { w } = m;
      w.strike('lateWrites');
      const lasts = w.luck.between(8e6, 30e6);
      w.state.lateShare = w.luck.between(0.05, 0.4);
      w.troubled(lasts + 12e6);
      m.at(lasts, () => (w.state.lateShare = 0));
      // What the old leader has sent is carried out under the new one.
      const leader = w.leader();
      if (leader !== undefined && w.luck.chance(0.7))
        m.at(w.luck.between(2e6, lasts), () => m.change(leader));
    },
  };
};
