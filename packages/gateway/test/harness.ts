/** Runs gateways in the test process, with stand-ins for store and servers. */
import {
  Gateway,
  type GatewaySettings,
  parseGatewaySettings,
} from '@wisteriarun/gateway';
import {
  HttpKeyedLog,
  HttpKeyGranter,
  PLATFORM_CODEC,
  PLATFORM_HEADERS,
} from '@wisteriarun/platform';
import {createLogger, SystemClock} from '@wisteriarun/runtime';
import {PlatformBackendServer, PlatformStore} from '@wisteriarun/standins';
import type {PlatformBackendServerOptions} from '@wisteriarun/standins';
import {createServer} from 'node:net';
import {request} from 'undici';

const HEARTBEAT_MS = 200;
const FIRST_START_TIME_MS = 1_700_000_000_000;
const RESTART_INTERVAL_MS = 100_000;
const READY_TIMEOUT_MS = 10_000;
const HOST = 'court.example';
/** Slots of a server whose options state none; see `PlatformBackendServerOptions`. */
const DEFAULT_SLOTS = 3;

/**
 * Builds the resources of a bundle with one keyed service and one without keys.
 *
 * @param timeoutMs - Timeout of all routes.
 * @returns The resources.
 */
export function resources(timeoutMs = 600): object[] {
  const route = (kind: string, prefix: string, service: string) => ({
    type: 'routes',
    metadata: {name: `r-${kind}`},
    spec: {
      host: HOST,
      path_prefix: prefix,
      kind,
      timeout: `${timeoutMs}ms`,
      slo: '250ms',
      priority: kind === 'safe' ? 2 : 1,
      service,
      max_attempts: 2,
    },
  });
  const service = (name: string, sharded: boolean) => ({
    type: 'services',
    metadata: {name},
    spec: {health_path: '/health', max_conns: 100, sharded, warm: '1s'},
  });
  return [
    route('safe', '/read/', 'records'),
    route('unsafe', '/file/', 'records'),
    route('upload', '/audio/', 'audio'),
    service('records', true),
    service('audio', false),
    {
      type: 'limits',
      metadata: {},
      spec: {
        max_header_bytes: 8_192,
        max_body_bytes: 2_000_000,
        header_timeout: '1s',
        idle_timeout: '5s',
      },
    },
  ];
}

/** A stand-in server and the description that it publishes. */
interface HarnessServer {
  readonly id: string;
  readonly service: string;
  readonly options: PlatformBackendServerOptions;
  server: PlatformBackendServer;
  /** Number of restarts that the description states. */
  listedRestarts: number;
  address: string;
  sequence: number;
  state: 'ready' | 'draining';
}

/** An answer that a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
}

/** A store, servers and any number of gateways between them. */
export class GatewayHarness {
  readonly store = new PlatformStore();
  readonly servers: HarnessServer[] = [];
  readonly gateways: {
    gateway: Gateway;
    requestAddress: string;
    readinessCheckAddress: string;
    metricsAddress: string;
  }[] = [];
  /** Address of the store, host:port; empty before `start`. */
  storeAddress = '';
  /** Log lines of all gateways, for the analysis of failures. */
  readonly logLines: string[] = [];
  /** Ports of each VM; a restarted gateway uses the same ones. */
  readonly #ports = new Map<string, number[]>();
  /** Ids of the servers that do not renew their descriptions. */
  readonly #silentIds = new Set<string>();
  #heartbeatTimer: NodeJS.Timeout | null = null;
  #version = 0;

  /** Starts the store with a first bundle. */
  async start(): Promise<void> {
    const {host, port} = await this.store.start();
    this.storeAddress = `${host}:${port}`;
    this.publish(resources());
    this.#heartbeatTimer = setInterval(
      () => this.#renewDescriptions(),
      HEARTBEAT_MS,
    );
  }

  /** Publishes the next bundle; `keyed.op` is the topic of the log of bundles. */
  publish(items: object[]): void {
    this.#version += 1;
    const body = {version: `r${this.#version}`, resources: items};
    this.store.put('keyed.op', 'config', JSON.stringify(body));
  }

  /** Adds a server. */
  async addServer(
    service: string,
    options: PlatformBackendServerOptions,
  ): Promise<PlatformBackendServer> {
    const server = new PlatformBackendServer(options);
    const {host, port} = await server.start();
    const standIn: HarnessServer = {
      id: options.id,
      service,
      options,
      server,
      listedRestarts: 0,
      address: `${host}:${port}`,
      sequence: 0,
      state: 'ready',
    };
    this.servers.push(standIn);
    this.#publishDescription(standIn);
    return server;
  }

  /** Listed start time of a server; each one starts a second after the previous one. */
  bornMs(id: string): number {
    const index = this.servers.findIndex(({id: known}) => known === id);
    const restarts = this.servers[index]!.listedRestarts;
    return FIRST_START_TIME_MS + index * 1_000 + restarts * RESTART_INTERVAL_MS;
  }

  /**
   * Restarts a server that is cut off from the store: its description, with the
   * former start time, stays in the list and is not renewed.
   *
   * @param downMs - Time until the server starts again.
   * @returns The new incarnation, at the same address.
   */
  async restartCutOff(id: string, downMs = 0): Promise<PlatformBackendServer> {
    const standIn = this.servers.find(({id: known}) => known === id)!;
    this.#silentIds.add(id);
    await standIn.server.close();
    await new Promise(resolve => setTimeout(resolve, downMs));
    standIn.server = new PlatformBackendServer(standIn.options);
    await standIn.server.start({port: Number(standIn.address.split(':')[1])});
    return standIn.server;
  }

  /** Makes a server that has restarted while cut off publish its new start time. */
  publishRestart(id: string): void {
    const standIn = this.servers.find(({id: known}) => known === id)!;
    this.#silentIds.delete(id);
    standIn.listedRestarts += 1;
    this.#publishDescription(standIn);
  }

  /** Makes a server report that it is draining. */
  drain(id: string): void {
    const standIn = this.servers.find(({id: known}) => known === id)!;
    standIn.state = 'draining';
    this.#publishDescription(standIn);
  }

  /** Closes all gateways at once, as a power failure does. */
  loseGateways(): void {
    for (const {gateway} of this.gateways.splice(0)) gateway.close();
  }

  /**
   * Removes all servers from the list. After an outage of the store they may be
   * missing too, because their descriptions have expired.
   */
  unlistServers(): void {
    for (const {id} of this.servers) {
      this.#silentIds.add(id);
      // An empty value deletes the record.
      this.store.put('keyed.servers', id, '');
    }
  }

  /** Makes the servers publish their descriptions again, one after the other. */
  async relistServers(gapMs: number): Promise<void> {
    for (const standIn of this.servers) {
      this.#silentIds.delete(standIn.id);
      this.#publishDescription(standIn);
      await new Promise(resolve => setTimeout(resolve, gapMs));
    }
  }

  /** Starts a gateway and waits until it is ready and serves keys. */
  async addGateway(
    vm: string,
    graceS = 4,
    storeAddress = this.storeAddress,
  ): Promise<void> {
    const {gateway, requestAddress} = await this.startGateway(
      vm,
      graceS,
      storeAddress,
    );
    await this.until(() => gateway.isReady);
    await this.until(() => this.#canServeKeys(requestAddress));
  }

  /** Starts a gateway without waiting until it is ready. */
  async startGateway(vm: string, graceS = 4, storeAddress = this.storeAddress) {
    const ports = this.#ports.get(vm) ?? (await freePorts(4));
    this.#ports.set(vm, ports);
    const settings = parseGatewaySettings(
      [
        `[vm]\nid=${vm}\nzone=a\nhost=127.0.0.1`,
        `[listen]\ncallers=127.0.0.1:${ports[0]}`,
        `readiness=127.0.0.1:${ports[1]}`,
        `peer_port=${ports[2]}\nmetrics_port=${ports[3]}`,
        `[store]\naddress=${storeAddress}`,
        // `Gateway.stop` ends within this time.
        `[bounds]\ngrace=${graceS}s`,
      ].join('\n'),
    ).unwrapOrElse(errors => {
      throw new Error(JSON.stringify(errors));
    }) as GatewaySettings;
    const gateway = new Gateway(settings, {
      log: new HttpKeyedLog(settings.storeAddress),
      granter: new HttpKeyGranter(),
      codec: PLATFORM_CODEC,
      headers: PLATFORM_HEADERS,
      clock: new SystemClock(),
      logger: createLogger({
        level: 'info',
        process: vm,
        zone: 'a',
        write: line => this.logLines.push(line),
      }),
    });
    await gateway.start();
    const started = {
      gateway,
      requestAddress: settings.callersAddress,
      readinessCheckAddress: settings.readinessAddress,
      metricsAddress: `127.0.0.1:${settings.metricsPort}`,
    };
    this.gateways.push(started);
    return started;
  }

  /** Sends one request through a gateway. */
  async call(
    method: string,
    path: string,
    options: {
      id?: string;
      key?: number | string;
      deadlineMs?: number;
      body?: string;
      gateway?: number;
    } = {},
  ): Promise<CallerAnswer> {
    const {id, key, deadlineMs = 500, body, gateway = 0} = options;
    const answer = await request(
      `http://${this.gateways[gateway]!.requestAddress}${path}`,
      {
        method: method as 'GET',
        body: body ?? null,
        headers: {
          host: HOST,
          'request-id': id ?? `id-${Math.random()}`,
          'deadline-ms': String(deadlineMs),
          ...(key === undefined ? {} : {'shard-key': String(key)}),
        },
      },
    );
    const {statusCode: status, headers} = answer;
    return {status, headers, body: await answer.body.text()};
  }

  /** Waits until a condition holds. */
  async until(
    condition: () => boolean | Promise<boolean>,
    timeoutMs = READY_TIMEOUT_MS,
  ): Promise<void> {
    const startedAtMs = performance.now();
    while (!(await condition())) {
      if (performance.now() - startedAtMs > timeoutMs) {
        throw new Error('the condition did not become true in time');
      }
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  }

  /** Stops everything. */
  async close(): Promise<void> {
    if (this.#heartbeatTimer !== null) clearInterval(this.#heartbeatTimer);
    for (const {gateway} of this.gateways) gateway.close();
    await Promise.all(this.servers.map(({server}) => server.close()));
    await this.store.close();
  }

  /**
   * Whether three keys, the first and the last among them, are served; true when
   * no server has keys.
   */
  async #canServeKeys(requestAddress: string): Promise<boolean> {
    const gateway = this.gateways.findIndex(
      ({requestAddress: known}) => known === requestAddress,
    );
    const hasKeyedServer = this.servers.some(
      ({service}) => service === 'records',
    );
    if (!hasKeyedServer) return true;
    for (const key of [0, 30_000, 65_535]) {
      const answer = await this.call('GET', '/read/probe', {key, gateway});
      if (answer.status !== 200) return false;
    }
    return true;
  }

  #renewDescriptions(): void {
    for (const standIn of this.servers) {
      if (!this.#silentIds.has(standIn.id)) this.#publishDescription(standIn);
    }
  }

  /** Writes to `keyed.servers`, the topic of the log of servers. */
  #publishDescription(standIn: HarnessServer): void {
    standIn.sequence += 1;
    const {slots = DEFAULT_SLOTS} = standIn.options;
    const description = {
      addr: standIn.address,
      born: this.bornMs(standIn.id),
      info: {service: standIn.service, version: 'v1', zone: 'a', slots},
      status: {state: standIn.state, seq: standIn.sequence, warmup_left: '0ms'},
    };
    this.store.put('keyed.servers', standIn.id, JSON.stringify(description));
  }
}

/** First port of the searched range, which lies below the ephemeral ports. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;
const FREE_PORT_TRIES = 50;

/**
 * Finds ports that nothing listens on. They are outside the range of ephemeral
 * ports, because a connection of another test could otherwise use a port between
 * this search and the start of the gateway.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  for (let tries = 0; ports.size < count; tries += 1) {
    if (tries > FREE_PORT_TRIES * count)
      throw new Error('too few free ports found within the limit of tries');
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
