/** What a leader gathers during its term for the next pages of the accounts. It is kept in memory until the page is written. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { addAmounts, amountsOf } from './aggregate.js';
import { type Amounts, groupKey, type AmountsByGroup, USAGE_CATEGORIES } from './model.js';
import { Balance, ShareRecorder, type Shares } from './share.js';
import { kindName, type MachineKind, rateOf } from './usage-rows.js';
import type { MachineType } from '../provisioning/model.js';

/**
 * Returns the usage of the placements that have not ended, from the start of each until `at`. All of it is in the category
 * `unknown`, because a placement's time is split into categories only when it ends.
 */
export const openPlacementsAt = (
  jobState: JobState,
  at: Micros,
  kindOf: (machine: string) => MachineKind | null,
  types: ReadonlyMap<string, MachineType>,
): AmountsByGroup => {
  const out = new Map<string, Amounts>();
  const unknownIndex = USAGE_CATEGORIES.indexOf('unknown');
  for (const job of jobState.jobs.values()) {
    const { spec } = job;
    const shape = [spec.cpus, spec.gpus, spec.memGb].map((amount) => Math.round(amount * 1000)) as [
      number,
      number,
      number,
    ];
    const usByMachine = new Map<string, number>();
    for (const placement of job.placed.values())
      if (placement.since > 0 && placement.since < at)
        usByMachine.set(
          placement.machine,
          (usByMachine.get(placement.machine) ?? 0) + (at - placement.since),
        );
    for (const [machine, openUs] of usByMachine) {
      const kind = kindOf(machine);
      const rate = kind === null ? 0 : rateOf(job, types.get(kind.type), kind.spot);
      const group = [spec.team, spec.jobClass, kindName(kind)] as const;
      const amounts = amountsOf({
        group,
        shape,
        rate,
        us: USAGE_CATEGORIES.map((_, i) => (i === unknownIndex ? openUs : 0)),
      });
      const key = groupKey(group);
      const old = out.get(key);
      out.set(key, old === undefined ? amounts : addAmounts(old, amounts));
    }
  }
  return out;
};

export class Ledger {
  readonly share = new ShareRecorder();
  /** null: the balance between teams is off, which is the default. */
  readonly balance: Balance | null;
  /** By the end of a closed period: usage of the placements that were open then, and the shares that this leader recorded. */
  readonly closing = new Map<Micros, { readonly open: AmountsByGroup; readonly shares: Shares }>();
  /** Clock time of the last search for pages to join. */
  joinedAt = Number.NEGATIVE_INFINITY;

  constructor(halfLife: Micros | null = null) {
    this.balance = halfLife === null ? null : new Balance(halfLife);
  }
}
