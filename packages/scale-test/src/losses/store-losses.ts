/** Outages and losses of the state service, with kills of controllers near them, and how long recovery takes. */
import { sleepMs } from '../clock.js';
import type { ControllerProcess } from '../controllers.js';
import type { Random } from '../random.js';
import type { StateService } from '../state-service.js';
import type { ControllerFaults, Killed } from './controller-faults.js';

/** Keys that the controllers keep in the state service: the store's incarnation, a rebuild's phase, the leader lease. */
const INCARNATION_PREFIX = 's/l/i/';
const REBUILD_KEY = 's/l/rebuild';
const LEADER_KEY = 's/leader';
/** The phase in which no rebuild is under way, as it is written. */
const NO_REBUILD = '"wait"';

/** What is lost: everything (null), or the changes of the last milliseconds. */
const LOST_MS = [null, 1000, 5000, 20_000] as const;
const OUTAGE_S = { least: 0.5, most: 4 };
const BACK_S = { least: 1, most: 5 };
const REBUILDER_BACK_S = 3;
const KILL_AFTER_S = { least: -1, most: 5 };
/** While controllers are restarted between losses: before a loss, somebody must have read the store and live on. */
const READ_WITHIN_S = 6;
const RECOVERY_WITHIN_MS = 40_000;
const LOOK_EVERY_MS = 100;
const RESTARTS_WITHIN_MS = 300;

/** What the losses act on, and who is told of them. */
export interface StoreLossParts {
  readonly random: Random;
  readonly store: StateService;
  readonly controllers: readonly ControllerProcess[];
  readonly faults: ControllerFaults;
  readonly killed: Killed;
  /** Between the losses some controllers are killed about every so many seconds; 0: never. */
  readonly restartEveryS: number;
  readonly onFault: (seconds: number) => void;
  readonly onViolation: (violation: string) => void;
}

/** Draws the faults of one run. */
export class StoreLosses {
  /** Seconds from each loss until the store was rebuilt. */
  readonly recoveriesS: number[] = [];
  private isLosing = false;

  constructor(private readonly parts: StoreLossParts) {}

  /** One loss: the service is out for a moment or not at all, and comes back without everything or the last seconds. */
  async lose(): Promise<void> {
    this.isLosing = true;
    const { random, store, onFault, onViolation } = this.parts;
    await sleepMs(this.parts.restartEveryS > 0 ? READ_WITHIN_S * 1000 : 0);
    const outageS = random.below(2) * random.between(OUTAGE_S.least, OUTAGE_S.most);
    const lostMs = LOST_MS[random.below(LOST_MS.length)] ?? null;
    this.killNear(outageS);
    store.outage(true);
    onFault(outageS);
    await sleepMs(outageS * 1000);
    const before = this.incarnation();
    store.lose(lostMs);
    store.outage(false);
    const recoveredS = await this.recovery(before);
    if (recoveredS !== null) this.recoveriesS.push(recoveredS);
    // What was lost may have been nothing that anybody had seen, unless it was everything.
    else if (lostMs === null) onViolation('no rebuild within 40 s of a loss of everything');
    this.isLosing = false;
  }

  /** Kills one, the leader, half or all of the controllers now and then, but not while the store loses data. */
  async restartUntil(isOver: () => boolean): Promise<void> {
    const { random, controllers, faults, restartEveryS } = this.parts;
    while (!isOver()) {
      await sleepMs(random.between(restartEveryS * 0.5, restartEveryS * 1.5) * 1000);
      if (this.isLosing) continue;
      const choices = [
        this.anyController(),
        this.leader(),
        controllers.slice(0, Math.ceil(controllers.length / 2)),
        controllers,
      ];
      for (const controller of choices[random.below(choices.length)] ?? [])
        setTimeout(
          () =>
            faults.kill(controller, random.between(BACK_S.least, BACK_S.most), {
              unless: () => this.isLosing,
            }),
          random.between(0, RESTARTS_WITHIN_MS),
        );
    }
  }

  private killNear(outageS: number): void {
    const { random, faults, killed } = this.parts;
    const earliestS = killed === 'all' ? 0 : KILL_AFTER_S.least;
    for (const controller of this.killedNear())
      setTimeout(
        () => faults.kill(controller, random.between(BACK_S.least, BACK_S.most)),
        (random.between(earliestS, KILL_AFTER_S.most) + outageS) * 1000,
      );
  }

  private killedNear(): readonly ControllerProcess[] {
    switch (this.parts.killed) {
      case 'one':
        return this.anyController();
      case 'leader':
        return this.leader();
      case 'all':
        return this.parts.controllers;
      case 'none':
      case 'rebuilder':
        return [];
    }
  }

  /** Seconds until the store has another incarnation and no rebuild is under way; null: that takes too long. */
  private async recovery(before: string | null): Promise<number | null> {
    const lostAt = performance.now();
    let rebuilderKilled = false;
    while (performance.now() - lostAt < RECOVERY_WITHIN_MS) {
      await sleepMs(LOOK_EVERY_MS);
      const now = this.incarnation();
      if (now === null || now === before) continue;
      if (this.parts.killed === 'rebuilder' && !rebuilderKilled) {
        rebuilderKilled = true;
        for (const leader of this.leader()) this.parts.faults.kill(leader, REBUILDER_BACK_S);
      }
      if (this.isRebuilt()) return (performance.now() - lostAt) / 1000;
    }
    return null;
  }

  private incarnation(): string | null {
    return this.parts.store.keysUnder(INCARNATION_PREFIX)[0] ?? null;
  }

  private isRebuilt(): boolean {
    const phase = this.parts.store.get(REBUILD_KEY);
    return phase === undefined || JSON.stringify(phase).includes(NO_REBUILD);
  }

  private anyController(): readonly ControllerProcess[] {
    const { random, controllers } = this.parts;
    const index = random.below(controllers.length);
    return controllers.slice(index, index + 1);
  }

  /** The controller that holds the leader lease; empty: there is none. */
  private leader(): readonly ControllerProcess[] {
    const held = this.parts.store.get(LEADER_KEY) as { readonly node?: string } | undefined;
    return this.parts.controllers.filter(({ address }) => address.label === held?.node);
  }
}
