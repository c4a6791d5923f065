/** Percentiles and medians of measured values. */

/**
 * Gives a percentile by the nearest rank.
 *
 * @param values - Measured values; may be in any order.
 * @param percent - From 0 to 100.
 * @returns The value, or NaN when there is none.
 */
export function percentile(values: readonly number[], percent: number): number {
  if (values.length === 0) return NaN;
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil((percent / 100) * sorted.length);
  return sorted[Math.max(0, rank - 1)]!;
}

/**
 * Rounds for printing.
 *
 * @param value - Any number.
 * @param digits - Digits after the point.
 * @returns The rounded number.
 */
export function round(value: number, digits = 1): number {
  return Number(value.toFixed(digits));
}
