/** Relates the monotonic clock of another process to that of this one. */

/**
 * Age from which a round trip is not used any more: this process may have been suspended
 * since, while the other clock went on.
 */
const MAX_SAMPLE_AGE_MS = 3_000;

/** A round trip during which the other process has read its clock. */
interface RoundTrip {
  /** Time at which this process sent its message. */
  readonly sentAtMs: number;
  /** Time on the other clock at which the message was answered. */
  readonly remoteMs: number;
}

/** Bounds the local time of what happened on the other clock, whatever messages take. */
export class RemoteClock {
  #roundTrips: RoundTrip[] = [];

  /**
   * Records the answer to a message.
   *
   * @param sentAtMs - Monotonic time at which the message was sent.
   * @param remoteMs - Time on the other clock at which it was answered.
   */
  record(sentAtMs: number, remoteMs: number): void {
    this.#roundTrips.push({sentAtMs, remoteMs});
  }

  /**
   * Returns the earliest local time at which the other clock may have shown a time.
   *
   * @param remoteMs - Time on the other clock.
   * @param nowMs - Monotonic time.
   * @returns Monotonic time; -Infinity if there was no round trip in the last 3 s.
   */
  earliestMs(remoteMs: number, nowMs: number): number {
    this.#roundTrips = this.#roundTrips.filter(
      ({sentAtMs}) => nowMs - sentAtMs <= MAX_SAMPLE_AGE_MS,
    );
    // Each message was answered after it was sent. The shortest way there gives the
    // closest bound.
    const boundsMs = this.#roundTrips.map(
      trip => trip.sentAtMs + remoteMs - trip.remoteMs,
    );
    return Math.min(nowMs, Math.max(...boundsMs));
  }

  /** Forgets all round trips, for example because the other process is a new one. */
  clear(): void {
    this.#roundTrips = [];
  }
}
