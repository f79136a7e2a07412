/** Holds the accounts of every controller against one another, and against the simulation's own count. */
import { encodeRows } from '@lilacvalve/controller/accounts/codec';
import type { Controller } from '@lilacvalve/controller/controller';
import type { Controllers } from './controllers.js';
import { beyondGaps, type UsageCount, differences, type Held, pagesWrong, sumsOf } from './usage-count.js';
import type { StateService } from './state-service/state-service.js';

type Named = ReturnType<Controllers['up']>[number];

/** Compares the accounts that controllers keep. Every method returns what is wrong, a line each. */
export class AccountsCheck {
  constructor(
    private readonly controllers: Controllers,
    private readonly state: StateService,
    private readonly count: UsageCount,
    private readonly kindOf: (machine: string) => string,
  ) {}

  /** What the controllers' accounts have otherwise than one another. */
  apart(): string[] {
    const out: string[] = [];
    const first = new Map<string, { readonly name: string; readonly text: string }>();
    for (const { name, node } of this.current()) {
      const { accounts } = node.jobState;
      const at = `life ${accounts.life}, record ${accounts.upTo}`;
      const text = JSON.stringify([
        accounts.at,
        accounts.closed,
        encodeRows(accounts.rows),
        encodeRows(accounts.current),
        accounts.gaps,
      ]);
      const other = first.get(at);
      if (other === undefined) first.set(at, { name, text });
      else if (other.text !== text) out.push(`accounts: ${name} has others than ${other.name} as of ${at}`);
    }
    return out;
  }

  /**
   * What differs from the simulation's own count, exactly; after a loss through which not all was known, beyond the gaps
   * that the accounts name. `lossless`: nothing was lost so far, so that the pages can be compared too.
   */
  wrong(lossless: boolean): string[] {
    const out = this.count.early.map((early) => `accounts: ${early}`);
    if (this.count.forked) return out;
    for (const { name, node } of this.current()) {
      const { accounts } = node.jobState;
      const told = sumsOf({ accounts, open: this.open(node) });
      const placed = this.count.placed(accounts.upTo);
      const counted = placed.total();
      const wrong =
        accounts.gaps.length === 0 ? differences(counted, told) : beyondGaps(counted, told, accounts.gaps);
      // As of its own view: a page that was written a moment ago may not have come to it yet.
      if (lossless) wrong.push(...pagesWrong(this.state.entriesAt(node.jobState.revision), accounts, placed));
      out.push(...wrong.map((what) => `accounts: ${name} as of ${accounts.upTo}: ${what}`));
    }
    return out;
  }

  /** What a controller has placed now. */
  private open(node: Controller): Held['open'] {
    const open: Held['open'][number][] = [];
    for (const { spec, placed } of node.jobState.jobs.values())
      for (const placement of placed.values())
        open.push({
          group: JSON.stringify([spec.team, spec.jobClass, this.kindOf(placement.machine)]),
          since: placement.since,
          shape: [spec.cpus * 1000, spec.gpus * 1000, spec.memGb * 1000],
        });
    return open;
  }

  /** Controllers whose view is of the store as it is. */
  private current(): Named[] {
    return this.controllers
      .up()
      .filter(
        ({ node }) =>
          node.unreadyReason() === null &&
          node.lossDetector.incarnation !== null &&
          !node.lossDetector.suspected &&
          node.jobState.rebuild === null,
      );
  }
}
