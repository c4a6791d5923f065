/** The gateway process: one on each entry VM. */
import {Admission} from '@wisteriarun/core';
import type {
  GatewayCodec,
  GatewayHeaders,
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
import {ServerDirectory} from './store/server-directory.js';
import {delay} from './utils/delay.js';

/**
 * Wait of a read of bundles, as a share of the time within which they are in
 * force: a wake-up that is missed must not exceed it.
 */
const BUNDLE_WAIT_RATIO = 0.7;
/** The same for the assigner, on whose reads the other VMs rely. */
const ASSIGNER_BUNDLE_WAIT_RATIO = 0.35;
/** Age of the assigner's read of bundles at which a VM reads them itself. */
const BUNDLE_AGE_RATIO = 0.5;
/** Time of one grant of keys. */
const HOLD_MS = 4_000;
/** Share of the drain bound after which servers are looked up again. */
const DIRECTORY_PAUSE_RATIO = 0.4;
/** Share of the drain bound for which a leaving owner still gets requests. */
const LEAVE_RATIO = 0.3;
/** Pause of the assigner between two look-ups of servers. */
const ASSIGNER_PAUSE_MS = 200;
/** Interval of load reports. */
const REPORT_INTERVAL_MS = 250;
/** Share of the common retry budget that is used. */
const BUDGET_USE = 0.7;
/** Time after the stop signal until idle connections are closed. */
const LEAVE_MS = 2_600;
/** Time before the end of the grace period at which the process ends. */
const GRACE_MARGIN_MS = 400;
/** Interval at which a stopping process looks for requests in flight. */
const STOP_POLL_MS = 50;

/** Outside systems of the gateway. */
export interface GatewayPorts {
  readonly log: KeyedLog;
  readonly granter: KeyGranter;
  readonly codec: GatewayCodec;
  readonly headers: GatewayHeaders;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** All parts of the process. */
export class Gateway {
  readonly #metrics = new Metrics();
  readonly #pool = new ServerPool();
  readonly #owners = new OwnerView();
  readonly #loads = new LoadMeter();
  readonly #admission = new Admission();
  readonly #bundleFollower: LogFollower;
  readonly #serverFollower: LogFollower;
  readonly #bundles: BundleHolder;
  readonly #directory: ServerDirectory;
  readonly #peers: PeerServer;
  readonly #coordinator: Coordinator;
  readonly #handler: RequestHandler;
  readonly #callers: CallerIngress;
  readonly #status: StatusIngress;
  readonly #stalls: StallWatch;
  readonly #crashes: CrashWatch;
  #reportTimer: NodeJS.Timeout | null = null;
  #isStopping = false;

  /**
   * @param settings - Checked settings.
   * @param ports - Outside systems.
   */
  constructor(
    private readonly settings: GatewaySettings,
    private readonly ports: GatewayPorts,
  ) {
    const {log, granter, codec, headers, clock, logger} = ports;
    this.#stalls = new StallWatch(clock, ports.logger);
    this.#crashes = new CrashWatch(logger);
    this.#bundleFollower = new LogFollower(
      log,
      'bundles',
      {
        waitMs: () => this.#bundleWaitMs(),
        pauseMs: () => 0,
        isNeeded: () => this.#isBundleReadNeeded(),
      },
      clock,
      logger,
    );
    this.#serverFollower = new LogFollower(
      log,
      'servers',
      {
        waitMs: () => 0,
        pauseMs: () => this.#directoryPauseMs(),
        isNeeded: () =>
          this.#coordinator.assignerReads.serversAgeMs >
          this.#directoryPauseMs(),
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
    );
    this.#peers = new PeerServer(logger);
    this.#coordinator = new Coordinator({
      log: new OwnershipLog(log, logger),
      owners: this.#owners,
      crashes: this.#crashes,
      admission: this.#admission,
      directory: this.#directory,
      bundles: this.#bundles,
      granter,
      peers: this.#peers,
      clock,
      logger,
      holdMs: Math.min(HOLD_MS, settings.holdMaxMs),
      vm: settings.vm.id,
      readState: () => ({
        serversAgeMs: this.#serverFollower.ageMs,
        bundlesAgeMs: this.#bundleFollower.ageMs,
        bundlesOffset: this.#bundleFollower.offset ?? 0,
      }),
      zone: settings.vm.zone,
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
        settings.drainMs * LEAVE_RATIO,
        this.#admission,
      ),
      loadMeter: this.#loads,
      meter: new RequestMeter(this.#metrics, clock),
      log: new RequestLog(logger, clock),
      headerNames: headers,
      clock,
      stallWatch: this.#stalls,
      crashes: this.#crashes,
      shareCrashes: records => this.#coordinator.shareCrashes(records),
    });
    this.#callers = new CallerIngress(
      (request, response) =>
        this.#handler.handle(request, response).catch((error: unknown) => {
          const cause = error instanceof Error ? error.stack : String(error);
          logger.error('request-failed', {cause});
          response.destroy();
        }),
      this.#stalls,
    );
    this.#status = new StatusIngress({
      isReady: () => this.isReady,
      metrics: () => this.#metrics.render(),
      state: () => this.#state(),
    });
    void this.#directory.changes.stream.observe(change =>
      this.#coordinator.shareCrashes(
        this.#crashes.handleServerChange(change, clock.monotonicMs()),
      ),
    );
    void this.#bundles.changes.stream.observe(({limits}) =>
      this.#callers.setLimits(limits),
    );
  }

  /** Whether new connections of callers are welcome. */
  get isReady(): boolean {
    if (this.#isStopping || this.#bundles.bundle === null) return false;
    const isKeyed = this.#bundles.bundle.services.some(({isKeyed}) => isKeyed);
    return this.#directory.isLoaded && (!isKeyed || this.#owners.isLoaded);
  }

  /**
   * Starts all parts.
   *
   * @returns Resolves when all listeners are open.
   */
  async start(): Promise<void> {
    const {settings} = this;
    const {host} = settings.vm;
    await Promise.all([
      this.#callers.listen(settings.callersAddress),
      this.#status.listenReadiness(settings.readinessAddress),
      this.#status.listenMetrics(`${host}:${settings.metricsPort}`),
      this.#peers.listen(host, settings.peerPort),
    ]);
    this.#bundleFollower.start();
    this.#serverFollower.start();
    this.#coordinator.start();
    this.#reportTimer = setInterval(() => this.#report(), REPORT_INTERVAL_MS);
    this.ports.logger.info('started', {callers: settings.callersAddress});
  }

  /**
   * Stops gracefully: no request in flight is cut before the grace period
   * ends.
   *
   * @returns Resolves when the process may end.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const {clock, logger} = this.ports;
    const startedAtMs = clock.monotonicMs();
    const endAtMs = startedAtMs + this.settings.graceMs - GRACE_MARGIN_MS;
    this.#callers.startDraining();
    // Without the log a resignation may take longer than the grace period.
    void this.#coordinator.retire();
    await delay(startedAtMs + LEAVE_MS - clock.monotonicMs());
    this.#callers.stopAccepting();
    while (this.#callers.inFlight > 0 && clock.monotonicMs() < endAtMs) {
      await delay(STOP_POLL_MS);
      this.#callers.closeIdle();
    }
    logger.info('stopped', {
      in_flight: this.#callers.inFlight,
      took_ms: Math.round(clock.monotonicMs() - startedAtMs),
    });
    this.close();
  }

  /** Closes everything at once. */
  close(): void {
    if (this.#reportTimer !== null) clearInterval(this.#reportTimer);
    this.#stalls.close();
    this.#coordinator.close();
    this.#bundleFollower.close();
    this.#serverFollower.close();
    this.#directory.close();
    this.#bundles.close();
    this.#peers.close();
    this.#callers.close();
    this.#status.close();
    this.#pool.close();
    this.ports.granter.close();
    this.ports.log.close();
  }

  #state(): VmState {
    const {settings, ports} = this;
    const {assignerReads, isAssigner, assigner} = this.#coordinator;
    const ageMs = (own: LogFollower, passedOnMs: number) => {
      const least = Math.min(own.ageMs, passedOnMs);
      return Number.isFinite(least) ? Math.round(least) : null;
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
      requestsInFlight: this.#callers.inFlight,
      ranges: this.#owners.all(),
      servers: [...this.#directory.registry.servers.values()],
    };
  }

  #directoryPauseMs(): number {
    return this.#coordinator.isAssigner
      ? ASSIGNER_PAUSE_MS
      : this.settings.drainMs * DIRECTORY_PAUSE_RATIO;
  }

  #bundleWaitMs(): number {
    const ratio = this.#coordinator.isAssigner
      ? ASSIGNER_BUNDLE_WAIT_RATIO
      : BUNDLE_WAIT_RATIO;
    return this.settings.configMs * ratio;
  }

  /** The assigner tells the other VMs how far it has read. */
  #isBundleReadNeeded(): boolean {
    const {bundlesAgeMs, bundlesOffset} = this.#coordinator.assignerReads;
    return (
      bundlesAgeMs > this.settings.configMs * BUNDLE_AGE_RATIO ||
      bundlesOffset > (this.#bundleFollower.offset ?? 0)
    );
  }

  #report(): void {
    const {retryRatio, retrySlack} = this.settings;
    const vmCount = Math.max(1, this.#owners.vmCount);
    this.#handler.budgets.setLimits(
      retryRatio * BUDGET_USE,
      (retrySlack * BUDGET_USE) / vmCount,
    );
    this.#pool.closeUnused(this.ports.clock.monotonicMs());
    const report = this.#loads.takeReport();
    if (report !== null) this.#coordinator.report(report);
  }
}
