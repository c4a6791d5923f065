/** One request of a caller and its answer. */
import {STATUS_CODES} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Readable} from 'node:stream';
import {singleHeader} from '@wisteriarun/core';
import type {GatewayHeaders, GatewayRoute} from '@wisteriarun/core';
import {hasLeft} from '@wisteriarun/runtime';
import type {Clock, LogFields} from '@wisteriarun/runtime';
import type {AnswerHeaders, AnswerSink, AttemptOutcome} from './attempt.js';
import type {CallerBody} from './caller-body.js';
import type {RequestLog} from './request-log.js';
import type {RequestMeter} from './request-meter.js';

const MS_PER_S = 1_000;
/** Headers of a server's answer that concern its connection or this VM only. */
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

/** Parts that an exchange works with. */
export interface ExchangeParts {
  readonly startedAtMs: number;
  /** Longest time that the head may have waited before it was read. */
  readonly unreadMs: number;
  readonly clock: Clock;
  readonly log: RequestLog;
  readonly meter: RequestMeter;
  /** Versions of what decisions rest on, for the log. */
  versions(): LogFields;
}

type Answered = Extract<AttemptOutcome, {kind: 'answered'}>;

/** Answers one request exactly once and logs how it ended. */
export class Exchange implements AnswerSink {
  route: GatewayRoute | null = null;
  /** Name of the service that the route led to. */
  service: string | null = null;
  body: Extract<CallerBody, {kind: 'held' | 'streamed'}> = {
    kind: 'held',
    bytes: null,
  };
  /** Called when the caller leaves before the answer. */
  onGone: (() => void) | null = null;
  /** Answer of a server to fall back on when a repetition brings none. */
  fallback: Answered | null = null;
  /** Kept, since undici takes it off a request whose body it has sent. */
  readonly socket: Socket;
  #isGone = false;
  #isStreamSent = false;
  #mayHaveRun = false;
  #servers: string[] = [];
  #sentAtMs: number | null = null;
  #inputs: LogFields = {};

  /**
   * @param request - Request of the caller.
   * @param response - Its answer.
   * @param names - Header names.
   * @param parts - Clock, logs and metrics.
   */
  constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly names: GatewayHeaders,
    private readonly parts: ExchangeParts,
  ) {
    this.socket = request.socket;
    response.on('close', () => {
      if (response.writableFinished) return;
      this.#isGone = true;
      this.onGone?.();
    });
  }

  /** Monotonic time at which the request's head was read. */
  get startedAtMs(): number {
    return this.parts.startedAtMs;
  }

  /** Whether the caller has left. */
  get isGone(): boolean {
    return this.#isGone || hasLeft(this.socket);
  }

  /** Whether the body is still there for another attempt. */
  get canSendAgain(): boolean {
    return this.body.kind === 'held' || !this.#isStreamSent;
  }

  /** Size of the body as far as it is known. */
  get bodyBytes(): number {
    return this.body.kind === 'held'
      ? (this.body.bytes?.length ?? 0)
      : (this.body.lengthBytes ?? 0);
  }

  /**
   * Takes the body for an attempt, which starts now.
   *
   * @returns The body; a stream can be taken once.
   */
  bodyToSend(): Buffer | Readable | null {
    this.#sentAtMs ??= this.parts.clock.monotonicMs();
    if (this.body.kind === 'held') return this.body.bytes;
    this.#isStreamSent = true;
    return this.body.stream;
  }

  /**
   * Notes an attempt for the log.
   *
   * @param server - Id of the server.
   * @param outcome - How it ended.
   */
  triedServer(server: string, outcome: AttemptOutcome): void {
    const detail = 'cause' in outcome ? `:${outcome.cause}` : '';
    this.#servers.push(`${server}:${outcome.kind}${detail}`);
    if (outcome.kind === 'unknown') this.#mayHaveRun = true;
  }

  /**
   * Passes a server's answer on.
   *
   * @param answer - Whole answer.
   */
  answer(answer: Answered): void {
    if (this.isGone) return this.abandon('caller-gone');
    const {response} = this;
    const headers = passedHeaders(answer.headers);
    if (isUnframed(answer.headers)) this.#unframe();
    else if (this.request.method !== 'HEAD') {
      headers['content-length'] = answer.body.length;
    } else headers['content-length'] = answer.headers['content-length'];
    writeHead(response, answer.status, headers);
    response.end(answer.body);
    this.#log('answered', answer.status, null);
  }

  /**
   * Gives a request up. Unless an earlier attempt may have run it, the answer
   * states that it has not run and will not.
   *
   * @param cause - For the log.
   * @param retryAfterMs - When the caller may come back; null when that would
   * not help.
   * @param inputs - What decided it, for the log.
   */
  refuse(
    cause: string,
    retryAfterMs: number | null,
    inputs: LogFields = {},
  ): void {
    this.#inputs = inputs;
    if (this.fallback !== null) return this.answer(this.fallback);
    if (this.#mayHaveRun) return this.#own(502, cause, {});
    const headers: Record<string, string> =
      retryAfterMs === null
        ? {}
        : {'retry-after': (retryAfterMs / MS_PER_S).toFixed(3)};
    this.#own(503, cause, headers);
  }

  /**
   * Rejects a request that is not proper.
   *
   * @param status - Status of the answer.
   * @param cause - Stated in the answer and the log.
   */
  reject(status: 400 | 404 | 413, cause: string): void {
    this.#own(status, cause, {});
  }

  /**
   * Answers a request that may have run.
   *
   * @param status - Status that promises nothing.
   * @param cause - For the log.
   */
  fail(status: 502 | 504, cause: string): void {
    if (this.response.headersSent) {
      this.#log('cut', status, cause);
      return;
    }
    if (this.fallback !== null) return this.answer(this.fallback);
    this.#own(status, cause, {});
  }

  /**
   * Notes that the caller has left.
   *
   * @param cause - For the log.
   */
  abandon(cause: string): void {
    this.response.destroy();
    this.#log('abandoned', 0, cause);
  }

  /** Notes that a streamed answer is complete. */
  finished(): void {
    this.#log('answered', this.response.statusCode, null);
  }

  begin(status: number, headers: AnswerHeaders): void {
    const passed = passedHeaders(headers);
    const length = headers['content-length'];
    if (length !== undefined) passed['content-length'] = length;
    if (isUnframed(headers)) this.#unframe();
    writeHead(this.response, status, passed);
  }

  write(chunk: Buffer, resume: () => void): boolean {
    if (this.response.write(chunk)) return true;
    this.response.once('drain', resume);
    return false;
  }

  end(): void {
    this.response.end();
  }

  cut(): void {
    this.response.destroy();
  }

  /**
   * Whether an answer without a length is whole cannot be told; the end of the
   * connection leaves it open for the caller too.
   */
  #unframe(): void {
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
  }

  #own(status: number, cause: string, headers: Record<string, string>): void {
    if (this.isGone) return this.abandon('caller-gone');
    const text = `${STATUS_CODES[status] ?? ''}: ${cause}\n`;
    const id = singleHeader(this.request.headers, this.names.requestId);
    writeHead(this.response, status, {
      ...headers,
      ...(id === null ? {} : {[this.names.requestId]: id}),
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(text),
    });
    this.response.end(text);
    this.#log('refused', status, cause);
  }

  #log(outcome: string, status: number, cause: string | null): void {
    const {clock, log, meter, unreadMs, versions} = this.parts;
    const nowMs = clock.monotonicMs();
    const tookMs = nowMs - this.startedAtMs;
    meter.record(this.route?.kind ?? 'none', outcome, cause ?? '', tookMs);
    const isLate = tookMs > (this.route?.objectiveMs ?? Infinity);
    if (cause === null && status < 500 && !isLate) return;
    log.write(() => ({
      id: singleHeader(this.request.headers, this.names.requestId),
      route: this.route?.name,
      service: this.service ?? undefined,
      key: singleHeader(this.request.headers, this.names.key),
      outcome,
      status,
      cause,
      took_ms: Math.round(tookMs),
      unread_ms: Math.round(unreadMs),
      objective_ms: this.route?.objectiveMs,
      // Time in this VM before the first attempt; all of it without one.
      held_ms: Math.round((this.#sentAtMs ?? nowMs) - this.startedAtMs),
      attempts: this.#servers.join(','),
      ...this.#inputs,
      ...versions(),
    }));
  }
}

function isUnframed(headers: AnswerHeaders): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

type PassedHeaders = Record<string, string | string[] | number | undefined>;

function passedHeaders(headers: AnswerHeaders): PassedHeaders {
  const passed: PassedHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!DROPPED_HEADERS.has(name)) passed[name] = value;
  }
  return passed;
}

function writeHead(
  response: ServerResponse,
  status: number,
  headers: PassedHeaders,
): void {
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) response.setHeader(name, value);
  }
  response.writeHead(status);
}
