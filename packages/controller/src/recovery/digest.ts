/**
 * Digests of a view, one per range of job ids. By comparing digests two controllers find the ranges in which their views
 * differ, without sending the views. The hash of an id selects its range. The digest of a range is the exclusive or of the
 * hashes of its jobs and final states, and so does not depend on their order.
 */
import type { FinalState, Job } from '../jobs/model.js';
import { contentOf } from './merge.js';

/** Number of ranges that ids are divided into. */
export const RANGES = 256;

/** FNV-1a hash of 32 bits, with a final mixing step. */
const hash = (text: string, seed: number): number => {
  let digest = seed;
  for (let i = 0; i < text.length; i++) digest = Math.imul(digest ^ text.charCodeAt(i), 16777619);
  digest = Math.imul(digest ^ (digest >>> 15), 2246822519);
  return (digest ^ (digest >>> 13)) >>> 0;
};

/** Returns the range of an id. */
export const rangeOf = (id: string): number => hash(id, 2166136261) % RANGES;

/**
 * Returns two words of 32 bits for each range, in the order of the ranges. `idOf`: returns the id that selects the range of a
 * final state's key, for callers that digest keys other than plain ids.
 */
export const digestOf = (
  jobs: Iterable<Job>,
  finals: Iterable<readonly [string, FinalState]>,
  idOf: (key: string) => string = (key) => key,
): Uint32Array => {
  const digest = new Uint32Array(RANGES * 2);
  const add = (id: string, content: string): void => {
    const offset = rangeOf(idOf(id)) * 2;
    const text = `${id}|${content}`;
    digest[offset] = digest[offset]! ^ hash(text, 40503);
    digest[offset + 1] = digest[offset + 1]! ^ hash(text, 2654435769);
  };
  for (const job of jobs) add(job.spec.id, contentOf(job));
  for (const [id, final] of finals) add(id, `${final.status}${final.tasks}`);
  return digest;
};
