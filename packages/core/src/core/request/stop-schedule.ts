/** Times of a graceful stop, and which requests are still taken meanwhile. */

/** The process ends this long before the end of the grace period. */
const END_MARGIN_MS = 400;
/** Time before the end of the process by which answers to late requests must come. */
const ANSWER_MARGIN_MS = 300;
/** Time before the end of the process at which all other requests are answered. */
const BREAK_OFF_MARGIN_MS = 100;
/**
 * Work of a request that must end before the process does, as a multiple of the average:
 * another VM can serve the request without this limit.
 */
const CERTAIN_WORK_RATIO = 2;
/** The same for a request that has all the time that its caller gave it. */
const LIKELY_WORK_RATIO = 0.5;

/** Limits the time of requests once a stop has begun. */
export class StopSchedule {
  #endsAtMs = Infinity;

  /**
   * Begins the stop.
   *
   * @param graceMs - Time until the platform ends the process.
   * @param nowMs - Monotonic time.
   */
  begin(graceMs: number, nowMs: number): void {
    this.#endsAtMs = nowMs + graceMs - END_MARGIN_MS;
  }

  /** Monotonic time at which the process ends; Infinity before a stop. */
  get endsAtMs(): number {
    return this.#endsAtMs;
  }

  /** Monotonic time at which requests that are still in flight are answered. */
  get breaksOffAtMs(): number {
    return this.#endsAtMs - BREAK_OFF_MARGIN_MS;
  }

  /**
   * Returns the time that a request has until it must be answered.
   *
   * @param deadlineAtMs - Deadline of its caller.
   * @param nowMs - Monotonic time.
   * @returns Milliseconds; may be negative.
   */
  remainingMs(deadlineAtMs: number, nowMs: number): number {
    const latestMs = this.#endsAtMs - ANSWER_MARGIN_MS;
    return Math.min(deadlineAtMs, latestMs) - nowMs;
  }

  /**
   * Tells whether the stop leaves a request less time than its caller.
   *
   * @param deadlineAtMs - Deadline of its caller.
   * @returns False before a stop.
   */
  limits(deadlineAtMs: number): boolean {
    return deadlineAtMs > this.#endsAtMs - ANSWER_MARGIN_MS;
  }
}

/**
 * Estimates the time for which a request should have time left before it is sent.
 *
 * @param waitMs - Expected wait at the server.
 * @param workMs - Average time of a request at the server.
 * @param isLimitedByStop - Whether it must end before the process does.
 * @returns Milliseconds.
 */
export function neededTimeMs(
  waitMs: number,
  workMs: number,
  isLimitedByStop: boolean,
): number {
  const ratio = isLimitedByStop ? CERTAIN_WORK_RATIO : LIKELY_WORK_RATIO;
  return waitMs + ratio * workMs;
}
