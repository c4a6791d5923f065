/** Clock, random numbers and waits, replaceable in tests. */
import {setTimeout as delay} from 'node:timers/promises';

/** Sources of time and chance that the log package uses. */
export interface Timing {
  /** Monotonic clock in milliseconds. */
  nowMs(): number;
  /** Random number from 0 up to, but not including, 1. */
  random(): number;
  /**
   * Waits.
   *
   * @param ms - Length of the wait in milliseconds.
   * @param signal - Ends the wait early, without an error.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Timing of the process. */
export const PROCESS_TIMING: Timing = {
  nowMs: () => performance.now(),
  random: Math.random,
  sleep: async (ms, signal) => {
    try {
      await delay(ms, undefined, {signal});
    } catch {
      // Only the signal rejects the delay, and it ends the wait.
    }
  },
};

/** Waits between tries: they double up to a limit. */
export interface Backoff {
  readonly firstMs: number;
  readonly maxMs: number;
}

/** Default waits towards the log service. */
export const LOG_BACKOFF: Backoff = {firstMs: 50, maxMs: 1_000};

/**
 * Gives the wait before the next try, between half and all of the step, so
 * that VMs don't return to the log service at the same moment.
 *
 * @param backoff - Limits of the waits.
 * @param failures - Failures in a row so far, at least 1.
 * @param random - Random number from 0 to 1.
 * @returns Wait in milliseconds.
 */
export function backoffMs(
  {firstMs, maxMs}: Backoff,
  failures: number,
  random: number,
): number {
  const maxWaitMs = Math.min(maxMs, firstMs * 2 ** (failures - 1));
  return maxWaitMs * (0.5 + random / 2);
}
