/**
 * Plans the moves of unowned shards, of the shards of lost servers, for balance
 * and off the servers of leaving batches. A move begins in stage `dispatcher`
 * when the dispatcher must first finish its requests for the shard, and in stage
 * `ready` when the old owner runs nothing for the shard (see `MoveStage`).
 */
import type {AssignReason, ServerLoad} from '../../../types/index.js';
import {
  MAX_BALANCE_MOVES,
  placeShards,
  planBalanceMove,
  shardKey,
  type PlacedShard,
  type ServerCapacity,
  type ShardId,
} from '../placement.js';
import type {ZoneShard} from '../shard-index.js';
import type {StopProofs} from './stop-proofs.js';
import type {ServerHealth} from './server-health.js';
import {isPastLeaveAt, type AssignerState, type StepView} from './state.js';

/** Decides which shards move to which servers. */
export class Planner {
  /** Cache of the loads by shard of each report, which many steps read. */
  private readonly loadsByReport = new WeakMap<
    ServerLoad,
    Map<string, number>
  >();

  /**
   * @param state - State of the term.
   * @param serverHealth - Health checks of the servers.
   * @param proofs - Checks that a former owner has stopped.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly serverHealth: ServerHealth,
    private readonly proofs: StopProofs,
  ) {}

  /**
   * Plans moves for unowned shards and for the shards of lost servers.
   *
   * @param view - Inputs of the step.
   */
  planLosses(view: StepView): void {
    this.placeWithoutDrain(view, view.index.unowned, 'initial');
    for (const [server, shards] of view.index.byServer) {
      const tracked = this.state.trackedServers.get(server);
      if (tracked && this.proofs.isLostWithActiveDispatcher(view, tracked)) {
        if (this.proofs.isQuiescent(view, tracked)) {
          this.planDrains(view, shards, 'server-lost');
        }
      } else if (this.proofs.isProvenStopped(view, server)) {
        const isStopped = view.index.stopped.has(server);
        this.placeWithoutDrain(
          view,
          shards,
          isStopped ? 'stopped' : 'server-lost',
        );
      }
    }
  }

  /**
   * Plans at most one balance move in each service.
   *
   * @param view - Inputs of the step.
   */
  planBalance(view: StepView): void {
    const {moves} = this.state;
    for (const {id: service} of view.state.bundle?.body.services ?? []) {
      const inFlight = moves.list().filter(m => m.reason === 'balance').length;
      if (inFlight >= MAX_BALANCE_MOVES) return;
      const move = planBalanceMove(
        this.placementAfterMoves(view, service),
        this.serverHealth.eligibleServers(view, service),
        id => this.mayBalance(view, id),
      );
      if (move) moves.add(move, view.index.epochOf(move)!, 'dispatcher');
    }
  }

  /**
   * Plans moves that begin with a drain. Shards that are already moving are
   * skipped.
   *
   * @param view - Inputs of the step.
   * @param shards - Shards of one service.
   * @param reason - Reason that the record states.
   */
  planDrains(
    view: StepView,
    shards: readonly ZoneShard[],
    reason: AssignReason,
  ): void {
    const [first] = shards;
    if (!first) return;
    const destinations = this.serverHealth.eligibleServers(view, first.service);
    this.addMoves(view, shards, destinations, reason, 'dispatcher');
  }

  /**
   * Whether a shard of a leaving batch may be drained now. At a server that
   * does not check grants, a cooldown must have passed since the last move of
   * the shard, because the dispatcher's answer to a cancelled drain must not
   * count for a later one.
   *
   * @param view - Inputs of the step.
   * @param id - Shard with an owner.
   * @returns False for an untracked server, while the shard is moving, and
   * during the wait after a failed drain. At a server that checks grants, this
   * wait ends at `leaveAtMs` at the latest. At one that does not, also false
   * during the cooldown of the shard, and while the server may run requests of a
   * lost dispatcher.
   */
  mayDrain(view: StepView, id: ZoneShard): boolean {
    const {trackedServers, moves} = this.state;
    const tracked = trackedServers.get(id.server!);
    if (!tracked) return false;
    if (
      moves.isDrainPostponed(id, view.nowMs) &&
      !isPastLeaveAt(view, tracked.server)
    ) {
      return false;
    }
    if (tracked.server.checksGrants) return moves.get(id) === undefined;
    return (
      this.proofs.isQuiescent(view, tracked) && moves.mayMove(id, view.nowMs)
    );
  }

  private mayBalance(view: StepView, id: ShardId): boolean {
    const row = view.state.services.get(id.service)?.rows[id.shard];
    const tracked = this.state.trackedServers.get(row?.server ?? '');
    return (
      tracked !== undefined &&
      this.proofs.isQuiescent(view, tracked) &&
      this.state.moves.mayMove(id, view.nowMs)
    );
  }

  /**
   * Plans moves of shards for which no server runs requests, once every present
   * server answers or a new assigner has waited long enough for their first
   * answers. If the zone has no eligible server, the shards move to other zones,
   * except when placed initially.
   */
  private placeWithoutDrain(
    view: StepView,
    shards: readonly ZoneShard[],
    reason: 'initial' | 'server-lost' | 'stopped',
  ): void {
    const notMoving = shards.filter(s => !this.state.moves.get(s));
    if (notMoving.length === 0 || !this.serverHealth.isStartupWaitOver(view))
      return;
    for (const service of new Set(notMoving.map(s => s.service))) {
      const zoneServers = this.serverHealth.eligibleServers(view, service);
      const destinations =
        zoneServers.length > 0 || reason === 'initial'
          ? zoneServers
          : this.serverHealth.eligibleServersOfOtherZones(view, service);
      const list = notMoving.filter(s => s.service === service);
      this.addMoves(view, list, destinations, reason, 'ready');
    }
  }

  private addMoves(
    view: StepView,
    shards: readonly ZoneShard[],
    destinations: readonly ServerCapacity[],
    reason: AssignReason,
    stage: 'dispatcher' | 'ready',
  ): void {
    const {moves} = this.state;
    const shardsToMove = shards
      .filter(s => !moves.get(s))
      .map(s => ({...s, from: s.server, load: this.loadOf(s)}));
    if (shardsToMove.length === 0) return;
    const placed = this.placementAfterMoves(view, shardsToMove[0]!.service);
    for (const move of placeShards(
      shardsToMove,
      destinations,
      placed,
      reason,
    )) {
      moves.add(move, view.index.epochOf(move)!, stage);
    }
  }

  private loadOf(owned: ZoneShard): number {
    return this.loadsByShard(owned.server ?? '')?.get(shardKey(owned)) ?? 0;
  }

  private loadsByShard(server: string): ReadonlyMap<string, number> | null {
    const report = this.state.loads.get(server);
    if (!report) return null;
    const known = this.loadsByReport.get(report);
    if (known) return known;
    const loads = new Map(report.shards.map(s => [shardKey(s), s.busySlots]));
    this.loadsByReport.set(report, loads);
    return loads;
  }

  /** Shards of a service by owner, as if the moves in flight were done. */
  private placementAfterMoves(view: StepView, service: string): PlacedShard[] {
    const result: PlacedShard[] = [];
    for (const [owner, shards] of view.index.byServer) {
      const loads = this.loadsByShard(owner);
      for (const s of shards) {
        if (s.service !== service) continue;
        const {shard} = s;
        const server = this.state.moves.get(s)?.to ?? owner;
        result.push({
          service,
          shard,
          server,
          load: loads?.get(shardKey(s)) ?? 0,
        });
      }
    }
    return result;
  }
}
