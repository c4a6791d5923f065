/** Plans moves after losses and for balance. */
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
import type {OwnedShard} from '../shard-index.js';
import type {Proofs} from './proofs.js';
import type {Servers} from './servers.js';
import {isPastLeaving, type AssignerState, type View} from './state.js';

/** Decides which shards move where. */
export class Planner {
  /** Loads by shard of each report, which many steps read. */
  private readonly loadsOf = new WeakMap<ServerLoad, Map<string, number>>();

  /**
   * @param state - State of the term.
   * @param servers - Condition of the servers.
   * @param proofs - Proofs of stopped owners.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: Servers,
    private readonly proofs: Proofs,
  ) {}

  /**
   * Places unowned shards and those of servers that are proven stopped.
   *
   * @param view - Inputs of the step.
   */
  planLosses(view: View): void {
    this.placeFree(view, view.index.unowned, 'initial');
    for (const [server, shards] of view.index.byServer) {
      const slot = this.state.slots.get(server);
      if (slot && this.proofs.isLostBehindDispatcher(view, slot)) {
        if (this.proofs.isQuiet(view, slot)) {
          this.planDrains(view, shards, 'server-lost');
        }
      } else if (this.proofs.isProvenStopped(view, server)) {
        const stopped = view.index.stopped.has(server);
        this.placeFree(view, shards, stopped ? 'stopped' : 'server-lost');
      }
    }
  }

  /**
   * Plans at most one move for balance in each service.
   *
   * @param view - Inputs of the step.
   */
  planBalance(view: View): void {
    const {moves} = this.state;
    for (const {id: service} of view.state.bundle?.body.services ?? []) {
      const inFlight = moves.list().filter(m => m.reason === 'balance').length;
      if (inFlight >= MAX_BALANCE_MOVES) return;
      const move = planBalanceMove(
        this.placed(view, service),
        this.servers.targets(view, service),
        id => this.mayBalance(view, id),
      );
      if (move) moves.add(move, view.index.epochOf(move)!, 'dispatcher');
    }
  }

  /**
   * Plans moves that begin with a drain. Shards that move already are left
   * out.
   *
   * @param view - Inputs of the step.
   * @param shards - Shards of one service.
   * @param reason - Reason for the record.
   */
  planDrains(
    view: View,
    shards: readonly OwnedShard[],
    reason: AssignReason,
  ): void {
    const [first] = shards;
    if (!first) return;
    const targets = this.servers.targets(view, first.service);
    this.place(view, shards, targets, reason, 'dispatcher');
  }

  /**
   * Whether a drain may start. At a server that does not check, the
   * dispatcher's answer to an abandoned drain must not count for a later one.
   *
   * @param view - Inputs of the step.
   * @param owned - Shard with an owner.
   * @returns False while it moves, rests, may be run by a lost dispatcher, or
   * could not be drained a short time ago.
   */
  mayDrain(view: View, owned: OwnedShard): boolean {
    const {slots, moves} = this.state;
    const slot = slots.get(owned.server!);
    if (!slot) return false;
    if (
      moves.isDrainPostponed(owned, view.nowMs) &&
      !isPastLeaving(view, slot.server)
    ) {
      return false;
    }
    if (slot.server.checksGrants) return moves.get(owned) === undefined;
    return this.proofs.isQuiet(view, slot) && moves.mayMove(owned, view.nowMs);
  }

  private mayBalance(view: View, id: ShardId): boolean {
    const row = view.state.services.get(id.service)?.rows[id.shard];
    const slot = this.state.slots.get(row?.server ?? '');
    return (
      slot !== undefined &&
      this.proofs.isQuiet(view, slot) &&
      this.state.moves.mayMove(id, view.nowMs)
    );
  }

  private placeFree(
    view: View,
    shards: readonly OwnedShard[],
    reason: 'initial' | 'server-lost' | 'stopped',
  ): void {
    const free = shards.filter(s => !this.state.moves.get(s));
    if (free.length === 0 || !this.servers.hasFirstAnswers(view)) return;
    for (const service of new Set(free.map(s => s.service))) {
      const own = this.servers.targets(view, service);
      const targets =
        own.length > 0 || reason === 'initial'
          ? own
          : this.servers.foreignTargets(view, service);
      const list = free.filter(s => s.service === service);
      this.place(view, list, targets, reason, 'ready');
    }
  }

  private place(
    view: View,
    shards: readonly OwnedShard[],
    targets: readonly ServerCapacity[],
    reason: AssignReason,
    stage: 'dispatcher' | 'ready',
  ): void {
    const {moves} = this.state;
    const list = shards
      .filter(s => !moves.get(s))
      .map(s => ({...s, from: s.server, load: this.loadOf(s)}));
    if (list.length === 0) return;
    const placed = this.placed(view, list[0]!.service);
    for (const move of placeShards(list, targets, placed, reason)) {
      moves.add(move, view.index.epochOf(move)!, stage);
    }
  }

  private loadOf(owned: OwnedShard): number {
    return this.loadsAt(owned.server ?? '')?.get(shardKey(owned)) ?? 0;
  }

  private loadsAt(server: string): ReadonlyMap<string, number> | null {
    const report = this.state.loads.get(server);
    if (!report) return null;
    const known = this.loadsOf.get(report);
    if (known) return known;
    const loads = new Map(report.shards.map(s => [shardKey(s), s.busySlots]));
    this.loadsOf.set(report, loads);
    return loads;
  }

  /** Shards of a service on their owners, moves in flight counted as done. */
  private placed(view: View, service: string): PlacedShard[] {
    const result: PlacedShard[] = [];
    for (const [owner, shards] of view.index.byServer) {
      const loads = this.loadsAt(owner);
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
