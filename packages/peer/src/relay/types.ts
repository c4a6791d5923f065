/** Types of the requests that an entry VM relays to a server's dispatcher. */
import type {Readable} from 'node:stream';
import type {Fence, HeaderMap, RequestFailure} from '@wisteriarun/core';

/** A routed request on its way to a dispatcher. */
export interface RelayRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly service: string;
  readonly key: string;
  /** Id of the server that the sender takes for the owner of the key. */
  readonly server: string;
  readonly shard: number;
  readonly epoch: number;
  readonly fence: Fence;
  readonly idempotencyKey: string | null;
  /** Time left until the caller's deadline. */
  readonly remainingMs: number;
  /** Server crashes known to the sender in which this request was running. */
  readonly crashCount: number;
  /** Length of the body; null when unknown (chunked transfer encoding). */
  readonly lengthBytes: number | null;
  /** Body in memory, a stream that can be read once, or null for no body. */
  readonly body: Readable | Buffer | null;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Called when the request is admitted, before its body is read. */
  readonly onAdmitted?: () => void;
}

/** Result of a relayed request. */
export type RelayResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderMap;
      /**
       * Time until the server's answer began; absent when the request was not
       * executed now.
       */
      readonly serverMs?: number;
      /** Emits an error when the answer ends early. */
      readonly body: Readable;
    }
  | {
      readonly kind: 'failed';
      readonly failure: RequestFailure;
      /** Server crashes in which this request was running. */
      readonly crashCount: number;
    };

/** Executes relayed requests at the dispatcher. */
export interface RelayHandler {
  /**
   * Executes a request.
   *
   * @param request - The request.
   * @returns The answer or the failure. Must not reject.
   */
  dispatch(request: RelayRequest): Promise<RelayResult>;
}
