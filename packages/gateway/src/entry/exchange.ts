/** Tracks one caller's request until it is answered, and logs the result. */
import {STATUS_CODES} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Readable} from 'node:stream';
import {singleHeader} from '@wisteriarun/core';
import type {GatewayHeaders, GatewayRoute} from '@wisteriarun/core';
import {hasDisconnected, isDelimitedByClose} from '@wisteriarun/runtime';
import type {Clock, LogFields} from '@wisteriarun/runtime';
import type {AnswerHeaders, AnswerSink, AttemptOutcome} from './attempt.js';
import type {CallerBody} from './caller-body.js';
import type {RequestLog} from './request-log.js';
import type {RequestMeter} from './request-meter.js';

const MS_PER_S = 1_000;
/**
 * Headers of a server's answer that are not forwarded: they apply to its
 * connection only, or this VM sets its own.
 */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'trailer',
  'upgrade',
  'proxy-connection',
  'date',
]);

/** Request times and collaborators of an exchange. */
export interface ExchangeDependencies {
  /** Monotonic time at which the request's head was read. */
  readonly startedAtMs: number;
  /** Upper bound on the time that the head waited in this VM to be read. */
  readonly unreadMs: number;
  readonly clock: Clock;
  readonly log: RequestLog;
  readonly meter: RequestMeter;
  /** Versions of the bundle and the ownership table in use, for the log. */
  versions(): LogFields;
}

type BufferedAnswer = Extract<AttemptOutcome, {kind: 'answered'}>;

/** Answers one request exactly once and logs how it ended. */
export class Exchange implements AnswerSink {
  /** Route of the request; null until the request was validated. */
  route: GatewayRoute | null = null;
  /** Name of the service that the route selected. */
  service: string | null = null;
  /** Body of the request; empty until it was read. */
  body: Extract<CallerBody, {kind: 'held' | 'streamed'}> = {
    kind: 'held',
    bytes: null,
  };
  /** Called when the caller disconnects before the answer is complete. */
  onCallerGone: (() => void) | null = null;
  /** Answer of an earlier attempt, sent when the retry yields no answer. */
  fallbackAnswer: BufferedAnswer | null = null;
  /**
   * Kept here because undici removes the socket from a request whose body it
   * has sent.
   */
  readonly socket: Socket;
  #hasClosedEarly = false;
  #isWaitingForDrain = false;
  #isStreamConsumed = false;
  /** Whether the end of the connection ends the answer. */
  #isDelimitedByClose = false;
  #mayHaveRun = false;
  #attemptSummaries: string[] = [];
  #firstSentAtMs: number | null = null;
  #decisionFields: LogFields = {};

  /**
   * @param request - Request of the caller.
   * @param response - Response to the caller.
   * @param headerNames - Names of the headers shared with callers and servers.
   * @param dependencies - Request times, clock, log and metrics.
   */
  constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly headerNames: GatewayHeaders,
    private readonly dependencies: ExchangeDependencies,
  ) {
    this.socket = request.socket;
    response.on('close', () => {
      if (this.body.kind === 'streamed') this.body.stream.destroy();
      if (response.writableFinished) return;
      this.#hasClosedEarly = true;
      this.onCallerGone?.();
    });
  }

  /** Monotonic time at which the request's head was read. */
  get startedAtMs(): number {
    return this.dependencies.startedAtMs;
  }

  /** Whether the caller has disconnected. */
  get isCallerGone(): boolean {
    return this.#hasClosedEarly || hasDisconnected(this.socket);
  }

  /** Whether the body is still available for another attempt. */
  get canSendAgain(): boolean {
    return this.body.kind === 'held' || !this.#isStreamConsumed;
  }

  /** Size of the body; 0 for a stream of unknown length. */
  get bodyBytes(): number {
    return this.body.kind === 'held'
      ? (this.body.bytes?.length ?? 0)
      : (this.body.lengthBytes ?? 0);
  }

  /**
   * Returns the body for an attempt that starts now. A stream can be consumed
   * only once.
   *
   * @returns The body; null when the request has none.
   */
  consumeBody(): Buffer | Readable | null {
    this.#firstSentAtMs ??= this.dependencies.clock.monotonicMs();
    if (this.body.kind === 'held') return this.body.bytes;
    this.#isStreamConsumed = true;
    return this.body.stream;
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param server - Id of the server.
   * @param outcome - Outcome of the attempt.
   */
  recordAttempt(server: string, outcome: AttemptOutcome): void {
    const detail = 'cause' in outcome ? `:${outcome.cause}` : '';
    this.#attemptSummaries.push(`${server}:${outcome.kind}${detail}`);
    if (outcome.kind === 'unknown') this.#mayHaveRun = true;
  }

  /**
   * Forwards a buffered answer of a server to the caller.
   *
   * @param answer - Complete answer.
   */
  sendAnswer(answer: BufferedAnswer): void {
    if (this.isCallerGone) return this.abandon('caller-gone');
    const {response} = this;
    const headers = forwardedHeaders(answer.headers);
    if (isDelimitedByClose(answer.headers)) this.#delimitByClose();
    else if (this.request.method !== 'HEAD') {
      headers['content-length'] = answer.body.length;
    } else headers['content-length'] = answer.headers['content-length'];
    writeHead(response, answer.status, headers);
    response.end(answer.body);
    this.#log('answered', answer.status, null);
  }

  /**
   * Ends a request for which no further attempt is made. The caller gets the
   * answer kept from an earlier attempt if there is one. Otherwise it gets 502
   * when an earlier attempt may have run the request, or 503, which states that
   * the request has not run and will not.
   *
   * @param cause - Stated in the answer and the log.
   * @param retryAfterMs - Delay after which the caller may retry; null when a
   * retry would not help.
   * @param decisionFields - Values that led to the refusal, for the log.
   */
  refuse(
    cause: string,
    retryAfterMs: number | null,
    decisionFields: LogFields = {},
  ): void {
    this.#decisionFields = decisionFields;
    if (this.fallbackAnswer !== null)
      return this.sendAnswer(this.fallbackAnswer);
    if (this.#mayHaveRun) return this.#sendOwnAnswer(502, cause, {});
    const headers: Record<string, string> =
      retryAfterMs === null
        ? {}
        : {'retry-after': (retryAfterMs / MS_PER_S).toFixed(3)};
    this.#sendOwnAnswer(503, cause, headers);
  }

  /**
   * Rejects an invalid request.
   *
   * @param status - Status of the answer.
   * @param cause - Stated in the answer and the log.
   */
  reject(status: 400 | 404 | 413, cause: string): void {
    this.#sendOwnAnswer(status, cause, {});
  }

  /**
   * Answers a request of which it is unknown whether it ran. The caller gets the
   * answer kept from an earlier attempt if there is one. A streamed answer that
   * has broken off is only logged.
   *
   * @param status - Status that leaves open whether the request ran.
   * @param cause - Stated in the answer and the log.
   */
  fail(status: 502 | 504, cause: string): void {
    if (this.response.headersSent) {
      this.#log('cut', status, cause);
      return;
    }
    if (this.fallbackAnswer !== null)
      return this.sendAnswer(this.fallbackAnswer);
    this.#sendOwnAnswer(status, cause, {});
  }

  /**
   * Closes and logs a request whose caller has disconnected.
   *
   * @param cause - Cause for the log.
   */
  abandon(cause: string): void {
    this.response.destroy();
    this.#log('abandoned', 0, cause);
  }

  /** Logs a streamed answer that is complete. */
  logStreamedAnswer(): void {
    this.#log('answered', this.response.statusCode, null);
  }

  begin(status: number, headers: AnswerHeaders): void {
    const forwarded = forwardedHeaders(headers);
    const length = headers['content-length'];
    if (length !== undefined) forwarded['content-length'] = length;
    if (isDelimitedByClose(headers)) this.#delimitByClose();
    writeHead(this.response, status, forwarded);
  }

  write(chunk: Buffer, resume: () => void): boolean {
    if (this.response.write(chunk)) return true;
    // Buffered chunks are all written, whether or not the response wants more.
    if (!this.#isWaitingForDrain) {
      this.#isWaitingForDrain = true;
      this.response.once('drain', () => {
        this.#isWaitingForDrain = false;
        resume();
      });
    }
    return false;
  }

  end(): void {
    this.response.end();
  }

  abort(): void {
    if (this.#isDelimitedByClose) {
      // Closed regularly, the answer would look complete. Alone, `resetAndDestroy` first
      // writes what is pending and closes regularly.
      this.socket.resetAndDestroy();
      this.socket.destroy();
    }
    this.response.destroy();
  }

  /**
   * Sends the answer without a length, so that the end of the connection
   * delimits it. The server's answer had no length either, so this VM cannot
   * tell whether it is complete and must not frame it as if it were.
   */
  #delimitByClose(): void {
    this.#isDelimitedByClose = true;
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
  }

  #sendOwnAnswer(
    status: number,
    cause: string,
    headers: Record<string, string>,
  ): void {
    if (this.isCallerGone) return this.abandon('caller-gone');
    const text = `${STATUS_CODES[status] ?? ''}: ${cause}\n`;
    const id = singleHeader(this.request.headers, this.headerNames.requestId);
    writeHead(this.response, status, {
      ...headers,
      ...(id === null ? {} : {[this.headerNames.requestId]: id}),
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(text),
    });
    this.response.end(text);
    this.#log('refused', status, cause);
  }

  #log(outcome: string, status: number, cause: string | null): void {
    const {clock, log, meter, unreadMs, versions} = this.dependencies;
    const nowMs = clock.monotonicMs();
    const tookMs = nowMs - this.startedAtMs;
    meter.record(this.route?.kind ?? 'none', outcome, cause ?? '', tookMs);
    const isLate = tookMs > (this.route?.objectiveMs ?? Infinity);
    if (cause === null && status < 500 && !isLate) return;
    log.write(() => ({
      id: singleHeader(this.request.headers, this.headerNames.requestId),
      route: this.route?.name,
      service: this.service ?? undefined,
      key: singleHeader(this.request.headers, this.headerNames.key),
      outcome,
      status,
      cause,
      took_ms: Math.round(tookMs),
      unread_ms: Math.round(unreadMs),
      objective_ms: this.route?.objectiveMs,
      // Time in this VM before the first attempt; the total if there was none.
      held_ms: Math.round((this.#firstSentAtMs ?? nowMs) - this.startedAtMs),
      attempts: this.#attemptSummaries.join(','),
      ...this.#decisionFields,
      ...versions(),
    }));
  }
}

type ForwardedHeaders = Record<string, string | string[] | number | undefined>;

function forwardedHeaders(headers: AnswerHeaders): ForwardedHeaders {
  const forwarded: ForwardedHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!DROPPED_HEADERS.has(name)) forwarded[name] = value;
  }
  return forwarded;
}

function writeHead(
  response: ServerResponse,
  status: number,
  headers: ForwardedHeaders,
): void {
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) response.setHeader(name, value);
  }
  response.writeHead(status);
}
