/** Balances load over servers and sheds the load that they cannot serve. */
import {admittedShares, RangePlanner} from '@wisteriarun/core';
import type {
  AdmittedShare,
  GatewayMessage,
  GatewayServer,
  PlannedServer,
  RangeOwner,
} from '@wisteriarun/core';
import type {AssignerDependencies} from './assigner.js';
import {LoadAggregator} from './load-aggregator.js';
import type {ServerReachability} from './server-reachability.js';

/** Interval at which shares are published and moves are planned. */
const INTERVAL_MS = 250;
/**
 * Time without an append after which no move is planned, since a move starts with
 * an append.
 */
const LOG_SILENCE_MS = 1_200;

/** A range that should go to another server. */
export interface BalanceMove {
  readonly range: RangeOwner;
  /** Id of the server. */
  readonly to: string;
}

/**
 * Plans moves and admitted shares by comparing the load of keys with the
 * capacity of servers.
 */
export class Balancer {
  readonly #loads = new LoadAggregator();
  #plannedAtMs = 0;
  #isSheddingLoad = false;

  /**
   * @param dependencies - Dependencies of the assigner.
   * @param reachability - Tells which servers are unreachable.
   */
  constructor(
    private readonly dependencies: AssignerDependencies,
    private readonly reachability: ServerReachability,
  ) {}

  /**
   * Adds a load report.
   *
   * @param report - Report of a VM.
   */
  addLoad(report: Extract<GatewayMessage, {kind: 'load'}>): void {
    this.#loads.add(report, this.dependencies.clock.monotonicMs());
  }

  /**
   * Estimates the capacity of a server.
   *
   * @param server - The server.
   * @returns The server with its capacity in milliseconds of work per second.
   */
  plannedServer(server: GatewayServer): PlannedServer {
    return this.#loads.plannedServer(server);
  }

  /**
   * Creates a planner for one service.
   *
   * @param service - Name of the service.
   * @returns Planner with the servers that may be given keys now.
   */
  planner(service: string): RangePlanner {
    return new RangePlanner(
      this.#loads.of(service),
      this.#eligibleServers(service),
      this.dependencies.publisher.table.ofService(service),
    );
  }

  /**
   * Publishes the admitted shares and plans moves. Does so once per interval,
   * however often it is called.
   *
   * @param nowMs - Monotonic time.
   * @returns Moves that should begin now.
   */
  planMoves(nowMs: number): BalanceMove[] {
    if (nowMs - this.#plannedAtMs < INTERVAL_MS) return [];
    this.#plannedAtMs = nowMs;
    const {publisher, bundles, meanWorkMs} = this.dependencies;
    const names = [...this.#loads.services];
    for (const name of names) {
      const load = this.#loads.of(name);
      load.requestWorkMs = meanWorkMs(name);
      load.decay(nowMs);
    }
    const keyed = names.filter(name => bundles.service(name)?.isKeyed === true);
    this.#publishShares(keyed, nowMs);
    if (nowMs - publisher.appendedAtMs > LOG_SILENCE_MS) return [];
    return keyed.flatMap(name => this.#rebalance(name));
  }

  #rebalance(service: string): BalanceMove[] {
    const {table} = this.dependencies.publisher;
    return this.planner(service)
      .rebalance()
      .flatMap(move =>
        [...table.overlapping(service, move)]
          .filter(range => !range.moving && range.server === move.from)
          .map(range => ({range, to: move.to})),
      );
  }

  /** Tells all VMs which share of the load on overloaded servers to admit. */
  #publishShares(services: readonly string[], nowMs: number): void {
    const {publisher, peers, admission} = this.dependencies;
    const shares: AdmittedShare[] = services.flatMap(name =>
      admittedShares(
        this.#loads.of(name),
        this.#eligibleServers(name),
        publisher.table.ofService(name),
      ),
    );
    if (shares.length === 0 && !this.#isSheddingLoad) return;
    this.#isSheddingLoad = shares.length > 0;
    admission.set(shares, nowMs);
    peers.broadcast({kind: 'shares', shares});
  }

  #eligibleServers(service: string): PlannedServer[] {
    const {directory, clock} = this.dependencies;
    const nowMs = clock.monotonicMs();
    return directory.registry
      .ofService(service)
      .filter(
        server =>
          !server.isDraining &&
          !this.reachability.isUnreachable(server.id, nowMs),
      )
      .map(server => this.#loads.plannedServer(server));
  }
}
