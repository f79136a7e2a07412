/**
 * What the leader has seen of a placement: from when on it was on its way, waited for its gang, ran. Kept in the leader's
 * worker registry by task; times are the worker registry's clock.
 */
import type { Micros } from '@lilacvalve/runtime/micros';

export type Phase = 'fetching' | 'gathering' | 'running';

interface Seen {
  readonly attempt: number;
  /** When it was first seen, and as what. */
  readonly at: Micros;
  readonly as: Phase;
  /** When it was first seen waiting for its gang, and first seen running; null: never. */
  gathering: Micros | null;
  running: Micros | null;
  /** All that it had done was saved when it was stopped. */
  saved: boolean;
}

/** Boundaries of a placement's time. `known`: what was before the first of them is known to be its way and the image. */
export interface Course {
  readonly known: boolean;
  readonly first: Micros | null;
  readonly gathering: Micros | null;
  readonly running: Micros | null;
  readonly saved: boolean;
}

export class Phases {
  private readonly seen = new Map<string, Seen>();

  /** A report shows it. */
  note(key: string, attempt: number, as: Phase, at: Micros): void {
    let s = this.seen.get(key);
    if (s?.attempt !== attempt) {
      s = { attempt, at, as, gathering: null, running: null, saved: false };
      this.seen.set(key, s);
    }
    if (as === 'gathering') s.gathering ??= at;
    else if (as === 'running') s.running ??= at;
  }

  /** Its end is reported. */
  ended(key: string, attempt: number, saved: boolean): void {
    const s = this.seen.get(key);
    if (s?.attempt === attempt) s.saved = saved;
  }

  forget(key: string): void {
    this.seen.delete(key);
  }

  /** `own`: this leader started it, so whatever it has not seen of its beginning was its way to the machine. */
  courseOf(key: string, attempt: number, own: boolean): Course {
    const s = this.seen.get(key);
    if (s?.attempt !== attempt)
      return { known: own, first: null, gathering: null, running: null, saved: false };
    return {
      // Seen while its image was fetched: it had done nothing else before.
      known: own || s.as === 'fetching',
      first: s.at,
      gathering: s.gathering,
      running: s.running,
      saved: s.saved,
    };
  }
}
