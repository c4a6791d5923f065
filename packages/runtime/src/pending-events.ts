/** Waiting for events that the event loop has not handled yet. */

/**
 * Waits until the pending events have been handled.
 *
 * @returns Resolves after two `setImmediate` turns of the event loop.
 */
export async function waitForPendingEvents(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  await new Promise(resolve => setImmediate(resolve));
}
