/** Types for callers' requests and their answers. */
import type {Readable} from 'node:stream';
import type {HeaderMap, RequestFailure} from '@wisteriarun/core';

/** A caller's request that passed validation. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query string as received. */
  readonly path: string;
  readonly service: string;
  readonly key: string;
  /** Headers that may be forwarded. */
  readonly headers: HeaderMap;
  readonly idempotencyKey: string | null;
  /** Time limit for the whole request. */
  readonly timeoutMs: number;
  /** Length of the body; null when unknown in advance (chunked). */
  readonly lengthBytes: number | null;
  readonly body: Readable;
  /** Aborted when the caller closes its connection before the answer ends. */
  readonly gone: AbortSignal;
}

/** Answer of a backend server. */
export interface CallerAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: HeaderMap;
  /** Emits an error when the answer is cut off. */
  readonly body: Readable;
}

/** Executes callers' requests. */
export interface CallerHandler {
  /**
   * Executes one request.
   *
   * @param request - The request.
   * @returns The answer or the failure. A rejected promise is reported to the
   * caller as `internal-error`, whose outcome is unknown.
   */
  handle(request: CallerRequest): Promise<CallerAnswer | RequestFailure>;
}
