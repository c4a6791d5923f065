/** HTTP listeners for callers, readiness checks and metrics. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {CallerLimits, VmState} from '@wisteriarun/core';
import type {StallWatch} from '@wisteriarun/runtime';
import {
  NOT_READY_STATUS,
  READINESS_PATH,
  READY_STATUS,
} from '@wisteriarun/platform';

/** Added to the idle timeout of the bundle before an idle connection closes. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Interval at which Node checks connections for header and request timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Longest time to receive a whole request; allows for slow uploads. */
const REQUEST_TIMEOUT_MS = 300_000;
/** Header limit until the first bundle sets one. */
const DEFAULT_MAX_HEADER_BYTES = 65_536;

/** HTTP server for callers; its limits are set by the bundle in force. */
export class CallerIngress {
  readonly #httpServer: Server;
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
    this.#httpServer = createServer(
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
        if (this.#isDraining) response.shouldKeepAlive = false;
        handle(request, response);
      },
    );
    this.#httpServer.on('connection', () => stallWatch.connectionAccepted());
  }

  /** Number of requests that are not finished. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Starts to accept connections of callers.
   *
   * @param address - Address to listen on, host:port.
   * @returns Resolves when the server listens.
   */
  listen(address: string): Promise<void> {
    return listen(this.#httpServer, address);
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
   */
  constructor(private readonly sources: StatusSources) {}

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
    return listen(server, address);
  }
}

function listen(server: Server, address: string): Promise<void> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => resolve());
  });
}
