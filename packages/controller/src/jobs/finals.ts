/**
 * Final states in memory: a number for each job, since a day has many more of them than of jobs under way. Beyond the
 * bound the oldest are forgotten here and read from the store when somebody asks.
 */
import type { FinalState } from './model.js';

const KEPT = 100_000;

export const packFinalState = (f: FinalState): number => f.tasks * 2 + (f.status === 'done' ? 1 : 0);
export const unpackFinalState = (n: number): FinalState => ({
  status: n % 2 === 1 ? 'done' : 'cancelled',
  tasks: Math.floor(n / 2),
});

export class FinalStates {
  private readonly byId = new Map<string, number>();
  /** Every final state in the store is here: what is not here is not there. */
  complete = false;

  constructor(private readonly capacity = KEPT) {}

  get size(): number {
    return this.byId.size;
  }

  /** None has been forgotten yet. */
  get hasRoom(): boolean {
    return this.byId.size < this.capacity;
  }

  has(id: string): boolean {
    return this.byId.has(id);
  }

  get(id: string): FinalState | undefined {
    const n = this.byId.get(id);
    return n === undefined ? undefined : unpackFinalState(n);
  }

  remember(id: string, f: FinalState): void {
    this.byId.set(id, packFinalState(f));
    if (this.byId.size <= this.capacity) return;
    this.complete = false;
    for (const old of this.byId.keys()) {
      this.byId.delete(old);
      break;
    }
  }

  *entries(): Generator<readonly [string, FinalState]> {
    for (const [id, n] of this.byId) yield [id, unpackFinalState(n)];
  }
}
