/** The seeded random source of the stand-ins. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws are uniform. */
export interface Random {
  /** A whole number from 0 to below `n`. */
  below(n: number): number;
  /** A number from `low` to below `high`. */
  between(low: number, high: number): number;
  /** true with the given probability. */
  chance(probability: number): boolean;
}

/** The same seed gives the same draws. */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  const unit = (): number => uniformFloat64(generator);
  return {
    below: (n) => uniformInt(generator, 0, n - 1),
    between: (low, high) => low + unit() * (high - low),
    chance: (probability) => unit() < probability,
  };
};
