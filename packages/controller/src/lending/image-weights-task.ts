/** Keeps the hint of who holds which weights. */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { TERM, IMAGE_WEIGHTS } from '../jobs/keys.js';
import type { Job } from '../jobs/model.js';
import { hintWriter } from '../state-store/hint.js';
import type { StatePort } from '../state-store/port.js';
import { mayBorrow } from './loans.js';
import { encodeImageWeights, weightsHeld } from './image-weights.js';

const EVERY_MS = 10_000;

export interface ImageWeightsDependencies {
  readonly mayAct: () => boolean;
  readonly store: StatePort;
  readonly leaderTerm: { readonly stamp: number };
  readonly settings: { readonly state: { readonly valueBytes: number } };
  readonly jobState: {
    readonly jobs: ReadonlyMap<string, Job>;
    readonly weights: ReadonlyMap<string, readonly string[]>;
  };
  readonly machines: () => Iterable<{ readonly id: string; readonly images: ReadonlySet<string> }>;
}

export const imageWeightsTask = (p: ImageWeightsDependencies) => {
  /** Images of services, those seen last behind. */
  const images = new Set<string>();
  for (const list of p.jobState.weights.values()) for (const image of list) images.add(image);
  const write = hintWriter(p.store, { key: TERM, stamp: p.leaderTerm.stamp }, IMAGE_WEIGHTS);
  const look = Effect.suspend(() => {
    for (const { spec } of p.jobState.jobs.values()) {
      if (!mayBorrow(spec)) continue;
      images.delete(spec.image);
      images.add(spec.image);
    }
    if (images.size === 0 || !p.mayAct()) return Effect.void;
    const value = encodeImageWeights(
      weightsHeld([...images], p.machines()),
      p.settings.state.valueBytes * 0.5,
    );
    return write(value);
  });
  return supervise('weights', Effect.sleep(EVERY_MS).pipe(Effect.zipRight(look), Effect.forever));
};
