/** Periodically stores the hint of which machines hold the weights of services. */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { TERM, IMAGE_WEIGHTS } from '../jobs/keys.js';
import type { Job } from '../jobs/model.js';
import { hintWriter } from '../state-store/hint.js';
import type { StatePort } from '../state-store/port.js';
import { mayBorrow } from './loans.js';
import { encodeImageWeights, weightsHeld } from './image-weights.js';

const INTERVAL_MS = 10_000;

export interface ImageWeightsDependencies {
  readonly mayAct: () => boolean;
  readonly store: StatePort;
  readonly leaderTerm: { readonly revision: number };
  readonly settings: { readonly state: { readonly valueBytes: number } };
  readonly jobState: {
    readonly jobs: ReadonlyMap<string, Job>;
    readonly weights: ReadonlyMap<string, readonly string[]>;
  };
  readonly machines: () => Iterable<{ readonly id: string; readonly images: ReadonlySet<string> }>;
}

export const imageWeightsTask = (dependencies: ImageWeightsDependencies) => {
  /** Images of services, the most recently used ones last. */
  const images = new Set<string>();
  for (const list of dependencies.jobState.weights.values()) for (const image of list) images.add(image);
  const write = hintWriter(
    dependencies.store,
    { key: TERM, revision: dependencies.leaderTerm.revision },
    IMAGE_WEIGHTS,
  );
  const storeHint = Effect.suspend(() => {
    for (const { spec } of dependencies.jobState.jobs.values()) {
      if (!mayBorrow(spec)) continue;
      images.delete(spec.image);
      images.add(spec.image);
    }
    if (images.size === 0 || !dependencies.mayAct()) return Effect.void;
    const value = encodeImageWeights(
      weightsHeld([...images], dependencies.machines()),
      dependencies.settings.state.valueBytes * 0.5,
    );
    return write(value);
  });
  return supervise('weights', Effect.sleep(INTERVAL_MS).pipe(Effect.zipRight(storeHint), Effect.forever));
};
