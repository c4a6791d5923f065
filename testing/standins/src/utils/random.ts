/** Random numbers that a seed makes reproducible. */

/** Returns a random number from 0 up to, but not including, 1. */
export type Random = () => number;

/**
 * Creates a pseudo-random number generator (mulberry32).
 *
 * @param seed - Any integer; equal seeds give equal sequences.
 * @returns The generator.
 */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(state ^ (state >>> 15), state | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Draws ranks from a Zipf distribution. */
export class ZipfRanks {
  private readonly cumulative: number[] = [];

  /**
   * @param count - Number of ranks.
   * @param exponent - Skew of the distribution; 0 gives equal shares.
   */
  constructor(count: number, exponent: number) {
    let sum = 0;
    for (let rank = 1; rank <= count; rank++) {
      sum += rank ** -exponent;
      this.cumulative.push(sum);
    }
  }

  /**
   * Draws a rank.
   *
   * @param random - Source of randomness.
   * @returns A rank from 0, the most frequent one.
   */
  draw(random: Random): number {
    const target = random() * this.cumulative.at(-1)!;
    let low = 0;
    let high = this.cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.cumulative[middle]! <= target) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
