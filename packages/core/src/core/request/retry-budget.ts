/** Limits the number of retries to a share of the requests. */

const WINDOW_MS = 10_000;
const BUCKET_MS = 1_000;
const BUCKETS = WINDOW_MS / BUCKET_MS;
const DEFAULT_LIMITS: RetryLimits = {ratio: 0.1, slack: 10};

/** Number of retries allowed within 10 s. */
export interface RetryLimits {
  /** Allowed retries for each request of the last 10 s. */
  readonly ratio: number;
  /** Retries allowed in addition, regardless of the number of requests. */
  readonly slack: number;
}

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** Budget for retries, based on the number of requests of the last 10 s. */
export class RetryBudget {
  private readonly buckets: Bucket[] = Array.from({length: BUCKETS}, () => ({
    index: -1,
    requests: 0,
    retries: 0,
  }));

  /**
   * @param limits - Allowed retries; by default 10% of the requests plus 10.
   */
  constructor(private limits: RetryLimits = DEFAULT_LIMITS) {}

  /**
   * Replaces the limits.
   *
   * @param limits - Allowed retries from now on.
   */
  setLimits(limits: RetryLimits): void {
    this.limits = limits;
  }

  /**
   * Counts the first attempt of a request.
   *
   * @param nowMs - Monotonic time.
   */
  recordRequest(nowMs: number): void {
    this.bucketAt(nowMs).requests += 1;
  }

  /**
   * Counts one retry if the budget allows it.
   *
   * @param nowMs - Monotonic time.
   * @returns False when the budget is used up and the retry is not allowed.
   */
  tryRetry(nowMs: number): boolean {
    const current = this.bucketAt(nowMs);
    let requests = 0;
    let retries = 0;
    for (const bucket of this.buckets) {
      if (bucket.index <= current.index - BUCKETS) continue;
      requests += bucket.requests;
      retries += bucket.retries;
    }
    if (retries + 1 > requests * this.limits.ratio + this.limits.slack)
      return false;
    current.retries += 1;
    return true;
  }

  private bucketAt(nowMs: number): Bucket {
    const index = Math.floor(nowMs / BUCKET_MS);
    const bucket = this.buckets[index % BUCKETS]!;
    if (bucket.index !== index) {
      bucket.index = index;
      bucket.requests = 0;
      bucket.retries = 0;
    }
    return bucket;
  }
}

/**
 * Computes the delay before a retry: exponential backoff with jitter, so that
 * entry VMs do not retry at the same time.
 *
 * @param earlierAttempts - Number of earlier attempts, at least 1.
 * @param random - Random number in [0, 1).
 * @returns Milliseconds, between half of c and c, where c is
 * 10 * 2^earlierAttempts but at most 400.
 */
export function retryDelayMs(earlierAttempts: number, random: number): number {
  const ceilingMs = Math.min(400, 10 * 2 ** earlierAttempts);
  return ceilingMs * (0.5 + random / 2);
}
