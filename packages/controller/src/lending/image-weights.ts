/**
 * Which machines hold the weights of services: a hint for the next leader, which hears from workers only what runs now.
 * Kept in one key, written now and then; lost or old, it costs time and nothing else.
 */

/** Images, each with the machines that hold it. */
export type ImageWeights = ReadonlyMap<string, readonly string[]>;

const MOST_IMAGES = 40;
const MOST_MACHINES = 80;

/** What the machines hold of `images`; the images used last stand last in `images` and are kept. */
export const weightsHeld = (
  images: readonly string[],
  machines: Iterable<{ readonly id: string; readonly images: ReadonlySet<string> }>,
): ImageWeights => {
  const out = new Map<string, string[]>(images.slice(-MOST_IMAGES).map((i) => [i, []]));
  for (const m of machines) {
    for (const image of m.images) {
      const on = out.get(image);
      if (on && on.length < MOST_MACHINES) on.push(m.id);
    }
  }
  for (const [image, on] of out) if (on.length === 0) out.delete(image);
  return out;
};

/** Within `bytes`: the oldest images are left out first. */
export const encodeImageWeights = (w: ImageWeights, bytes: number): unknown => {
  const entries = [...w];
  while (entries.length > 0 && JSON.stringify(Object.fromEntries(entries)).length > bytes) entries.shift();
  return Object.fromEntries(entries);
};

/** By machine. Whatever can't be read is left out: it is a hint. */
export const decodeImageWeights = (value: unknown): Map<string, string[]> => {
  const out = new Map<string, string[]>();
  if (typeof value !== 'object' || value === null) return out;
  for (const [image, on] of Object.entries(value)) {
    if (!Array.isArray(on)) continue;
    for (const m of on as unknown[]) {
      if (typeof m !== 'string') continue;
      const list = out.get(m);
      if (list) list.push(image);
      else out.set(m, [image]);
    }
  }
  return out;
};
