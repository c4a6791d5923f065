/** Gateways as processes, with a store and servers in this process. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PortBlock} from '@wisteriarun/demo';
import {PlatformBackendServer, PlatformStore} from '@wisteriarun/standins';
import {CALL_KINDS, HOST} from './callers.js';
import {GatewayProcess} from './gateway-process.js';
import type {Oddity} from './plan.js';

/** Time within which a stopped gateway must have ended. */
export const GRACE_MS = 6_000;
const HEARTBEAT_MS = 870;
const READY_TIMEOUT_MS = 15_000;
const CHECK_INTERVAL_MS = 1_000;
const SLOTS = 6;
const USUAL_WORK_MS = 40;
const SLOW_WORK_MS = 400;

/** A server, through all its restarts. */
interface SoakServer {
  id: string;
  readonly service: 'records' | 'audio';
  /** The running incarnation; null while it is down. */
  server: PlatformBackendServer | null;
  address: string;
  bornMs: number;
  sequence: number;
  isDraining: boolean;
  /** Whether its descriptions reach the store. */
  isCutOff: boolean;
}

/** An incarnation of a server. */
export interface Incarnation {
  readonly server: PlatformBackendServer;
  readonly id: string;
  readonly startedAtMs: number;
  endedAtMs: number | null;
}

/** Options of a deployment. */
export interface DeploymentOptions {
  readonly gateways: number;
  readonly servers: number;
  /** Script of the gateways. */
  readonly script: string;
  readonly nodeArgs: readonly string[];
}

/** Starts everything, and applies the faults of a run. */
export class Deployment {
  readonly store = new PlatformStore();
  readonly gateways: GatewayProcess[] = [];
  readonly incarnations: Incarnation[] = [];
  /** Directory with the settings and the output of the gateways. */
  readonly directory = mkdtempSync(join(tmpdir(), 'wisteriarun-soak-'));
  /** Called when a server has accepted a grant. */
  onGranted:
    | ((server: PlatformBackendServer, fromKey: number, toKey: number) => void)
    | null = null;
  readonly #servers: SoakServer[] = [];
  readonly #timers: NodeJS.Timeout[] = [];
  #ports: PortBlock | null = null;
  #version = 0;
  #serverCount = 0;
  #isClosed = false;

  /**
   * @param options - Sizes, and the script of the gateways.
   */
  constructor(private readonly options: DeploymentOptions) {}

  /** Servers that are up. */
  get runningServers(): PlatformBackendServer[] {
    return this.#servers.flatMap(({server}) => server ?? []);
  }

  /**
   * Starts the store, the servers and the gateways, and waits until the gateways are
   * ready.
   */
  async start(): Promise<void> {
    const {host, port} = await this.store.start();
    this.publishBundle();
    for (let index = 0; index < this.options.servers; index += 1) {
      // Three quarters of the servers hold keys.
      await this.#addServer(index % 4 === 3 ? 'audio' : 'records');
    }
    this.#repeat(HEARTBEAT_MS, () => this.#publishDescriptions());
    this.#ports = await PortBlock.reserve();
    const ports = {
      callers: await this.#ports.allocate(),
      readiness: await this.#ports.allocate(),
      peers: await this.#ports.allocate(),
      metrics: await this.#ports.allocate(),
    };
    const {gateways, script, nodeArgs} = this.options;
    for (let index = 0; index < gateways; index += 1) {
      const gateway = new GatewayProcess({
        name: `vm-${index + 1}`,
        host: `127.0.${1 + Math.floor(index / 250)}.${1 + (index % 250)}`,
        ports,
        storeAddress: `${host}:${port}`,
        script,
        nodeArgs,
        directory: this.directory,
        graceMs: GRACE_MS,
      });
      this.gateways.push(gateway);
      gateway.start();
    }
    this.#repeat(CHECK_INTERVAL_MS, () => this.#checkReadiness());
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (this.gateways.some(({isInRotation}) => !isInRotation)) {
      if (performance.now() > deadlineMs) return;
      await new Promise(resolve => setTimeout(resolve, 100));
    }
  }

  /** Publishes the next version of the bundle, each with another idle route. */
  publishBundle(): void {
    this.#version += 1;
    const route = (
      name: string,
      prefix: string,
      kind: string,
      service: string,
      timeoutMs: number,
    ) => ({
      type: 'routes',
      metadata: {name},
      spec: {
        host: HOST,
        path_prefix: prefix,
        kind,
        timeout: `${timeoutMs}ms`,
        slo: '300ms',
        priority: 1,
        service,
        max_attempts: 2,
      },
    });
    const service = (name: string, sharded: boolean) => ({
      type: 'services',
      metadata: {name},
      spec: {health_path: '/health', max_conns: 500, sharded, warm: '0ms'},
    });
    const resources = [
      ...Object.entries(CALL_KINDS).map(([name, kind]) =>
        route(name, kind.prefix, kind.routeKind, kind.service, kind.timeoutMs),
      ),
      route(`idle-${this.#version}`, '/idle/', 'safe', 'records', 500),
      service('records', true),
      service('audio', false),
      {
        type: 'limits',
        metadata: {},
        spec: {
          max_header_bytes: 16_384,
          max_body_bytes: 67_108_864,
          header_timeout: '3s',
          idle_timeout: '15s',
        },
      },
    ];
    const bundle = {version: `r${this.#version}`, resources};
    this.store.put('keyed.op', 'config', JSON.stringify(bundle));
  }

  /**
   * Puts an entry of another writer into the list of servers.
   *
   * @param index - Number of the server that the entry resembles.
   * @param oddity - What is wrong with it.
   */
  putOddEntry(index: number, oddity: Oddity): void {
    const standIn = this.#servers[index]!;
    const {info, ...entry} = this.#describe(standIn);
    const unusedAddress = '127.0.0.1:9';
    const odd = {...entry, addr: unusedAddress, born: Date.now()};
    switch (oddity) {
      case 'unreadable-id':
        this.store.put(
          'keyed.servers',
          'i-\ufffd',
          JSON.stringify({...odd, info}),
        );
        break;
      case 'no-version': {
        const incomplete = {...info, version: undefined};
        const value = JSON.stringify({...odd, info: incomplete});
        this.store.put('keyed.servers', standIn.id, value);
        break;
      }
      case 'no-text':
        this.store.put('keyed.servers', 'i-odd', Buffer.from([0, 0xff, 0x7b]));
        break;
    }
  }

  /** Makes the history of the store's logs unreadable. */
  compactStore(): void {
    for (const topic of ['keyed.op', 'keyed.servers']) {
      this.store.compact(topic);
    }
  }

  /**
   * Ends a server without notice, and starts it again under its id and address.
   *
   * @param index - Number of the server.
   * @param downMs - Time until it starts again.
   * @param cutMs - Time from its start until it reaches the store.
   */
  async crash(index: number, downMs: number, cutMs: number): Promise<void> {
    const standIn = this.#servers[index]!;
    if (standIn.server === null || standIn.isDraining) return;
    await this.#end(standIn);
    await sleepUnlessClosed(downMs);
    if (this.#isClosed) return;
    standIn.isCutOff = cutMs > 0;
    await this.#startServer(standIn, Number(standIn.address.split(':')[1]));
    await sleepUnlessClosed(cutMs);
    standIn.isCutOff = false;
  }

  /**
   * Lets a server drain, ends it, and puts a new one in its place.
   *
   * @param index - Number of the server.
   * @param lingerMs - Time from its report until its end.
   */
  async drain(index: number, lingerMs: number): Promise<void> {
    const standIn = this.#servers[index]!;
    if (standIn.server === null || standIn.isDraining) return;
    standIn.isDraining = true;
    this.#publishDescription(standIn);
    await sleepUnlessClosed(lingerMs);
    if (this.#isClosed) return;
    await this.#end(standIn);
    this.store.put('keyed.servers', standIn.id, '');
    this.#serverCount += 1;
    standIn.id = `i-${this.#serverCount}`;
    standIn.isDraining = false;
    await this.#startServer(standIn);
  }

  /**
   * Makes a server take grants without answering them for a time.
   *
   * @param index - Number of the server.
   * @param forMs - The time.
   */
  async loseGrantAnswers(index: number, forMs: number): Promise<void> {
    const {server} = this.#servers[index]!;
    if (server === null) return;
    server.losesGrantAnswers = true;
    await sleepUnlessClosed(forMs);
    server.losesGrantAnswers = false;
  }

  /**
   * Makes a server slow for a time.
   *
   * @param index - Number of the server.
   * @param forMs - The time.
   */
  async slowDown(index: number, forMs: number): Promise<void> {
    const {server} = this.#servers[index]!;
    if (server === null) return;
    server.workMs = SLOW_WORK_MS;
    await sleepUnlessClosed(forMs);
    server.workMs = USUAL_WORK_MS;
  }

  /**
   * Ends everything.
   *
   * @param keepsDirectory - Whether the output of the gateways is kept.
   */
  async close(keepsDirectory: boolean): Promise<void> {
    this.#isClosed = true;
    for (const timer of this.#timers) clearInterval(timer);
    for (const gateway of this.gateways) gateway.close();
    for (const standIn of this.#servers) await this.#end(standIn);
    await this.store.close();
    await this.#ports?.close();
    if (!keepsDirectory) {
      rmSync(this.directory, {recursive: true, force: true});
    }
  }

  async #addServer(service: SoakServer['service']): Promise<void> {
    this.#serverCount += 1;
    const standIn: SoakServer = {
      id: `i-${this.#serverCount}`,
      service,
      server: null,
      address: '',
      bornMs: 0,
      sequence: 0,
      isDraining: false,
      isCutOff: false,
    };
    this.#servers.push(standIn);
    await this.#startServer(standIn);
  }

  async #startServer(standIn: SoakServer, port = 0): Promise<void> {
    const server = new PlatformBackendServer({
      id: standIn.id,
      slots: SLOTS,
      workMs: USUAL_WORK_MS,
      checksKeys: standIn.service === 'records',
    });
    server.keepsBodies = false;
    server.onGranted = (fromKey, toKey) =>
      this.onGranted?.(server, fromKey, toKey);
    const address = await server.start({port});
    standIn.server = server;
    standIn.address = `${address.host}:${address.port}`;
    standIn.bornMs = Date.now();
    standIn.sequence = 0;
    this.incarnations.push({
      server,
      id: standIn.id,
      startedAtMs: performance.now(),
      endedAtMs: null,
    });
    this.#publishDescription(standIn);
  }

  async #end(standIn: SoakServer): Promise<void> {
    const {server} = standIn;
    if (server === null) return;
    standIn.server = null;
    const incarnation = this.incarnations.find(one => one.server === server);
    if (incarnation !== undefined) incarnation.endedAtMs = performance.now();
    await server.close();
  }

  #publishDescriptions(): void {
    for (const standIn of this.#servers) this.#publishDescription(standIn);
  }

  #publishDescription(standIn: SoakServer): void {
    if (standIn.server === null || standIn.isCutOff) return;
    standIn.sequence += 1;
    const value = JSON.stringify(this.#describe(standIn));
    this.store.put('keyed.servers', standIn.id, value);
  }

  #describe(standIn: SoakServer) {
    return {
      addr: standIn.address,
      born: standIn.bornMs,
      info: {
        service: standIn.service,
        version: 'v1',
        zone: 'zone-a',
        slots: SLOTS,
      },
      status: {
        state: standIn.isDraining ? 'draining' : 'ready',
        seq: standIn.sequence,
        warmup_left: '0ms',
      },
    };
  }

  async #checkReadiness(): Promise<void> {
    await Promise.all(this.gateways.map(gateway => gateway.checkReadiness()));
  }

  #repeat(intervalMs: number, run: () => unknown): void {
    this.#timers.push(setInterval(run, intervalMs));
  }
}

function sleepUnlessClosed(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms).unref();
  });
}
