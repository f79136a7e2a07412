/** Seeded random numbers for tests and the simulation. */
/** A xorshift generator, separate from the random numbers that the program under test draws. */
export class RandomSource {
  private state: number;
  constructor(seed: number) {
    this.state = (seed * 2654435761 + 97) >>> 0 || 1;
  }
  next(): number {
    this.state ^= this.state << 13;
    this.state >>>= 0;
    this.state ^= this.state >>> 17;
    this.state ^= this.state << 5;
    this.state >>>= 0;
    return this.state / 4294967296;
  }
  between(min: number, max: number): number {
    return min + (max - min) * this.next();
  }
  int(bound: number): number {
    return Math.floor(this.next() * bound);
  }
  chance(probability: number): boolean {
    return this.next() < probability;
  }
}
