/** Kills controllers and restarts them after a delay. */
import type { ControllerProcess } from '../controllers.js';
import type { Random } from '../random.js';

/** Which controllers are killed around each data loss. */
export const KILL_TARGETS = ['none', 'one', 'leader', 'rebuilder', 'all'] as const;
/** The controllers that are killed around each data loss. */
export type KillTarget = (typeof KILL_TARGETS)[number];

/** Maximum number of kills in a series: the first kill and the kills repeated after each restart. */
const MAX_KILLS_IN_SERIES = 4;
const IMMEDIATE_RESTART_DELAY_S = { min: 0.005, max: 0.1 };
const REPEATED_KILL_DELAY_S = { min: 0.05, max: 3 };

/** Random source, mode and callback of the controller faults. */
export interface ControllerFaultsDependencies {
  readonly random: Random;
  /** Whether killed controllers are restarted within 100 ms and killed again a few times. */
  readonly restartAtOnce: boolean;
  /** Called when a fault begins, with its duration in seconds. */
  readonly onFault: (seconds: number) => void;
}

/** Options of a kill. */
export interface KillOptions {
  /** Number of repeated kills after the restart; random by default. */
  readonly repeats?: number;
  /** The controller is not killed if this returns true. */
  readonly unless?: () => boolean;
}

/** Kills controllers with SIGKILL until `stop` is called. A controller that is down is not killed. */
export class ControllerFaults {
  kills = 0;
  private stopped = false;
  private readonly downControllers = new Set<ControllerProcess>();

  constructor(private readonly dependencies: ControllerFaultsDependencies) {}

  /** Stops the faults: no controller is killed or restarted from now on. */
  stop(): void {
    this.stopped = true;
  }

  /** Marks a controller that exited unexpectedly as down; it is not restarted. */
  markExited(controller: ControllerProcess): void {
    this.downControllers.add(controller);
  }

  /** Kills a controller and restarts it after `restartDelayS` seconds, or within 100 ms if `restartAtOnce` is set. */
  kill(controller: ControllerProcess, restartDelayS: number, options: KillOptions = {}): void {
    const { random, restartAtOnce, onFault } = this.dependencies;
    const { repeats = random.below(MAX_KILLS_IN_SERIES), unless = () => false } = options;
    if (this.downControllers.has(controller) || this.stopped || unless()) return;
    this.kills++;
    this.downControllers.add(controller);
    controller.kill('SIGKILL');
    const downtimeS = restartAtOnce
      ? random.between(IMMEDIATE_RESTART_DELAY_S.min, IMMEDIATE_RESTART_DELAY_S.max)
      : restartDelayS;
    const repeatDelayS = random.between(REPEATED_KILL_DELAY_S.min, REPEATED_KILL_DELAY_S.max);
    onFault(downtimeS);
    setTimeout(() => {
      if (this.stopped) return;
      this.downControllers.delete(controller);
      controller.start();
      if (restartAtOnce && repeats > 0)
        setTimeout(
          () => this.kill(controller, restartDelayS, { repeats: repeats - 1, unless }),
          repeatDelayS * 1000,
        );
    }, downtimeS * 1000);
  }
}
