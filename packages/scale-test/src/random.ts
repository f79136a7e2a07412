/** The seeded random source of the simulated users, workers, cloud and faults. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniformly distributed random numbers. */
export interface Random {
  /** Returns an integer from 0 to `n` - 1. */
  below(n: number): number;
  /** Returns a number from `low` (inclusive) to `high` (exclusive). */
  between(low: number, high: number): number;
  /** Returns true with the given probability. */
  chance(probability: number): boolean;
}

/** Returns a random source. The same seed gives the same sequence of numbers. */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  const nextFraction = (): number => uniformFloat64(generator);
  return {
    below: (n) => uniformInt(generator, 0, n - 1),
    between: (low, high) => low + nextFraction() * (high - low),
    chance: (probability) => nextFraction() < probability,
  };
};
