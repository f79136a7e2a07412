/** What the leader's next log entry says for the accounts: prepared before it is drafted, as of the log entry's time of day. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import { borrowedBy } from '../lending/loans.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { openAt } from './ledger.js';
import { wantsBound } from './fold.js';
import { MINUTE, type Rows, type Spent } from './model.js';
import { type Books, roomOf, Spending } from './spent.js';

/**
 * Whether a replica ran on lent capacity: loans are of the job, so they are taken to be of the replicas that were started last,
 * as many as what is lent when it ends suffices for.
 */
export const onLentRoom = (job: Job, task: number): boolean => {
  const borrowed = borrowedBy(job);
  const p = job.placed.get(task);
  if (borrowed === 0 || p === undefined) return false;
  let later = 0;
  for (const q of job.placed.values())
    if (q.since > p.since || (q.since === p.since && q.task > task)) later++;
  return later * Math.round(job.spec.gpus * 1000) < borrowed;
};

export class Booking {
  readonly spending: Spending;
  /** What stands open where a period ends, before the log entry's own ends and starts. */
  private open: Rows = new Map();

  constructor(
    private readonly t: CycleContext,
    readonly at: Micros,
  ) {
    const { registry, leaderTerm, clock, dayTime } = t;
    const [now, day] = [clock(), dayTime()];
    const dayOf = (c: Micros): Micros => (day - (now - c)) as Micros;
    const books: Books = {
      phases: registry.phases,
      kindOf: (id) => registry.kindOf(id),
      types: new Map(t.types().map((k) => [k.name, k])),
      lent: onLentRoom,
      reignFrom: dayOf(leaderTerm.began),
      day: dayOf,
    };
    this.spending = new Spending(books, at);
  }

  /** The log entry that says so is committed. */
  committed(spent: Spent): void {
    const { t } = this;
    if (spent.closes === null) return;
    t.ledger.closing.set(spent.closes, { open: this.open, shares: t.ledger.share.take(t.clock()) });
  }

  /** What the head of the log entry says. */
  spent(): Spent {
    const { t, at } = this;
    const { accounts } = t.jobState;
    const minute = (at - (at % MINUTE)) as Micros;
    const types = new Map(t.types().map((k) => [k.name, k]));
    const closes = minute > accounts.closed ? minute : null;
    if (closes !== null) this.open = openAt(t.jobState, closes, (id) => t.registry.kindOf(id), types);
    return {
      rows: this.spending.all(),
      closes,
      bound: wantsBound(accounts)
        ? { room: roomOf(t.registry.machines.values(), types), shut: t.jobState.quiescent }
        : null,
    };
  }
}
