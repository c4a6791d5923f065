/** What callers note about their requests. */

/** Kinds of requests in a mixed load; `probe` asks a failed key again. */
export type Operation = 'get' | 'post' | 'put' | 'upload' | 'probe';

/** How one try of a request ended for its caller. */
export type AttemptOutcome =
  'answered' | 'not-run' | 'unknown' | 'timeout' | 'transport-error';

/** One try of one request, as its caller saw it. */
export interface Attempt {
  readonly attemptId: string;
  readonly operation: Operation;
  readonly service: string;
  readonly key: string;
  /** Set on filings; all tries of a filing share it. */
  readonly idempotencyKey: string | null;
  /** Position of the try among those of its request, from 0. */
  readonly tryNumber: number;
  readonly entry: string;
  /** Wall times in milliseconds. */
  readonly startMs: number;
  readonly endMs: number;
  readonly outcome: AttemptOutcome;
  readonly status: number | null;
  /** `Wisteriarun-Reason`, or the text of a transport error. */
  readonly reason: string | null;
  /** Version that a read returned or a write sent. */
  readonly version: number | null;
  /** False when the server's checksum of a body differs from the caller's. */
  readonly checksumOk: boolean | null;
}

/** Time during which a key gave no answer. */
export interface AvailabilityGap {
  readonly service: string;
  readonly key: string;
  /** Start of the first request that failed or was held back. */
  readonly fromMs: number;
  /** End of the answer that closed the gap, or the end of the load. */
  readonly toMs: number;
  /** False when the load ended without an answer. */
  readonly closed: boolean;
}

/**
 * Tells whether an attempt acknowledged its request.
 *
 * @returns True for an answer with a status of success.
 */
export function isAcknowledged(attempt: Attempt): boolean {
  const {outcome, status} = attempt;
  return (
    outcome === 'answered' && status !== null && status >= 200 && status < 300
  );
}

/**
 * Wait from which a request counts as held back. The router holds requests
 * during a takeover instead of failing them, so failures alone miss that time.
 */
export const SLOW_ANSWER_THRESHOLD_MS = 250;

/** Answers and gaps of one key. */
interface KeyHistory {
  /** Ends of all answers, in ascending order. */
  readonly answerEndsMs: number[];
  /** Start of each closed gap by its end. */
  readonly closed: Map<number, number>;
  /** Start of the gap that no answer has closed yet. */
  openSinceMs: number | null;
}

/**
 * Collects the gaps of keys from attempts in the order of their ends. A gap
 * lasts from the start of the first attempt that failed or waited longer than
 * `SLOW_ANSWER_MS` to the first answer of the key after that start.
 */
export class AvailabilityGapTracker {
  private readonly byKey = new Map<string, KeyHistory>();

  /** Adds an attempt that ended no earlier than those before it. */
  add(attempt: Attempt): void {
    const {service, key, startMs, endMs, operation} = attempt;
    const history = this.historyOf(`${service}/${key}`);
    if (attempt.outcome === 'answered') {
      const {openSinceMs} = history;
      if (openSinceMs !== null) history.closed.set(endMs, openSinceMs);
      history.openSinceMs = null;
      history.answerEndsMs.push(endMs);
      // The time of an upload depends on its size.
      const slow =
        endMs - startMs > SLOW_ANSWER_THRESHOLD_MS && operation !== 'upload';
      if (!slow) return;
    }
    this.addUnavailability(history, startMs);
  }

  /** Notes a request that has waited for `SLOW_ANSWER_MS` and still waits. */
  addPendingRequest(service: string, key: string, startMs: number): void {
    this.addUnavailability(this.historyOf(`${service}/${key}`), startMs);
  }

  /** Whether a key has had no answer since a request failed or waited. */
  isOpen(service: string, key: string): boolean {
    return (this.byKey.get(`${service}/${key}`)?.openSinceMs ?? null) !== null;
  }

  /** All gaps; those still open end at the given time. */
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

/** First of the ascending times that is after a time, or null. */
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
