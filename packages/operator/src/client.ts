/** HTTP client of the operator port. */
import {ERRORS} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {Result} from 'true-myth';
import {request} from 'undici';
import type {z} from 'zod';
import {
  explainViewSchema,
  ownersViewSchema,
  problemViewSchema,
  statusViewSchema,
  timelineViewSchema,
} from './views.js';
import type {
  ExplainView,
  OwnersView,
  StatusView,
  TimelineView,
} from './views.js';

/** Large enough for the owners of several services with 65,536 shards each. */
const MAX_ANSWER_BYTES = 128 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;

/** Address and bearer token of an operator port. */
export interface OperatorClientOptions {
  /** Base URL, `http://host:port`. */
  readonly endpoint: string;
  readonly token: string;
  /** Time limit of each request; `REQUEST_TIMEOUT_MS` when absent. */
  readonly timeoutMs?: number;
}

type AsyncResult<T> = Promise<Result<T, WisteriarunError>>;

/**
 * Reads from one operator port. A call fails with `operator-refused` when the
 * port returned an error response, and with `operator-unavailable` when there
 * was no response or it was too large or malformed.
 */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  /**
   * @param options - Address and bearer token.
   */
  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** Base URL of the operator port. */
  get endpoint(): string {
    return this.#options.endpoint;
  }

  /**
   * Reads the status of the process.
   *
   * @returns The status, or a failure.
   */
  status(): AsyncResult<StatusView> {
    return this.#read('/status', statusViewSchema);
  }

  /**
   * Reads the owners of all shards.
   *
   * @returns The owners, or a failure.
   */
  owners(): AsyncResult<OwnersView> {
    return this.#read('/owners', ownersViewSchema);
  }

  /**
   * Reads where a key's requests are routed.
   *
   * @param service - Service id.
   * @param key - Routing key within the service.
   * @returns The route and the reasons for it, or a failure.
   */
  explain(service: string, key: string): AsyncResult<ExplainView> {
    const query = new URLSearchParams({service, key});
    return this.#read(`/explain?${query.toString()}`, explainViewSchema);
  }

  /**
   * Reads the events of the process.
   *
   * @param sinceSeq - Sequence number after which to start; 0 for all.
   * @returns The events, or a failure.
   */
  timeline(sinceSeq = 0): AsyncResult<TimelineView> {
    return this.#read(`/timeline?since=${sinceSeq}`, timelineViewSchema);
  }

  /**
   * Reads the metrics.
   *
   * @returns The metrics in Prometheus text format, or a failure.
   */
  async metrics(): AsyncResult<string> {
    return this.#fetch('/metrics');
  }

  async #read<T>(path: string, schema: z.ZodType<T>): AsyncResult<T> {
    const text = await this.#fetch(path);
    if (text.isErr) return Result.err(text.error);
    const parsed = schema.safeParse(parseJson(text.value));
    return parsed.success
      ? Result.ok(parsed.data)
      : this.#unavailable('malformed answer');
  }

  async #fetch(path: string): AsyncResult<string> {
    const {endpoint, token, timeoutMs = REQUEST_TIMEOUT_MS} = this.#options;
    try {
      const {statusCode, body} = await request(endpoint + path, {
        headers: {authorization: `Bearer ${token}`},
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await readText(body);
      if (text === null) return this.#unavailable('answer is too large');
      if (statusCode === 200) return Result.ok(text);
      const parsed = problemViewSchema.safeParse(parseJson(text));
      const detail = parsed.success ? parsed.data.error : '';
      return Result.err(ERRORS.operatorRefused(endpoint, statusCode, detail));
    } catch (error) {
      const detail = error instanceof Error ? error.message : 'unknown cause';
      return this.#unavailable(detail);
    }
  }

  #unavailable(detail: string): Result<never, WisteriarunError> {
    return Result.err(ERRORS.operatorUnavailable(this.endpoint, detail));
  }
}

/** Reads a body; null when it exceeds `MAX_ANSWER_BYTES`. */
async function readText(body: AsyncIterable<Buffer>): Promise<string | null> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_ANSWER_BYTES) return null;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
