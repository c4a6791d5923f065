/** The gateway process; one runs on each VM. */
import {Admission, StopSchedule} from '@wisteriarun/core';
import type {
  GatewayCodec,
  GatewayHeaders,
  GatewayServer,
  KeyedLog,
  KeyGranter,
  VmState,
} from '@wisteriarun/core';
import {Metrics, StallWatch} from '@wisteriarun/runtime';
import type {Clock, Logger} from '@wisteriarun/runtime';
import {CrashWatch} from './entry/crash-watch.js';
import {CallerIngress, StatusIngress} from './entry/ingress.js';
import {LoadMeter} from './entry/load-meter.js';
import {RequestHandler} from './entry/request-handler.js';
import {RequestLog} from './entry/request-log.js';
import {RequestMeter} from './entry/request-meter.js';
import {ServerSelector} from './entry/server-selector.js';
import {ServerPool} from './entry/server-pool.js';
import {Coordinator} from './ownership/coordinator.js';
import {OwnerView} from './ownership/owner-view.js';
import {OwnershipLog} from './ownership/ownership-log.js';
import {PeerServer} from './ownership/peer-server.js';
import type {GatewaySettings} from './settings.js';
import {BundleHolder} from './store/bundle-holder.js';
import {LogFollower} from './store/log-follower.js';
import {MeteredLog} from './store/metered-log.js';
import {ServerDirectory} from './store/server-directory.js';
import {delay} from './utils/delay.js';
import type {ListenOptions} from './utils/listen.js';

/**
 * Longest wait of one long poll for bundles, as a share of the `config` setting,
 * the time within which a new bundle (version of the configuration) must be in
 * force. If the store does not end the poll when a bundle is appended, the next
 * poll must still bring the bundle in time.
 */
const BUNDLE_LONG_POLL_RATIO = 0.7;
/**
 * The same share for the assigner, the VM that assigns key ranges to servers. The
 * other VMs rely on its reads.
 */
const ASSIGNER_LONG_POLL_RATIO = 0.35;
/**
 * Age of the assigner's last read of bundles, as a share of the `config` setting,
 * above which a VM reads them itself.
 */
const MAX_BUNDLE_AGE_RATIO = 0.5;
/**
 * Time for which a server may hold the keys of one grant without a renewal. The
 * setting `hold_max` may shorten it.
 */
const GRANT_HOLD_MS = 4_000;
/**
 * Interval between reads of the `servers` log, as a share of the `drain` setting, and age
 * of the assigner's last read above which a VM reads it itself.
 */
const SERVER_POLL_RATIO = 0.4;
/**
 * Time for which a draining owner still gets requests, as a share of the `drain` setting.
 * It counts from the last time at which the VM knew that the owner was not draining; the
 * rest is for the way to the server.
 */
const DRAINING_OWNER_RATIO = 0.7;
/**
 * Time since the last read of the `servers` log after which it is read anew: later
 * records describe what this VM may know from the assigner to be out of date.
 */
const MAX_SERVERS_GAP_MS = 2_000;
/** Bundles are read on from the last one, however long ago: a large one takes long. */
const MAX_BUNDLE_GAP_MS = Infinity;
/** Interval between reads of the `servers` log at the assigner. */
const ASSIGNER_SERVER_POLL_MS = 200;
/** Shortest interval between load reports to the assigner. */
const REPORT_INTERVAL_MS = 250;
/** Longest interval between load reports to the assigner. */
const MAX_REPORT_INTERVAL_MS = 1_000;
/** Load reports that all VMs together send to the assigner in a second. */
const MAX_REPORTS_PER_SECOND = 200;
const MS_PER_S = 1_000;
/** Share of the retry budget of all VMs that the gateways use. */
const RETRY_BUDGET_SHARE = 0.7;
/**
 * Time after the stop signal during which new connections are still accepted: the
 * load balancer notices about a second later that the VM is not ready, and sends
 * requests until then. After this time, no connection is accepted and idle ones
 * are closed.
 */
const ACCEPT_AFTER_STOP_MS = 2_600;
/** Interval at which a stopping process checks for requests in flight. */
const STOP_POLL_MS = 50;

/** Interfaces to the systems outside the gateway. */
export interface GatewayPorts {
  readonly log: KeyedLog;
  readonly granter: KeyGranter;
  readonly codec: GatewayCodec;
  readonly headers: GatewayHeaders;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Creates and connects the components of the process, and runs them. */
export class Gateway {
  readonly #metrics = new Metrics();
  readonly #pool = new ServerPool();
  readonly #owners = new OwnerView();
  readonly #loadMeter = new LoadMeter();
  readonly #admission = new Admission();
  readonly #stopSchedule = new StopSchedule();
  readonly #log: MeteredLog;
  readonly #bundleFollower: LogFollower;
  readonly #serverFollower: LogFollower;
  readonly #bundles: BundleHolder;
  readonly #directory: ServerDirectory;
  readonly #peerServer: PeerServer;
  readonly #coordinator: Coordinator;
  readonly #handler: RequestHandler;
  readonly #callerIngress: CallerIngress;
  readonly #statusIngress: StatusIngress;
  readonly #stallWatch: StallWatch;
  readonly #crashWatch: CrashWatch;
  #reportTimer: NodeJS.Timeout | null = null;
  #nextReportAtMs = 0;
  /** Resolves when the process may end; null until `stop` is called. */
  #stopped: Promise<void> | null = null;

  /**
   * @param settings - Validated settings.
   * @param ports - Interfaces to the systems outside the gateway.
   */
  constructor(
    private readonly settings: GatewaySettings,
    private readonly ports: GatewayPorts,
  ) {
    const {granter, codec, headers, clock, logger} = ports;
    const log = new MeteredLog(ports.log, this.#metrics, logger);
    this.#log = log;
    this.#stallWatch = new StallWatch(clock, ports.logger);
    this.#crashWatch = new CrashWatch(logger);
    this.#bundleFollower = new LogFollower(
      log,
      'bundles',
      {
        waitMs: () => this.#bundleLongPollMs(),
        pauseMs: () => 0,
        isNeeded: () => this.#isBundleReadNeeded(),
        maxGapMs: MAX_BUNDLE_GAP_MS,
      },
      clock,
      logger,
    );
    this.#serverFollower = new LogFollower(
      log,
      'servers',
      {
        waitMs: () => 0,
        pauseMs: () => this.#serverPollMs(),
        isNeeded: () =>
          this.#coordinator.assignerReads.serversAgeMs > this.#serverPollMs(),
        maxGapMs: MAX_SERVERS_GAP_MS,
      },
      clock,
      logger,
    );
    this.#bundles = new BundleHolder(this.#bundleFollower, codec, logger);
    this.#directory = new ServerDirectory(
      this.#serverFollower,
      codec,
      clock,
      logger,
      () => this.#serversKnownAtMs(),
    );
    this.#peerServer = new PeerServer(logger);
    this.#coordinator = new Coordinator({
      log: new OwnershipLog(log, clock, logger),
      owners: this.#owners,
      crashes: this.#crashWatch,
      admission: this.#admission,
      directory: this.#directory,
      bundles: this.#bundles,
      granter,
      peers: this.#peerServer,
      clock,
      logger,
      holdMs: Math.min(GRANT_HOLD_MS, settings.holdMaxMs),
      vm: settings.vm.id,
      meanWorkMs: service => this.#loadMeter.meanWorkMs(service),
      readProgress: () => ({
        serversAgeMs: this.#serverFollower.ageMs,
        bundlesAgeMs: this.#bundleFollower.ageMs,
        bundlesOffset: this.#bundleFollower.offset ?? 0,
      }),
      zone: settings.vm.zone,
      strength: settings.strength,
      serversOffset: () => this.#serverFollower.offset ?? undefined,
      peerAddress: `${settings.vm.host}:${settings.peerPort}`,
    });
    this.#handler = new RequestHandler({
      bundles: this.#bundles,
      owners: this.#owners,
      serverSelector: new ServerSelector(
        this.#directory,
        this.#owners,
        this.#pool,
        settings.vm.zone,
        settings.drainMs * DRAINING_OWNER_RATIO,
        this.#admission,
      ),
      loadMeter: this.#loadMeter,
      meter: new RequestMeter(this.#metrics, clock),
      log: new RequestLog(logger, clock),
      headerNames: headers,
      clock,
      stallWatch: this.#stallWatch,
      stopSchedule: this.#stopSchedule,
      crashes: this.#crashWatch,
      reportLeaving: server => this.#reportLeaving(server),
      shareCrashes: records => this.#coordinator.shareCrashes(records),
    });
    this.#callerIngress = new CallerIngress(
      (request, response) =>
        this.#handler.handle(request, response).catch((error: unknown) => {
          const cause = error instanceof Error ? error.stack : String(error);
          logger.error('request-failed', {cause});
          response.destroy();
        }),
      this.#stallWatch,
    );
    this.#statusIngress = new StatusIngress(
      {
        isReady: () => this.isReady,
        metrics: () => this.#metrics.render(),
        state: () => this.#state(),
      },
      this.#listenOptions,
    );
    void this.#directory.changes.stream.observe(change =>
      this.#coordinator.shareCrashes(
        this.#crashWatch.handleServerChange(change, clock.monotonicMs()),
      ),
    );
    void this.#bundles.changes.stream.observe(({bundle, offset}) => {
      this.#callerIngress.setLimits(bundle.limits);
      this.#bundleFollower.skipTo(offset + 1);
    });
  }

  /** Whether the load balancer should send new connections. */
  get isReady(): boolean {
    if (this.#stopped !== null || this.#bundles.bundle === null) return false;
    // Whether any service has keys; only then the VM needs their owners.
    const isKeyed = this.#bundles.bundle.services.some(({isKeyed}) => isKeyed);
    return this.#directory.isLoaded && (!isKeyed || this.#owners.isLoaded);
  }

  /**
   * Starts all components.
   *
   * @returns Resolves when all listeners are open.
   */
  async start(): Promise<void> {
    const {settings} = this;
    const {host} = settings.vm;
    await Promise.all([
      this.#callerIngress.listen(settings.callersAddress, this.#listenOptions),
      this.#statusIngress.listenReadiness(settings.readinessAddress),
      this.#statusIngress.listenMetrics(`${host}:${settings.metricsPort}`),
      this.#peerServer.listen(host, settings.peerPort, this.#listenOptions),
    ]);
    this.#bundleFollower.start();
    this.#serverFollower.start();
    this.#coordinator.start();
    this.#reportTimer = setInterval(
      () => this.#reportLoad(),
      REPORT_INTERVAL_MS,
    );
    this.ports.logger.info('started', {callers: settings.callersAddress});
  }

  /**
   * Stops gracefully: requests in flight may run until shortly before the end of
   * the grace period, and are answered then. Further calls change nothing.
   *
   * @returns Resolves when the process may end.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const {clock, logger} = this.ports;
    const startedAtMs = clock.monotonicMs();
    const schedule = this.#stopSchedule;
    schedule.begin(this.settings.graceMs, startedAtMs);
    this.#callerIngress.startDraining();
    // Not awaited: without the log, the coordinator may take longer than the
    // grace period to resign.
    void this.#coordinator.retire();
    await delay(startedAtMs + ACCEPT_AFTER_STOP_MS - clock.monotonicMs());
    this.#callerIngress.stopAccepting();
    await this.#waitForRequests(schedule.breaksOffAtMs);
    const brokenOff = this.#handler.breakOffAll();
    await this.#waitForRequests(schedule.endsAtMs);
    logger.info('stopped', {
      broken_off: brokenOff,
      in_flight: this.#callerIngress.inFlight,
      took_ms: Math.round(clock.monotonicMs() - startedAtMs),
    });
    this.close();
  }

  /** Waits until no request is in flight, but no longer than until a time. */
  async #waitForRequests(untilMs: number): Promise<void> {
    const {clock} = this.ports;
    while (this.#callerIngress.inFlight > 0 && clock.monotonicMs() < untilMs) {
      await delay(
        Math.min(STOP_POLL_MS, Math.max(1, untilMs - clock.monotonicMs())),
      );
      this.#callerIngress.closeIdle();
    }
  }

  /** Closes all components at once, without waiting for requests in flight. */
  close(): void {
    if (this.#reportTimer !== null) clearInterval(this.#reportTimer);
    this.#stallWatch.close();
    this.#coordinator.close();
    this.#bundleFollower.close();
    this.#serverFollower.close();
    this.#directory.close();
    this.#bundles.close();
    this.#peerServer.close();
    this.#callerIngress.close();
    this.#statusIngress.close();
    this.#pool.close();
    this.ports.granter.close();
    this.#log.close();
  }

  /** A former process of this VM uses its ports until its grace period is over. */
  get #listenOptions(): ListenOptions {
    return {waitMs: this.settings.graceMs, logger: this.ports.logger};
  }

  #state(): VmState {
    const {settings, ports} = this;
    const {assignerReads, isAssigner, assigner} = this.#coordinator;
    const ageMs = (follower: LogFollower, assignerAgeMs: number) => {
      const leastAgeMs = Math.min(follower.ageMs, assignerAgeMs);
      return Number.isFinite(leastAgeMs) ? Math.round(leastAgeMs) : null;
    };
    return {
      vm: settings.vm.id,
      zone: settings.vm.zone,
      wallTimeMs: ports.clock.wallMs(),
      isReady: this.isReady,
      bundle: this.#bundles.bundle?.version ?? null,
      isAssigner,
      assigner,
      term: this.#owners.term,
      revision: this.#owners.revision,
      serversAgeMs: ageMs(this.#serverFollower, assignerReads.serversAgeMs),
      bundlesAgeMs: ageMs(this.#bundleFollower, assignerReads.bundlesAgeMs),
      requestsInFlight: this.#callerIngress.inFlight,
      ranges: this.#owners.all(),
      servers: [...this.#directory.registry.servers.values()],
    };
  }

  #reportLeaving({id, bornMs}: GatewayServer): void {
    if (!this.#directory.markLeaving(id, bornMs)) return;
    this.ports.logger.info('server-leaving', {server: id, born_ms: bornMs});
    const server = this.#directory.registry.find(id);
    if (server !== null) this.#coordinator.reportLeaving(server);
  }

  #serverPollMs(): number {
    return this.#coordinator.isAssigner
      ? ASSIGNER_SERVER_POLL_MS
      : this.settings.drainMs * SERVER_POLL_RATIO;
  }

  /** Time up to which all changes of servers are known, by any way. */
  #serversKnownAtMs(): number {
    const nowMs = this.ports.clock.monotonicMs();
    const {serversAgeMs} = this.#coordinator.assignerReads;
    return Math.max(this.#serverFollower.readAtMs, nowMs - serversAgeMs);
  }

  /** Wait that ends while the last read is still recent enough. */
  #bundleLongPollMs(): number {
    const ratio = this.#coordinator.isAssigner
      ? ASSIGNER_LONG_POLL_RATIO
      : BUNDLE_LONG_POLL_RATIO;
    const longestMs = this.settings.configMs * ratio;
    return Math.max(0, longestMs - this.#bundleFollower.ageMs);
  }

  /**
   * Whether this VM must read bundles itself. The assigner reports to the other
   * VMs when and up to which offset it has read. A VM reads the log itself if the
   * assigner's last read is too old, or to fetch the records up to that offset.
   */
  #isBundleReadNeeded(): boolean {
    const {bundlesAgeMs, bundlesOffset} = this.#coordinator.assignerReads;
    return (
      bundlesAgeMs > this.settings.configMs * MAX_BUNDLE_AGE_RATIO ||
      bundlesOffset > (this.#bundleFollower.offset ?? 0)
    );
  }

  /**
   * Sends the load report. At the same interval it also updates the retry limits,
   * which depend on the number of VMs, closes unused connections to servers, and
   * withdraws requests from servers that have been draining for too long.
   */
  #reportLoad(): void {
    const {retryRatio, retrySlack} = this.settings;
    const vmCount = Math.max(1, this.#owners.vmCount);
    const nowMs = this.ports.clock.monotonicMs();
    this.#handler.budgets.setLimits(
      retryRatio * RETRY_BUDGET_SHARE,
      (retrySlack * RETRY_BUDGET_SHARE) / vmCount,
    );
    this.#pool.closeUnused(nowMs);
    this.#handler.withdrawUnsent();
    if (nowMs < this.#nextReportAtMs) return;
    this.#nextReportAtMs = nowMs + reportIntervalMs(vmCount);
    const report = this.#loadMeter.takeReport();
    if (report !== null) this.#coordinator.report(report);
  }
}

/**
 * Interval between the load reports of one VM. The more VMs there are, the fewer
 * each sends, up to a limit: the assigner must see the load of hot keys in time.
 */
function reportIntervalMs(vmCount: number): number {
  const intervalMs = (vmCount * MS_PER_S) / MAX_REPORTS_PER_SECOND;
  return Math.min(
    MAX_REPORT_INTERVAL_MS,
    Math.max(REPORT_INTERVAL_MS, intervalMs),
  );
}
