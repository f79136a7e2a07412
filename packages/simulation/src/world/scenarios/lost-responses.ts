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

const ACCOUNTS_PAGES = 's/a/p/';

/** The kind of a transaction, by the keys that it sets and deletes. */
export const kindOf = (when: readonly Condition[], then: readonly Write[]): string => {
  const sets = (prefix: string): boolean =>
    then.some((write) => 'set' in write && write.set.startsWith(prefix));
  const deletes = (prefix: string): boolean =>
    then.some((write) => 'delete' in write && write.delete.startsWith(prefix));
  if (sets(INCARNATION)) return 'incarnation';
  if (sets(LEADER)) return 'campaign';
  if (sets(LOG_ENTRIES))
    return /"l":|"r":|"y":/.test(JSON.stringify(then)) ? 'log entry with loans' : 'log entry';
  if (sets(FINAL_STATES)) return sets(CALENDAR) ? 'final state of jobs with cutoff bindings' : 'final state';
  if (deletes(LOG_ENTRIES)) return 'compaction';
  if (sets(ACCOUNTS_PAGES)) return 'accounts page';
  if (sets(ACTIVE_JOBS))
    return when.some((condition) => condition.key.startsWith(ACTIVE_JOBS) && condition.revision > 0)
      ? 'cancellation'
      : 'submission';
  if (sets(CLASS_DURATIONS)) return 'class durations';
  if (sets(CALENDAR)) return 'calendar';
  if (sets(MACHINE_TYPES)) return 'hint';
  return sets(STORE_STATUS) ? 'store status' : 'other';
};

/**
 * Transactions are committed immediately, but their responses are lost. The leader changes repeatedly, so that campaigns are
 * among these transactions.
 */
export const lostResponses = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  /** By revision: committed transactions that their senders have not read yet. */
  const unanswered = new Map<number, { readonly sender: string; readonly kind: string }>();
  world.state.onUnanswered = (sender, when, then, revision) => {
    const kind = kindOf(when, then);
    kit.record(`${kind} without a response`);
    unanswered.set(revision, { sender, kind });
    if (kind !== 'campaign') return;
    // After some timeouts the sender leads the term of this campaign.
    const term = then.flatMap((write) =>
      'set' in write && write.set === LEADER ? (write.value as { term: number }).term : [],
    )[0];
    const check = (remainingChecks: number): void => {
      if (world.leader() === sender && world.term() === term)
        return kit.record('leadership begun by the unanswered campaign');
      if (remainingChecks > 0) kit.after(100_000, () => check(remainingChecks - 1));
    };
    kit.after(100_000, () => check(25));
  };
  world.state.onRead = (sender, revision) => {
    for (const [committedAt, transaction] of unanswered) {
      if (committedAt > revision) continue;
      if (transaction.sender !== sender) kit.record(`${transaction.kind} read by another controller first`);
      unanswered.delete(committedAt);
    }
  };
  return {
    begin: () => {
      world.recordInjection('lostResponses');
      const durationUs = world.random.between(10e6, 30e6);
      world.state.unansweredFraction = world.random.between(0.1, 0.4);
      world.markDisruption(durationUs + 5e6);
      kit.after(durationUs, () => (world.state.unansweredFraction = 0));
      for (let i = 0; i < 6; i++)
        kit.after(world.random.between(0, durationUs), () => {
          const job = {
            ...PLAIN_JOB,
            tasks: 1 + world.random.int(2),
            cpus: 1,
            runUs: world.random.between(2e6, 20e6),
          };
          const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
          if (id !== undefined && world.random.chance(0.5))
            kit.after(world.random.between(1e6, 10e6), () => world.cancel(id, () => world.anyController(), () => undefined)); // prettier-ignore
        });
      for (
        let delay = world.random.between(1e6, 4e6);
        delay < durationUs;
        delay += world.random.between(5e6, 12e6)
      )
        kit.after(delay, () => {
          const leader = world.leader();
          if (leader !== undefined) kit.changeLeader(leader);
        });
    },
  };
};
