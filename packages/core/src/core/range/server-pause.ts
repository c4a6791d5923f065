/** Pauses that a server asks for when it refuses a request. */

/** Longest pause that is honored; a longer one counts as a fault of the server. */
const MAX_PAUSE_MS = 60_000;
/** Seconds with an optional fraction; dates and negative numbers are ignored. */
const SECONDS_FORMAT = /^\d{1,9}(\.\d{1,9})?$/;
const MS_PER_S = 1_000;
/**
 * Callers come back over this share of the pause after its end, since those that
 * came back together would fill the server again.
 */
const RETURN_SPREAD_RATIO = 0.5;
/** Shortest time over which callers come back. */
const MIN_RETURN_SPREAD_MS = 100;

/**
 * Parses the `retry-after` header of a server's refusal.
 *
 * @param text - Value of the header; undefined without one.
 * @returns The pause in milliseconds, at most a minute, or null when the server
 * asks for none or the value is malformed.
 */
export function parsePauseMs(
  text: string | string[] | undefined,
): number | null {
  if (typeof text !== 'string' || !SECONDS_FORMAT.test(text)) return null;
  return Math.min(MAX_PAUSE_MS, Number(text) * MS_PER_S);
}

/** Time for which one server wants no requests of this VM. */
export class ServerPause {
  #endsAtMs = 0;

  /**
   * Starts a pause, or extends the current one.
   *
   * @param pauseMs - Time for which the server wants no requests.
   * @param nowMs - Monotonic time.
   */
  start(pauseMs: number, nowMs: number): void {
    this.#endsAtMs = Math.max(this.#endsAtMs, nowMs + pauseMs);
  }

  /**
   * Returns how much of the pause is left.
   *
   * @param nowMs - Monotonic time.
   * @returns Milliseconds; 0 when the server may get requests.
   */
  leftMs(nowMs: number): number {
    return Math.max(0, this.#endsAtMs - nowMs);
  }

  /**
   * Chooses when the caller of a refused request should come back: after the end
   * of the pause, spread over time.
   *
   * @param nowMs - Monotonic time.
   * @param random - Random number in [0, 1).
   * @returns Milliseconds.
   */
  retryAfterMs(nowMs: number, random: number): number {
    const leftMs = this.leftMs(nowMs);
    const spreadMs = Math.max(
      MIN_RETURN_SPREAD_MS,
      leftMs * RETURN_SPREAD_RATIO,
    );
    return leftMs + random * spreadMs;
  }
}
