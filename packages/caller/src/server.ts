/** HTTP server that accepts callers' requests. */
import {randomUUID} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {
  HEADERS,
  REASONS,
  requestFailure,
  type RequestFailure,
} from '@wisteriarun/core';
import {
  closeGracefully,
  hasDisconnected,
  waitForPendingEvents,
  sendBody,
  type StallWatch,
} from '@wisteriarun/runtime';
import {parseHead} from './parse.js';
import type {CallerAnswer, CallerHandler} from './types.js';

const HEALTH_PATH = '/health';
const KEEP_ALIVE_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 16 * 1024;
/** Retry-After for a failure that gives no time of its own. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
const DISCARD_TIMEOUT_MS = 1_000;
const MAX_DISCARDED_BYTES = 8 * 1024 * 1024;
/** Written to the socket, as Node creates no response for malformed input. */
const MALFORMED_RESPONSE =
  'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n' +
  'Wisteriarun-Outcome: not-run\r\nWisteriarun-Reason: malformed-request\r\n' +
  '\r\n';

/** Listen address of the caller port. */
export interface CallerServerOptions {
  readonly host: string;
  /** 0 chooses a free port. */
  readonly port: number;
}

/** Accepts callers' requests, passes them to a handler and writes answers. */
export class CallerServer {
  private readonly server: Server;
  /** Whether `/health` answers 503. */
  private isShuttingDown = false;
  /** Whether each connection is closed after its current answer. */
  private isClosing = false;
  private activeRequestCount = 0;
  /** Connections with a request in flight. */
  private readonly busySockets = new Set<Duplex>();

  /**
   * @param options - Listen address.
   * @param handler - Executes the requests.
   * @param stallWatch - Detects stalls of the event loop, after which a request
   * may be read although its caller has already closed the connection.
   */
  constructor(
    private readonly options: CallerServerOptions,
    private readonly handler: CallerHandler,
    private readonly stallWatch: StallWatch,
  ) {
    this.server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
    });
    this.server.on('connection', () => stallWatch.connectionAccepted());
    this.server.on('request', (req, res) => void this.serve(req, res));
    this.server.on('clientError', (error, socket) => {
      // The error is in the body of a request that was already passed on and
      // may have run, so it must not be answered with not-run.
      if (this.busySockets.has(socket)) socket.destroy();
      else rejectMalformed(error, socket);
    });
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.activeRequestCount;
  }

  /**
   * Starts listening.
   *
   * @returns The port that the server listens on; rejects when the address cannot
   * be bound.
   */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Makes `/health` answer 503 while requests are still accepted. */
  beginShutdown(): void {
    this.isShuttingDown = true;
  }

  /**
   * Stops accepting connections and waits for the requests in flight, without
   * a time limit.
   *
   * @returns Resolves when the last connection is closed.
   */
  close(): Promise<void> {
    this.isShuttingDown = true;
    this.isClosing = true;
    return closeGracefully(this.server);
  }

  private async serve(req: IncomingMessage, res: ServerResponse) {
    req.on('error', () => {});
    res.on('error', () => {});
    if (this.isClosing) res.setHeader('connection', 'close');
    if (req.url === HEALTH_PATH) {
      res.writeHead(this.isShuttingDown ? 503 : 200).end();
      return;
    }
    const {socket} = req;
    this.activeRequestCount += 1;
    this.busySockets.add(socket);
    try {
      await this.execute(req, res);
    } finally {
      this.activeRequestCount -= 1;
      this.busySockets.delete(socket);
    }
  }

  private async execute(req: IncomingMessage, res: ServerResponse) {
    const head = parseHead(req);
    if ('kind' in head) {
      writeFailure(req, res, head);
      return;
    }
    // After a stall, let Node process the pending events first: they may
    // include the close of this connection.
    if (this.stallWatch.isStalled) await waitForPendingEvents();
    if (hasDisconnected(req.socket)) {
      res.destroy();
      return;
    }
    const callerGone = new AbortController();
    res.once('close', () => {
      if (!res.writableFinished) callerGone.abort();
    });
    let result: CallerAnswer | RequestFailure;
    try {
      result = await this.handler.handle({
        ...head,
        id: randomUUID(),
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        body: req,
        gone: callerGone.signal,
      });
    } catch {
      result = requestFailure('internal-error');
    }
    if (this.isClosing && !res.headersSent)
      res.setHeader('connection', 'close');
    if (result.kind === 'answered') await writeAnswer(res, result);
    else writeFailure(req, res, result);
  }
}

async function writeAnswer(res: ServerResponse, answer: CallerAnswer) {
  if (res.destroyed) {
    answer.body.destroy();
    return;
  }
  res.writeHead(answer.status, {
    ...answer.headers,
    [HEADERS.outcome]: 'answered',
  });
  await sendBody(answer.body, res);
}

function writeFailure(
  req: IncomingMessage,
  res: ServerResponse,
  failure: RequestFailure,
): void {
  if (res.destroyed) return;
  const info = REASONS[failure.reason];
  res.setHeader(HEADERS.outcome, info.outcome);
  res.setHeader(HEADERS.reason, failure.reason);
  if (info.hasRetryAfter) {
    const waitMs = failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    res.setHeader('retry-after', String(Math.max(1, Math.ceil(waitMs / 1000))));
  }
  res.setHeader('content-type', 'application/json');
  const text = JSON.stringify({outcome: info.outcome, reason: failure.reason});
  res.setHeader('content-length', Buffer.byteLength(text));
  if (req.complete) {
    res.writeHead(info.status).end(text);
    return;
  }
  // Closing the connection while the caller is still sending makes the kernel
  // reset it, and the caller may then lose the answer before it has read it.
  res.setHeader('connection', 'close');
  res.writeHead(info.status).write(text);
  discardBody(req, () => res.end());
}

/**
 * Reads and discards the rest of a request body, up to `MAX_DISCARDED_BYTES` and
 * `DISCARD_TIMEOUT_MS`, then calls `onDone`.
 */
function discardBody(req: IncomingMessage, onDone: () => void): void {
  let discardedBytes = 0;
  const finish = () => {
    clearTimeout(timer);
    req.off('data', countChunk).off('end', finish).off('close', finish);
    onDone();
  };
  const countChunk = (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) finish();
  };
  const timer = setTimeout(finish, DISCARD_TIMEOUT_MS);
  req.on('data', countChunk).once('end', finish).once('close', finish);
}

/** Answers input that is not a valid HTTP request, if the caller still reads. */
function rejectMalformed(error: Error, socket: Duplex): void {
  const code = (error as NodeJS.ErrnoException).code ?? '';
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  socket.end(MALFORMED_RESPONSE);
}
