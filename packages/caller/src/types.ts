/** Requests of callers and their answers. */
import type {Readable} from 'node:stream';
import type {HeaderMap, RequestFailure} from '@wisteriarun/core';

/** A well-formed request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as received. */
  readonly path: string;
  readonly service: string;
  readonly key: string;
  /** Headers that may be forwarded. */
  readonly headers: HeaderMap;
  readonly idempotencyKey: string | null;
  readonly timeoutMs: number;
  /** Length of the body; null when it is not known in advance. */
  readonly lengthBytes: number | null;
  readonly body: Readable;
  /** Aborted when the caller has closed its connection. */
  readonly gone: AbortSignal;
}

/** A server's answer. */
export interface CallerAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: HeaderMap;
  /** Fails when the answer breaks. */
  readonly body: Readable;
}

/** Executes callers' requests. */
export interface CallerHandler {
  /**
   * @param request - The request.
   * @returns The answer or the failure. A rejection counts as
   * `internal-error`, whose outcome is unknown.
   */
  handle(request: CallerRequest): Promise<CallerAnswer | RequestFailure>;
}
