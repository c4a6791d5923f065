/** HTTP server of the daemon's operator port. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {ERRORS} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {Result} from 'true-myth';
import type {
  ExplainView,
  HealthView,
  OwnersView,
  StatusView,
  TimelineView,
} from './views.js';

const MAX_HEADER_BYTES = 16 * 1024;
const MAX_CONNECTIONS = 64;
const REQUEST_TIMEOUT_MS = 10_000;
// Both limits count characters of any kind, although the error messages say
// letters.
const MAX_KEY_LENGTH = 2_048;
const MAX_SERVICE_LENGTH = 64;

/** Provides the data that the operator port serves. */
export interface OperatorSource {
  health(): HealthView;
  status(): StatusView;
  owners(): OwnersView;
  /** Returns null for an unknown service, or while there is no bundle. */
  explain(service: string, key: string): ExplainView | null;
  /** Returns the events with a sequence number above `sinceSeq`. */
  timeline(sinceSeq: number): TimelineView;
  /** Returns the metrics in Prometheus text format. */
  metrics(): string;
}

/** Address, bearer token and data source of an operator port. */
export interface OperatorServerOptions {
  readonly host: string;
  /** 0 lets the operating system choose a free port. */
  readonly port: number;
  readonly token: string;
  readonly source: OperatorSource;
}

interface ResponseContent {
  readonly status: number;
  readonly type: string;
  readonly body: string;
}

const json = (status: number, value: unknown): ResponseContent => ({
  status,
  type: 'application/json',
  body: JSON.stringify(value),
});
/** Response with the JSON body of an error. */
const problem = (status: number, error: string) => json(status, {error});

/** HTTP server for operators. All of its routes are read-only. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;
  readonly #tokenDigest: Buffer;

  /**
   * @param options - Address, bearer token and data source.
   */
  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#tokenDigest = digest(options.token);
    this.#server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS},
      (request, response) => this.#serve(request, response),
    );
    this.#server.maxConnections = MAX_CONNECTIONS;
  }

  /**
   * Starts to listen.
   *
   * @returns The port it listens on, or `operator-unavailable` if the port cannot
   * be opened.
   */
  listen(): Promise<Result<number, WisteriarunError>> {
    const {host, port} = this.#options;
    return new Promise(resolve => {
      // Later errors are ignored; without a listener, Node.js would throw them.
      this.#server.on('error', error => {
        const endpoint = `${host}:${port}`;
        resolve(
          Result.err(ERRORS.operatorUnavailable(endpoint, error.message)),
        );
      });
      this.#server.listen(port, host, () => {
        resolve(Result.ok((this.#server.address() as AddressInfo).port));
      });
    });
  }

  /** Closes the listener and every connection. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const answer = this.#answer(request);
    response.writeHead(answer.status, {
      'content-type': answer.type,
      'content-length': Buffer.byteLength(answer.body),
      'cache-control': 'no-store',
      ...(answer.status === 401 ? {'www-authenticate': 'Bearer'} : {}),
      // No route reads a request body; closing the connection discards it.
      ...(hasBody(request) ? {connection: 'close'} : {}),
    });
    response.end(request.method === 'HEAD' ? undefined : answer.body);
  }

  #answer(request: IncomingMessage): ResponseContent {
    if (request.method !== 'GET' && request.method !== 'HEAD') {
      return problem(405, 'only GET and HEAD are served');
    }
    const url = parseTarget(request.url ?? '');
    if (url === null) return problem(400, 'malformed request target');
    const {source} = this.#options;
    // `/health` needs no token. It tells only whether the process serves requests
    // and, if not, why.
    if (url.pathname === '/health') {
      const health = source.health();
      return json(health.ok ? 200 : 503, health);
    }
    if (!this.#isAuthorized(request.headers.authorization)) {
      return problem(401, 'missing or wrong token');
    }
    return this.#answerRoute(url);
  }

  #answerRoute(url: URL): ResponseContent {
    const {source} = this.#options;
    switch (url.pathname) {
      case '/status':
        return json(200, source.status());
      case '/owners':
        return json(200, source.owners());
      case '/explain':
        return this.#explain(url.searchParams);
      case '/timeline':
        return this.#timeline(url.searchParams);
      case '/metrics':
        return {
          status: 200,
          type: 'text/plain; version=0.0.4',
          body: source.metrics(),
        };
      default:
        return problem(404, 'unknown path');
    }
  }

  #explain(searchParams: URLSearchParams): ResponseContent {
    const service = searchParams.get('service') ?? '';
    const key = searchParams.get('key') ?? '';
    if (service === '' || service.length > MAX_SERVICE_LENGTH) {
      return problem(
        400,
        `service must have 1 to ${MAX_SERVICE_LENGTH} letters`,
      );
    }
    if (key === '' || key.length > MAX_KEY_LENGTH) {
      return problem(400, `key must have 1 to ${MAX_KEY_LENGTH} letters`);
    }
    const view = this.#options.source.explain(service, key);
    return view === null
      ? problem(404, 'unknown service or no bundle in force')
      : json(200, view);
  }

  #timeline(searchParams: URLSearchParams): ResponseContent {
    const since = searchParams.get('since') ?? '0';
    if (!/^\d{1,15}$/.test(since)) {
      return problem(400, 'since must be a sequence number');
    }
    return json(200, this.#options.source.timeline(Number(since)));
  }

  /**
   * Compares digests instead of tokens, because `timingSafeEqual` needs inputs
   * of equal length to compare them in constant time.
   */
  #isAuthorized(authorization: string | undefined): boolean {
    const bearer = /^Bearer (.+)$/i.exec(authorization ?? '');
    return timingSafeEqual(digest(bearer?.[1] ?? ''), this.#tokenDigest);
  }
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function hasBody(request: IncomingMessage): boolean {
  return (
    request.headers['transfer-encoding'] !== undefined ||
    (request.headers['content-length'] ?? '0') !== '0'
  );
}

/** Parses the target of an HTTP request line; null unless it is a path. */
function parseTarget(target: string): URL | null {
  if (!target.startsWith('/')) return null;
  try {
    return new URL(target, 'http://operator');
  } catch {
    return null;
  }
}
