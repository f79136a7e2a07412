/** Compares the usage accounts of all controllers with each other, and with the simulation's own count. */
import { encodeRows } from '@lilacvalve/controller/accounts/codec';
import type { Controller } from '@lilacvalve/controller/controller';
import type { Controllers } from './controllers.js';
import {
  gapExcesses,
  type UsageCount,
  differences,
  type ControllerAccounts,
  pageErrors,
  sumsOf,
} from './usage-count.js';
import type { StateService } from './state-service/state-service.js';

type RunningController = ReturnType<Controllers['up']>[number];

/** Compares the usage accounts that controllers keep. Every method returns its violations, one line each. */
export class AccountsCheck {
  constructor(
    private readonly controllers: Controllers,
    private readonly state: StateService,
    private readonly count: UsageCount,
    private readonly kindOf: (machine: string) => string,
  ) {}

  /** Returns the differences between the accounts of controllers that have applied the same log entries. */
  compareControllers(): string[] {
    const violations: string[] = [];
    const first = new Map<string, { readonly name: string; readonly text: string }>();
    for (const { name, controller } of this.current()) {
      const { accounts } = controller.jobState;
      const position = `life ${accounts.life}, log entry ${accounts.upTo}`;
      const text = JSON.stringify([
        accounts.at,
        accounts.closed,
        encodeRows(accounts.rows),
        encodeRows(accounts.current),
        accounts.gaps,
      ]);
      const other = first.get(position);
      if (other === undefined) first.set(position, { name, text });
      else if (other.text !== text)
        violations.push(`accounts: ${name} and ${other.name} differ as of ${position}`);
    }
    return violations;
  }

  /**
   * Compares each controller's accounts with the simulation's own count. They must match exactly; after a data loss
   * through which some usage became unknown, only outside of the gaps that the accounts list. `lossless`: no data was
   * lost so far, so that the stored pages can be compared too.
   */
  compareWithCount(lossless: boolean): string[] {
    const violations = this.count.earlyDeletions.map((early) => `accounts: ${early}`);
    if (this.count.forked) return violations;
    for (const { name, controller } of this.current()) {
      const { accounts } = controller.jobState;
      const reported = sumsOf({ accounts, open: this.placedTasks(controller) });
      const placed = this.count.placed(accounts.upTo);
      const counted = placed.total();
      const differing =
        accounts.gaps.length === 0
          ? differences(counted, reported)
          : gapExcesses(counted, reported, accounts.gaps);
      // The stored pages are taken as of the controller's own revision, since its view may not have received the
      // latest page yet.
      if (lossless)
        differing.push(...pageErrors(this.state.entriesAt(controller.jobState.revision), accounts, placed));
      violations.push(
        ...differing.map((difference) => `accounts: ${name} as of log entry ${accounts.upTo}: ${difference}`),
      );
    }
    return violations;
  }

  /** Returns the tasks that are placed according to a controller's view. */
  private placedTasks(controller: Controller): ControllerAccounts['open'] {
    const tasks: ControllerAccounts['open'][number][] = [];
    for (const { spec, placed } of controller.jobState.jobs.values())
      for (const placement of placed.values())
        tasks.push({
          group: JSON.stringify([spec.team, spec.jobClass, this.kindOf(placement.machine)]),
          since: placement.since,
          shape: [spec.cpus * 1000, spec.gpus * 1000, spec.memGb * 1000],
        });
    return tasks;
  }

  /**
   * Returns the ready controllers whose view matches the current store: no suspected data loss and no rebuild in
   * progress.
   */
  private current(): RunningController[] {
    return this.controllers
      .up()
      .filter(
        ({ controller }) =>
          controller.unreadyReason() === null &&
          controller.lossDetector.incarnation !== null &&
          !controller.lossDetector.suspected &&
          controller.jobState.rebuild === null,
      );
  }
}
