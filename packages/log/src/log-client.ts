/** HTTP client of the log service. */
import {ERRORS, type LogRecord, type StoredRecord} from '@wisteriarun/core';
import {AnswerTimer} from '@wisteriarun/runtime';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import * as z from 'zod';

/** Connections to the log service; each long poll occupies one. */
const CONNECTIONS = 8;
/** Largest accepted answer; bounds the memory that one answer takes. */
const MAX_ANSWER_BYTES = 16 * 1024 ** 2;
/**
 * Time limit for connecting. Shorter than the limit for an answer, so that a
 * connect timeout is reported as such: nothing was sent.
 */
const CONNECT_TIMEOUT_MS = 1_000;
/** Default time limit for an answer, in addition to the long-poll wait. */
const DEFAULT_TIMEOUT_MS = 2_000;
/** Time by which an answer whose bytes arrive may exceed the time limit of a call. */
const MAX_CALL_MS = 10_000;
/** Default maximum number of records in one answer. */
const DEFAULT_RECORD_LIMIT = 256;

/** Error code of undici for an answer larger than `MAX_ANSWER_BYTES`. */
const TOO_LARGE_CODE = 'UND_ERR_RES_EXCEEDED_MAX_SIZE';

/**
 * Error codes that prove that nothing was sent: those of Node and undici, and
 * `CLOSED` of `CLIENT_CLOSED`.
 */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
  'CLOSED',
]);

const offsetSchema = z.int().min(1);
const appendAnswerSchema = z.object({offset: offsetSchema});
const expiredAnswerSchema = z.object({first: offsetSchema});
const readAnswerSchema = z.object({
  next: offsetSchema,
  records: z.array(z.object({offset: offsetSchema, record: z.unknown()})),
});

/** Error of an append. */
export type AppendError = ReturnType<
  typeof ERRORS.logUnavailable | typeof ERRORS.appendUncertain
>;

/** Error of a read. */
export type ReadError = ReturnType<
  typeof ERRORS.logUnavailable | typeof ERRORS.logExpired
>;

/** Consecutive records that start at the requested offset. */
export interface LogBatch {
  /** Offset after the last record of the batch. */
  readonly next: number;
  readonly records: readonly StoredRecord[];
  /** True when the stream had no further record at the time of the answer. */
  readonly atEnd: boolean;
}

/** Options of a `LogClient`. */
export interface LogClientOptions {
  /** Base URL, for example `http://192.0.2.1:7000`. */
  readonly endpoint: string;
  /** Name of the deployment's stream. */
  readonly stream: string;
  /**
   * Longest wait for an answer and for each further part of it, in addition to the
   * long-poll wait; `DEFAULT_TIMEOUT_MS` when absent.
   */
  readonly timeoutMs?: number;
}

/** Options of one append. */
export interface AppendOptions {
  /** Overrides the client's time limit. */
  readonly timeoutMs?: number;
  /** Aborts the request; the append then counts as uncertain. */
  readonly signal?: AbortSignal;
}

/** Options of one read. */
export interface ReadOptions {
  /** Maximum number of records; `DEFAULT_RECORD_LIMIT` when absent. */
  readonly limit?: number;
  /** Longest wait for a new record at the end of the stream; 0: no wait. */
  readonly waitMs?: number;
  /** Overrides the client's time limit. */
  readonly timeoutMs?: number;
  /** Aborts the request. */
  readonly signal?: AbortSignal;
}

/** Answer of the log service with any status. */
interface Answer {
  readonly status: number;
  /** Undefined when the body is not JSON. */
  readonly body: unknown;
}

/** Why a request got no complete answer. */
interface TransportFailure {
  /** Error code of Node or undici, else the name of the error. */
  readonly code: string;
  /** Text for error messages. */
  readonly detail: string;
}

const CLIENT_CLOSED: TransportFailure = {
  code: 'CLOSED',
  detail: 'client is closed',
};

/** HTTP client of one stream of the log service. */
export class LogClient {
  private readonly pool: Pool;
  private isClosed = false;
  private readonly path: string;
  /** Time limit for an answer, in addition to the long-poll wait. */
  readonly timeoutMs: number;

  /**
   * @param options - Endpoint, stream and time limit.
   * @throws TypeError when the endpoint is not an HTTP URL.
   */
  constructor({endpoint, stream, timeoutMs}: LogClientOptions) {
    this.timeoutMs = timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.path = `/streams/${encodeURIComponent(stream)}/records`;
    this.pool = new Pool(endpoint, {
      connections: CONNECTIONS,
      maxResponseSize: MAX_ANSWER_BYTES,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      // Disabled because `createTimeLimit` bounds every request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Appends a record.
   *
   * @param record - The record.
   * @param options - Time limit and signal.
   * @returns The record's offset; `log-unavailable` when it was certainly not
   * appended; `append-uncertain` when it may have been.
   */
  async append(
    record: LogRecord,
    {timeoutMs = this.timeoutMs, signal}: AppendOptions = {},
  ): Promise<Result<number, AppendError>> {
    const body = JSON.stringify({record});
    const answer = await this.sendRequest(
      'POST',
      this.path,
      timeoutMs,
      signal,
      body,
    );
    if (answer.isErr) {
      const {code, detail} = answer.error;
      return Result.err(
        NOT_SENT_CODES.has(code)
          ? ERRORS.logUnavailable(detail)
          : ERRORS.appendUncertain(record.id, detail),
      );
    }
    return parseAppendAnswer(record.id, answer.value);
  }

  /**
   * Reads records.
   *
   * @param from - Offset of the first record to read, at least 1.
   * @param options - Limits, long-poll wait and signal.
   * @returns A batch, empty when there is no record yet; `log-expired` with
   * the oldest available offset when `from` has expired; `log-unavailable`
   * otherwise, also when an answer violates the protocol.
   */
  async read(
    from: number,
    options: ReadOptions = {},
  ): Promise<Result<LogBatch, ReadError>> {
    const {limit = DEFAULT_RECORD_LIMIT, waitMs = 0, signal} = options;
    const timeoutMs = (options.timeoutMs ?? this.timeoutMs) + waitMs;
    const path = `${this.path}?from=${from}&limit=${limit}&waitMs=${waitMs}`;
    const answer = await this.sendRequest('GET', path, timeoutMs, signal);
    if (answer.isOk) return parseReadAnswer(from, limit, answer.value);
    const {code, detail} = answer.error;
    // Snapshots are large, so a batch with several can exceed
    // `MAX_ANSWER_BYTES`; fewer records fit.
    if (code === TOO_LARGE_CODE && limit > 1) {
      return this.read(from, {...options, limit: Math.ceil(limit / 4)});
    }
    return Result.err(ERRORS.logUnavailable(detail));
  }

  /** Aborts open requests and closes the connections. */
  async close(): Promise<void> {
    this.isClosed = true;
    await this.pool.destroy();
  }

  private async sendRequest(
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: number,
    signal: AbortSignal | undefined,
    body: string | null = null,
  ): Promise<Result<Answer, TransportFailure>> {
    if (this.isClosed) return Result.err(CLIENT_CLOSED);
    const timeLimit = createTimeLimit(timeoutMs, signal);
    try {
      const response = await this.pool.request({
        method,
        path,
        body,
        headers: body === null ? {} : {'content-type': 'application/json'},
        signal: timeLimit.signal,
      });
      const chunks: Buffer[] = [];
      for await (const chunk of response.body) {
        timeLimit.onProgress();
        chunks.push(chunk as Buffer);
      }
      const text = Buffer.concat(chunks).toString('utf8');
      return Result.ok({status: response.statusCode, body: parseJson(text)});
    } catch (error) {
      return Result.err(describeFailure(error));
    } finally {
      timeLimit.release();
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Creates a signal that aborts when nothing has arrived for `timeoutMs`, after
 * `MAX_CALL_MS`, or when `signal` aborts; call `onProgress` when a part of the answer
 * has arrived, and `release` when the request has ended. Does not use `AbortSignal.any`, whose
 * result stays reachable from a long-lived signal: a follower that reads for
 * days would leak one signal per read.
 */
function createTimeLimit(timeoutMs: number, signal: AbortSignal | undefined) {
  const controller = new AbortController();
  const onAbort = () => controller.abort(new Error('aborted by the client'));
  const onTimeout = () =>
    controller.abort(new Error(`no answer within ${Math.ceil(timeoutMs)} ms`));
  const timer = new AnswerTimer(timeoutMs, onTimeout);
  signal?.addEventListener('abort', onAbort, {once: true});
  if (signal?.aborted) onAbort();
  const endsAtMs = performance.now() + timeoutMs + MAX_CALL_MS;
  return {
    signal: controller.signal,
    onProgress: () =>
      timer.restart(Math.min(timeoutMs, endsAtMs - performance.now())),
    release: () => {
      timer.close();
      signal?.removeEventListener('abort', onAbort);
    },
  };
}

function describeFailure(error: unknown): TransportFailure {
  if (!(error instanceof Error)) return {code: '', detail: String(error)};
  const code = 'code' in error ? String(error.code) : error.name;
  return {code, detail: `${code}: ${error.message}`};
}

function parseAppendAnswer(
  id: string,
  {status, body}: Answer,
): Result<number, AppendError> {
  const appended = appendAnswerSchema.safeParse(body);
  if (status === 201 && appended.success) {
    return Result.ok(appended.data.offset);
  }
  // 503 is an outage and 4xx a refusal: the record was not stored. Any other
  // status may come from an intermediary although the service stored it.
  return Result.err(
    status === 503 || (status >= 400 && status < 500)
      ? ERRORS.logUnavailable(`status ${status}`)
      : ERRORS.appendUncertain(id, `status ${status}`),
  );
}

function parseReadAnswer(
  from: number,
  limit: number,
  {status, body}: Answer,
): Result<LogBatch, ReadError> {
  if (status === 410) {
    const expired = expiredAnswerSchema.safeParse(body);
    return Result.err(
      expired.success && expired.data.first > from
        ? ERRORS.logExpired(expired.data.first)
        : ERRORS.logUnavailable('malformed answer with status 410'),
    );
  }
  if (status !== 200) {
    return Result.err(ERRORS.logUnavailable(`status ${status}`));
  }
  const batch = readAnswerSchema.safeParse(body);
  if (!batch.success || !isContiguous(from, batch.data)) {
    return Result.err(ERRORS.logUnavailable('malformed batch'));
  }
  const {records} = batch.data;
  const next = from + records.length;
  // A full batch does not prove the end: the limit may have cut it off.
  const atEnd = records.length < limit && batch.data.next === next;
  return Result.ok({next, records, atEnd});
}

/**
 * Checks that a batch starts at `from` and has no gaps. A reader that misses a
 * record computes a state that differs from all others from then on. With
 * records, `next` may lie beyond the batch: some services return the end of the
 * stream there.
 */
function isContiguous(
  from: number,
  {next, records}: z.infer<typeof readAnswerSchema>,
): boolean {
  const end = from + records.length;
  return (
    (records.length > 0 ? next >= end : next === end) &&
    records.every(({offset}, index) => offset === from + index)
  );
}
