/** HTTP listeners for callers, readiness checks and metrics. */
import {createServer, Server} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerLimits, VmState} from '@wisteriarun/core';
import type {StallWatch} from '@wisteriarun/runtime';
import {
  NOT_READY_STATUS,
  READINESS_PATH,
  READY_STATUS,
} from '@wisteriarun/platform';
import {listen} from '../utils/listen.js';
import type {ListenOptions} from '../utils/listen.js';

/** Added to the idle timeout of the bundle before an idle connection closes. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Interval at which Node checks connections for header and request timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Longest time to receive a whole request; allows for slow uploads. */
const REQUEST_TIMEOUT_MS = 300_000;
/** Header limit until the first bundle sets one. */
const DEFAULT_MAX_HEADER_BYTES = 65_536;

interface CallerConnection {
  /** Answers that are not completely written to the socket. */
  unfinishedAnswers: number;
  /** Bytes received from the caller when the last answer was written. */
  servedBytes: number;
}

/**
 * HTTP server that closes a connection as idle only once all bytes of its answers
 * were written to the socket. Node's own check regards a connection as idle as
 * soon as its answer was ended, and would cut off the bytes that still wait for a
 * slow reader.
 */
class CallerServer extends Server {
  readonly #connections = new Map<Socket, CallerConnection>();

  /**
   * Counts a new connection.
   *
   * @param socket - The connection.
   */
  connectionOpened(socket: Socket): void {
    this.#connections.set(socket, {unfinishedAnswers: 0, servedBytes: 0});
    socket.once('close', () => this.#connections.delete(socket));
  }

  /**
   * Counts an answer of a connection until it is written or broken off.
   *
   * @param socket - The connection.
   * @param response - The answer.
   */
  answerStarted(socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.unfinishedAnswers += 1;
    response.once('close', () => {
      connection.unfinishedAnswers -= 1;
      connection.servedBytes = socket.bytesRead;
    });
  }

  /**
   * Closes connections that have neither an unfinished answer nor received a part
   * of a request since the last one. `close` calls it too.
   */
  override closeIdleConnections(): void {
    for (const [socket, connection] of this.#connections) {
      const isReceiving = socket.bytesRead > connection.servedBytes;
      if (connection.unfinishedAnswers > 0 || isReceiving) continue;
      socket.destroy();
    }
  }
}

/** HTTP server for callers; its limits are set by the bundle in force. */
export class CallerIngress {
  readonly #httpServer: CallerServer;
  #inFlight = 0;
  #isDraining = false;

  /**
   * @param handle - Serves one request.
   * @param stallWatch - Notified of each accepted connection.
   */
  constructor(
    handle: (request: IncomingMessage, response: ServerResponse) => unknown,
    stallWatch: StallWatch,
  ) {
    this.#httpServer = new CallerServer(
      {
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        maxHeaderSize: DEFAULT_MAX_HEADER_BYTES,
        noDelay: true,
        // The host is needed to find the route. Node rejects only a missing Host
        // header; of repeated ones, it keeps the first.
        requireHostHeader: true,
      },
      (request, response) => {
        this.#inFlight += 1;
        response.once('close', () => (this.#inFlight -= 1));
        this.#httpServer.answerStarted(request.socket, response);
        if (this.#isDraining) response.shouldKeepAlive = false;
        handle(request, response);
      },
    );
    this.#httpServer.on('connection', socket => {
      this.#httpServer.connectionOpened(socket);
      stallWatch.connectionAccepted();
    });
  }

  /** Number of requests that are not finished. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Starts to accept connections of callers.
   *
   * @param address - Address to listen on, host:port.
   * @param options - How long to wait for the port; by default not at all.
   * @returns Resolves when the server listens.
   */
  listen(address: string, options?: ListenOptions): Promise<void> {
    return listenAt(this.#httpServer, address, options);
  }

  /**
   * Applies the limits of a bundle: the timeouts to all connections, the header
   * limit to new ones only.
   *
   * @param limits - Limits of the bundle in force.
   */
  setLimits(limits: CallerLimits): void {
    this.#httpServer.keepAliveTimeout =
      limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    this.#httpServer.headersTimeout = limits.headerTimeoutMs;
    // Node reads this property for each new connection, but its type declarations
    // lack it.
    Object.assign(this.#httpServer, {maxHeaderSize: limits.maxHeaderBytes});
  }

  /** Closes the connection after each answer from now on. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Closes connections without a request in progress. */
  closeIdle(): void {
    this.#httpServer.closeIdleConnections();
  }

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.#httpServer.close();
    this.closeIdle();
  }

  /** Closes all connections at once, also those with a request in progress. */
  close(): void {
    this.#httpServer.close();
    this.#httpServer.closeAllConnections();
  }
}

/** Path at which operators read the state of the VM. */
const STATE_PATH = '/state';
/** Path at which the metrics are scraped. */
const METRICS_PATH = '/metrics';

/** Data that the status listeners return. */
export interface StatusSources {
  /** Whether the load balancer should send new connections. */
  isReady(): boolean;
  /** Renders the metrics in the Prometheus text format. */
  metrics(): string;
  /** Returns this VM's view of bundle, owners and servers. */
  state(): VmState;
}

/** Answers readiness checks, metric scrapes and state queries. */
export class StatusIngress {
  readonly #httpServers: Server[] = [];

  /**
   * @param sources - Data that the listeners return.
   * @param options - How long to wait for the ports; by default not at all.
   */
  constructor(
    private readonly sources: StatusSources,
    private readonly options?: ListenOptions,
  ) {}

  /**
   * Starts to answer the readiness checks of the load balancer.
   *
   * @param address - Address to listen on, host:port.
   * @returns Resolves when the server listens.
   */
  listenReadiness(address: string): Promise<void> {
    return this.#listen(address, (request, response) => {
      const isReadinessPath = request.url === READINESS_PATH;
      const status = this.sources.isReady() ? READY_STATUS : NOT_READY_STATUS;
      response.writeHead(isReadinessPath ? status : 404).end();
    });
  }

  /**
   * Starts to answer metric scrapes and state queries.
   *
   * @param address - Address to listen on, host:port.
   * @returns Resolves when the server listens.
   */
  listenMetrics(address: string): Promise<void> {
    return this.#listen(address, ({url}, response) => {
      if (url === METRICS_PATH) {
        response.setHeader('content-type', 'text/plain; version=0.0.4');
        response.end(this.sources.metrics());
      } else if (url === STATE_PATH) {
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(this.sources.state()));
      } else {
        response.writeHead(404).end();
      }
    });
  }

  /** Closes all listeners. */
  close(): void {
    for (const server of this.#httpServers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #listen(
    address: string,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
  ): Promise<void> {
    const server = createServer(handle);
    this.#httpServers.push(server);
    return listenAt(server, address, this.options);
  }
}

function listenAt(
  server: Server,
  address: string,
  options?: ListenOptions,
): Promise<void> {
  const [host = '', port = ''] = address.split(':');
  return listen(server, host, Number(port), options);
}
