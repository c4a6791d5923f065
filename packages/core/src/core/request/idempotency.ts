/** Classes of HTTP methods, and the creation time in idempotency keys. */

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);
const NON_REPEATABLE_METHODS = new Set(['POST', 'PATCH']);

/** Whether a request may run more than once. */
export type MethodClass = 'idempotent' | 'non-repeatable' | 'unsupported';

/**
 * Classifies an HTTP method.
 *
 * @param method - Method in upper case.
 * @returns The class; `unsupported` methods are refused.
 */
export function methodClass(method: string): MethodClass {
  if (IDEMPOTENT_METHODS.has(method)) return 'idempotent';
  return NON_REPEATABLE_METHODS.has(method) ? 'non-repeatable' : 'unsupported';
}

/**
 * Reads the creation time of a UUIDv7. The time is needed because attempt
 * records expire: a request without a record does not run if it was created
 * more than `ATTEMPT_WINDOW_MS` ago or before the time since which the dispatcher
 * of its shard knows all attempts. Keys created more than `CALLER_SKEW_MS` in the
 * future are refused.
 *
 * @param text - Value of an `Idempotency-Key` header.
 * @returns Wall time in milliseconds, or null when the text is not a UUIDv7.
 */
export function uuidV7WallMs(text: string): number | null {
  if (!UUID_V7.test(text)) return null;
  return Number.parseInt(text.slice(0, 8) + text.slice(9, 13), 16);
}
