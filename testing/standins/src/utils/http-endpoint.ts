/** HTTP server and JSON helpers that all stand-ins share. */
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

/** Address on which a stand-in listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Address to listen on; by default any free port of 127.0.0.1. */
export interface ListenOptions {
  readonly host?: string;
  /** 0 takes any free port. */
  readonly port?: number;
}

/**
 * Handles one request. When its promise rejects, the endpoint answers 400 with
 * the error, or closes the connection if headers have already been sent.
 */
export type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void | Promise<void>;

/** An HTTP server that can destroy all of its connections. */
export class HttpEndpoint {
  private readonly server: http.Server;

  /**
   * @param handler - Handles requests.
   * @param onContinue - Handles requests with `Expect: 100-continue`; by
   * default Node sends 100 and calls `handler`.
   */
  constructor(handler: Handler, onContinue?: Handler) {
    const catchErrors =
      (wrapped: Handler) =>
      (request: http.IncomingMessage, response: http.ServerResponse) => {
        response.on('error', () => {});
        Promise.resolve(wrapped(request, response)).catch((error: unknown) => {
          if (response.headersSent) response.destroy();
          else sendJson(response, 400, {error: String(error)});
        });
      };
    this.server = http.createServer({requestTimeout: 0}, catchErrors(handler));
    this.server.keepAliveTimeout = 60_000;
    if (onContinue) this.server.on('checkContinue', catchErrors(onContinue));
  }

  /**
   * Starts to listen.
   *
   * @param options - Address to listen on.
   * @returns The address in use.
   * @throws Error when the server cannot listen there.
   */
  async start(options: ListenOptions = {}): Promise<Address> {
    const host = options.host ?? '127.0.0.1';
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(options.port ?? 0, host, resolve);
    });
    return {host, port: (this.server.address() as AddressInfo).port};
  }

  /** Destroys every open connection and keeps listening. */
  dropConnections(): void {
    this.server.closeAllConnections();
  }

  /** Stops listening and destroys every connection. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }
}

/**
 * Answers a request with JSON.
 *
 * @param response - Response to send.
 * @param status - HTTP status.
 * @param body - Value to serialize.
 * @param headers - Further headers.
 */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/**
 * Reads the whole body of a request as JSON.
 *
 * @param request - The request.
 * @returns The parsed body; an empty object for an empty body.
 * @throws SyntaxError when the body is not JSON.
 */
export async function readJson(
  request: http.IncomingMessage,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as unknown);
}

/**
 * Returns the value of a header.
 *
 * @param request - The request.
 * @param name - Name of the header in lower case.
 * @returns The value; null when the header is absent or has several values.
 */
export function headerOf(
  request: http.IncomingMessage,
  name: string,
): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}
