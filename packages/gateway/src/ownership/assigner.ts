/** Assigns the key ranges of all services while this VM is the assigner. */
import {HoldLedger, initialRanges} from '@wisteriarun/core';
import type {
  Admission,
  GatewayMessage,
  GatewayServer,
  GatewayService,
  KeyGranter,
  OwnershipRecord,
  RangeOwner,
} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import type {BundleHolder} from '../store/bundle-holder.js';
import type {ServerChange, ServerDirectory} from '../store/server-directory.js';
import type {PeerServer} from './peer-server.js';
import {AddressBook} from './address-book.js';
import {Authority, AUTHORITY_MS} from './authority.js';
import {Balancer} from './balancer.js';
import {cutRange, RangeMover} from './range-mover.js';
import type {MoveReason} from './range-mover.js';
import {Renewals} from './renewals.js';
import {ServerReachability} from './server-reachability.js';
import type {TablePublisher} from './table-publisher.js';

/** Interval of the assigner's checks. */
const TICK_MS = 100;
/** Interval of heartbeats to the other VMs. */
const HEARTBEAT_MS = 300;
/**
 * Interval at which the table is appended to the log even if unchanged. Each
 * append extends the time during which grants may be sent, and shows a VM without
 * a link that the assigner is live.
 */
const APPEND_INTERVAL_MS = 600;
/**
 * Time without a change of the servers after which the ranges of a service are
 * assigned for the first time.
 */
const INITIAL_QUIET_MS = 600;
/** Time without an append after which heartbeats report the log as lost. */
const LOG_LOST_MS = 1_000;
/**
 * Age from which the list of servers is too old to show whether a server is
 * live.
 */
const SERVERS_STALE_MS = 800;
/**
 * Time between the first two periodic attempts to append the table; it doubles with
 * each failure.
 */
const APPEND_RETRY_MS = 200;
/** Longest time between two periodic attempts to append the table. */
const MAX_APPEND_RETRY_MS = 800;

/** How far a VM has read the platform's logs. */
export interface LogReadProgress {
  /** Time since the last read of the log of servers. */
  readonly serversAgeMs: number;
  /** Time since the last read of the log of bundles. */
  readonly bundlesAgeMs: number;
  /** Offset of the next record to read in the log of bundles. */
  readonly bundlesOffset: number;
}

/** Dependencies of the assigner. */
export interface AssignerDependencies {
  readonly publisher: TablePublisher;
  readonly directory: ServerDirectory;
  readonly bundles: BundleHolder;
  readonly granter: KeyGranter;
  readonly peers: PeerServer;
  /** Limits the requests that this VM sends to overloaded servers. */
  readonly admission: Admission;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time for which one grant lets a server hold keys. */
  readonly holdMs: number;
  /** Id of this VM. */
  readonly vm: string;
  /** Average service time of the requests for keys of a service. */
  meanWorkMs(service: string): number;
  /** How far this VM has read the logs. */
  readProgress(): LogReadProgress;
}

/** A range that has to move away from its owner. */
interface Evacuation {
  readonly range: RangeOwner;
  readonly reason: MoveReason;
}

/**
 * Decides which server owns each key range, grants the ranges to their owners
 * and renews the grants. Exists for one term.
 */
export class Assigner {
  readonly #ledger = new HoldLedger();
  readonly #reachability = new ServerReachability();
  readonly #balancer: Balancer;
  readonly #authority: Authority;
  readonly #addresses = new AddressBook();
  readonly #mover: RangeMover;
  readonly #renewals: Renewals;
  readonly #timer: NodeJS.Timeout;
  #serversChangedAtMs: number;
  #heartbeatAtMs = 0;
  #appendTriedAtMs = 0;
  #appendRetryMs = APPEND_RETRY_MS;
  #isClosed = false;

  /**
   * Takes over the table of the last record.
   *
   * @param dependencies - Dependencies of the assigner.
   * @param formerRecord - Last record of the former assigner; null when there
   * was none.
   * @param onStepDown - Called when another VM has been elected.
   */
  constructor(
    private readonly dependencies: AssignerDependencies,
    formerRecord: OwnershipRecord | null,
    private readonly onStepDown: () => void,
  ) {
    const {publisher, clock, logger, holdMs, granter, directory} = dependencies;
    const nowMs = clock.monotonicMs();
    this.#serversChangedAtMs = nowMs;
    this.#authority = new Authority(publisher, clock, logger);
    this.#balancer = new Balancer(dependencies, this.#reachability);
    this.#mover = new RangeMover({
      publisher,
      granter,
      ledger: this.#ledger,
      reachability: this.#reachability,
      clock,
      logger,
      holdMs,
      findEligible: server => this.#findEligible(server),
      addressOf: server => this.#addresses.find(server),
      place: range => {
        const [move] = this.#balancer.planner(range.service).place([range]);
        return move === undefined ? null : this.#findEligible(move.to);
      },
      mayGrant: () => this.#authority.mayGrant,
      waitForRenewals: server => this.#renewals.waitForRenewals(server),
    });
    this.#renewals = new Renewals(
      this.#mover,
      clock,
      logger,
      holdMs,
      (server, sinceMs) =>
        directory.describedAtMs(server) > sinceMs ||
        dependencies.readProgress().serversAgeMs > SERVERS_STALE_MS,
    );
    for (const server of directory.registry.servers.values()) {
      this.#addresses.record(server);
    }
    if (formerRecord !== null) this.#takeOver(formerRecord, nowMs);
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#tick();
  }

  /**
   * Adds a load report.
   *
   * @param report - Report of a VM.
   */
  addLoad(report: Extract<GatewayMessage, {kind: 'load'}>): void {
    this.#balancer.addLoad(report);
  }

  /**
   * Reacts to a server that was added, changed or removed.
   *
   * @param change - The change, which is sent to the other VMs too.
   */
  serversChanged(change: ServerChange): void {
    const {clock, peers} = this.dependencies;
    peers.broadcast(change);
    if (change.kind === 'server') {
      const {server} = change;
      this.#addresses.record(server);
      this.#endReplacedServers(server);
    }
    this.#serversChangedAtMs = clock.monotonicMs();
    this.#tick();
  }

  /**
   * Resigns if the log accepted an append a short time ago. Without the log no
   * other VM could be elected, so this one must go on renewing the grants.
   *
   * @returns Whether the term is over; otherwise the caller should try again.
   */
  async resign(): Promise<boolean> {
    const {publisher, clock} = this.dependencies;
    const silentMs = clock.monotonicMs() - publisher.appendedAtMs;
    if (silentMs > LOG_LOST_MS) return false;
    this.#authority.setSuspended(true);
    const outcome = await publisher.resign();
    const isOver = outcome === 'appended' || publisher.isSuperseded;
    if (isOver) this.close();
    // After an unanswered append the resignation may still take effect, so
    // grants stay suspended.
    else if (outcome === 'refused') this.#authority.setSuspended(false);
    return isOver;
  }

  /** Sends a heartbeat at once, since its offset announces a new bundle. */
  bundleChanged(): void {
    this.#heartbeatAtMs = -Infinity;
    this.#tick();
  }

  /** Stops without a resignation. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#authority.close();
    this.#mover.close();
  }

  /**
   * Adopts the table of the former assigner, which may have granted it until
   * its term ended, and continues the moves that it had begun.
   */
  #takeOver(record: OwnershipRecord, nowMs: number): void {
    const {publisher, holdMs} = this.dependencies;
    // A record of this VM comes from an earlier process, which has ended.
    const isOver =
      record.resigned || record.assigner.vm === this.dependencies.vm;
    const authorityMs = isOver ? 0 : AUTHORITY_MS;
    for (const range of record.ranges) {
      if (range.server !== null) {
        const hold = {...range, server: range.server};
        // While the former assigner may still be live, grants that it sends may
        // take effect later, as unanswered ones may.
        this.#ledger.recordHold(hold, holdMs + authorityMs, nowMs, !isOver);
      }
      if (range.former !== null) {
        // The former owner of a range gets no grant after the record that names
        // it, so that its answer to a release proves that it holds nothing.
        const hold = {...range, server: range.former};
        this.#ledger.recordHold(hold, holdMs, nowMs, false);
      }
    }
    const kept: RangeOwner[] = [];
    for (const range of record.ranges) {
      if (range.former !== null) {
        const held = {
          ...range,
          server: range.former,
          former: null,
          moving: false,
        };
        publisher.table.assign(held);
        this.#mover.move(held, range.server, 'takeover');
      } else if (range.server !== null) {
        // A server that has accepted the new fence refuses delayed grants of the
        // former assigner, whose fences are lower.
        const fence = this.#mover.nextFence();
        const owner = {...range, fence, moving: false};
        publisher.table.assign(owner);
        kept.push(owner);
        this.#renewals.makeFirstRenewalDue(range.server);
      }
    }
    publisher.publish(kept);
    this.#logTakeover(record, isOver);
  }

  #logTakeover(record: OwnershipRecord, isOver: boolean): void {
    const {directory, logger, publisher} = this.dependencies;
    const {registry} = directory;
    const owners = new Set(record.ranges.flatMap(({server}) => server ?? []));
    logger.info('takeover', {
      term: publisher.term,
      former: record.assigner.vm,
      former_ended: isOver,
      ranges: record.ranges.length,
      owners: owners.size,
      unlisted: [...owners].filter(id => registry.find(id) === null).length,
      servers: registry.servers.size,
    });
  }

  /** Drops the holds of servers that used the address of a server before. */
  #endReplacedServers(server: GatewayServer): void {
    // Any process may write a description into the log of servers. One whose
    // service is unknown does not prove that the address has a new user.
    if (this.dependencies.bundles.service(server.service) === null) return;
    const {registry} = this.dependencies.directory;
    for (const id of this.#addresses.removeReplaced(server, registry)) {
      this.#ledger.forget(id);
    }
  }

  /** Runs all checks: at each interval, and at once after some changes. */
  #tick(): void {
    if (this.#isClosed) return;
    const {publisher, clock} = this.dependencies;
    if (publisher.isSuperseded) {
      this.close();
      this.onStepDown();
      return;
    }
    const nowMs = clock.monotonicMs();
    this.#authority.detectPause();
    this.#sendHeartbeatAndAppend(nowMs);
    if (!this.#authority.mayGrant) return;
    for (const service of this.dependencies.bundles.bundle?.services ?? []) {
      if (service.isKeyed) this.#assignInitialRanges(service, nowMs);
    }
    this.#reconcileOwners(nowMs);
    this.#renewGrants();
    for (const {range, to} of this.#balancer.planMoves(nowMs)) {
      this.#mover.move(range, to, 'balance');
    }
  }

  #sendHeartbeatAndAppend(nowMs: number): void {
    const {publisher, peers} = this.dependencies;
    if (nowMs - this.#heartbeatAtMs >= HEARTBEAT_MS) {
      this.#heartbeatAtMs = nowMs;
      const isLogLost = nowMs - publisher.appendedAtMs > LOG_LOST_MS;
      peers.broadcast({
        kind: 'heartbeat',
        term: publisher.term,
        clockMs: nowMs,
        isLogLost,
        ...this.dependencies.readProgress(),
      });
    }
    const isDue = nowMs - publisher.appendedAtMs >= APPEND_INTERVAL_MS;
    if (isDue && nowMs - this.#appendTriedAtMs >= this.#appendRetryMs) {
      this.#appendTriedAtMs = nowMs;
      void publisher.persist().then(isAppended => {
        this.#appendRetryMs = isAppended
          ? APPEND_RETRY_MS
          : Math.min(MAX_APPEND_RETRY_MS, 2 * this.#appendRetryMs);
      });
    }
  }

  /** Assigns the keys of a service that has no ranges yet. */
  #assignInitialRanges(service: GatewayService, nowMs: number): void {
    const {publisher, directory} = this.dependencies;
    if (publisher.table.ofService(service.name).length > 0) return;
    if (nowMs - this.#serversChangedAtMs < INITIAL_QUIET_MS) return;
    const servers = directory.registry
      .ofService(service.name)
      .filter(server => !server.isDraining);
    if (servers.length === 0) return;
    const planned = servers.map(server => this.#balancer.plannedServer(server));
    for (const {fromKey, toKey, to} of initialRanges(planned)) {
      this.#mover.grantToOwner({
        service: service.name,
        fromKey,
        toKey,
        server: to,
        former: null,
        bornMs: 0,
        fence: 0,
        moving: true,
      });
    }
  }

  /**
   * Grants ranges again to owners that have restarted, and moves ranges away
   * from owners that are draining, gone or unreachable.
   */
  #reconcileOwners(nowMs: number): void {
    const {publisher, directory} = this.dependencies;
    // A move starts with an append, so that none can start without the log.
    const mayMove = nowMs - publisher.appendedAtMs <= LOG_LOST_MS;
    const leaving = new Map<string, Evacuation[]>();
    for (const range of publisher.table.all()) {
      if (range.moving || range.server === null) continue;
      const server = directory.registry.find(range.server);
      const hasRestarted = server !== null && server.bornMs !== range.bornMs;
      if (hasRestarted && !server.isDraining) {
        // Otherwise the keys of a server that counts as unreachable would wait until
        // its last grant has lapsed, and then go to another server.
        this.#reachability.restarted(server.id);
        this.#mover.grantToOwner(range);
        continue;
      }
      const reason = this.#moveReason(range, server, nowMs);
      if (reason === null || !mayMove) continue;
      const evacuations = leaving.get(range.service) ?? [];
      evacuations.push({range, reason});
      leaving.set(range.service, evacuations);
    }
    for (const [service, evacuations] of leaving) {
      this.#evacuate(service, evacuations);
    }
  }

  /**
   * Returns why a range has to leave its owner; null when it stays. A server
   * that does not answer may be cut off from this VM only, so that its ranges
   * move no earlier than its grants lapse. If it answers before that, it keeps
   * them without an interruption.
   */
  #moveReason(
    range: RangeOwner,
    server: GatewayServer | null,
    nowMs: number,
  ): MoveReason | null {
    if (server === null)
      return this.dependencies.directory.isSettled ? 'gone' : null;
    if (server.isDraining) return 'draining';
    if (!this.#reachability.isUnreachable(server.id, nowMs)) return null;
    const freeAtMs = this.#ledger.freeAtMs(range.service, range, null);
    return freeAtMs <= nowMs ? 'lost' : null;
  }

  #evacuate(service: string, evacuations: readonly Evacuation[]): void {
    const planner = this.#balancer.planner(service);
    for (const {range, reason} of evacuations) {
      for (const move of planner.place([range])) {
        this.#mover.move(cutRange(range, move), move.to, reason);
      }
    }
  }

  #renewGrants(): void {
    const {publisher, directory, clock} = this.dependencies;
    const rangesByOwner = new Map<string, RangeOwner[]>();
    for (const range of publisher.table.all()) {
      if (range.moving || range.server === null) continue;
      const ranges = rangesByOwner.get(range.server) ?? [];
      ranges.push(range);
      rangesByOwner.set(range.server, ranges);
    }
    for (const [id, ranges] of rangesByOwner) {
      const server = directory.registry.find(id);
      if (server === null) continue;
      const mayBeLive = this.#renewals.renew(server, ranges, range =>
        this.#onGrantRefused(range),
      );
      if (!mayBeLive) this.#reachability.failed(id, clock.monotonicMs());
    }
  }

  /**
   * Handles a refused grant: another VM was elected, a delayed grant has raised
   * the server's fence, or another server uses the address. No more grants are
   * sent until an append shows that this VM is still the assigner; then the
   * range is granted again.
   */
  #onGrantRefused(range: RangeOwner): void {
    const {publisher} = this.dependencies;
    const refused = publisher.table.find(range.service, range.fromKey);
    if (refused?.fence !== range.fence || refused.moving) return;
    void this.#authority.verifyTerm().then(() => {
      const current = publisher.table.find(range.service, range.fromKey);
      if (this.#authority.mayGrant && current === refused) {
        this.#mover.grantToOwner(refused);
      }
    });
  }

  #findEligible(server: string): GatewayServer | null {
    const found = this.dependencies.directory.registry.find(server);
    return found === null || found.isDraining ? null : found;
  }
}
