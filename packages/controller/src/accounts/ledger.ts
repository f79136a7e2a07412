/** What a leader gathers in its leadership term for the next pages. Nothing of it is durable before its page is. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { addAmounts, amountsOf } from './fold.js';
import { type Amounts, groupKey, type Rows, SPLITS } from './model.js';
import { Balance, ShareBook, type Shares } from './share.js';
import { kindName, type KindOf, rateOf } from './spent.js';
import type { MachineType } from '../provisioning/model.js';

/** What is placed now, from its start until `at`, under the split `unknown`: what the time was is known at its end. */
export const openAt = (
  jobState: JobState,
  at: Micros,
  kindOf: (machine: string) => KindOf | null,
  types: ReadonlyMap<string, MachineType>,
): Rows => {
  const out = new Map<string, Amounts>();
  const split = SPLITS.indexOf('unknown');
  for (const job of jobState.jobs.values()) {
    const { spec } = job;
    const shape = [spec.cpus, spec.gpus, spec.memGb].map((x) => Math.round(x * 1000)) as [
      number,
      number,
      number,
    ];
    const us = new Map<string, number>();
    for (const p of job.placed.values())
      if (p.since > 0 && p.since < at) us.set(p.machine, (us.get(p.machine) ?? 0) + (at - p.since));
    for (const [machine, n] of us) {
      const kind = kindOf(machine);
      const rate = kind === null ? 0 : rateOf(job, types.get(kind.type), kind.spot);
      const group = [spec.team, spec.jobClass, kindName(kind)] as const;
      const a = amountsOf({ group, shape, rate, us: SPLITS.map((_, i) => (i === split ? n : 0)) });
      const key = groupKey(group);
      const old = out.get(key);
      out.set(key, old === undefined ? a : addAmounts(old, a));
    }
  }
  return out;
};

export class Ledger {
  readonly share = new ShareBook();
  /** null: it is off, as always in `run`. */
  readonly balance: Balance | null;
  /** By the end of a period: what stood open then, and who waited in it as far as this leader saw. */
  readonly closing = new Map<Micros, { readonly open: Rows; readonly shares: Shares }>();
  /** When pages were last looked through for those that are to be joined. */
  joinedAt = Number.NEGATIVE_INFINITY;

  constructor(halfLife: Micros | null = null) {
    this.balance = halfLife === null ? null : new Balance(halfLife);
  }
}
