/** Rounding of measured values. */

/**
 * Rounds for printing.
 *
 * @param value - Any number.
 * @param digits - Digits after the point.
 * @returns The rounded number.
 */
export function roundToDecimals(value: number, digits = 1): number {
  return Number(value.toFixed(digits));
}
