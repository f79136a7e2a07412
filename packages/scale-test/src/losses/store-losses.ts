/**
 * Injects outages and data losses of the state service, kills controllers around them, and measures the recovery time.
 */
import { sleepMs } from '../clock.js';
import type { ControllerProcess } from '../controllers.js';
import type { Random } from '../random.js';
import type { StateService } from '../state-service.js';
import type { ControllerFaults, KillTarget } from './controller-faults.js';

/** Keys of the controllers in the state service: store incarnation, phase of the rebuild, leader lease. */
const INCARNATION_PREFIX = 's/l/i/';
const REBUILD_KEY = 's/l/rebuild';
const LEADER_KEY = 's/leader';
/** Part of the rebuild key's JSON value while no rebuild is in progress. */
const NO_REBUILD_PHASE = '"wait"';

/** What a data loss affects: all data (null), or the changes of the last milliseconds. */
const LOST_MS = [null, 1000, 5000, 20_000] as const;
const OUTAGE_S = { min: 0.5, max: 4 };
const RESTART_DELAY_S = { min: 1, max: 5 };
const REBUILDER_RESTART_DELAY_S = 3;
const KILL_DELAY_S = { min: -1, max: 5 };
/**
 * Delay before a data loss if controllers are also restarted between the losses. Within it, a controller reads the
 * store and survives until the loss; otherwise no controller remembers the lost data.
 */
const STORE_READ_DELAY_S = 6;
const RECOVERY_TIMEOUT_MS = 40_000;
const RECOVERY_CHECK_EVERY_MS = 100;
const MAX_KILL_OFFSET_MS = 300;

/** The components that the losses affect, and callbacks for faults and violations. */
export interface StoreLossesDependencies {
  readonly random: Random;
  readonly store: StateService;
  readonly controllers: readonly ControllerProcess[];
  readonly faults: ControllerFaults;
  readonly killTarget: KillTarget;
  /** Average interval of controller kills between the data losses, in seconds; 0: none. */
  readonly restartEveryS: number;
  readonly onFault: (seconds: number) => void;
  readonly onViolation: (violation: string) => void;
}

/** Injects the random data losses and kills of one run. */
export class StoreLosses {
  /** Recovery times: seconds from each data loss until the store was rebuilt. */
  readonly recoveriesS: number[] = [];
  private lossInProgress = false;

  constructor(private readonly dependencies: StoreLossesDependencies) {}

  /** Injects one data loss: after an optional outage, the service is available again without all or its latest data. */
  async lose(): Promise<void> {
    this.lossInProgress = true;
    const { random, store, onFault, onViolation } = this.dependencies;
    await sleepMs(this.dependencies.restartEveryS > 0 ? STORE_READ_DELAY_S * 1000 : 0);
    const outageS = random.below(2) * random.between(OUTAGE_S.min, OUTAGE_S.max);
    const lostMs = LOST_MS[random.below(LOST_MS.length)] ?? null;
    this.killAroundLoss(outageS);
    store.setOutage(true);
    onFault(outageS);
    await sleepMs(outageS * 1000);
    const previousIncarnation = this.incarnation();
    store.loseData(lostMs);
    store.setOutage(false);
    const recoveryS = await this.awaitRecovery(previousIncarnation);
    if (recoveryS !== null) this.recoveriesS.push(recoveryS);
    // After a partial loss no rebuild is needed if no controller had read the lost changes.
    else if (lostMs === null) onViolation('the store was not rebuilt within 40 s after losing all data');
    this.lossInProgress = false;
  }

  /** Repeatedly kills one, the leader, half or all of the controllers, but not during a data loss and its recovery. */
  async restartUntil(isFinished: () => boolean): Promise<void> {
    const { random, controllers, faults, restartEveryS } = this.dependencies;
    while (!isFinished()) {
      await sleepMs(random.between(restartEveryS * 0.5, restartEveryS * 1.5) * 1000);
      if (this.lossInProgress) continue;
      const choices = [
        this.randomController(),
        this.leader(),
        controllers.slice(0, Math.ceil(controllers.length / 2)),
        controllers,
      ];
      for (const controller of choices[random.below(choices.length)] ?? [])
        setTimeout(
          () =>
            faults.kill(controller, random.between(RESTART_DELAY_S.min, RESTART_DELAY_S.max), {
              unless: () => this.lossInProgress,
            }),
          random.between(0, MAX_KILL_OFFSET_MS),
        );
    }
  }

  private killAroundLoss(outageS: number): void {
    const { random, faults, killTarget } = this.dependencies;
    const earliestS = killTarget === 'all' ? 0 : KILL_DELAY_S.min;
    for (const controller of this.controllersToKill())
      setTimeout(
        () => faults.kill(controller, random.between(RESTART_DELAY_S.min, RESTART_DELAY_S.max)),
        (random.between(earliestS, KILL_DELAY_S.max) + outageS) * 1000,
      );
  }

  private controllersToKill(): readonly ControllerProcess[] {
    switch (this.dependencies.killTarget) {
      case 'one':
        return this.randomController();
      case 'leader':
        return this.leader();
      case 'all':
        return this.dependencies.controllers;
      case 'none':
      case 'rebuilder':
        return [];
    }
  }

  /** Returns the seconds until the store has a new incarnation and no rebuild is in progress; null after a timeout. */
  private async awaitRecovery(previousIncarnation: string | null): Promise<number | null> {
    const lostAt = performance.now();
    let rebuilderKilled = false;
    while (performance.now() - lostAt < RECOVERY_TIMEOUT_MS) {
      await sleepMs(RECOVERY_CHECK_EVERY_MS);
      const current = this.incarnation();
      if (current === null || current === previousIncarnation) continue;
      if (this.dependencies.killTarget === 'rebuilder' && !rebuilderKilled) {
        rebuilderKilled = true;
        for (const leader of this.leader()) this.dependencies.faults.kill(leader, REBUILDER_RESTART_DELAY_S);
      }
      if (this.isRebuilt()) return (performance.now() - lostAt) / 1000;
    }
    return null;
  }

  private incarnation(): string | null {
    return this.dependencies.store.keysUnder(INCARNATION_PREFIX)[0] ?? null;
  }

  private isRebuilt(): boolean {
    const phase = this.dependencies.store.get(REBUILD_KEY);
    return phase === undefined || JSON.stringify(phase).includes(NO_REBUILD_PHASE);
  }

  private randomController(): readonly ControllerProcess[] {
    const { random, controllers } = this.dependencies;
    const index = random.below(controllers.length);
    return controllers.slice(index, index + 1);
  }

  /** Returns the controller that holds the leader lease; empty if there is none. */
  private leader(): readonly ControllerProcess[] {
    const leaderLease = this.dependencies.store.get(LEADER_KEY) as { readonly node?: string } | undefined;
    return this.dependencies.controllers.filter(({ address }) => address.label === leaderLease?.node);
  }
}
