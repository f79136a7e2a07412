import {
  ACTIVE_JOBS,
  CALENDAR,
  FINAL_STATES,
  INCARNATION,
  LEADER,
  STORE_STATUS,
  LOG_ENTRIES,
  CLASS_DURATIONS,
  MACHINE_TYPES,
} from '@lilacvalve/controller/jobs/keys';
import type { Condition, Write } from '@lilacvalve/controller/state-store/client';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

const PAGES = 's/a/p/';

/** What a change is, by the keys that it sets and deletes. */
export const kindOf = (when: readonly Condition[], then: readonly Write[]): string => {
  const sets = (prefix: string): boolean => then.some((w) => 'set' in w && w.set.startsWith(prefix));
  const drops = (prefix: string): boolean => then.some((w) => 'delete' in w && w.delete.startsWith(prefix));
  if (sets(INCARNATION)) return 'incarnation';
  if (sets(LEADER)) return 'campaign';
  if (sets(LOG_ENTRIES)) return /"l":|"r":|"y":/.test(JSON.stringify(then)) ? 'record with loans' : 'record';
  if (sets(FINAL_STATES)) return sets(CALENDAR) ? 'closing of tied jobs' : 'closing';
  if (drops(LOG_ENTRIES)) return 'folding';
  if (sets(PAGES)) return 'page of the accounts';
  if (sets(ACTIVE_JOBS))
    return when.some((c) => c.key.startsWith(ACTIVE_JOBS) && c.revision > 0) ? 'withdrawal' : 'submission';
  if (sets(CLASS_DURATIONS)) return 'what classes have shown';
  if (sets(CALENDAR)) return 'calendar';
  if (sets(MACHINE_TYPES)) return 'hint';
  return sets(STORE_STATUS) ? 'calm or settled' : 'other';
};

/** Transactions are carried out at once and nothing is heard of them; the lead changes, so that campaigns are among them. */
export const lostResponses = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  /** By revision: what its sender does not know of yet. */
  const unheard = new Map<number, { readonly by: string; readonly kind: string }>();
  world.state.onUnanswered = (by, when, then, revision) => {
    const kind = kindOf(when, then);
    kit.record(`${kind} unheard`);
    unheard.set(revision, { by, kind });
    if (kind !== 'campaign') return;
    // Some time-outs later it leads by that very campaign.
    const term = then.flatMap((x) =>
      'set' in x && x.set === LEADER ? (x.value as { term: number }).term : [],
    )[0];
    const look = (times: number): void => {
      if (world.leader() === by && world.term() === term) return kit.record('lead taken up');
      if (times > 0) kit.after(100_000, () => look(times - 1));
    };
    kit.after(100_000, () => look(25));
  };
  world.state.onRead = (by, revision) => {
    for (const [at, one] of unheard) {
      if (at > revision) continue;
      if (one.by !== by) kit.record(`${one.kind} read by another first`);
      unheard.delete(at);
    }
  };
  return {
    begin: () => {
      world.strike('lostResponses');
      const lasts = world.random.between(10e6, 30e6);
      world.state.unansweredShare = world.random.between(0.1, 0.4);
      world.disturbed(lasts + 5e6);
      kit.after(lasts, () => (world.state.unansweredShare = 0));
      for (let n = 0; n < 6; n++)
        kit.after(world.random.between(0, lasts), () => {
          const job = {
            ...PLAIN_JOB,
            tasks: 1 + world.random.int(2),
            cpus: 1,
            runUs: world.random.between(2e6, 20e6),
          };
          const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
          if (id !== undefined && world.random.chance(0.5))
            kit.after(world.random.between(1e6, 10e6), () => world.cancel(id, () => world.anyNode(), () => undefined)); // prettier-ignore
        });
      for (let at = world.random.between(1e6, 4e6); at < lasts; at += world.random.between(5e6, 12e6))
        kit.after(at, () => {
          const leader = world.leader();
          if (leader !== undefined) kit.changeLeader(leader);
        });
    },
  };
};
