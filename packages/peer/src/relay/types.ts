/** Requests between an entry VM and the dispatcher of a server. */
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
  readonly server: string;
  readonly shard: number;
  readonly epoch: number;
  readonly fence: Fence;
  readonly idempotencyKey: string | null;
  readonly remainingMs: number;
  /** Crashes that the sender knows this request was part of. */
  readonly crashCount: number;
  /** Length of the body; null when it is not known. */
  readonly lengthBytes: number | null;
  /** Body in memory, a stream that can be read once, or none. */
  readonly body: Readable | Buffer | null;
  /** Aborted when the caller has gone away. */
  readonly signal: AbortSignal;
  /** Called when the request is admitted, before its body is read. */
  readonly onAdmitted?: () => void;
}

/** What became of a relayed request. */
export type RelayResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderMap;
      /** Time until the server's answer began; absent when it did not run now. */
      readonly serverMs?: number;
      /** Fails when the answer breaks. */
      readonly body: Readable;
    }
  | {
      readonly kind: 'failed';
      readonly failure: RequestFailure;
      /** Crashes that this request was part of. */
      readonly crashCount: number;
    };

/** Executes relayed requests at the dispatcher. */
export interface RelayHandler {
  /**
   * @param request - The request.
   * @returns What became of it. Must not reject.
   */
  dispatch(request: RelayRequest): Promise<RelayResult>;
}
