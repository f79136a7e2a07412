/** What the leader's next log entry says for the accounts: prepared before it is drafted, as of the log entry's time of day. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import { borrowedBy } from '../lending/loans.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { openPlacementsAt } from './ledger.js';
import { needsCapacityBound } from './fold.js';
import { MINUTE, type Rows, type Usage } from './model.js';
import { type UsageSources, totalCapacity, UsageRows } from './usage-rows.js';

/**
 * Whether a replica ran on lent capacity: loans are of the job, so they are taken to be of the replicas that were started last,
 * as many as what is lent when it ends suffices for.
 */
export const onLentCapacity = (job: Job, task: number): boolean => {
  const borrowed = borrowedBy(job);
  const p = job.placed.get(task);
  if (borrowed === 0 || p === undefined) return false;
  let later = 0;
  for (const q of job.placed.values())
    if (q.since > p.since || (q.since === p.since && q.task > task)) later++;
  return later * Math.round(job.spec.gpus * 1000) < borrowed;
};

export class Booking {
  readonly usageRows: UsageRows;
  /** What stands open where a period ends, before the log entry's own ends and starts. */
  private open: Rows = new Map();

  constructor(
    private readonly context: CycleContext,
    readonly at: Micros,
  ) {
    const { registry, leaderTerm, clock, dayTime } = context;
    const [now, day] = [clock(), dayTime()];
    const dayOf = (c: Micros): Micros => (day - (now - c)) as Micros;
    const books: UsageSources = {
      phases: registry.phases,
      kindOf: (id) => registry.kindOf(id),
      types: new Map(context.types().map((k) => [k.name, k])),
      onLentCapacity: onLentCapacity,
      termFrom: dayOf(leaderTerm.began),
      dayTimeOf: dayOf,
    };
    this.usageRows = new UsageRows(books, at);
  }

  /** The log entry that says so is committed. */
  committed(usage: Usage): void {
    const { context } = this;
    if (usage.closes === null) return;
    context.ledger.closing.set(usage.closes, {
      open: this.open,
      shares: context.ledger.share.take(context.clock()),
    });
  }

  /** What the head of the log entry says. */
  usage(): Usage {
    const { context, at } = this;
    const { accounts } = context.jobState;
    const minute = (at - (at % MINUTE)) as Micros;
    const types = new Map(context.types().map((k) => [k.name, k]));
    const closes = minute > accounts.closed ? minute : null;
    if (closes !== null)
      this.open = openPlacementsAt(context.jobState, closes, (id) => context.registry.kindOf(id), types);
    return {
      rows: this.usageRows.all(),
      closes,
      bound: needsCapacityBound(accounts)
        ? { room: totalCapacity(context.registry.machines.values(), types), shut: context.jobState.quiescent }
        : null,
    };
  }
}
