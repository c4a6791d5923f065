/** Statistics of measurements, and formatting of result tables. */

/** Source of random numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/**
 * Creates a repeatable random number generator (mulberry32).
 *
 * @param seed - Any integer.
 * @returns Generator that yields the same numbers for the same seed.
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

/**
 * Computes a quantile by the nearest-rank method.
 *
 * @param values - Samples in any order.
 * @param share - 0 for the smallest, 1 for the largest.
 * @returns The sample, or NaN without samples.
 */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return NaN;
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, rank)]!;
}

/**
 * Computes the median by the nearest-rank method.
 *
 * @param values - Samples in any order.
 * @returns The median, or NaN without samples.
 */
export function median(values: readonly number[]): number {
  return quantile(values, 0.5);
}

/** A measured value at one size. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination. */
  readonly r2: number;
}

/**
 * Fits a line to points by least squares.
 *
 * @param points - At least two points with different `x`.
 * @returns The fitted line.
 */
export function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / n;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / n;
  let sumXX = 0;
  let sumXY = 0;
  let sumYY = 0;
  for (const {x, y} of points) {
    sumXX += (x - meanX) ** 2;
    sumXY += (x - meanX) * (y - meanY);
    sumYY += (y - meanY) ** 2;
  }
  const slope = sumXY / sumXX;
  const r2 = sumYY === 0 ? 1 : sumXY ** 2 / (sumXX * sumYY);
  return {slope, intercept: meanY - slope * meanX, r2};
}

/**
 * Rounds a number to significant digits.
 *
 * @param value - Any number; infinite values and NaN are returned unchanged.
 * @param digits - Number of significant digits.
 * @returns The rounded number.
 */
export function roundToSignificant(value: number, digits = 3): number {
  return Number.isFinite(value) ? Number(value.toPrecision(digits)) : value;
}

/**
 * Formats rows as a table with columns of equal width.
 *
 * @param rows - Rows with the same keys; those of the first row are the heading.
 * @returns The lines of the table.
 */
export function formatTable(
  rows: readonly Readonly<Record<string, string | number>>[],
): string {
  const columns = Object.keys(rows[0] ?? {});
  const lines = [
    columns,
    ...rows.map(r => columns.map(n => String(r[n] ?? ''))),
  ];
  const widths = columns.map((_, i) =>
    Math.max(...lines.map(l => l[i]!.length)),
  );
  return lines
    .map(line => line.map((cell, i) => cell.padEnd(widths[i]!)).join('  '))
    .map(line => line.trimEnd())
    .join('\n');
}
