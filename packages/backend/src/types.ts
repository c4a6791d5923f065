/** Types for requests to a backend server and their results. */
import type {Readable} from 'node:stream';
import type {Fence, HeaderMap, Reason} from '@wisteriarun/core';

/** Address and connection limit of one server. */
export interface ServerEndpoint {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  /** Largest number of connections for requests. */
  readonly connections: number;
}

/** A request to a server. */
export interface BackendRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
  readonly fence: Fence;
  /** Time left until the deadline for the whole answer. */
  readonly remainingMs: number;
  readonly body: Readable | Buffer | null;
  /** Aborts the request and cancels it at the server. */
  readonly signal: AbortSignal;
  /**
   * Last check before the request is written, called in the same turn of the
   * event loop as the write of the first byte.
   *
   * @returns Null to write the request, or the reason not to.
   */
  readonly beforeWrite?: () => Reason | null;
}

/**
 * Result of a request: `not-run` when it provably did not run, `unknown` when it
 * may have run.
 */
export type BackendResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderMap;
      /** Emits an error when the answer is cut off. */
      readonly body: Readable;
    }
  | {
      readonly kind: 'not-run';
      readonly reason: Reason;
      /** From the server's `Retry-After` header; null without one. */
      readonly retryAfterMs: number | null;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: Reason;
      /** True when the connection failed without a cancel or a timeout. */
      readonly isConnectionLost: boolean;
    };
