/** Accepts requests that other entry VMs relay to this dispatcher. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  HEADERS,
  REASONS,
  forwardableHeaders,
  parseCount,
  requestFailure,
  singleHeader,
} from '@wisteriarun/core';
import {closeGracefully, sendBody} from '@wisteriarun/runtime';
import type {RelayHandler, RelayRequest, RelayResult} from './types.js';
import {SERVER_HEADER, SERVER_TIME_HEADER, parseFence} from './wire.js';

const KEEP_ALIVE_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 64 * 1024;

/** Settings of a relay server. */
export interface RelayServerOptions {
  readonly host: string;
  /** 0 chooses a free port. */
  readonly port: number;
  readonly secret: string;
}

/** HTTP server on the relay port. */
export class RelayServer {
  private readonly server: Server;
  private readonly secretDigest: Buffer;
  private isClosing = false;

  /**
   * @param options - Address and deployment secret.
   * @param handler - Executes the requests.
   */
  constructor(
    private readonly options: RelayServerOptions,
    private readonly handler: RelayHandler,
  ) {
    this.secretDigest = digest(options.secret);
    this.server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
    });
    this.server.on(
      'request',
      (req, res) => void this.handleRequest(req, res, false),
    );
    this.server.on(
      'checkContinue',
      (req, res) => void this.handleRequest(req, res, true),
    );
  }

  /**
   * Starts listening.
   *
   * @returns The port in use; rejects when the address cannot be bound.
   */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /**
   * Stops accepting connections and waits for the requests in flight.
   *
   * @returns Resolves when the last connection is closed.
   */
  close(): Promise<void> {
    this.isClosing = true;
    return closeGracefully(this.server);
  }

  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    res.on('error', () => {});
    req.on('error', () => {});
    if (!this.isAuthenticated(req)) {
      res.writeHead(401, {connection: 'close'}).end();
      return;
    }
    const senderGone = new AbortController();
    res.once('close', () => {
      if (!res.writableFinished) senderGone.abort();
    });
    // A sender that expects 100 Continue sends the body only after it.
    let isAdmitted = !expectsContinue;
    const request = parseRequest(req, senderGone.signal, () => {
      if (!isAdmitted && !res.destroyed) res.writeContinue();
      isAdmitted = true;
    });
    const result: RelayResult = request
      ? await this.handler.dispatch(request)
      : {
          kind: 'failed',
          failure: requestFailure('malformed-request'),
          crashCount: 0,
        };
    // Without 100 Continue the sender never sends the body, so the connection
    // cannot be reused.
    if (!isAdmitted || this.isClosing) res.setHeader('connection', 'close');
    await sendResult(res, result);
  }

  private isAuthenticated(req: IncomingMessage): boolean {
    const secret = singleHeader(req.headers, HEADERS.secret);
    return timingSafeEqual(digest(secret ?? ''), this.secretDigest);
  }
}

async function sendResult(
  res: ServerResponse,
  result: RelayResult,
): Promise<void> {
  if (result.kind === 'failed') {
    const {failure, crashCount} = result;
    const info = REASONS[failure.reason];
    res.writeHead(info.status, {
      [HEADERS.outcome]: info.outcome,
      [HEADERS.reason]: failure.reason,
      [HEADERS.crashCount]: String(crashCount),
      ...(failure.retryAfterMs === null
        ? {}
        : {[HEADERS.retryAfterMs]: String(Math.ceil(failure.retryAfterMs))}),
    });
    res.end();
    return;
  }
  if (res.destroyed) {
    result.body.destroy();
    return;
  }
  res.writeHead(result.status, {
    ...result.headers,
    [HEADERS.outcome]: 'answered',
    ...(result.serverMs === undefined
      ? {}
      : {[SERVER_TIME_HEADER]: String(Math.round(result.serverMs * 1_000))}),
  });
  await sendBody(result.body, res);
}

/** Returns null when a routing header is missing or malformed. */
function parseRequest(
  req: IncomingMessage,
  signal: AbortSignal,
  onAdmitted: () => void,
): RelayRequest | null {
  const header = (name: string) => singleHeader(req.headers, name);
  const id = header(HEADERS.requestId);
  const service = header(HEADERS.service);
  const key = decodeKey(header(HEADERS.key));
  const server = header(SERVER_HEADER);
  const shard = parseCount(header(HEADERS.shard));
  const epoch = parseCount(header(HEADERS.epoch));
  const fence = parseFence(header(HEADERS.fence));
  const remainingMs = parseCount(header(HEADERS.deadlineMs));
  const crashCount = parseCount(header(HEADERS.crashCount));
  if (
    id === null ||
    service === null ||
    key === null ||
    server === null ||
    shard === null ||
    epoch === null ||
    fence === null ||
    remainingMs === null ||
    crashCount === null
  ) {
    return null;
  }
  const isChunked = req.headers['transfer-encoding'] !== undefined;
  const lengthBytes = isChunked
    ? null
    : (parseCount(header('content-length')) ?? 0);
  return {
    id,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: forwardableHeaders(req.headers),
    service,
    key,
    server,
    shard,
    epoch,
    fence,
    idempotencyKey: header(HEADERS.idempotencyKey),
    remainingMs,
    crashCount,
    lengthBytes,
    body: lengthBytes === 0 ? null : req,
    signal,
    onAdmitted,
  };
}

function decodeKey(text: string | null): string | null {
  if (text === null) return null;
  try {
    return decodeURIComponent(text);
  } catch {
    return null;
  }
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
