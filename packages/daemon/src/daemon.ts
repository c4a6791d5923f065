/** Process of one entry VM: creates the components and connects them. */
import {randomUUID} from 'node:crypto';
import {CallerServer} from '@wisteriarun/caller';
import {
  MAX_DEADLINE_MS,
  createHasher,
  describeError,
  type EventInput,
  type Hasher,
  type PeerMessage,
  type RouterState,
  type WisteriarunError,
} from '@wisteriarun/core';
import {OperatorServer} from '@wisteriarun/operator';
import {PeerMesh, RelayClient, RelayServer} from '@wisteriarun/peer';
import {
  Metrics,
  SystemClock,
  Timeline,
  type Clock,
  type Logger,
  type Settings,
  StallWatch,
} from '@wisteriarun/runtime';
import {VmListClient, VmListWatcher} from '@wisteriarun/vm-list';
import {periodic} from 'most';
import {AssignerRunner} from './control/assigner-runner.js';
import {DispatchDirectory} from './control/dispatch-directory.js';
import {notifyIsolationChange} from './control/isolation.js';
import {LOAD_REPORT_INTERVAL_MS, reportLoads} from './control/load-reporter.js';
import {LogTail} from './control/log-tail.js';
import {PeerEvents} from './control/peer-events.js';
import {PeerMessageHandler} from './control/peer-message-handler.js';
import {PeerRoster, instanceId} from './control/peer-roster.js';
import {PermissionTable} from './control/permissions.js';
import {RouteTable} from './control/route-table.js';
import {ServerClients} from './control/server-clients.js';
import {movesOf} from './control/shard-moves.js';
import {SnapshotWriter} from './control/snapshot-writer.js';
import {StateReplica, type FoldedRecord} from './control/state-replica.js';
import {
  DaemonMetrics,
  ImbalanceMeter,
  RequestMeter,
  UnavailableTime,
} from './metrics/index.js';
import {OperatorView} from './operator-view.js';
import {DispatcherHost, EntryHandler} from './request/index.js';

/**
 * Interval of the checks whether a snapshot is due, a metrics window is over, a
 * peer is lost, or a newer state has to be requested from a peer.
 */
const HOUSEKEEPING_INTERVAL_MS = 1_000;
/**
 * Time after the start in which this VM takes part in no election, because it
 * is still connecting to its peers and reading the log. The silence of other
 * VMs counts from the end of this time.
 */
const OBSERVE_BEFORE_ELECTION_MS = 1_000;
/** Interval at which a shutdown checks whether other VMs have its roles. */
const SHUTDOWN_POLL_MS = 50;
/** Longest wait of a shutdown for other VMs to take over its roles. */
const ROLE_HANDOVER_TIMEOUT_MS = 10_000;

/**
 * Messages whose failed send is reported, because the sender does not repeat
 * them: without a handover, the next dispatcher does not know the outcomes of
 * earlier attempts; without a state reply, the peer keeps an older state.
 */
const REPORTED_WHEN_LOST: ReadonlySet<PeerMessage['kind']> = new Set([
  'handover',
  'state-reply',
]);

/** Process of one entry VM. */
export class Daemon {
  private readonly clock: Clock = new SystemClock();
  private readonly bootId = randomUUID();
  /** Instance id of this process. */
  private readonly vm: string;
  private readonly timeline: Timeline;
  private readonly metrics = new Metrics();
  private readonly requestMeter: RequestMeter;
  private readonly daemonMetrics: DaemonMetrics;
  private readonly imbalance: ImbalanceMeter;
  private readonly peerEvents = new PeerEvents(this.clock, event =>
    this.emit(event),
  );
  private readonly directory = new DispatchDirectory();
  private readonly replica: StateReplica;
  private readonly routes: RouteTable;
  private readonly log: LogTail;
  private readonly mesh: PeerMesh;
  private readonly vmList: VmListWatcher;
  private readonly roster: PeerRoster;
  private readonly permissions: PermissionTable;
  private readonly servers: ServerClients;
  private readonly dispatcher: DispatcherHost;
  private readonly runner: AssignerRunner;
  private readonly messageHandler: PeerMessageHandler;
  private readonly snapshots: SnapshotWriter;
  private readonly relayClient: RelayClient;
  private readonly stallWatch: StallWatch;
  private readonly callers: CallerServer;
  private readonly relay: RelayServer;
  private readonly operator: OperatorServer;
  private readonly startedAtMs: number;
  private draining = false;
  private isClosed = false;

  /**
   * Creates a daemon.
   *
   * @param settings - Validated settings.
   * @param logger - Receives a line for each event.
   * @returns The daemon; call `start` next.
   */
  static async create(settings: Settings, logger: Logger): Promise<Daemon> {
    return new Daemon(settings, logger, await createHasher());
  }

  private constructor(
    private readonly settings: Settings,
    private readonly logger: Logger,
    private readonly hasher: Hasher,
  ) {
    const {vm, trust, log} = settings;
    this.vm = instanceId(vm.id, this.bootId);
    this.startedAtMs = this.clock.monotonicMs();
    const {clock} = this;
    this.timeline = new Timeline({process: this.vm, zone: vm.zone, clock});
    const unavailableTime = new UnavailableTime(this.metrics, clock);
    this.requestMeter = new RequestMeter(this.metrics, unavailableTime);
    this.daemonMetrics = this.createMetrics();
    this.imbalance = new ImbalanceMeter({
      metrics: this.metrics,
      clock,
      server: id => this.routes.server(id),
      isAssigner: zone => this.runner.zones.includes(zone),
    });
    const signers = [{keyId: trust.rootKeyId, publicKey: trust.rootPublicKey}];
    this.replica = new StateReplica(signers);
    this.log = new LogTail({
      endpoint: log.endpoint,
      stream: log.stream,
      trust: signers,
      replica: this.replica,
      onAvailability: (isUp, error) => this.onLogAvailability(isUp, error),
      onAppend: (result, durationMs) =>
        this.daemonMetrics.recordAppend(result, durationMs),
    });
    this.mesh = this.createMesh();
    this.vmList = new VmListWatcher({
      reader: new VmListClient(settings.vmList.endpoint),
      pollIntervalMs: settings.vmList.pollIntervalMs,
      clock,
    });
    this.roster = this.createRoster();
    this.routes = new RouteTable({
      vm: this.vm,
      hasher,
      state: () => this.state,
      directory: this.directory,
      relayOf: id => this.roster.relayOf(id),
    });
    this.permissions = new PermissionTable(clock);
    this.servers = new ServerClients(id => this.routes.server(id));
    this.dispatcher = new DispatcherHost({
      routes: this.routes,
      clock,
      permissions: this.permissions,
      events: event => this.emit(event),
      meter: this.requestMeter,
      logConfirmedAtMs: () => this.log.confirmedAtMs,
    });
    this.runner = this.createRunner();
    this.messageHandler = this.createMessageHandler();
    this.snapshots = this.createSnapshotWriter();
    this.relayClient = new RelayClient(trust.deploymentSecret);
    this.stallWatch = new StallWatch(clock, this.logger);
    this.callers = new CallerServer(
      settings.caller,
      this.createEntryHandler(),
      this.stallWatch,
    );
    this.relay = new RelayServer(
      {...settings.relay, secret: trust.deploymentSecret},
      this.dispatcher,
    );
    this.operator = this.createOperatorServer();
  }

  private get state(): RouterState {
    return this.replica.state;
  }

  /**
   * Opens all ports and starts following the log, the peers and the VM list.
   *
   * @throws PortError when the port for peers or operators cannot be opened.
   * If the port for callers or the relay cannot, the error of the system is
   * thrown.
   */
  async start(): Promise<void> {
    this.replica.subscribe((state, folded, before) =>
      this.onFolded(state, folded, before),
    );
    this.dispatcher.onNewCrashRecords(records => {
      this.mesh.broadcast({kind: 'crash-record', records});
    });
    this.subscribeStreams();
    await this.relay.listen();
    for (const opened of [
      await this.mesh.listen(),
      await this.operator.listen(),
    ]) {
      if (opened.isErr) throw new PortError(opened.error);
    }
    this.mesh.setPeers(this.settings.peers.seeds);
    this.vmList.start();
    this.runner.start();
    void this.log.start();
    await this.callers.listen();
    this.emit({kind: 'started', fields: {boot: this.bootId}});
  }

  /**
   * Shuts down without aborting requests in flight: leaves the load balancer,
   * hands the assigner and dispatcher roles over, and waits for all requests,
   * for at most `shutdownTimeoutMs` (0: without limit). Does not wait when a
   * shutdown is in progress.
   */
  async shutDown(): Promise<void> {
    const {shutdownTimeoutMs} = this.settings.limits;
    const drained = this.drainAndClose();
    if (shutdownTimeoutMs === 0) return drained;
    await Promise.race([drained, delay(shutdownTimeoutMs)]);
  }

  private async drainAndClose(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    this.emit({kind: 'drain-started', cause: 'signal'});
    this.callers.beginShutdown();
    await delay(this.settings.limits.shutdownDelayMs);
    await this.handOverRoles();
    await this.callers.close();
    await this.relay.close();
    this.emit({kind: 'drain-ended'});
    await this.close();
  }

  /**
   * Stops everything but the caller and relay servers, without a drain first.
   */
  async close(): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    this.daemonMetrics.close();
    this.stallWatch.close();
    this.emit({kind: 'stopped'});
    this.runner.close();
    this.vmList.close();
    await this.dispatcher.close();
    await this.servers.close();
    this.relayClient.close();
    await this.log.close();
    await this.mesh.close();
    await this.operator.close();
  }

  /**
   * Waits until other VMs have taken over the assigner and dispatcher roles,
   * which they do once the heartbeats of this VM report that it is draining.
   */
  private async handOverRoles(): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + ROLE_HANDOVER_TIMEOUT_MS;
    const hasRoles = () =>
      this.runner.zones.length > 0 ||
      this.messageHandler.dispatchedServerCount > 0;
    while (hasRoles() && this.clock.monotonicMs() < deadlineMs) {
      // Without a peer, no VM can take over the roles.
      if (this.roster.otherEntries().length === 0) return;
      await delay(SHUTDOWN_POLL_MS);
    }
  }

  private emit(event: EventInput): void {
    const stored = this.timeline.add(event);
    const {kind, term, epoch, offset, cause, fields} = stored;
    const presentFields = Object.entries({term, epoch, offset, cause}).filter(
      ([, value]) => value !== null,
    );
    this.logger.info(kind, {...Object.fromEntries(presentFields), ...fields});
  }

  private onLogAvailability(
    isUp: boolean,
    error: WisteriarunError | null,
  ): void {
    if (isUp) this.emit({kind: 'log-up', offset: this.state.offset});
    else {
      const cause = error ? describeError(error) : null;
      this.emit({kind: 'log-down', offset: this.state.offset, cause});
    }
  }

  private onFolded(
    state: RouterState,
    folded: FoldedRecord | null,
    before: RouterState,
  ): void {
    if (folded) {
      this.reportRejected(folded);
      this.daemonMetrics.onFolded(folded);
      this.snapshots.onFolded(folded);
      notifyIsolationChange(
        this.dispatcher,
        this.hasher,
        folded,
        before,
        state,
      );
    }
    this.routes.onChanged();
    this.messageHandler.onRoutesChanged(movesOf(folded, before));
    this.runner.onFolded(state, folded, before);
    this.messageHandler.onStateChanged();
    if (before.bundle !== state.bundle) this.onBundle(state);
  }

  private onBundle({bundle}: RouterState): void {
    if (!bundle) return;
    this.servers.prune();
    const listed = new Set(bundle.body.servers.map(({id}) => id));
    this.directory.prune(server => listed.has(server));
    const {offset, author} = bundle;
    const {version} = bundle.body;
    this.emit({kind: 'bundle-in-force', offset, fields: {version, author}});
  }

  private reportRejected({offset, verdict}: FoldedRecord): void {
    if (verdict.kind !== 'rejected') return;
    const {record} = verdict;
    this.emit({
      kind: record?.kind === 'bundle' ? 'bundle-rejected' : 'record-rejected',
      offset,
      cause: describeError(verdict.error),
      fields: {
        record: record?.kind ?? 'unknown',
        author: record?.author ?? 'unknown',
      },
    });
  }

  private subscribeStreams(): void {
    void this.mesh.messages.observe(({from, message}) =>
      this.messageHandler.handle(from, message),
    );
    void this.mesh.linkEvents.observe(event => {
      this.peerEvents.onLink(event);
      if (event.kind === 'link-up')
        this.messageHandler.sendInitialState(event.vm);
      this.routes.onChanged();
    });
    void this.vmList.changes.observe(() => this.connectPeers());
    void periodic(HOUSEKEEPING_INTERVAL_MS)
      .takeWhile(() => !this.isClosed)
      .observe(() => this.runHousekeeping());
    void periodic(LOAD_REPORT_INTERVAL_MS)
      .takeWhile(() => !this.isClosed)
      .observe(() => this.reportLoads());
  }

  private runHousekeeping(): void {
    void this.snapshots.step();
    this.daemonMetrics.closeWindowIfDue();
    this.peerEvents.check(this.mesh.peers());
    // During a log outage, a peer that has read further supplies the state.
    if (this.log.isAvailable) return;
    const newestPeer = this.mesh
      .peers()
      .filter(peer => peer.connected && peer.offset > this.state.offset)
      .sort((a, b) => b.offset - a.offset)[0];
    if (newestPeer) this.mesh.send(newestPeer.vm, {kind: 'state-request'});
  }

  private reportLoads(): void {
    reportLoads({
      vm: this.vm,
      state: () => this.state,
      zoneOf: server => this.routes.server(server)?.zone ?? null,
      loads: () => this.dispatcher.loads(),
      send: (vm, message) => this.messageHandler.send(vm, message),
    });
  }

  private connectPeers(): void {
    const listed = [...this.vmList.vms.values()]
      .filter(vm => vm.role === 'entry' && vm.id !== this.settings.vm.id)
      .map(vm => parseAddress(vm.address))
      .filter(address => address !== null);
    this.mesh.setPeers([...this.settings.peers.seeds, ...listed]);
  }

  private createMetrics(): DaemonMetrics {
    return new DaemonMetrics(this.metrics, {
      clock: this.clock,
      serverUsages: () => this.dispatcher.serverUsages(),
      logAvailable: () => this.log.isAvailable,
      offset: () => this.state.offset,
      peersConnected: () =>
        this.mesh.peers().filter(peer => peer.connected).length,
    });
  }

  private createMesh(): PeerMesh {
    const {vm, relay, peer, trust} = this.settings;
    let seq = 0;
    return new PeerMesh({
      deployment: vm.deployment,
      vm: this.vm,
      zone: vm.zone,
      bootId: this.bootId,
      capacity: vm.capacity,
      relayHost: relay.host,
      relayPort: relay.port,
      host: peer.host,
      port: peer.port,
      secret: trust.deploymentSecret,
      clock: this.clock,
      heartbeat: () => ({
        kind: 'heartbeat',
        vm: this.vm,
        zone: vm.zone,
        seq: (seq += 1),
        offset: this.state.offset,
        draining: this.draining,
        capacity: vm.capacity,
      }),
    });
  }

  private createRoster(): PeerRoster {
    const {vm, relay} = this.settings;
    return new PeerRoster({
      self: {
        vm: this.vm,
        zone: vm.zone,
        capacity: vm.capacity,
        relayHost: relay.host,
        relayPort: relay.port,
        draining: () => this.draining,
      },
      mesh: this.mesh,
      vmList: this.vmList,
      clock: this.clock,
    });
  }

  private createRunner(): AssignerRunner {
    const {roster, servers, log} = this;
    const observedSinceMs = this.startedAtMs + OBSERVE_BEFORE_ELECTION_MS;
    return new AssignerRunner({
      vm: this.vm,
      zone: this.settings.vm.zone,
      clock: this.clock,
      longestDeadlineMs: service =>
        this.routes.service(service)?.longestDeadlineMs ?? MAX_DEADLINE_MS,
      observedSinceMs: () =>
        this.clock.monotonicMs() < observedSinceMs ? null : observedSinceMs,
      draining: () => this.draining,
      onPause: gapMs => roster.recordPause(gapMs),
      state: () => this.state,
      logAvailable: () => log.isAvailable,
      logConfirmedAtMs: () => log.confirmedAtMs,
      entriesOf: zone => roster.entriesOf(zone),
      knownEntriesOf: zone => roster.knownIn(zone),
      removedEntries: () => roster.removed(),
      electionPeers: () => roster.otherEntries(),
      removedServers: () => this.vmList.removedIds,
      lease: (server, request) => servers.lease(server, request),
      callStatus: server => servers.callStatus(server),
      append: record => log.append(record),
      appendUntilKnown: (record, isFolded) =>
        log.appendUntilKnown(record, isFolded),
      send: (vm, message) => this.messageHandler.send(vm, message),
      publishTable: table => this.messageHandler.publishTable(table),
      emit: event => this.emit(event),
      leaseMeter: this.daemonMetrics,
    });
  }

  private createMessageHandler(): PeerMessageHandler {
    const {replica, directory, routes, dispatcher, permissions} = this;
    return new PeerMessageHandler({
      vm: this.vm,
      clock: this.clock,
      replica,
      directory,
      routes,
      dispatcher,
      permissions,
      runner: this.runner,
      sendRemote: (vm: string, message: PeerMessage) => {
        const sent = this.mesh.send(vm, message);
        if (!sent && REPORTED_WHEN_LOST.has(message.kind)) {
          this.emit({
            kind: 'message-not-sent',
            fields: {to: vm, message: message.kind},
          });
        }
      },
      broadcast: (message: PeerMessage) => {
        this.mesh.broadcast(message);
      },
      onLoads: ({servers}) => this.imbalance.addReport(servers),
    });
  }

  private createSnapshotWriter(): SnapshotWriter {
    return new SnapshotWriter({
      vm: this.vm,
      clock: this.clock,
      intervalMs: this.settings.log.snapshotIntervalMs,
      state: () => this.state,
      image: () => this.replica.image(),
      ownZones: () => this.runner.zones,
      logAvailable: () => this.log.isAvailable,
      append: record => this.log.append(record),
    });
  }

  private createEntryHandler(): EntryHandler {
    return new EntryHandler({
      routes: this.routes,
      clock: this.clock,
      local: this.dispatcher,
      relay: this.relayClient,
      random: Math.random,
      meter: this.requestMeter,
    });
  }

  private createOperatorServer(): OperatorServer {
    const {vm, operator} = this.settings;
    const source = new OperatorView({
      deployment: vm.deployment,
      vm: this.vm,
      zone: vm.zone,
      bootId: this.bootId,
      clock: this.clock,
      hasher: this.hasher,
      state: () => this.state,
      directory: this.directory,
      log: this.log,
      mesh: this.mesh,
      timeline: this.timeline,
      metrics: this.metrics,
      draining: () => this.draining,
      originOf: (...shard) => this.replica.originOf(...shard),
      leavingProgress: () => this.runner.progress(),
    });
    return new OperatorServer({...operator, source});
  }
}

/** Thrown when the port for peers or operators cannot be opened. */
export class PortError extends Error {
  /**
   * @param failure - Why the port cannot be opened.
   */
  constructor(readonly failure: WisteriarunError) {
    super(describeError(failure));
    this.name = 'PortError';
  }
}

function delay(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Parses the address `host:port` of a VM; null when it is malformed. */
function parseAddress(text: string): {host: string; port: number} | null {
  const colon = text.lastIndexOf(':');
  const port = Number(text.slice(colon + 1));
  if (colon < 1 || !Number.isInteger(port) || port < 1) return null;
  return {host: text.slice(0, colon), port};
}
