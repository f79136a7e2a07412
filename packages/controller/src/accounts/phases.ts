/**
 * When the leader first observed each phase of a placement: fetching its image, waiting for its gang, running. Kept by task
 * in the leader's worker registry; all times are on the registry's clock.
 */
import type { Micros } from '@lilacvalve/runtime/micros';

export type Phase = 'fetching' | 'gathering' | 'running';

interface Observation {
  readonly attempt: number;
  /** Time of the first heartbeat that showed the placement. */
  readonly at: Micros;
  /** The phase in that heartbeat. */
  readonly as: Phase;
  /** When the task was first seen waiting for its gang; null: never. */
  gathering: Micros | null;
  /** When the task was first seen running; null: never. */
  running: Micros | null;
  /** All work of the task was saved when it was stopped. */
  saved: boolean;
}

/** Boundaries between the phases of a placement; null: the phase was never observed. */
export interface PhaseTimes {
  /** The time before the first observation is known to have been spent on delivering the order and fetching the image. */
  readonly known: boolean;
  /** Time of the first observation, whatever its phase. */
  readonly first: Micros | null;
  readonly gathering: Micros | null;
  readonly running: Micros | null;
  readonly saved: boolean;
}

export class PhaseTracker {
  private readonly observations = new Map<string, Observation>();

  /** Records that a worker's heartbeat shows the task in a phase. */
  observe(key: string, attempt: number, as: Phase, at: Micros): void {
    let observation = this.observations.get(key);
    if (observation?.attempt !== attempt) {
      observation = { attempt, at, as, gathering: null, running: null, saved: false };
      this.observations.set(key, observation);
    }
    if (as === 'gathering') observation.gathering ??= at;
    else if (as === 'running') observation.running ??= at;
  }

  /** Records that a heartbeat reports the task's exit, and whether all its work was saved. */
  recordExit(key: string, attempt: number, saved: boolean): void {
    const observation = this.observations.get(key);
    if (observation?.attempt === attempt) observation.saved = saved;
  }

  forget(key: string): void {
    this.observations.delete(key);
  }

  /** `own`: this leader started the attempt, so the time before its first observation counts as `fetching`. */
  timesOf(key: string, attempt: number, own: boolean): PhaseTimes {
    const observation = this.observations.get(key);
    if (observation?.attempt !== attempt)
      return { known: own, first: null, gathering: null, running: null, saved: false };
    return {
      // A task that was first seen while it fetched its image has been in no other phase before.
      known: own || observation.as === 'fetching',
      first: observation.at,
      gathering: observation.gathering,
      running: observation.running,
      saved: observation.saved,
    };
  }
}
