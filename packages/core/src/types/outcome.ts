/** Outcomes of a request and the reasons for those that were not answered. */

/** What a caller may conclude about a request. */
export type OutcomeKind = 'answered' | 'not-run' | 'unknown';

/** Where a proof of "not run" or a doubt comes from. */
export interface ReasonInfo {
  readonly outcome: 'not-run' | 'unknown';
  readonly status: number;
  /** Whether another try after newer tables may succeed. */
  readonly reroute: boolean;
  /** Whether the caller is told to retry later. */
  readonly retryAfter: boolean;
}

const notRun = (status: number, reroute: boolean, retryAfter: boolean) =>
  ({outcome: 'not-run', status, reroute, retryAfter}) as const;
const unknown = (status: number) =>
  ({
    outcome: 'unknown',
    status,
    reroute: false,
    retryAfter: false,
  }) as const;

/** Every reason with its outcome and HTTP status. */
export const REASONS = {
  'malformed-request': notRun(400, false, false),
  'idempotency-key-required': notRun(400, false, false),
  'idempotency-key-invalid': notRun(400, false, false),
  'unknown-service': notRun(404, false, false),
  'body-too-large': notRun(413, false, false),
  'crash-suspect': notRun(422, false, false),
  'queue-full': notRun(429, false, true),
  'shard-queue-full': notRun(429, false, true),
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
  'server-shed': notRun(503, true, true),
  'batch-left': notRun(503, true, true),
  'stale-epoch': notRun(503, true, true),
  'stale-fence': notRun(503, true, true),
  'lease-expired': notRun(503, true, true),
  'no-permission': notRun(503, true, true),
  'retry-budget-empty': notRun(503, false, true),
  'shutting-down': notRun(503, true, true),
  'caller-gone': notRun(503, false, false),
  'attempt-unknown': unknown(502),
  'attempt-expired': unknown(502),
  'server-connection-lost': unknown(502),
  'dispatcher-connection-lost': unknown(502),
  'answer-timeout': unknown(504),
  'internal-error': unknown(502),
} as const satisfies Record<string, ReasonInfo>;

/** Typed cause of a request that was not answered by a server. */
export type Reason = keyof typeof REASONS;

/** A request that ended without a server's answer. */
export interface RequestFailure {
  readonly kind: 'request-failure';
  readonly reason: Reason;
  readonly retryAfterMs: number | null;
}

/**
 * Builds a failure.
 *
 * @param reason - Typed cause.
 * @param retryAfterMs - Wait in milliseconds that the caller is told, if any.
 * @returns The failure record.
 */
export function requestFailure(
  reason: Reason,
  retryAfterMs: number | null = null,
): RequestFailure {
  return {kind: 'request-failure', reason, retryAfterMs};
}

/**
 * Tells whether a string names a reason of the table.
 *
 * @param value - Text, for example from a header.
 * @returns True when the text is a known reason.
 */
export function isReason(value: unknown): value is Reason {
  return typeof value === 'string' && Object.hasOwn(REASONS, value);
}
