/** Keeps the hint of who holds which weights. */
import { Effect } from 'effect';
import { duty } from '@lilacvalve/runtime/duty';
import { TERM, WEIGHTS } from '../jobs/keys.js';
import type { Job } from '../jobs/model.js';
import { hintWriter } from '../state-store/hint.js';
import type { StatePort } from '../state-store/port.js';
import { mayBorrow } from './loans.js';
import { encodeWeights, weightsHeld } from './weights.js';

const EVERY_MS = 10_000;

export interface LendingParts {
  readonly acting: () => boolean;
  readonly store: StatePort;
  readonly reign: { readonly stamp: number };
  readonly settings: { readonly state: { readonly valueBytes: number } };
  readonly cache: {
    readonly jobs: ReadonlyMap<string, Job>;
    readonly weights: ReadonlyMap<string, readonly string[]>;
  };
  readonly machines: () => Iterable<{ readonly id: string; readonly images: ReadonlySet<string> }>;
}

export const weightsDuty = (p: LendingParts) => {
  /** Images of services, those seen last behind. */
  const images = new Set<string>();
  for (const list of p.cache.weights.values()) for (const image of list) images.add(image);
  const write = hintWriter(p.store, { key: TERM, stamp: p.reign.stamp }, WEIGHTS);
  const look = Effect.suspend(() => {
    for (const { spec } of p.cache.jobs.values()) {
      if (!mayBorrow(spec)) continue;
      images.delete(spec.image);
      images.add(spec.image);
    }
    if (images.size === 0 || !p.acting()) return Effect.void;
    const value = encodeWeights(weightsHeld([...images], p.machines()), p.settings.state.valueBytes * 0.5);
    return write(value);
  });
  return duty('weights', Effect.sleep(EVERY_MS).pipe(Effect.zipRight(look), Effect.forever));
};
