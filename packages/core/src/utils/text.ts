/** Validates strings from bundles and records. */

/**
 * Tells whether a string can be encoded as UTF-8 without loss.
 *
 * @param text - Any string.
 * @returns False when the text contains a lone surrogate.
 */
export function isWellFormed(text: string): boolean {
  return Buffer.from(text, 'utf8').toString('utf8') === text;
}

/**
 * Finds the first value that occurs twice.
 *
 * @param values - Values in order.
 * @returns Index of the second occurrence, or null.
 */
export function findDuplicate(values: readonly string[]): number | null {
  const seen = new Set<string>();
  for (const [index, value] of values.entries()) {
    if (seen.has(value)) return index;
    seen.add(value);
  }
  return null;
}
