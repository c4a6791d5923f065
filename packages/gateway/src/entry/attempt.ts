/** One attempt to send a request to a server and read its answer. */
import type {Readable} from 'node:stream';
import {parsePauseMs} from '@wisteriarun/core';
import type {GatewayHeaders, ReportedLoad} from '@wisteriarun/core';
import {
  AnswerTimer,
  isDelimitedByClose,
  listenForNextSocket,
} from '@wisteriarun/runtime';
import type {ServerSocket, SocketListener} from '@wisteriarun/runtime';
import type {Dispatcher} from 'undici';

/**
 * Answers up to this size are buffered and checked as a whole before any byte
 * is passed to the caller.
 */
const MAX_BUFFERED_BYTES = 262_144;
/** Limit on interim (1xx) answers before the final one; servers need no more. */
const MAX_INTERIM_ANSWERS = 16;
/**
 * Statuses with which servers refuse requests that they have not run. The not-run
 * header proves this with any status. An answer with one of these statuses but
 * without the header proves nothing, so it is not passed on; 421 alone needs no
 * header.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MISDIRECTED_STATUS = 421;
/** Value of the header with which a server says that it is leaving. */
const LEAVING = '1';

/** Headers of an answer, keyed by lower-case name. */
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Receives an answer that is too large to be buffered. */
export interface AnswerSink {
  /** Sends the status and the headers; called before the first `write`. */
  begin(status: number, headers: AnswerHeaders): void;
  /** Returns false when the writer must pause until `resume` is called. */
  write(chunk: Buffer, resume: () => void): boolean;
  /** Ends an answer that is complete. */
  end(): void;
  /** Breaks off the answer in a way that the caller sees as incomplete. */
  abort(): void;
}

/** A request as it is sent to a server. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer | Readable | null;
  /** Id that the answer must repeat; null when the caller sent none. */
  readonly id: string | null;
  readonly timeoutMs: number;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: AnswerHeaders;
      readonly body: Buffer;
      readonly load: ReportedLoad | null;
    }
  | {readonly kind: 'streamed'; readonly load: ReportedLoad | null}
  | {
      /** The request did not run at the server and will not run there. */
      readonly kind: 'not-run';
      readonly cause:
        | 'not-sent'
        /** Not sent, since the server may get no more requests. */
        | 'withdrawn'
        | 'refused'
        | 'misdirected'
        | 'invalid';
      readonly load: ReportedLoad | null;
      /** Time for which the server wants no requests; null if it states none. */
      readonly pauseMs: number | null;
    }
  | {
      /** The request may have run. */
      readonly kind: 'unknown';
      readonly cause: UnknownCause;
    };

/** Why it is not known whether a request ran. */
export type UnknownCause =
  | 'connection-lost'
  | 'wrong-answer'
  /** No signature, or a status of `NOT_RUN_STATUSES` without a proof. */
  | 'unsigned-answer'
  | 'timeout'
  | 'caller-gone';

/** Outcome of an attempt that was not written to any connection. */
function unsent(cause: 'not-sent' | 'withdrawn'): AttemptOutcome {
  return {kind: 'not-run', cause, load: null, pauseMs: null};
}

/** Reason that is given to undici when an attempt aborts its request. */
class AttemptAborted extends Error {}

/** Runs one attempt and resolves its outcome exactly once. */
export class Attempt implements Dispatcher.DispatchHandler, SocketListener {
  /** Resolves when the attempt has ended; never rejects. */
  readonly outcome: Promise<AttemptOutcome>;
  #resolveOutcome!: (outcome: AttemptOutcome) => void;
  #isSettled = false;
  #controller: Dispatcher.DispatchController | null = null;
  #socket: ServerSocket | null = null;
  #isCancelled = false;
  #interimCount = 0;
  #status = 0;
  #headers: AnswerHeaders = {};
  #bufferedChunks: Buffer[] = [];
  #receivedBytes = 0;
  #isStreaming = false;
  readonly #timer: AnswerTimer;

  /**
   * Starts the attempt.
   *
   * @param dispatcher - Connection pool of the server, whose connector opens
   * `ServerSocket`s.
   * @param request - Request to send.
   * @param headerNames - Names of the headers shared with callers and servers,
   * and the parser of the load header.
   * @param sink - Receives an answer that is too large to be buffered.
   * @param onServerLeaving - Called when an answer says that the server is
   * leaving, before any of the answer is passed on.
   * @param maySend - Whether the server may still get the request; asked when it is
   * about to be written to a connection.
   */
  constructor(
    dispatcher: Dispatcher,
    private readonly request: AttemptRequest,
    private readonly headerNames: GatewayHeaders,
    private readonly sink: AnswerSink,
    private readonly onServerLeaving: () => void = () => {},
    private readonly maySend: () => boolean = () => true,
  ) {
    this.outcome = new Promise(resolve => (this.#resolveOutcome = resolve));
    this.#timer = new AnswerTimer(request.timeoutMs, () =>
      this.cancel('timeout'),
    );
    dispatcher.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body,
        // Turns off undici's timeouts; the timer above limits the whole attempt.
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      this,
    );
  }

  /** Whether undici has assigned the request to a connection. */
  get isSent(): boolean {
    return this.#controller !== null;
  }

  /**
   * Cancels the attempt and closes its connection.
   *
   * @param cause - Cause in the outcome when the request may have run.
   */
  cancel(cause: UnknownCause): void {
    if (this.#isSettled) return;
    this.#isCancelled = true;
    if (this.#controller === null) {
      this.#finish(unsent('not-sent'));
      return;
    }
    this.#breakOff(cause);
  }

  /** Ends an attempt that still waits for a connection, and may not be sent any more. */
  withdraw(): void {
    if (this.#isSettled || this.isSent) return;
    this.#isCancelled = true;
    this.#finish(unsent('withdrawn'));
  }

  /**
   * Closes the connection of an attempt that has ended. Call it before the same
   * request is sent to the same server again: a late copy of the refusal would
   * otherwise arrive on this connection as the answer to the second attempt.
   */
  closeConnection(): void {
    this.#socket?.destroy();
  }

  onSocket(socket: ServerSocket): void {
    this.#socket = socket;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isCancelled) {
      controller.abort(new AttemptAborted('cancelled before it was sent'));
      return;
    }
    if (!this.maySend()) {
      controller.abort(new AttemptAborted('withdrawn before it was sent'));
      this.#finish(unsent('withdrawn'));
      return;
    }
    this.#controller = controller;
    // undici reports the socket right after this method returns, in the same
    // synchronous call.
    listenForNextSocket(this);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (this.#isSettled) return;
    if (status < 200) {
      this.#interimCount += 1;
      if (this.#interimCount > MAX_INTERIM_ANSWERS) {
        this.#breakOff('wrong-answer');
      }
      return;
    }
    this.#status = status;
    this.#headers = headers;
    if (headers[this.headerNames.leaving] === LEAVING) this.onServerLeaving();
    const {id} = this.request;
    if (id !== null && headers[this.headerNames.requestId] !== id) {
      this.#breakOff('wrong-answer');
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isSettled) return;
    if (this.#isStreaming) {
      this.#streamChunk(chunk);
      return;
    }
    this.#bufferedChunks.push(chunk);
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes <= MAX_BUFFERED_BYTES) return;
    const cause = this.#invalidAnswerCause();
    if (cause !== null) {
      this.#breakOff(cause);
      return;
    }
    this.#isStreaming = true;
    this.sink.begin(this.#status, this.#headers);
    for (const bufferedChunk of this.#bufferedChunks)
      this.#streamChunk(bufferedChunk);
    this.#bufferedChunks = [];
  }

  onResponseEnd(): void {
    if (this.#isSettled) return;
    // undici reports a reset as the regular end of an answer without a length.
    if (isDelimitedByClose(this.#headers) && this.#socket?.isReset) {
      this.#fail('connection-lost');
      return;
    }
    const load = this.#reportedLoad();
    if (this.#isStreaming) {
      this.sink.end();
      this.#finish({kind: 'streamed', load});
      return;
    }
    if (this.#headers[this.headerNames.notRun] !== undefined) {
      const pauseMs = parsePauseMs(this.#headers['retry-after']);
      const cause = this.#notRunCause();
      this.#finish({kind: 'not-run', cause, load, pauseMs});
      return;
    }
    if (this.#status === MISDIRECTED_STATUS) {
      this.#finish({
        kind: 'not-run',
        cause: 'misdirected',
        load,
        pauseMs: null,
      });
      return;
    }
    const cause = this.#invalidAnswerCause();
    if (cause !== null) {
      this.#fail(cause);
      return;
    }
    const body = Buffer.concat(this.#bufferedChunks, this.#receivedBytes);
    this.#finish({
      kind: 'answered',
      status: this.#status,
      headers: this.#headers,
      body,
      load,
    });
  }

  onResponseError(): void {
    if (this.#isSettled) return;
    if (this.#controller === null) {
      this.#finish(unsent('not-sent'));
      return;
    }
    this.#fail('connection-lost');
  }

  #streamChunk(chunk: Buffer): void {
    const canWriteMore = this.sink.write(chunk, () => {
      // The connection may carry another request by now.
      if (!this.#isSettled) this.#socket?.release();
    });
    if (!canWriteMore) this.#socket?.hold();
  }

  #notRunCause(): 'refused' | 'misdirected' | 'invalid' {
    if (this.#status === MISDIRECTED_STATUS) return 'misdirected';
    return this.#status === 400 ? 'invalid' : 'refused';
  }

  /** Returns why the answer must not be passed on; null when it may be. */
  #invalidAnswerCause(): UnknownCause | null {
    // For a buffered answer, the not-run header and 421 were checked before: such
    // a status alone does not prove that the request has not run. A large answer
    // is not checked for them; with such a status it counts as unproven as well.
    if (NOT_RUN_STATUSES.has(this.#status)) return 'unsigned-answer';
    // The gateway checks only that there is a signature, not whether it is valid.
    if (this.#headers[this.headerNames.signature] === undefined) {
      return 'unsigned-answer';
    }
    // Callers expect bodies without a content encoding.
    return this.#headers['content-encoding'] === undefined
      ? null
      : 'wrong-answer';
  }

  #reportedLoad(): ReportedLoad | null {
    const text = this.#headers[this.headerNames.load];
    return typeof text === 'string' ? this.headerNames.parseLoad(text) : null;
  }

  /**
   * Fails an attempt that may have run, and resets its connection: a reset discards
   * bytes that are still in transit, so that the request cannot reach the server after
   * the caller has left.
   */
  #breakOff(cause: UnknownCause): void {
    this.#fail(cause);
    this.#socket?.reset(new AttemptAborted(cause));
  }

  #fail(cause: UnknownCause): void {
    if (this.#isStreaming) this.sink.abort();
    this.#finish({kind: 'unknown', cause});
  }

  #finish(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#timer.close();
    this.#socket?.release();
    this.#resolveOutcome(outcome);
  }
}
