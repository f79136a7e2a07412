/**
 * Which machines hold the weights of services (the large images that replicas load). It is a hint for the next leader, which
 * learns from heartbeats only what is running. The hint is kept in one key and written periodically; a lost or outdated
 * hint costs time and has no other effect.
 */

import { jsonBytes } from '../state-store/transaction-limits.js';

/** Machines that hold an image, by image. */
export type ImageWeights = ReadonlyMap<string, readonly string[]>;

const MAX_IMAGES = 40;
const MAX_MACHINES_PER_IMAGE = 80;

/** Returns which machines hold each of `images`, which are ordered by last use; only the most recently used ones are kept. */
export const weightsHeld = (
  images: readonly string[],
  machines: Iterable<{ readonly id: string; readonly images: ReadonlySet<string> }>,
): ImageWeights => {
  const out = new Map<string, string[]>(images.slice(-MAX_IMAGES).map((image) => [image, []]));
  for (const machine of machines) {
    for (const image of machine.images) {
      const holders = out.get(image);
      if (holders && holders.length < MAX_MACHINES_PER_IMAGE) holders.push(machine.id);
    }
  }
  for (const [image, holders] of out) if (holders.length === 0) out.delete(image);
  return out;
};

/** Encodes the hint in at most `bytes` of JSON; the least recently used images are left out first. */
export const encodeImageWeights = (weights: ImageWeights, bytes: number): unknown => {
  const entries = [...weights];
  while (entries.length > 0 && jsonBytes(Object.fromEntries(entries)) > bytes) entries.shift();
  return Object.fromEntries(entries);
};

/** Returns the images by machine. Values that cannot be decoded are skipped, because the data is only a hint. */
export const decodeImageWeights = (value: unknown): Map<string, string[]> => {
  const out = new Map<string, string[]>();
  if (typeof value !== 'object' || value === null) return out;
  for (const [image, holders] of Object.entries(value)) {
    if (!Array.isArray(holders)) continue;
    for (const machine of holders as unknown[]) {
      if (typeof machine !== 'string') continue;
      const list = out.get(machine);
      if (list) list.push(image);
      else out.set(machine, [image]);
    }
  }
  return out;
};
