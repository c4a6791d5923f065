/** Waiting for events that the event loop has not handled yet. */

/**
 * Waits until the pending events have been handled. One `setImmediate` is not
 * enough: in the callback of an I/O event it runs in the same turn of the event
 * loop, before the next poll for events and before pending `close` events.
 *
 * @returns Resolves after two `setImmediate` turns of the event loop.
 */
export async function waitForPendingEvents(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  await new Promise(resolve => setImmediate(resolve));
}
