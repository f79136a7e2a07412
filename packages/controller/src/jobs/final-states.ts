/**
 * Final states of finished jobs in memory, packed into one number each, since a day has many more finished than unfinished
 * jobs. Beyond the capacity the oldest are evicted; requests for an evicted job read the store.
 */
import type { FinalState } from './model.js';

const DEFAULT_CAPACITY = 100_000;

/** Packs a final state into one number; the lowest bit tells whether the job completed. */
export const packFinalState = (state: FinalState): number =>
  state.tasks * 2 + (state.status === 'done' ? 1 : 0);
export const unpackFinalState = (packed: number): FinalState => ({
  status: packed % 2 === 1 ? 'done' : 'cancelled',
  tasks: Math.floor(packed / 2),
});

/** A bounded map from job id to final state. */
export class FinalStates {
  private readonly byId = new Map<string, number>();
  /** Whether this map has every final state of the store: an id that is missing here is missing in the store, too. */
  complete = false;

  constructor(private readonly capacity = DEFAULT_CAPACITY) {}

  get size(): number {
    return this.byId.size;
  }

  /** Whether the map is below its capacity, so that no final state has been evicted yet. */
  get isBelowCapacity(): boolean {
    return this.byId.size < this.capacity;
  }

  has(id: string): boolean {
    return this.byId.has(id);
  }

  get(id: string): FinalState | undefined {
    const packed = this.byId.get(id);
    return packed === undefined ? undefined : unpackFinalState(packed);
  }

  /** Adds a final state, and evicts the oldest one if the map is beyond its capacity. */
  remember(id: string, state: FinalState): void {
    this.byId.set(id, packFinalState(state));
    if (this.byId.size <= this.capacity) return;
    this.complete = false;
    for (const oldestId of this.byId.keys()) {
      this.byId.delete(oldestId);
      break;
    }
  }

  *entries(): Generator<readonly [string, FinalState]> {
    for (const [id, packed] of this.byId) yield [id, unpackFinalState(packed)];
  }
}
