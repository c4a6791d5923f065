/** Promise-based delay. */

/**
 * Waits for a time.
 *
 * @param ms - Milliseconds to wait.
 * @returns Resolves after that time.
 */
export function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
