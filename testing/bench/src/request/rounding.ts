/** Rounding of results for display. */

/**
 * Rounds a number to decimal places.
 *
 * @param value - Any number.
 * @param digits - Digits after the decimal point.
 * @returns The rounded number.
 */
export function roundToDecimals(value: number, digits = 1): number {
  return Number(value.toFixed(digits));
}
