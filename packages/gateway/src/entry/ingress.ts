/** Listeners for callers, readiness questions and metrics. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {CallerLimits, VmState} from '@wisteriarun/core';
import type {StallWatch} from '@wisteriarun/runtime';
import {
  NOT_READY_STATUS,
  READINESS_PATH,
  READY_STATUS,
} from '@wisteriarun/platform';

/** Time beyond the idle limit after which an idle connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Interval of the checks for callers that are too slow. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Longest time for a whole request; uploads may be slow. */
const REQUEST_TIMEOUT_MS = 300_000;
const DEFAULT_MAX_HEADER_BYTES = 65_536;

/** Server for callers whose limits follow the bundle. */
export class CallerIngress {
  readonly #httpServer: Server;
  #inFlight = 0;
  #isDraining = false;

  /**
   * @param handle - Serves one request.
   * @param stallWatch - Learns of new connections.
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
        // A repeated Host header leaves the route open.
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

  /** Requests that are not settled. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Starts to accept callers.
   *
   * @param address - Address to listen on, host:port.
   * @returns Resolves when callers are accepted.
   */
  listen(address: string): Promise<void> {
    return listen(this.#httpServer, address);
  }

  /**
   * Adopts the limits of a bundle for new connections.
   *
   * @param limits - The limits.
   */
  setLimits(limits: CallerLimits): void {
    this.#httpServer.keepAliveTimeout =
      limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    this.#httpServer.headersTimeout = limits.headerTimeoutMs;
    Object.assign(this.#httpServer, {maxHeaderSize: limits.maxHeaderBytes});
  }

  /** Asks callers to leave: every answer from now on closes its connection. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Closes connections without a request in progress. */
  closeIdle(): void {
    this.#httpServer.closeIdleConnections();
  }

  /** Accepts no more connections. */
  stopAccepting(): void {
    this.#httpServer.close();
    this.closeIdle();
  }

  /** Cuts all connections. */
  close(): void {
    this.#httpServer.close();
    this.#httpServer.closeAllConnections();
  }
}

/** Path of the VM's state, for operators. */
const STATE_PATH = '/state';
/** Path of the metrics. */
const METRICS_PATH = '/metrics';

/** What the status listeners answer with. */
export interface StatusSources {
  /** Whether new connections are welcome. */
  isReady(): boolean;
  /** Renders the metrics. */
  metrics(): string;
  /** What the VM believes. */
  state(): VmState;
}

/** Answers the balancer, scrapes and operators. */
export class StatusIngress {
  readonly #httpServers: Server[] = [];

  /**
   * @param sources - What the listeners answer with.
   */
  constructor(private readonly sources: StatusSources) {}

  /**
   * Starts to answer readiness questions.
   *
   * @param address - Address to listen on, host:port.
   * @returns Resolves when questions are answered.
   */
  listenReadiness(address: string): Promise<void> {
    return this.#listen(address, (request, response) => {
      const isReadinessPath = request.url === READINESS_PATH;
      const status = this.sources.isReady() ? READY_STATUS : NOT_READY_STATUS;
      response.writeHead(isReadinessPath ? status : 404).end();
    });
  }

  /**
   * Starts to answer scrapes, and operators who ask for the state.
   *
   * @param address - Address to listen on, host:port.
   * @returns Resolves when both are answered.
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
