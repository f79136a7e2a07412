/** Collects the usage that the leader's next log entry books, as of the time of day of that entry. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import { borrowedBy } from '../lending/loans.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { openPlacementsAt } from './ledger.js';
import { needsCapacityBound } from './aggregate.js';
import { MINUTE, type AmountsByGroup, type Usage } from './model.js';
import { type UsageSources, totalCapacity, UsageRows } from './usage-rows.js';

/**
 * Whether a replica runs on lent GPUs. A loan belongs to the job and not to one replica. The replicas that were started last
 * are taken to run on the lent GPUs: as many of them as the GPUs still lent when this replica ends suffice for.
 */
export const onLentCapacity = (job: Job, task: number): boolean => {
  const borrowed = borrowedBy(job);
  const placement = job.placed.get(task);
  if (borrowed === 0 || placement === undefined) return false;
  let startedLater = 0;
  for (const other of job.placed.values())
    if (other.since > placement.since || (other.since === placement.since && other.task > task))
      startedLater++;
  return startedLater * Math.round(job.spec.gpus * 1000) < borrowed;
};

/** The accounts' content of one log entry that is being drafted. */
export class LogEntryUsage {
  readonly usageRows: UsageRows;
  /** Usage of the placements that are running when a period ends, before the log entry's own exits and starts. */
  private open: AmountsByGroup = new Map();

  constructor(
    private readonly context: CycleContext,
    readonly at: Micros,
  ) {
    const { registry, leaderTerm, clock, dayTime } = context;
    const [now, day] = [clock(), dayTime()];
    const dayOf = (clockTime: Micros): Micros => (day - (now - clockTime)) as Micros;
    const sources: UsageSources = {
      phases: registry.phases,
      kindOf: (id) => registry.kindOf(id),
      types: new Map(context.types().map((type) => [type.name, type])),
      onLentCapacity: onLentCapacity,
      termFrom: dayOf(leaderTerm.began),
      dayTimeOf: dayOf,
    };
    this.usageRows = new UsageRows(sources, at);
  }

  /** Called once the log entry with this usage is committed: keeps what the page of the closed period needs. */
  committed(usage: Usage): void {
    const { context } = this;
    if (usage.closes === null) return;
    context.ledger.closing.set(usage.closes, {
      open: this.open,
      shares: context.ledger.share.take(context.clock()),
    });
  }

  /** Returns the usage for the header of the log entry. */
  usage(): Usage {
    const { context, at } = this;
    const { accounts } = context.jobState;
    const minute = (at - (at % MINUTE)) as Micros;
    const types = new Map(context.types().map((type) => [type.name, type]));
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
