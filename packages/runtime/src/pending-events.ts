/** Events that the loop has not handled yet. */

/**
 * Waits until the events that are pending have been handled.
 *
 * @returns Resolves in the next turn but one of the event loop.
 */
export async function pendingEvents(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  await new Promise(resolve => setImmediate(resolve));
}
