/** Requests to a backend server and their results. */
import type {Readable} from 'node:stream';
import type {Fence, HeaderMap, Reason} from '@wisteriarun/core';

/** Address and bounds of one server. */
export interface ServerTarget {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  /** Largest number of connections for requests. */
  readonly connections: number;
}

/** A request for a server. */
export interface BackendRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
  readonly fence: Fence;
  /** Time that remains until the whole answer must have arrived. */
  readonly remainingMs: number;
  readonly body: Readable | Buffer | null;
  /** Cancels the request at the server. */
  readonly signal: AbortSignal;
  /**
   * Called in the turn of the event loop in which the first byte is written.
   *
   * @returns Null to write, or the reason why nothing may be written.
   */
  readonly beforeWrite?: () => Reason | null;
}

/** Result of a request, by what is proven about it. */
export type BackendResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderMap;
      /** Fails when the answer breaks. */
      readonly body: Readable;
    }
  | {
      readonly kind: 'not-run';
      readonly reason: Reason;
      readonly retryAfterMs: number | null;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: Reason;
      /** True when the connection broke without a cancel or a timeout. */
      readonly connectionLost: boolean;
    };
