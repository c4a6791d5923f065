/**
 * Two entry VMs and two fake servers. `start` makes the VM `local` the
 * dispatcher of server `a`; tests that need server `b` add its dispatcher.
 */
import {createLogger, StallWatch} from '@wisteriarun/runtime';
import {randomBytes} from 'node:crypto';
import {
  createServer,
  request as httpRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {CallerServer} from '@wisteriarun/caller';
import {
  CANCEL_PATH_PREFIX,
  STATUS_PATH,
  bundleSchema,
  type EventInput,
  type Fence,
  type Reason,
  type Route,
  type Server,
  type Service,
} from '@wisteriarun/core';
import {
  DispatcherHost,
  EntryHandler,
  type DispatcherAddress,
  type OwnedShard,
  type RouteSource,
} from '@wisteriarun/daemon';
import {RelayClient, RelayServer} from '@wisteriarun/peer';

type Behavior = (
  req: IncomingMessage,
  res: ServerResponse,
  server: FakeServer,
) => void;

/** Backend server that records the requests it ran. */
export class FakeServer {
  readonly runs: string[] = [];
  bootId = 'boot-1';
  inFlight = 0;
  maxInFlight = 0;
  /** Paths of the requests whose connection closed before the answer ended. */
  readonly closedEarly: string[] = [];
  /** Number of cancel calls. */
  cancelCalls = 0;
  behavior: Behavior = (req, res) => {
    req.resume();
    req.once('end', () => res.end(`ran ${req.url}`));
  };
  private readonly server = createServer((req, res) => {
    if (req.url === STATUS_PATH) {
      res.end(
        JSON.stringify({
          bootId: this.bootId,
          clockMs: 0,
          term: 1,
          fence: null,
          dispatcher: null,
          busy: [],
          inFlight: this.inFlight,
          load: 0,
          draining: false,
        }),
      );
      return;
    }
    if (req.url?.startsWith(CANCEL_PATH_PREFIX)) {
      this.cancelCalls += 1;
      res.end();
      return;
    }
    this.runs.push(String(req.url));
    this.inFlight += 1;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
    res.on('error', () => {});
    req.on('error', () => {});
    res.once('close', () => {
      this.inFlight -= 1;
      if (!res.writableFinished) this.closedEarly.push(String(req.url));
    });
    this.behavior(req, res, this);
  });

  async listen(): Promise<number> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes all connections and changes the incarnation, as a crash does. */
  crash(): void {
    this.bootId = `boot-${Math.random()}`;
    this.server.closeAllConnections();
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Routes and dispatchers that a test can change. */
export class FakeRoutes implements RouteSource {
  readonly servers = new Map<string, Server>();
  owner: string | null = 'a';
  epoch = 5;
  fence: Fence = {term: 1, seq: 1};
  serverLeavingAtMs: number | null = null;
  maxBodyBytes = 8 * 1024 * 1024;
  longestDeadlineMs = 10_000;
  relayPort = 0;
  isDispatcherKnown = true;
  private waiters: (() => void)[] = [];

  constructor(private readonly isDispatcher: boolean) {}

  route(service: string, key: string): Route | null {
    if (service !== 's') return null;
    // Keys that start with `other` are in shard 1.
    const shard = key.startsWith('other') ? 1 : 0;
    const {owner, epoch} = this;
    return {service, shard, epoch, zone: 'z', server: owner};
  }

  dispatcherOf(): DispatcherAddress | null {
    if (!this.isDispatcherKnown) return null;
    const {fence, isDispatcher, relayPort} = this;
    const address = {relayHost: '127.0.0.1', relayPort};
    return {vm: 'd', fence, isSelf: isDispatcher, ...address};
  }

  server(id: string): Server | null {
    return this.servers.get(id) ?? null;
  }

  service(id: string): Service | null {
    if (id !== 's') return null;
    const {maxBodyBytes, longestDeadlineMs} = this;
    return {id, shards: 2, adoption: 'hold', maxBodyBytes, longestDeadlineMs};
  }

  hasBundle(): boolean {
    return true;
  }

  shardsOf(server: string): OwnedShard[] {
    if (server !== this.owner) return [];
    const {epoch} = this;
    return [0, 1].map(shard => ({service: 's', shard, epoch}));
  }

  leaveAtMs(): number | null {
    return this.serverLeavingAtMs;
  }

  whenChanged(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, timeoutMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Applies a change and wakes the requests that wait for one. */
  change(update: () => void): void {
    update();
    for (const wake of this.waiters.splice(0)) wake();
  }
}

/** Answer to a call; `broken` when the connection ended before its body did. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly broken: boolean;
}

/** Parts of a call that differ from a plain GET. */
export interface CallOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer;
  readonly signal?: AbortSignal;
}

/** Entry VMs `local`, which dispatches for server `a`, and `remote`. */
export class RequestHarness {
  readonly servers = {a: new FakeServer(), b: new FakeServer()};
  readonly local = new FakeRoutes(true);
  readonly remote = new FakeRoutes(false);
  readonly events: EventInput[] = [];
  /** Why sending to the servers is refused; null permits it. */
  permissionRefusal: Reason | null = null;
  wallOffsetMs = 0;
  host!: DispatcherHost;
  ports = {local: 0, remote: 0};
  private readonly closers: (() => unknown)[] = [];

  /**
   * Starts the servers and the entry VMs.
   *
   * @param overrides - Fields of both servers that differ from the defaults.
   * @param takeoverAgeMs - Time since `local` took server `a` over. The default
   * exceeds the accepted clock skews by far; with 0, the outcome of an attempt
   * whose idempotency key is created now counts as unknown.
   * @returns This harness.
   */
  async start(
    overrides: Partial<Server> = {},
    takeoverAgeMs = 3_000_000,
  ): Promise<RequestHarness> {
    const clock = {
      monotonicMs: () => performance.now(),
      wallMs: () => Date.now() + this.wallOffsetMs,
    };
    for (const id of ['a', 'b'] as const) {
      const port = await this.servers[id].listen();
      this.closers.push(() => this.servers[id].close());
      const server = bundleSchema.shape.servers.element.parse({
        id,
        service: 's',
        batch: 'x',
        zone: 'z',
        host: '127.0.0.1',
        port,
        slots: 3,
        connections: 6,
        ...overrides,
      });
      this.local.servers.set(id, server);
      this.remote.servers.set(id, server);
    }
    this.host = new DispatcherHost({
      routes: this.local,
      clock,
      permissions: {check: () => this.permissionRefusal},
      events: event => this.events.push(event),
      logConfirmedAtMs: () => performance.now(),
    });
    // The takeover must be older than the tests' idempotency keys by more than
    // the clock skews, or the dispatcher treats their attempts as unknown.
    this.wallOffsetMs = -takeoverAgeMs;
    this.host.setDispatch('a', {term: 1, seq: 1});
    this.wallOffsetMs = 0;
    const relay = new RelayServer(
      {host: '127.0.0.1', port: 0, secret: 'x'},
      this.host,
    );
    this.remote.relayPort = await relay.listen();
    const client = new RelayClient('x');
    const logger = createLogger({level: 'error', process: 'test', zone: 'a'});
    const stalls = new StallWatch(clock, logger);
    this.closers.push(() => stalls.close());
    for (const name of ['local', 'remote'] as const) {
      const server = new CallerServer(
        {host: '127.0.0.1', port: 0},
        new EntryHandler({
          routes: this[name],
          clock,
          local: this.host,
          relay: client,
          random: Math.random,
        }),
        stalls,
      );
      this.ports[name] = await server.listen();
      this.closers.push(() => void server.close());
    }
    this.closers.push(() => client.close());
    this.closers.push(() => void relay.close());
    this.closers.push(() => void this.host.close());
    return this;
  }

  /**
   * Moves both shards to another server under a new epoch.
   *
   * @param owner - New owner, or null for none.
   * @param fence - Fence of the previous owner's dispatcher in the record.
   */
  move(owner: string | null, fence: Fence = {term: 1, seq: 1}): void {
    const {owner: server, epoch} = this.local;
    const moves = [0, 1].flatMap(shard =>
      server === null
        ? []
        : [{service: 's', shard, from: {server, epoch, fence}, to: owner}],
    );
    for (const routes of [this.local, this.remote]) {
      routes.change(() => {
        routes.owner = owner;
        routes.epoch += 1;
      });
    }
    this.host.onRoutesChanged(moves);
  }

  /** Sends a request to an entry VM on a connection of its own. */
  call(
    entry: 'local' | 'remote',
    path: string,
    options: CallOptions = {},
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const {method, headers, signal, body} = options;
      const port = this.ports[entry];
      const target = {host: '127.0.0.1', port, path, agent: false as const};
      const req = httpRequest({...target, method, headers, signal}, res => {
        let text = '';
        res.on('data', chunk => (text += chunk));
        res.on('error', () => {});
        res.once('close', () => {
          const {statusCode: status = 0, headers: fields, complete} = res;
          resolve({status, headers: fields, text, broken: !complete});
        });
      });
      req.on('error', reject);
      req.end(body);
    });
  }

  async close(): Promise<void> {
    for (const close of this.closers.splice(0).reverse()) await close();
  }
}

/** Creates a UUIDv7 with the given creation time. */
export function uuidV7(wallMs = Date.now()): string {
  const time = wallMs.toString(16).padStart(12, '0');
  const noise = randomBytes(9).toString('hex');
  return (
    `${time.slice(0, 8)}-${time.slice(8)}-7${noise.slice(0, 3)}-` +
    `8${noise.slice(3, 6)}-${noise.slice(6, 18)}`
  );
}

export const reasonOf = (answer: Answer) =>
  answer.headers['wisteriarun-reason'];
export const outcomeOf = (answer: Answer) =>
  answer.headers['wisteriarun-outcome'];
