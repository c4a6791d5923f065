/** Runs a deployment as separate processes on loopback addresses. */
import {randomBytes} from 'node:crypto';
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {
  HEADERS,
  MAX_DEADLINE_MS,
  bundleSchema,
  type Bundle,
  type Server,
  type Service,
} from '@wisteriarun/core';
import {
  readRecordFile,
  sleep,
  wallMs,
  type BackendBehavior,
  type LogCounters,
  type LogFaults,
  type ServerRecord,
  type Vm,
  type VmListControl,
} from '@wisteriarun/standins';
import {bundleRecord, createSigningKey} from './bundle.js';
import {Child} from './child.js';
import {PortBlock} from './ports.js';

const HOST = '127.0.0.1';
const STREAM = 'deployment';
const POLL_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 2_000;
const VM_LIST_POLL_MS = 500;
const LOG_RETENTION_MS = 600_000;
const SNAPSHOT_INTERVAL_MS = 60_000;

const repositoryPath = (path: string) =>
  fileURLToPath(new URL(`../../../${path}`, import.meta.url));
const DAEMON_MAIN = repositoryPath('packages/daemon/dist/main.js');
const standinMain = (name: string) =>
  repositoryPath(`testing/standins/dist/${name}-main.js`);

/** Specification of a backend server. */
export interface ServerSpec {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Batch of the server; `batch-1` by default. */
  readonly batch?: string;
  /** Number of requests that the server executes at the same time. */
  readonly slots: number;
  /** Divisor of the service time; 1 by default. */
  readonly speed?: number;
  /** Mean service time of a request. */
  readonly serviceTimeMs?: number;
  /** Number of requests after a start that are served more slowly. */
  readonly coldRequests?: number;
  /** Offset of the server's monotonic clock. */
  readonly clockOffsetMs?: number;
  /** Relative drift of the server's monotonic clock. */
  readonly clockDriftRatio?: number;
  /** Whether requests are checked against the lease; true by default. */
  readonly checksGrants?: boolean;
}

/** Specification of an entry VM. */
export interface EntrySpec {
  readonly id: string;
  readonly zone: string;
  /** Weight of the VM in the choice of dispatchers; 1 by default. */
  readonly capacity?: number;
}

/** Options of a cluster. */
export interface ClusterOptions {
  /** Name of the deployment; `demo` by default. */
  readonly deployment?: string;
  readonly zones: readonly string[];
  /** Services of the bundle; fields that are left out get defaults. */
  readonly services: readonly (Pick<Service, 'id' | 'shards'> &
    Partial<Service>)[];
  readonly servers: readonly ServerSpec[];
  readonly entries: readonly EntrySpec[];
  /** Settings of the daemons; they extend or override those of the harness. */
  readonly settings?: Settings;
  /** Time until a change of the VM list becomes visible; 0 by default. */
  readonly vmListLagMs?: number;
  /** Path of the daemon's script; the built daemon by default. */
  readonly daemonMain?: string;
  /** Keeps the directory with settings, logs and records after `close`. */
  readonly keepDirectory?: boolean;
}

/** Contents of an INI file: values by section and key. */
export type Settings = Readonly<
  Record<string, Readonly<Record<string, string | number>>>
>;

/** Ports of an entry VM. */
interface EntryPorts {
  readonly caller: number;
  readonly relay: number;
  readonly peer: number;
  readonly operator: number;
}

/** An entry VM and the process that runs it. */
interface EntryProcess {
  readonly spec: EntrySpec;
  readonly ports: EntryPorts;
  child: Child;
  /** Whether the VM list contains the VM. */
  isListed: boolean;
}

/** A backend server and the process that runs it. */
interface ServerProcess {
  readonly spec: ServerSpec;
  /** File to which the server appends its records, also after a restart. */
  readonly recordFile: string;
  readonly port: number;
  child: Child;
  /** Whether the VM list contains the server's VM. */
  isListed: boolean;
  /** Wall time of the last `killServer` call, or null. */
  lostAtMs: number | null;
}

/** Starts and ends the processes of a deployment, and injects faults. */
export class Cluster {
  /** Directory with settings, output and records of all processes. */
  readonly directory: string;
  /** Bearer token of the operator ports. */
  readonly operatorToken = randomBytes(16).toString('hex');
  readonly deployment: string;
  private readonly signer = createSigningKey('root');
  private readonly deploymentSecret = randomBytes(16).toString('hex');
  private readonly entries = new Map<string, EntryProcess>();
  private readonly servers = new Map<string, ServerProcess>();
  private ports: PortBlock | null = null;
  private logProcess: Child | null = null;
  private vmListProcess: Child | null = null;
  private logUrl = '';
  private vmListUrl = '';
  private lastBundle: Bundle | null = null;
  private spawnCount = 0;
  private readonly removeDirectory = () => {
    if (this.options.keepDirectory) return;
    rmSync(this.directory, {recursive: true, force: true});
  };

  private constructor(private readonly options: ClusterOptions) {
    this.directory = mkdtempSync(join(tmpdir(), 'wisteriarun-cluster-'));
    this.deployment = options.deployment ?? 'demo';
    process.once('exit', this.removeDirectory);
  }

  /**
   * Starts all processes and publishes the first bundle.
   *
   * @param options - Options of the cluster.
   * @returns The cluster; the bundle may not be in force yet.
   * @throws Error when a process does not start; the others are then ended.
   */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      await cluster.startAll();
      return cluster;
    } catch (error) {
      await cluster.close();
      throw error;
    }
  }

  /** Returns the caller address, `host:port`, of each entry VM ever started. */
  entryAddresses(): string[] {
    return [...this.entries.values()].map(
      entry => `${HOST}:${entry.ports.caller}`,
    );
  }

  /** Returns the ids of the entry VMs in the order in which they were added. */
  entryIds(): string[] {
    return [...this.entries.keys()];
  }

  /** Returns the process ids of the running entry VMs. */
  entryPids(): number[] {
    return [...this.entries.values()]
      .filter(({child}) => child.isAlive)
      .map(({child}) => child.pid);
  }

  /** Returns the address, `host:port`, of an entry VM's caller port. */
  entryAddress(id: string): string {
    return `${HOST}:${this.entry(id).ports.caller}`;
  }

  /** Returns the address, `host:port`, of an entry VM's operator port. */
  operatorAddress(id: string): string {
    return `${HOST}:${this.entry(id).ports.operator}`;
  }

  /** Returns the address, `host:port`, of a server. */
  serverAddress(id: string): string {
    return `${HOST}:${this.server(id).port}`;
  }

  /** Returns the specifications of all servers. */
  serverSpecs(): ServerSpec[] {
    return [...this.servers.values()].map(server => server.spec);
  }

  /**
   * Returns the servers that `killServer` killed, also those restarted since,
   * with the wall time of the last such call for each.
   */
  losses(): {server: string; atMs: number}[] {
    return [...this.servers.values()].flatMap(({spec, lostAtMs}) =>
      lostAtMs === null ? [] : [{server: spec.id, atMs: lostAtMs}],
    );
  }

  /** Reads what all servers, killed ones included, recorded for the checks. */
  records(): ServerRecord[] {
    return [...this.servers.values()].flatMap(({recordFile}) =>
      existsSync(recordFile) ? readRecordFile(recordFile) : [],
    );
  }

  /**
   * Reads the output of a process.
   *
   * @param id - Id of the process's VM, `log` for the log service, or `vm-list`
   *     for the service that returns the VM list.
   */
  output(id: string): string {
    return this.child(id).output();
  }

  /** Whether a process runs; takes the same ids as `output`. */
  isRunning(id: string): boolean {
    return this.child(id).isAlive;
  }

  /**
   * Starts another entry VM and adds it to the VM list.
   *
   * @param spec - Specification of the VM.
   * @param settings - Settings that extend or override those of the cluster.
   */
  async addEntry(spec: EntrySpec, settings: Settings = {}): Promise<void> {
    const ports: EntryPorts = {
      caller: await this.allocatePort(),
      relay: await this.allocatePort(),
      peer: await this.allocatePort(),
      operator: await this.allocatePort(),
    };
    const seeds = this.seedAddresses(ports.peer);
    const path = this.writeSettings(spec, ports, seeds, settings);
    const child = this.spawnEntry(spec.id, path);
    this.entries.set(spec.id, {spec, ports, child, isListed: true});
    await this.publishVmList();
  }

  /**
   * Starts another backend server. It gets requests once a bundle contains it.
   * The call does not publish the VM list, which contains the server from its
   * next change on.
   */
  async addServer(spec: ServerSpec): Promise<void> {
    const recordFile = join(this.directory, `${spec.id}.records`);
    const port = await this.allocatePort();
    const child = this.spawnServer(spec, port, recordFile);
    this.servers.set(spec.id, {
      spec,
      recordFile,
      port,
      child,
      isListed: true,
      lostAtMs: null,
    });
    await child.waitUntilReady();
  }

  /** Kills a server with SIGKILL; the VM list still contains it. */
  async killServer(id: string): Promise<void> {
    const server = this.server(id);
    server.lostAtMs = wallMs();
    await server.child.terminate('SIGKILL');
  }

  /** Pauses a server's process with SIGSTOP. */
  freezeServer(id: string): void {
    this.server(id).child.signal('SIGSTOP');
  }

  /** Resumes a frozen server with SIGCONT. */
  thawServer(id: string): void {
    this.server(id).child.signal('SIGCONT');
  }

  /** Restarts a server at the same address, with a new boot id. */
  async restartServer(id: string): Promise<void> {
    const server = this.server(id);
    await server.child.terminate('SIGKILL');
    server.child = this.spawnServer(
      server.spec,
      server.port,
      server.recordFile,
    );
    await server.child.waitUntilReady();
  }

  /** Changes the simulated behavior of a server while it runs. */
  async setServerBehavior(id: string, change: Partial<BackendBehavior>) {
    await postJson(`http://${this.serverAddress(id)}/control`, change);
  }

  /** Kills an entry VM's process with SIGKILL. */
  async killEntry(id: string): Promise<void> {
    await this.entry(id).child.terminate('SIGKILL');
  }

  /**
   * Shuts an entry VM's process down gracefully with SIGTERM.
   *
   * @returns The exit code. The wait for the exit has no time limit.
   */
  async stopEntry(id: string): Promise<number | null> {
    const {child} = this.entry(id);
    child.signal('SIGTERM');
    await child.waitForExit();
    return child.exitCode;
  }

  /** Pauses an entry VM's process with SIGSTOP. */
  freezeEntry(id: string): void {
    this.entry(id).child.signal('SIGSTOP');
  }

  /** Resumes a frozen entry VM's process with SIGCONT. */
  thawEntry(id: string): void {
    this.entry(id).child.signal('SIGCONT');
  }

  /**
   * Restarts an entry VM's process with the same settings. Does not wait until
   * it serves requests.
   */
  async restartEntry(id: string): Promise<void> {
    const entry = this.entry(id);
    await entry.child.terminate('SIGKILL');
    entry.child = this.spawnEntry(id, this.settingsPathOf(id));
  }

  /** Changes the given faults of the log service; others keep their value. */
  async setLogFault(faults: Partial<LogFaults>): Promise<void> {
    await postJson(`${this.logUrl}/control`, faults);
  }

  /** Fetches the counters of the log service. */
  async logCounters(): Promise<LogCounters> {
    const {body} = await request(`${this.logUrl}/control`);
    return ((await body.json()) as {counters: LogCounters}).counters;
  }

  /** Changes the given faults of the VM list; others keep their value. */
  async setVmListFault(
    faults: Pick<VmListControl, 'lagMs' | 'outage'>,
  ): Promise<void> {
    await postJson(`${this.vmListUrl}/control`, faults);
  }

  /** Removes a VM from the VM list, or adds it again. */
  async setVmListed(id: string, isListed: boolean): Promise<void> {
    const vm = this.entries.get(id) ?? this.server(id);
    vm.isListed = isListed;
    await this.publishVmList();
  }

  /** Returns the bundle that was published last. */
  currentBundle(): Bundle {
    if (!this.lastBundle) throw new Error('no bundle has been published');
    return this.lastBundle;
  }

  /**
   * Publishes the next bundle version.
   *
   * @param change - Fields that differ from the previous version.
   * @returns The published bundle.
   */
  async publishBundle(change: Partial<Bundle> = {}): Promise<Bundle> {
    const bundle = bundleSchema.parse({
      ...(this.lastBundle ?? this.firstBundle()),
      ...change,
      version: (this.lastBundle?.version ?? 0) + 1,
    });
    await this.appendRecord(bundleRecord(bundle, this.signer));
    this.lastBundle = bundle;
    return bundle;
  }

  /** Returns the values that `wisteriactl bundle publish` needs as options. */
  publishOptions() {
    const {keyId: rootKeyId, publicKey: rootPublicKey} = this.signer;
    return {log: this.logUrl, stream: STREAM, rootKeyId, rootPublicKey};
  }

  /** Returns the private key of the root signer as PKCS #8 in PEM. */
  rootKeyPem(): string {
    const pem = this.signer.privateKey.export({format: 'pem', type: 'pkcs8'});
    return pem.toString();
  }

  /** Appends a record, which may be invalid, to the deployment's log stream. */
  async appendRecord(record: unknown): Promise<void> {
    await postJson(`${this.logUrl}/streams/${STREAM}/records`, {record});
  }

  /** Returns the description of a server for a bundle. */
  toBundleServer(id: string): Server {
    const {spec, port} = this.server(id);
    return {
      id,
      service: spec.service,
      batch: spec.batch ?? 'batch-1',
      zone: spec.zone,
      host: HOST,
      port,
      slots: spec.slots,
      // Largest number of connections that one entry VM opens to the server.
      connections: 130,
      checksGrants: spec.checksGrants ?? true,
    };
  }

  /**
   * Waits until every running entry VM answers reads of every service.
   *
   * @param timeoutMs - Longest wait in milliseconds.
   * @param keyCount - Number of keys that are read per service and entry VM.
   * @returns Time that it took in milliseconds.
   * @throws Error that names up to five reads without an answer, or an entry
   *     VM that has exited other than by a signal.
   */
  async waitUntilServing(timeoutMs: number, keyCount = 8): Promise<number> {
    const startMs = performance.now();
    const probes: {address: string; path: string}[] = [];
    for (const {id} of this.options.services) {
      for (const entry of this.entries.values()) {
        if (!entry.child.isAlive) continue;
        const address = `${HOST}:${entry.ports.caller}`;
        for (let i = 0; i < keyCount; i++) {
          probes.push({address, path: `/${id}/probe-${i}`});
        }
      }
    }
    let unanswered = probes;
    while (performance.now() - startMs < timeoutMs) {
      const answered = await Promise.all(unanswered.map(isAnswered));
      unanswered = unanswered.filter((_, index) => !answered[index]);
      if (unanswered.length === 0) return performance.now() - startMs;
      this.assertNoEntryExited();
      await sleep(POLL_INTERVAL_MS);
    }
    const missing = unanswered
      .slice(0, 5)
      .map(({address, path}) => address + path);
    throw new Error(
      `${unanswered.length} of ${probes.length} probes have no answer after ` +
        `${timeoutMs} ms: ${missing.join(' ')}`,
    );
  }

  /**
   * Kills all processes. Removes the directory unless the option
   * `keepDirectory` is set.
   */
  async close(): Promise<void> {
    const children = [
      ...[...this.entries.values()].map(entry => entry.child),
      ...[...this.servers.values()].map(server => server.child),
      this.logProcess,
      this.vmListProcess,
    ].filter(child => child !== null);
    await Promise.all(children.map(child => child.terminate('SIGKILL')));
    await this.ports?.close();
    this.ports = null;
    this.removeDirectory();
    process.off('exit', this.removeDirectory);
  }

  private async startAll(): Promise<void> {
    const {options} = this;
    this.ports = await PortBlock.reserve();
    const spawn = async (name: string, args: string[]) => {
      const port = String(await this.allocatePort());
      const main = standinMain(name);
      return this.spawn(name, [main, '--port', port, ...args]);
    };
    this.logProcess = await spawn('log-service', []);
    const lagMs = String(options.vmListLagMs ?? 0);
    this.vmListProcess = await spawn('vm-list', ['--lag-ms', lagMs]);
    this.logUrl = urlOf(await this.logProcess.waitUntilReady());
    this.vmListUrl = urlOf(await this.vmListProcess.waitUntilReady());
    await Promise.all(options.servers.map(spec => this.addServer(spec)));
    for (const spec of options.entries) await this.addEntry(spec);
    await this.publishBundle();
  }

  private firstBundle(): Omit<Bundle, 'version'> {
    const {zones, services, servers} = this.options;
    const batches = new Set(servers.map(server => server.batch ?? 'batch-1'));
    return {
      deployment: this.deployment,
      zones: [...zones],
      services: services.map(service => ({
        adoption: 'hold',
        longestDeadlineMs: MAX_DEADLINE_MS,
        maxBodyBytes: 1024 ** 3,
        ...service,
      })),
      batches: [...batches].map(id => ({id, state: 'serving'})),
      servers: servers.map(server => this.toBundleServer(server.id)),
      stopped: [],
      signers: [{keyId: this.signer.keyId, publicKey: this.signer.publicKey}],
    };
  }

  private async publishVmList(): Promise<void> {
    const vms: Vm[] = [];
    for (const {spec, ports, isListed} of this.entries.values()) {
      if (!isListed) continue;
      const address = `${HOST}:${ports.peer}`;
      const {id, zone} = spec;
      vms.push({id, role: 'entry', zone, address, state: 'live'});
    }
    for (const {spec, port, isListed} of this.servers.values()) {
      if (!isListed) continue;
      const address = `${HOST}:${port}`;
      const {id, zone} = spec;
      vms.push({id, role: 'server', zone, address, state: 'live'});
    }
    await postJson(`${this.vmListUrl}/control`, {vms});
  }

  /**
   * Returns the peer addresses to which a new entry VM connects at its start:
   * those of the first three entry VMs, or, if fewer have started, those of all
   * of them and its own.
   */
  private seedAddresses(ownPeerPort: number): string {
    const started = [...this.entries.values()].slice(0, 3);
    const peerPorts = started.map(entry => entry.ports.peer);
    return [...peerPorts, ownPeerPort]
      .slice(0, 3)
      .map(port => `${HOST}:${port}`)
      .join(',');
  }

  private settingsPathOf(id: string): string {
    return join(this.directory, `${id}.ini`);
  }

  private writeSettings(
    spec: EntrySpec,
    ports: EntryPorts,
    seeds: string,
    overrides: Settings,
  ): string {
    const {id, zone, capacity = 1} = spec;
    const base: Settings = {
      vm: {id, zone, deployment: this.deployment, capacity},
      caller: {host: HOST, port: ports.caller},
      relay: {host: HOST, port: ports.relay},
      peer: {host: HOST, port: ports.peer},
      operator: {host: HOST, port: ports.operator, token: this.operatorToken},
      log: {
        endpoint: this.logUrl,
        stream: STREAM,
        retention_ms: LOG_RETENTION_MS,
        snapshot_interval_ms: SNAPSHOT_INTERVAL_MS,
      },
      vm_list: {endpoint: this.vmListUrl, poll_interval_ms: VM_LIST_POLL_MS},
      peers: {seeds},
      trust: {
        root_key_id: this.signer.keyId,
        // Quoted, because base64 may end with `=`.
        root_public_key: JSON.stringify(this.signer.publicKey),
        deployment_secret: this.deploymentSecret,
      },
      logs: {level: 'info'},
    };
    const path = this.settingsPathOf(id);
    const settings = mergeSettings(
      base,
      this.options.settings ?? {},
      overrides,
    );
    writeFileSync(path, formatSettings(settings), {mode: 0o600});
    return path;
  }

  private spawnEntry(id: string, settingsPath: string): Child {
    const main = this.options.daemonMain ?? DAEMON_MAIN;
    if (!existsSync(main)) throw new Error(`daemon is not built: ${main}`);
    return this.spawn(id, [main, '--config', settingsPath]);
  }

  private spawnServer(
    spec: ServerSpec,
    port: number,
    recordFile: string,
  ): Child {
    const flags: Record<string, string | number | undefined> = {
      id: spec.id,
      port,
      slots: spec.slots,
      speed: spec.speed,
      'service-time-ms': spec.serviceTimeMs,
      'cold-requests': spec.coldRequests,
      'clock-offset-ms': spec.clockOffsetMs,
      'clock-drift-ratio': spec.clockDriftRatio,
      'record-file': recordFile,
      'store-dir': join(this.directory, 'store'),
    };
    // With `--name=value`, unlike `--name value`, a value may be negative.
    const args = Object.entries(flags).flatMap(([name, value]) =>
      value === undefined ? [] : [`--${name}=${value}`],
    );
    if (spec.checksGrants === false) args.push('--no-checks');
    return this.spawn(spec.id, [standinMain('backend-server'), ...args]);
  }

  private spawn(name: string, args: string[]): Child {
    mkdirSync(join(this.directory, 'output'), {recursive: true});
    const count = this.spawnCount++;
    const output = join(this.directory, 'output', `${name}.${count}.log`);
    return new Child(name, output, args);
  }

  private async allocatePort(): Promise<number> {
    if (!this.ports) throw new Error('cluster is closed');
    return this.ports.allocate();
  }

  /**
   * Throws if an entry VM has exited with a code, also after `stopEntry`. An
   * entry VM that a signal ended has no exit code and passes.
   */
  private assertNoEntryExited(): void {
    for (const {spec, child} of this.entries.values()) {
      if (child.exitCode !== null) {
        throw new Error(
          `${spec.id} exited with code ${child.exitCode}: ${child.tail()}`,
        );
      }
    }
  }

  private entry(id: string): EntryProcess {
    const entry = this.entries.get(id);
    if (!entry) throw new Error(`unknown entry VM: ${id}`);
    return entry;
  }

  private server(id: string): ServerProcess {
    const server = this.servers.get(id);
    if (!server) throw new Error(`unknown server: ${id}`);
    return server;
  }

  private child(id: string): Child {
    if (id === 'log' && this.logProcess) return this.logProcess;
    if (id === 'vm-list' && this.vmListProcess) return this.vmListProcess;
    return (this.entries.get(id) ?? this.server(id)).child;
  }
}

async function postJson(url: string, body: unknown): Promise<void> {
  const response = await request(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new Error(`${url} answered ${response.statusCode}: ${text}`);
  }
}

async function isAnswered(probe: {address: string; path: string}) {
  try {
    const response = await request(`http://${probe.address}${probe.path}`, {
      headers: {[HEADERS.requestTimeoutMs]: String(PROBE_TIMEOUT_MS)},
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.headers[HEADERS.outcome] === 'answered';
  } catch {
    return false;
  }
}

function urlOf({host, port}: {host: string; port: number}): string {
  return `http://${host}:${port}`;
}

/** Merges the sections of settings; later parts override earlier ones. */
function mergeSettings(...parts: readonly Settings[]): Settings {
  const merged: Record<string, Record<string, string | number>> = {};
  for (const part of parts) {
    for (const [section, values] of Object.entries(part)) {
      merged[section] = {...merged[section], ...values};
    }
  }
  return merged;
}

/** Formats settings as the text of an INI file. */
function formatSettings(settings: Settings): string {
  return Object.entries(settings)
    .map(([section, values]) => {
      const lines = Object.entries(values).map(([key, v]) => `${key} = ${v}`);
      return [`[${section}]`, ...lines, ''].join('\n');
    })
    .join('\n');
}
