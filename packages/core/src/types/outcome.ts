/** Outcomes of requests, and reasons why a request was not answered. */

/**
 * What a caller knows about a request: a server answered it, certainly no
 * server executed it, or it may have been executed.
 */
export type OutcomeKind = 'answered' | 'not-run' | 'unknown';

/** Outcome, HTTP status and retry rules of a reason. */
export interface ReasonInfo {
  readonly outcome: 'not-run' | 'unknown';
  readonly status: number;
  /**
   * Whether the entry VM may retry a request that was not run: with another
   * server, epoch or dispatcher once the routing tables change, or with the same
   * ones within the retry budget.
   */
  readonly mayReroute: boolean;
  /** Whether the answer to the caller has a `Retry-After` header. */
  readonly hasRetryAfter: boolean;
}

const notRun = (status: number, mayReroute: boolean, hasRetryAfter: boolean) =>
  ({outcome: 'not-run', status, mayReroute, hasRetryAfter}) as const;
const unknown = (status: number) =>
  ({
    outcome: 'unknown',
    status,
    mayReroute: false,
    hasRetryAfter: false,
  }) as const;

/** All reasons why a request was not answered. */
export const REASONS = {
  'malformed-request': notRun(400, false, false),
  'idempotency-key-required': notRun(400, false, false),
  'idempotency-key-invalid': notRun(400, false, false),
  'unknown-service': notRun(404, false, false),
  'body-too-large': notRun(413, false, false),
  /**
   * `CRASH_REFUSE_COUNT` or more server crashes happened while the request was
   * in flight.
   */
  'crash-suspect': notRun(422, false, false),
  'queue-full': notRun(429, false, true),
  'shard-queue-full': notRun(429, false, true),
  /** The expected wait in the queue ends after the deadline. */
  'deadline-unreachable': notRun(503, false, true),
  'deadline-expired': notRun(503, false, true),
  'no-bundle': notRun(503, true, true),
  'no-owner': notRun(503, true, true),
  'no-dispatcher': notRun(503, true, true),
  'dispatcher-unreachable': notRun(503, true, true),
  'wrong-dispatcher': notRun(503, true, true),
  'shard-moving': notRun(503, true, true),
  'server-unreachable': notRun(503, true, true),
  'server-draining': notRun(503, true, true),
  /** The server refused the request for overload or without a known reason. */
  'server-shed': notRun(503, true, true),
  /** The `leaveAtMs` of the server's batch has passed. */
  'batch-left': notRun(503, true, true),
  'stale-epoch': notRun(503, true, true),
  'stale-fence': notRun(503, true, true),
  'lease-expired': notRun(503, true, true),
  /**
   * The dispatcher has no valid permission of the assigner to send requests to
   * the server, which does not check grants.
   */
  'no-permission': notRun(503, true, true),
  'retry-budget-empty': notRun(503, false, true),
  'shutting-down': notRun(503, true, true),
  'caller-gone': notRun(503, false, false),
  /**
   * An earlier attempt with the same idempotency key may have run, and its
   * answer is not available.
   */
  'attempt-unknown': unknown(502),
  /**
   * The idempotency key is older than `ATTEMPT_WINDOW_MS`, so a record of an
   * earlier attempt may have expired.
   */
  'attempt-expired': unknown(502),
  'server-connection-lost': unknown(502),
  'dispatcher-connection-lost': unknown(502),
  'answer-timeout': unknown(504),
  'internal-error': unknown(502),
} as const satisfies Record<string, ReasonInfo>;

/** Name of a reason in `REASONS`. */
export type Reason = keyof typeof REASONS;

/** A request that ended without a server's answer. */
export interface RequestFailure {
  readonly kind: 'request-failure';
  readonly reason: Reason;
  readonly retryAfterMs: number | null;
}

/**
 * Creates a request failure.
 *
 * @param reason - Why the request was not answered.
 * @param retryAfterMs - Wait before a retry to recommend to the caller, or
 * null for none.
 * @returns The failure.
 */
export function requestFailure(
  reason: Reason,
  retryAfterMs: number | null = null,
): RequestFailure {
  return {kind: 'request-failure', reason, retryAfterMs};
}

/**
 * Tells whether a value is the name of a reason.
 *
 * @param value - Any value, for example from a header.
 * @returns True when the value is a key of `REASONS`.
 */
export function isReason(value: unknown): value is Reason {
  return typeof value === 'string' && Object.hasOwn(REASONS, value);
}
