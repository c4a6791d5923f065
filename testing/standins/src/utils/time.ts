/** Clocks and identifiers of the stand-ins. */
import {randomBytes} from 'node:crypto';

/**
 * Returns the wall time with a resolution below one millisecond. It follows the
 * monotonic clock after the process has started, so a clock adjustment cannot
 * reorder the records of a process.
 *
 * @returns Milliseconds since the Unix epoch.
 */
export function wallMs(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Creates a UUID of version 7.
 *
 * @param nowMs - Creation time in milliseconds since the Unix epoch.
 * @returns The UUID in its canonical text form.
 */
export function uuidv7(nowMs: number = Date.now()): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Math.floor(nowMs), 0, 6);
  bytes[6] = (bytes[6]! & 0x0f) | 0x70;
  bytes[8] = (bytes[8]! & 0x3f) | 0x80;
  const hex = bytes.toString('hex');
  return [
    hex.slice(0, 8),
    hex.slice(8, 12),
    hex.slice(12, 16),
    hex.slice(16, 20),
    hex.slice(20),
  ].join('-');
}

/**
 * Waits for a time or until a signal is aborted, whichever comes first.
 *
 * @param ms - Time to wait.
 * @param signal - Ends the wait early, without an error.
 */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return;
  await new Promise<void>(resolve => {
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish);
  });
}
