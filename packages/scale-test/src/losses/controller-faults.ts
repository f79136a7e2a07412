/** Kills controllers and starts them again after a while. */
import type { ControllerProcess } from '../controllers.js';
import type { Random } from '../random.js';

/** Which controllers are killed near a loss. */
export const KILLED = ['none', 'one', 'leader', 'rebuilder', 'all'] as const;
/** One of them. */
export type Killed = (typeof KILLED)[number];

/** A controller that is killed again and again is so at most this often. */
const MOST_AGAIN = 4;
const BACK_AT_ONCE_S = { least: 0.005, most: 0.1 };
const AGAIN_AFTER_S = { least: 0.05, most: 3 };

/** What the faults act on, and who is told of them. */
export interface ControllerFaultParts {
  readonly random: Random;
  /** Killed controllers are started again at once, and killed again a few times. */
  readonly atOnce: boolean;
  /** A fault begins and lasts for so many seconds. */
  readonly onFault: (seconds: number) => void;
}

/** How one kill differs from others. */
export interface KillOptions {
  /** How often it may be killed again; drawn by default. */
  readonly again?: number;
  /** It is spared while this is so. */
  readonly unless?: () => boolean;
}

/** Kills controllers with SIGKILL until it is stopped. A controller that is down is not killed again. */
export class ControllerFaults {
  kills = 0;
  private stopped = false;
  private readonly down = new Set<ControllerProcess>();

  constructor(private readonly parts: ControllerFaultParts) {}

  /** From here on nothing is killed and nothing is started again. */
  stop(): void {
    this.stopped = true;
  }

  /** A controller that has ended by itself stays down. */
  endedByItself(controller: ControllerProcess): void {
    this.down.add(controller);
  }

  /** Kills a controller, which comes back after `backS` seconds, or at once where the run says so. */
  kill(controller: ControllerProcess, backS: number, options: KillOptions = {}): void {
    const { random, atOnce, onFault } = this.parts;
    const { again = random.below(MOST_AGAIN), unless = () => false } = options;
    if (this.down.has(controller) || this.stopped || unless()) return;
    this.kills++;
    this.down.add(controller);
    controller.kill('SIGKILL');
    const downS = atOnce ? random.between(BACK_AT_ONCE_S.least, BACK_AT_ONCE_S.most) : backS;
    const againAfterS = random.between(AGAIN_AFTER_S.least, AGAIN_AFTER_S.most);
    onFault(downS);
    setTimeout(() => {
      if (this.stopped) return;
      this.down.delete(controller);
      controller.start();
      if (atOnce && again > 0)
        setTimeout(() => this.kill(controller, backS, { again: again - 1, unless }), againAfterS * 1000);
    }, downS * 1000);
  }
}
