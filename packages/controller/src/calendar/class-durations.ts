/**
 * How long the tasks of each class take, as the ratio of their duration to their estimate. The duration is measured from the
 * log entry that starts a task to the one that ends it. The distribution of a class has fixed buckets of a quarter of an
 * octave each, and old samples lose weight by halving all counts. It takes a few hundred bytes per class and is the same on
 * every controller; a histogram library would keep thousands of counters for more precision than is needed.
 */
import { lastWithin } from '../state-store/transaction-limits.js';

/** Number of buckets of a class. */
export const BUCKET_COUNT = 33;
/**
 * Exponent of the first bucket, in quarters of an octave: ratios of an eighth and less. A task that took exactly its
 * estimate is counted in bucket 12, and the last bucket counts ratios of 32 and more.
 */
const FIRST_EXPONENT = -12;
/** Counts are halved above this number of samples, so that a change of a class's durations becomes visible. */
const MAX_SAMPLES = 512;
/** With fewer samples than this, estimates are taken as they are. */
const MIN_SAMPLES = 8;
export const MAX_CLASSES = 64;

/** Sample counts by bucket, for each class. */
export type ClassDurations = ReadonlyMap<string, readonly number[]>;

const bucketOf = (ratio: number): number =>
  Math.max(0, Math.min(BUCKET_COUNT - 1, Math.round(Math.log2(Math.max(ratio, 1e-6)) * 4) - FIRST_EXPONENT));

/** Returns the durations with new samples added. `ratios`: the samples by class. */
export const addSamples = (
  durations: ClassDurations,
  ratios: ReadonlyMap<string, readonly number[]>,
): ClassDurations => {
  const out = new Map(durations);
  for (const [jobClass, samples] of ratios) {
    let counts = [...(out.get(jobClass) ?? new Array<number>(BUCKET_COUNT).fill(0))];
    for (const ratio of samples) {
      const bucket = bucketOf(ratio);
      counts[bucket] = counts[bucket]! + 1;
      if (counts.reduce((sum, count) => sum + count, 0) > MAX_SAMPLES)
        counts = counts.map((count) => count >> 1);
    }
    // Moves the class to the end of the map: the class without samples for the longest time is the first to be removed.
    out.delete(jobClass);
    out.set(jobClass, counts);
  }
  for (const jobClass of out.keys()) {
    if (out.size <= MAX_CLASSES) break;
    out.delete(jobClass);
  }
  return out;
};

/** Returns the ratio that the fraction `quantile` of a class's tasks did not exceed; 1 while there are too few samples. */
export const ratioQuantile = (durations: ClassDurations, jobClass: string, quantile: number): number => {
  const counts = durations.get(jobClass);
  if (counts === undefined) return 1;
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (total < MIN_SAMPLES) return 1;
  let cumulative = 0;
  for (let bucket = 0; bucket < counts.length; bucket++) {
    cumulative += counts[bucket]!;
    if (cumulative >= quantile * total) return 2 ** ((bucket + FIRST_EXPONENT) / 4);
  }
  return 2 ** ((counts.length - 1 + FIRST_EXPONENT) / 4);
};

/**
 * Encodes the durations as a list of pairs in at most `maxBytes` of JSON; the classes without samples for the longest time are
 * left out first. An object would not keep the order of classes whose names are numbers.
 */
export const encodeClassDurations = (
  durations: ClassDurations,
  maxBytes = Number.POSITIVE_INFINITY,
): unknown => lastWithin([...durations], maxBytes);
export const decodeClassDurations = (value: unknown): ClassDurations => {
  const list = value as [string, number[]][];
  if (!Array.isArray(list)) throw new Error(`class durations: expected a list, found ${typeof value}`);
  for (const entry of list)
    if (
      !Array.isArray(entry) ||
      typeof entry[0] !== 'string' ||
      !Array.isArray(entry[1]) ||
      entry[1].length !== BUCKET_COUNT
    )
      throw new Error(
        `class durations: expected a class and ${BUCKET_COUNT} counts, found ${JSON.stringify(entry)}`,
      );
  return new Map(list);
};
