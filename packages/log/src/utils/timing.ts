/** Clock, random numbers and delays; replaced in tests. */
import {setTimeout as delay} from 'node:timers/promises';

/** Clock and randomness that the log package uses. */
export interface Timing {
  /** Monotonic clock in milliseconds. */
  nowMs(): number;
  /** Random number from 0 up to, but not including, 1. */
  random(): number;
  /**
   * Resolves after a delay.
   *
   * @param ms - Length of the delay in milliseconds.
   * @param signal - Ends the wait early, without an error.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Real clock and randomness of the process. */
export const PROCESS_TIMING: Timing = {
  nowMs: () => performance.now(),
  random: Math.random,
  sleep: async (ms, signal) => {
    try {
      await delay(ms, undefined, {signal});
    } catch {
      // The delay rejects only when the signal aborts it.
    }
  },
};

/** Exponential backoff: the delay doubles with each failure up to a limit. */
export interface Backoff {
  readonly firstMs: number;
  readonly maxMs: number;
}

/** Default backoff for requests to the log service. */
export const LOG_BACKOFF: Backoff = {firstMs: 50, maxMs: 1_000};

/**
 * Computes the delay before the next attempt: `firstMs`, doubled with each
 * further failure up to `maxMs`. Jitter picks a value between half and all of
 * it, so that VMs do not retry at the same time.
 *
 * @param backoff - First and longest delay.
 * @param failures - Consecutive failures so far, at least 1.
 * @param random - Random number from 0 up to, but not including, 1.
 * @returns Delay in milliseconds.
 */
export function backoffMs(
  {firstMs, maxMs}: Backoff,
  failures: number,
  random: number,
): number {
  const ceilingMs = Math.min(maxMs, firstMs * 2 ** (failures - 1));
  return ceilingMs * (0.5 + random / 2);
}
