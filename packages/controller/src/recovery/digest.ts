/**
 * Digests of a view by range of ids, by which two nodes find where their views differ without sending them. An id's hash
 * gives its range; a range's digest is the exclusive or of its jobs' hashes, so that order does not matter.
 */
import type { FinalState, Job } from '../jobs/model.js';
import { contentOf } from './merge.js';

export const RANGES = 256;

/** FNV-1a with a last mixing; 32 bits. */
const hash = (text: string, seed: number): number => {
  let digest = seed;
  for (let i = 0; i < text.length; i++) digest = Math.imul(digest ^ text.charCodeAt(i), 16777619);
  digest = Math.imul(digest ^ (digest >>> 15), 2246822519);
  return (digest ^ (digest >>> 13)) >>> 0;
};

export const rangeOf = (id: string): number => hash(id, 2166136261) % RANGES;

/** Two words of 32 bits for each range, one after the other. `idOf`: the id whose range a final state's key falls into. */
export const digestOf = (
  jobs: Iterable<Job>,
  finals: Iterable<readonly [string, FinalState]>,
  idOf: (key: string) => string = (key) => key,
): Uint32Array => {
  const out = new Uint32Array(RANGES * 2);
  const add = (id: string, content: string): void => {
    const at = rangeOf(idOf(id)) * 2;
    const text = `${id}|${content}`;
    out[at] = out[at]! ^ hash(text, 40503);
    out[at + 1] = out[at + 1]! ^ hash(text, 2654435769);
  };
  for (const j of jobs) add(j.spec.id, contentOf(j));
  for (const [id, f] of finals) add(id, `${f.status}${f.tasks}`);
  return out;
};
