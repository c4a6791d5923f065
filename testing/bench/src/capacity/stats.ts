/** Statistics of measurements. */

/** Source of numbers from 0 up to, but not including, 1. */
export type Random = () => number;

/**
 * Builds a repeatable generator (mulberry32).
 *
 * @param seed - Any integer.
 * @returns The generator.
 */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(state ^ (state >>> 15), state | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

/**
 * Gives a quantile by the nearest rank.
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
 * Gives the median by the nearest rank.
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

/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains. */
  readonly r2: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points with different `x`.
 * @returns The line.
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
 * Rounds for display.
 *
 * @param value - Any number.
 * @param digits - Significant digits.
 * @returns The rounded number.
 */
export function roundToSignificant(value: number, digits = 3): number {
  return Number.isFinite(value) ? Number(value.toPrecision(digits)) : value;
}

/**
 * Formats rows as a table with columns of equal width.
 *
 * @param rows - Rows with the same keys; the keys of the first are the head.
 * @returns Lines of text.
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
