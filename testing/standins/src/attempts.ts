/** Attempts that callers record, and the availability gaps of their keys. */

/**
 * Kinds of requests in a mixed load. A `post` must not run twice and carries an
 * idempotency key; reports call it a filing. A `probe` is a read that is sent
 * only to find out whether a key without an answer is available again.
 */
export type Operation = 'get' | 'post' | 'put' | 'upload' | 'probe';

/**
 * How one attempt of a request ended for its caller. `answered` means that the
 * answer came from a server, and `not-run` is the router's statement that no
 * server started the attempt. After `unknown`, `timeout` and `transport-error`
 * a server may have run it.
 */
export type AttemptOutcome =
  'answered' | 'not-run' | 'unknown' | 'timeout' | 'transport-error';

/** One attempt of one request, as its caller saw it. */
export interface Attempt {
  /** Unique id of the attempt, sent in `ATTEMPT_HEADER`. */
  readonly attemptId: string;
  readonly operation: Operation;
  readonly service: string;
  readonly key: string;
  /** Set on POST requests; all attempts of a request share it. */
  readonly idempotencyKey: string | null;
  /** Position of the attempt among those of its request, from 0. */
  readonly tryNumber: number;
  /** Address of the entry VM, `host:port`. */
  readonly entry: string;
  /** Wall time of the start in milliseconds since the Unix epoch. */
  readonly startMs: number;
  /** Wall time of the end in milliseconds since the Unix epoch. */
  readonly endMs: number;
  readonly outcome: AttemptOutcome;
  /** HTTP status; null without a response. */
  readonly status: number | null;
  /** `Wisteriarun-Reason`, or the text of a transport error. */
  readonly reason: string | null;
  /** Version that a read returned or a write sent; null for other requests. */
  readonly version: number | null;
  /**
   * Whether the server's checksum of a body equals the caller's; null when
   * there is nothing to compare.
   */
  readonly checksumOk: boolean | null;
}

/** A period in which a key was unavailable. */
export interface AvailabilityGap {
  readonly service: string;
  readonly key: string;
  /** Wall time at which the first failed or slow request started. */
  readonly fromMs: number;
  /** Wall time at which an answer ended the gap, or the end of the load. */
  readonly toMs: number;
  /** False when the load ended before the key answered again. */
  readonly closed: boolean;
}

/**
 * Tells whether the answer to an attempt acknowledged the request.
 *
 * @param attempt - The attempt.
 * @returns True for an answer with a 2xx status.
 */
export function isAcknowledged(attempt: Attempt): boolean {
  const {outcome, status} = attempt;
  return (
    outcome === 'answered' && status !== null && status >= 200 && status < 300
  );
}

/**
 * A request that waits longer counts as unavailable time. The router holds
 * requests during a takeover instead of failing them, so failures alone would
 * miss that time.
 */
export const SLOW_ANSWER_THRESHOLD_MS = 250;

/** Answers and availability gaps of one key. */
interface KeyHistory {
  /** End times of all answers, in ascending order. */
  readonly answerEndsMs: number[];
  /** Start times of the gaps that have ended, keyed by their end times. */
  readonly closed: Map<number, number>;
  /** Start time of the gap that no answer has ended yet. */
  openSinceMs: number | null;
}

/**
 * Derives the availability gaps of keys from attempts, which are added in the
 * order of their end times. A gap lasts from the start of the first attempt
 * that failed or waited longer than `SLOW_ANSWER_THRESHOLD_MS` to the first
 * answer of the key after that start.
 */
export class AvailabilityGapTracker {
  private readonly byKey = new Map<string, KeyHistory>();

  /**
   * Adds an attempt.
   *
   * @param attempt - An attempt that ended no earlier than those before it.
   */
  add(attempt: Attempt): void {
    const {service, key, startMs, endMs, operation} = attempt;
    const history = this.historyOf(`${service}/${key}`);
    if (attempt.outcome === 'answered') {
      const {openSinceMs} = history;
      if (openSinceMs !== null) history.closed.set(endMs, openSinceMs);
      history.openSinceMs = null;
      history.answerEndsMs.push(endMs);
      // The duration of an upload depends on its size.
      const isSlow =
        endMs - startMs > SLOW_ANSWER_THRESHOLD_MS && operation !== 'upload';
      if (!isSlow) return;
    }
    this.addUnavailability(history, startMs);
  }

  /**
   * Adds a request that has waited for `SLOW_ANSWER_THRESHOLD_MS` and still has
   * no answer.
   *
   * @param service - Service of the request.
   * @param key - Key of the request.
   * @param startMs - Wall time at which the request was sent.
   */
  addPendingRequest(service: string, key: string, startMs: number): void {
    this.addUnavailability(this.historyOf(`${service}/${key}`), startMs);
  }

  /**
   * Tells whether a key is in a gap that has not ended.
   *
   * @param service - Service of the key.
   * @param key - The key.
   * @returns True when the key has not answered since a request failed or
   * waited too long.
   */
  isOpen(service: string, key: string): boolean {
    return (this.byKey.get(`${service}/${key}`)?.openSinceMs ?? null) !== null;
  }

  /**
   * Lists the gaps of all keys.
   *
   * @param nowMs - End time for gaps that have not ended.
   * @returns The gaps, grouped by key.
   */
  gaps(nowMs: number): AvailabilityGap[] {
    return [...this.byKey].flatMap(([id, {closed, openSinceMs}]) => {
      const slash = id.indexOf('/');
      const service = id.slice(0, slash);
      const key = id.slice(slash + 1);
      const gaps: AvailabilityGap[] = [...closed].map(([toMs, fromMs]) => {
        return {service, key, fromMs, toMs, closed: true};
      });
      if (openSinceMs !== null) {
        const fromMs = openSinceMs;
        gaps.push({service, key, fromMs, toMs: nowMs, closed: false});
      }
      return gaps;
    });
  }

  /**
   * Adds a gap that starts at a time, or extends the gap that ends at the same
   * answer. The gap ends at the first answer after that time, or stays open.
   */
  private addUnavailability(history: KeyHistory, startMs: number): void {
    const answerEndMs = firstTimeAfter(history.answerEndsMs, startMs);
    if (answerEndMs === null) {
      history.openSinceMs = Math.min(history.openSinceMs ?? startMs, startMs);
      return;
    }
    const knownStartMs = history.closed.get(answerEndMs) ?? startMs;
    history.closed.set(answerEndMs, Math.min(knownStartMs, startMs));
  }

  private historyOf(id: string): KeyHistory {
    let history = this.byKey.get(id);
    if (!history) {
      history = {answerEndsMs: [], closed: new Map(), openSinceMs: null};
      this.byKey.set(id, history);
    }
    return history;
  }
}

/** Returns the first of the ascending times after a time, or null. */
function firstTimeAfter(timesMs: readonly number[], afterMs: number) {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (timesMs[middle]! > afterMs) high = middle;
    else low = middle + 1;
  }
  return timesMs[low] ?? null;
}
