/**
 * What a class's tasks have shown: how many times their estimate they took, from the log entry that started them to the one
 * that ended them. A distribution in fixed buckets, a quarter of an octave each, that forgets by halving: a few hundred
 * bytes a class, the same on every node. (A histogram library keeps thousands of counters for its precision.)
 */
export const BUCKET_COUNT = 33;
/** The middle bucket is a task that took what was estimated; the outer ones hold an eighth and 16 times. */
const FIRST_EXPONENT = -12;
/** More samples than this are halved, so that a class that changes is seen. */
const MAX_SAMPLES = 512;
/** Fewer tell nothing yet. */
const MIN_SAMPLES = 8;
export const MAX_CLASSES = 64;

/** By class, the counts by bucket. */
export type ClassDurations = ReadonlyMap<string, readonly number[]>;

const bucketOf = (ratio: number): number =>
  Math.max(0, Math.min(BUCKET_COUNT - 1, Math.round(Math.log2(Math.max(ratio, 1e-6)) * 4) - FIRST_EXPONENT));

/** `ratios` by class: samples that came since. */
export const addSamples = (
  shown: ClassDurations,
  ratios: ReadonlyMap<string, readonly number[]>,
): ClassDurations => {
  const out = new Map(shown);
  for (const [jobClass, list] of ratios) {
    let counts = [...(out.get(jobClass) ?? new Array<number>(BUCKET_COUNT).fill(0))];
    for (const r of list) {
      const b = bucketOf(r);
      counts[b] = counts[b]! + 1;
      if (counts.reduce((n, c) => n + c, 0) > MAX_SAMPLES) counts = counts.map((c) => c >> 1);
    }
    // Last in the order: the class that was seen least lately is the first to go.
    out.delete(jobClass);
    out.set(jobClass, counts);
  }
  for (const jobClass of out.keys()) {
    if (out.size <= MAX_CLASSES) break;
    out.delete(jobClass);
  }
  return out;
};

/** The ratio that a part `q` of a class's tasks stayed within; 1 while too few are known. */
export const ratioQuantile = (shown: ClassDurations, jobClass: string, q: number): number => {
  const counts = shown.get(jobClass);
  if (counts === undefined) return 1;
  const all = counts.reduce((n, c) => n + c, 0);
  if (all < MIN_SAMPLES) return 1;
  let below = 0;
  for (let b = 0; b < counts.length; b++) {
    below += counts[b]!;
    if (below >= q * all) return 2 ** ((b + FIRST_EXPONENT) / 4);
  }
  return 2 ** ((counts.length - 1 + FIRST_EXPONENT) / 4);
};

/** A list of pairs, so that the order of classes is kept whatever they are called. */
export const encodeClassDurations = (s: ClassDurations): unknown => [...s];
export const decodeClassDurations = (value: unknown): ClassDurations => {
  const list = value as [string, number[]][];
  if (!Array.isArray(list)) throw new Error('not what classes have shown');
  for (const e of list)
    if (!Array.isArray(e) || typeof e[0] !== 'string' || !Array.isArray(e[1]) || e[1].length !== BUCKET_COUNT)
      throw new Error('not what classes have shown');
  return new Map(list);
};
