/** Clocks of the process. */

/** Source of time; tests pass their own implementation. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  wallMs(): number;
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
