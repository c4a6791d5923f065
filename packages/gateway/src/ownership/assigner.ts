/** Assigns the key ranges of all services, while this VM is elected. */
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
/** Interval at which the table is appended although nothing changed. */
const APPEND_INTERVAL_MS = 600;
/** Time without a new server after which the first ranges are given out. */
const INITIAL_QUIET_MS = 600;
/** Time without an append after which the other VMs are told so. */
const LOG_LOST_MS = 1_000;
/** Age of the list of servers at which it shows nothing about their lives. */
const SERVERS_STALE_MS = 800;
/** Pause after an append that failed. */
const APPEND_RETRY_MS = 200;

/** How far a VM has read the platform's logs. */
export interface ReadState {
  readonly serversAgeMs: number;
  readonly bundlesAgeMs: number;
  readonly bundlesOffset: number;
}

/** Parts that the assigner works with. */
export interface AssignerParts {
  readonly publisher: TablePublisher;
  readonly directory: ServerDirectory;
  readonly bundles: BundleHolder;
  readonly granter: KeyGranter;
  readonly peers: PeerServer;
  /** Shares of requests that this VM lets through. */
  readonly admission: Admission;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly holdMs: number;
  /** Id of this VM. */
  readonly vm: string;
  /** How far this VM has read the logs. */
  readState(): ReadState;
}

/** A range that its owner has to give up. */
interface Evacuation {
  readonly range: RangeOwner;
  readonly reason: MoveReason;
}

/** Decides owners, renews their grants and answers for both. */
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
  #isClosed = false;

  /**
   * Takes over from the assigner of the last record.
   *
   * @param parts - Parts that the assigner works with.
   * @param formerRecord - Record of the former assigner; null when there was none.
   * @param onStepDown - Called when another VM has been elected.
   */
  constructor(
    private readonly parts: AssignerParts,
    formerRecord: OwnershipRecord | null,
    private readonly onStepDown: () => void,
  ) {
    const {publisher, clock, logger, holdMs, granter, directory} = parts;
    const nowMs = clock.monotonicMs();
    this.#serversChangedAtMs = nowMs;
    this.#authority = new Authority(publisher, clock, logger);
    this.#balancer = new Balancer(parts, this.#reachability);
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
        directory.heardAtMs(server) > sinceMs ||
        parts.readState().serversAgeMs > SERVERS_STALE_MS,
    );
    for (const server of directory.registry.servers.values()) {
      this.#addresses.record(server);
    }
    if (formerRecord !== null) this.#takeOver(formerRecord, nowMs);
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#tick();
  }

  /**
   * Adds a report of load.
   *
   * @param report - Report of a VM.
   */
  addLoad(report: Extract<GatewayMessage, {kind: 'load'}>): void {
    this.#balancer.addLoad(report);
  }

  /**
   * Notes that a server changed or went.
   *
   * @param change - The change.
   */
  serversChanged(change: ServerChange): void {
    const {clock, peers} = this.parts;
    peers.broadcast(change);
    if (change.kind === 'server') {
      const {server} = change;
      this.#addresses.record(server);
      this.#ledger.restarted(server.id, server.bornMs);
      this.#endReplacedServers(server);
    }
    this.#serversChangedAtMs = clock.monotonicMs();
    this.#tick();
  }

  /**
   * Gives the term up once the log can take the resignation; until then the
   * grants are renewed, since no other VM could be elected.
   *
   * @returns Whether the term is over.
   */
  async resign(): Promise<boolean> {
    const {publisher, clock} = this.parts;
    const silentMs = clock.monotonicMs() - publisher.appendedAtMs;
    if (silentMs > LOG_LOST_MS) return false;
    this.#authority.suspend(true);
    const outcome = await publisher.resign();
    const isOver = outcome === 'appended' || publisher.isSuperseded;
    if (isOver) this.close();
    // A resignation without an answer may still be appended: no grant follows.
    else if (outcome === 'refused') this.#authority.suspend(false);
    return isOver;
  }

  /** Tells the other VMs at once that there is a new bundle. */
  bundleChanged(): void {
    this.#heartbeatAtMs = -Infinity;
    this.#tick();
  }

  /** Stops without a word. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#authority.close();
    this.#mover.close();
  }

  /** The former assigner may have granted its table until its term ended. */
  #takeOver(record: OwnershipRecord, nowMs: number): void {
    const {publisher, holdMs, directory} = this.parts;
    // An earlier process of this VM has ended.
    const isOver = record.resigned || record.assigner.vm === this.parts.vm;
    const authorityMs = isOver ? 0 : AUTHORITY_MS;
    for (const range of record.ranges) {
      if (range.server !== null) {
        const hold = {...range, server: range.server};
        this.#ledger.extend(hold, holdMs + authorityMs, nowMs, !isOver);
      }
      if (range.former !== null) {
        // No grant follows the record that names a former owner, so that an
        // answered release ends its hold for good.
        const formerServer = directory.registry.find(range.former);
        const bornMs = formerServer?.bornMs ?? Infinity;
        const hold = {...range, server: range.former, bornMs};
        this.#ledger.extend(hold, holdMs, nowMs, false);
      }
    }
    for (const {id, bornMs} of directory.registry.servers.values()) {
      this.#ledger.restarted(id, bornMs);
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
        // A higher fence shuts the former assigner out.
        const fence = this.#mover.nextFence();
        const owner = {...range, fence, moving: false};
        publisher.table.assign(owner);
        kept.push(owner);
        this.#renewals.makeDue(range.server);
      }
    }
    publisher.publish(kept);
    this.#logTakeover(record, isOver);
  }

  #logTakeover(record: OwnershipRecord, isOver: boolean): void {
    const {directory, logger, publisher} = this.parts;
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

  /** An address that another server uses now has no former one behind it. */
  #endReplacedServers(server: GatewayServer): void {
    // Anyone may write an entry; one of no known service proves nothing.
    if (this.parts.bundles.service(server.service) === null) return;
    const {registry} = this.parts.directory;
    for (const id of this.#addresses.removeReplaced(server, registry)) {
      this.#ledger.restarted(id, Infinity);
    }
  }

  #tick(): void {
    if (this.#isClosed) return;
    const {publisher, clock} = this.parts;
    if (publisher.isSuperseded) {
      this.close();
      this.onStepDown();
      return;
    }
    const nowMs = clock.monotonicMs();
    this.#authority.detectPause();
    this.#sendHeartbeatAndAppend(nowMs);
    if (!this.#authority.mayGrant) return;
    for (const service of this.parts.bundles.bundle?.services ?? []) {
      if (service.isKeyed) this.#assignInitialRanges(service, nowMs);
    }
    this.#reconcileOwners(nowMs);
    this.#renewGrants();
    for (const {range, to} of this.#balancer.step(nowMs)) {
      this.#mover.move(range, to, 'balance');
    }
  }

  #sendHeartbeatAndAppend(nowMs: number): void {
    const {publisher, peers} = this.parts;
    if (nowMs - this.#heartbeatAtMs >= HEARTBEAT_MS) {
      this.#heartbeatAtMs = nowMs;
      const isLogLost = nowMs - publisher.appendedAtMs > LOG_LOST_MS;
      peers.broadcast({
        kind: 'heartbeat',
        term: publisher.term,
        isLogLost,
        ...this.parts.readState(),
      });
    }
    const isDue = nowMs - publisher.appendedAtMs >= APPEND_INTERVAL_MS;
    if (isDue && nowMs - this.#appendTriedAtMs >= APPEND_RETRY_MS) {
      this.#appendTriedAtMs = nowMs;
      void publisher.persist();
    }
  }

  /** Gives out the keys of a service for the first time. */
  #assignInitialRanges(service: GatewayService, nowMs: number): void {
    const {publisher, directory} = this.parts;
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

  /** Moves keys away from servers that leave or are lost. */
  #reconcileOwners(nowMs: number): void {
    const {publisher, directory} = this.parts;
    const leaving = new Map<string, Evacuation[]>();
    for (const range of publisher.table.all()) {
      if (range.moving || range.server === null) continue;
      const server = directory.registry.find(range.server);
      if (server !== null && server.bornMs !== range.bornMs) {
        this.#ledger.restarted(server.id, server.bornMs);
        if (!server.isDraining) {
          this.#mover.grantToOwner(range);
          continue;
        }
      }
      const reason = this.#moveReason(range, server, nowMs);
      if (reason === null) continue;
      const evacuations = leaving.get(range.service) ?? [];
      evacuations.push({range, reason});
      leaving.set(range.service, evacuations);
    }
    for (const [service, evacuations] of leaving) {
      this.#evacuate(service, evacuations);
    }
  }

  /**
   * A server that does not answer may be cut off from this VM only. Its keys
   * stay until it can hold them no longer, and if it answers before, it never
   * lost them.
   */
  #moveReason(
    range: RangeOwner,
    server: GatewayServer | null,
    nowMs: number,
  ): MoveReason | null {
    if (server === null) return this.parts.directory.isSettled ? 'gone' : null;
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
    const {publisher, directory, clock} = this.parts;
    const held = new Map<string, RangeOwner[]>();
    for (const range of publisher.table.all()) {
      if (range.moving || range.server === null) continue;
      const ranges = held.get(range.server) ?? [];
      ranges.push(range);
      held.set(range.server, ranges);
    }
    for (const [id, ranges] of held) {
      const server = directory.registry.find(id);
      if (server === null) continue;
      const mayBeAlive = this.#renewals.renew(server, ranges, range =>
        this.#onGrantRefused(range),
      );
      if (!mayBeAlive) this.#reachability.failed(id, clock.monotonicMs());
    }
  }

  /**
   * Another VM was elected, a late grant has used a higher fence, or another
   * server uses the address. The log tells whether this VM is still elected;
   * until it does, no more grants are sent.
   */
  #onGrantRefused(range: RangeOwner): void {
    const {publisher} = this.parts;
    const present = publisher.table.find(range.service, range.fromKey);
    if (present?.fence !== range.fence || present.moving) return;
    void this.#authority.verifyTerm().then(() => {
      const later = publisher.table.find(range.service, range.fromKey);
      if (this.#authority.mayGrant && later === present) {
        this.#mover.grantToOwner(present);
      }
    });
  }

  #findEligible(server: string): GatewayServer | null {
    const found = this.parts.directory.registry.find(server);
    return found === null || found.isDraining ? null : found;
  }
}
