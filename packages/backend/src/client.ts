/** HTTP client for one backend server. */
import {Readable} from 'node:stream';
import {DecoratorHandler, Pool, type Dispatcher} from 'undici';
import {
  AnswerTimer,
  holdPausedAnswers,
  serverConnector,
} from '@wisteriarun/runtime';
import {Result} from 'true-myth';
import {
  CANCEL_PATH_PREFIX,
  ERRORS,
  HEADERS,
  LEASE_PATH,
  REASONS,
  STATUS_PATH,
  forwardableHeaders,
  isReason,
  parseCount,
  serverStatusSchema,
  singleHeader,
  type HeaderMap,
  type LeaseRequest,
  type Reason,
  type ServerStatus,
  type WisteriarunError,
} from '@wisteriarun/core';
import type {BackendRequest, BackendResult, ServerEndpoint} from './types.js';

/** Time limit for the answer to a lease, status or cancel call. */
const CONTROL_TIMEOUT_MS = 500;
const CONNECT_TIMEOUT_MS = 500;
/** Largest status body; a status lists all shards with running requests. */
const MAX_STATUS_BYTES = 4 * 1024 * 1024;
const KEEP_ALIVE_MS = 30_000;
/** Largest number of cancel calls in flight. */
const MAX_CANCELS = 32;
const STATUS_CONFLICT = 409;
/** Statuses with which a server may state that it did not run a request. */
const REFUSAL_STATUSES: readonly number[] = [421, 503];

/**
 * Progress of the write of a request. If the request fails, it decides whether
 * the result is `not-run` or `unknown`.
 */
interface WriteProgress {
  /** Set before the first byte is written; the request may have run since. */
  hasWriteStarted: boolean;
  /** Reason not to write that `beforeWrite` gave; null if it gave none. */
  beforeWriteReason: Reason | null;
  readonly beforeWrite: (() => Reason | null) | undefined;
}

/** Dispatch options that carry the progress of the request. */
type TrackedOptions = Dispatcher.DispatchOptions & {progress?: WriteProgress};

/**
 * Wraps a handler to record when undici is about to write the request, and to
 * abort a request that must not be written.
 */
function trackHandler(
  handler: Dispatcher.DispatchHandler,
  progress: WriteProgress,
): Dispatcher.DispatchHandler {
  const tracked = new DecoratorHandler(handler) as Dispatcher.DispatchHandler;
  const onRequestStart = tracked.onRequestStart?.bind(tracked);
  tracked.onRequestStart = (controller, context) => {
    onRequestStart?.(controller, context);
    // undici may queue a request again when its connection closes; writing it
    // a second time could run it twice.
    if (progress.hasWriteStarted) {
      controller.abort(new Error('request may already have been written'));
      return;
    }
    progress.beforeWriteReason = progress.beforeWrite?.() ?? null;
    if (progress.beforeWriteReason !== null) {
      controller.abort(new Error('beforeWrite did not allow the write'));
      return;
    }
    progress.hasWriteStarted = true;
  };
  return tracked;
}

/** Interceptor that tracks the requests whose options carry a progress. */
function trackProgress(
  dispatch: Dispatcher['dispatch'],
): Dispatcher['dispatch'] {
  return (options: TrackedOptions, handler) =>
    options.progress
      ? dispatch(options, trackHandler(handler, options.progress))
      : dispatch(options, handler);
}

/** Sends lease, status and cancel calls and requests to one server. */
export class BackendClient {
  private readonly requestPool: Dispatcher;
  private readonly controlPool: Dispatcher;
  private readonly cancelPool: Dispatcher;
  private readonly trackedPool: Dispatcher;
  private pendingCancelCount = 0;

  /**
   * @param server - The server.
   */
  constructor(private readonly server: ServerEndpoint) {
    const host = server.host.includes(':') ? `[${server.host}]` : server.host;
    const origin = `http://${host}:${server.port}`;
    const common = {
      pipelining: 1,
      connect: serverConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: KEEP_ALIVE_MS,
      // Disabled because `AnswerTimer` and `AbortSignal` bound every call.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    const openPool = (connections: number) =>
      new Pool(origin, {...common, connections}).compose(holdPausedAnswers);
    this.requestPool = openPool(server.connections);
    // Lease and status calls share a connection of their own and cancel calls
    // another, so that they never wait behind requests or each other.
    this.controlPool = openPool(1);
    this.cancelPool = openPool(1);
    this.trackedPool = this.requestPool.compose(trackProgress);
  }

  /**
   * Reads the server's status.
   *
   * @returns The status; `lease-refused` when the server answers 409, or
   * `server-unreachable` without a valid answer.
   */
  status(): Promise<Result<ServerStatus, WisteriarunError>> {
    return this.call('GET', STATUS_PATH, null);
  }

  /**
   * Replaces the server's lease.
   *
   * @param lease - The lease.
   * @returns The status; `lease-refused` when the server answers 409, or
   * `server-unreachable` without a valid answer.
   */
  lease(lease: LeaseRequest): Promise<Result<ServerStatus, WisteriarunError>> {
    return this.call('PUT', LEASE_PATH, lease);
  }

  /**
   * Sends a request.
   *
   * @param request - The request.
   * @returns The answer once its headers have arrived; otherwise whether the
   * request provably did not run or may have run. Does not reject.
   */
  async send(request: BackendRequest): Promise<BackendResult> {
    const progress: WriteProgress = {
      hasWriteStarted: false,
      beforeWriteReason: null,
      beforeWrite: request.beforeWrite,
    };
    const deadline = new AbortController();
    const timer = new AnswerTimer(Math.max(0, request.remainingMs), () =>
      deadline.abort(new Error('deadline passed')),
    );
    // The deadline needs no cancel call: the server gets it in the header
    // `HEADERS.deadlineMs` and ends the request itself.
    const onAbort = () => {
      if (progress.hasWriteStarted) void this.cancel(request.id);
    };
    request.signal.addEventListener('abort', onAbort, {once: true});
    const cleanUp = () => {
      timer.close();
      request.signal.removeEventListener('abort', onAbort);
    };
    try {
      const answer = await this.trackedPool.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: requestHeaders(request),
        body: requestBody(request.body),
        signal: AbortSignal.any([request.signal, deadline.signal]),
        progress,
      } as Dispatcher.RequestOptions);
      const refusal = parseRefusal(answer.statusCode, answer.headers);
      if (refusal) {
        // Discards the body. The deadline also aborts a body that does not end.
        void answer.body
          .dump()
          .catch(() => {})
          .finally(cleanUp);
        return refusal;
      }
      answer.body.once('close', cleanUp);
      return {
        kind: 'answered',
        status: answer.statusCode,
        headers: forwardableHeaders(answer.headers),
        body: answer.body,
      };
    } catch {
      cleanUp();
      return classifyFailure(request, progress, deadline.signal.aborted);
    }
  }

  /**
   * Accepts no new requests and closes each connection when its request has
   * finished.
   *
   * @returns Resolves when the connections are closed.
   */
  async drain(): Promise<void> {
    const pools = [this.requestPool, this.controlPool, this.cancelPool];
    await Promise.all(pools.map(pool => pool.close()));
  }

  /**
   * Closes all connections; requests in flight fail.
   *
   * @returns Resolves when the connections are closed.
   */
  async close(): Promise<void> {
    const pools = [this.requestPool, this.controlPool, this.cancelPool];
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  /**
   * Asks the server to stop a request, for servers that do not notice a closed
   * connection. The call is not retried, and is skipped while `MAX_CANCELS`
   * calls are in flight.
   */
  private async cancel(id: string): Promise<void> {
    if (this.pendingCancelCount >= MAX_CANCELS) return;
    this.pendingCancelCount += 1;
    try {
      const answer = await this.cancelPool.request({
        method: 'DELETE',
        path: CANCEL_PATH_PREFIX + encodeURIComponent(id),
        // Needs no `AnswerTimer`: the answer is not used, so it does no harm when
        // one that arrived in time counts as late.
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      await answer.body.dump();
    } catch {
      // A failed cancel call needs no handling: the closed connection and the
      // deadline end the request as well.
    } finally {
      this.pendingCancelCount -= 1;
    }
  }

  /** Sends a lease or status call and parses the status in the answer. */
  private async call(
    method: 'GET' | 'PUT',
    path: string,
    body: LeaseRequest | null,
  ): Promise<Result<ServerStatus, WisteriarunError>> {
    const {id} = this.server;
    const timeout = new AbortController();
    const timer = new AnswerTimer(CONTROL_TIMEOUT_MS, () =>
      timeout.abort(new Error(`no answer within ${CONTROL_TIMEOUT_MS} ms`)),
    );
    try {
      const answer = await this.controlPool.request({
        method,
        path,
        headers: body ? {'content-type': 'application/json'} : {},
        body: body ? JSON.stringify(body) : null,
        signal: timeout.signal,
      });
      const content = await readJson(answer.body);
      if (answer.statusCode === STATUS_CONFLICT) {
        return Result.err(ERRORS.leaseRefused(id, readTerm(content)));
      }
      const parsed = serverStatusSchema.safeParse(content);
      if (answer.statusCode === 200 && parsed.success) {
        return Result.ok(parsed.data);
      }
      const detail = `status ${answer.statusCode} with an unusable body`;
      return Result.err(ERRORS.serverUnreachable(id, detail));
    } catch (error) {
      return Result.err(ERRORS.serverUnreachable(id, describeCause(error)));
    } finally {
      timer.close();
    }
  }
}

/**
 * Parses a JSON body of at most `MAX_STATUS_BYTES`. The error for a larger one
 * ends the iteration early, which closes the connection.
 */
async function readJson(body: Readable): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_STATUS_BYTES) throw new Error('status body is too large');
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks, bytes).toString('utf8'));
}

function requestHeaders(request: BackendRequest): HeaderMap {
  const {fence} = request;
  return {
    ...forwardableHeaders(request.headers),
    [HEADERS.service]: request.service,
    [HEADERS.shard]: String(request.shard),
    [HEADERS.epoch]: String(request.epoch),
    [HEADERS.fence]: `${fence.term}.${fence.seq}`,
    [HEADERS.deadlineMs]: String(Math.max(0, Math.floor(request.remainingMs))),
    [HEADERS.requestId]: request.id,
  };
}

/**
 * Wraps a stream so that undici does not destroy it when the request fails; its
 * owner may still need it.
 */
function requestBody(
  body: Readable | Buffer | null,
): Dispatcher.RequestOptions['body'] {
  if (!(body instanceof Readable)) return body;
  return Readable.from(body.iterator({destroyOnReturn: false}), {
    objectMode: false,
  });
}

/**
 * Recognizes a refusal: a 421 or 503 whose outcome header says not-run. A reason
 * that is missing, unknown or not one for not-run counts as `server-shed`.
 */
function parseRefusal(
  status: number,
  headers: Record<string, string | string[] | undefined>,
): BackendResult | null {
  if (!REFUSAL_STATUSES.includes(status)) return null;
  if (headers[HEADERS.outcome] !== 'not-run') return null;
  const statedReason = headers[HEADERS.reason];
  const reason: Reason =
    isReason(statedReason) && REASONS[statedReason].outcome === 'not-run'
      ? statedReason
      : 'server-shed';
  const seconds = parseCount(singleHeader(headers, 'retry-after'));
  const retryAfterMs = seconds === null ? null : seconds * 1_000;
  return {kind: 'not-run', reason, retryAfterMs};
}

/** Decides what is known about a request that got no answer. */
function classifyFailure(
  request: BackendRequest,
  progress: WriteProgress,
  hasDeadlinePassed: boolean,
): BackendResult {
  const isCancelled = request.signal.aborted;
  if (!progress.hasWriteStarted) {
    let reason: Reason = hasDeadlinePassed
      ? 'deadline-expired'
      : 'server-unreachable';
    if (isCancelled) reason = 'caller-gone';
    // The reason from beforeWrite is more specific than a deadline that passed
    // or a cancel at the same time.
    reason = progress.beforeWriteReason ?? reason;
    return {kind: 'not-run', reason, retryAfterMs: null};
  }
  // There is no separate reason for a request that was cancelled after its write
  // began; only `isConnectionLost` tells it from one whose connection was lost.
  const isConnectionLost = !isCancelled && !hasDeadlinePassed;
  const reason = hasDeadlinePassed
    ? 'answer-timeout'
    : 'server-connection-lost';
  return {kind: 'unknown', reason, isConnectionLost};
}

/** Reads the term from the answer of a server that refused a lease; 0 if none. */
function readTerm(content: unknown): number {
  const term = (content as {term?: unknown} | null)?.term;
  return typeof term === 'number' ? term : 0;
}

function describeCause(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : 'unknown';
}
