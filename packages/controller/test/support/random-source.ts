/** Seeded luck for tests and for the lab. */
/** xorshift: the world's own luck, apart from what the program draws. */
export class Luck {
  private s: number;
  constructor(seed: number) {
    this.s = (seed * 2654435761 + 97) >>> 0 || 1;
  }
  next(): number {
    this.s ^= this.s << 13;
    this.s >>>= 0;
    this.s ^= this.s >>> 17;
    this.s ^= this.s << 5;
    this.s >>>= 0;
    return this.s / 4294967296;
  }
  between(a: number, b: number): number {
    return a + (b - a) * this.next();
  }
  int(n: number): number {
    return Math.floor(this.next() * n);
  }
  chance(p: number): boolean {
    return this.next() < p;
  }
}
