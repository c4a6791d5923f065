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
export interface Gap {
  readonly service: string;
  readonly key: string;
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

/** Collects the gaps of keys from attempts in the order of their ends. */
export class GapTracker {
  private readonly lastAnswerMs = new Map<string, number>();
  private readonly open = new Map<string, Gap>();
  private readonly closedGaps: Gap[] = [];

  /**
   * Adds an attempt. A gap begins with the start of the first failed attempt,
   * but not before the latest answer of the key.
   */
  add(attempt: Attempt): void {
    const {service, key, startMs, endMs} = attempt;
    const id = `${service}/${key}`;
    const gap = this.open.get(id);
    if (attempt.outcome === 'answered') {
      this.lastAnswerMs.set(id, endMs);
      if (!gap) return;
      this.open.delete(id);
      this.closedGaps.push({...gap, toMs: endMs, closed: true});
      return;
    }
    if (gap) return;
    const fromMs = Math.max(startMs, this.lastAnswerMs.get(id) ?? startMs);
    this.open.set(id, {service, key, fromMs, toMs: fromMs, closed: false});
  }

  /** Whether a key has had no answer since its first failure. */
  isOpen(service: string, key: string): boolean {
    return this.open.has(`${service}/${key}`);
  }

  /** All gaps; those still open end at the given time. */
  gaps(nowMs: number): Gap[] {
    const open = [...this.open.values()].map(gap => ({...gap, toMs: nowMs}));
    return [...this.closedGaps, ...open];
  }
}
