/** HTTP listener that all stand-ins share. */
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

/** Address of a started stand-in. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Where a stand-in listens; port 0 takes any free port. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

/** Handler of one request. */
export type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void | Promise<void>;

/** An HTTP server that can drop all of its connections. */
export class HttpEndpoint {
  private readonly server: http.Server;

  constructor(handler: Handler, handleContinue?: Handler) {
    const withErrorAnswer =
      (wrapped: Handler) =>
      (request: http.IncomingMessage, response: http.ServerResponse) => {
        response.on('error', () => {});
        Promise.resolve(wrapped(request, response)).catch((error: unknown) => {
          if (response.headersSent) response.destroy();
          else sendJson(response, 400, {error: String(error)});
        });
      };
    this.server = http.createServer(
      {requestTimeout: 0},
      withErrorAnswer(handler),
    );
    this.server.keepAliveTimeout = 60_000;
    if (handleContinue)
      this.server.on('checkContinue', withErrorAnswer(handleContinue));
  }

  /** Starts to listen. */
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

/** Sends a JSON answer. */
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

/** Reads a whole JSON body; an empty body gives an empty object. */
export async function readJson(
  request: http.IncomingMessage,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as unknown);
}

/** Value of a header that occurs once. */
export function headerOf(
  request: http.IncomingMessage,
  name: string,
): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}
