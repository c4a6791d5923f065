/** Algorithms that place shards on servers, and detection of hot keys. */
import type {AssignReason, ServerLoad} from '../../types/index.js';

/** Imbalance (see `computeImbalance`) above which shards are rebalanced. */
export const IMBALANCE_THRESHOLD = 1.25;
/** Largest number of balance moves in flight in one zone. */
export const MAX_BALANCE_MOVES = 2;
/**
 * Cooldown after a move was recorded or abandoned. Meanwhile the shard is not
 * moved for balance, nor off a server that does not check grants and whose batch
 * is leaving.
 */
export const SHARD_MOVE_COOLDOWN_MS = 60_000;
/** Share of a server's slots above which the load of one key makes it hot. */
export const HOT_KEY_SLOT_SHARE = 0.5;
/** Time for which a key must stay hot before it is isolated. */
export const HOT_KEY_HOLD_MS = 30_000;
/**
 * Share of the time until `leaveAtMs` over which the moves of a leaving batch
 * are spread; the rest is a reserve.
 */
export const LEAVING_TIME_SHARE = 0.9;

/** A server that can receive shards, with its capacity. */
export interface ServerCapacity {
  readonly server: string;
  /** Slots (requests that the server runs at a time) times speed. */
  readonly capacity: number;
  /** Speed relative to the service's median server; 1 by default. */
  readonly speed?: number;
}

/** Identifies a shard of a service. */
export interface ShardId {
  readonly service: string;
  readonly shard: number;
}

/** A shard with its owner and load. */
export interface PlacedShard extends ShardId {
  /** Owner, or the destination of the shard's move in flight. */
  readonly server: string;
  /**
   * Slots that the shard keeps busy at its owner, which depend on the speed of
   * the owner.
   */
  readonly load: number;
}

/** A decision to move a shard from its owner, if any, to a server. */
export interface Move extends ShardId {
  readonly from: string | null;
  readonly to: string;
  readonly reason: AssignReason;
}

/**
 * Smallest load that a shard counts with, in slots, so that shards without
 * measurements are spread as well.
 */
const MIN_SHARD_LOAD = 1e-3;

/**
 * Builds the key of a shard for maps and sets.
 *
 * @param id - Shard.
 * @returns Unique text.
 */
export function shardKey(id: ShardId): string {
  return `${id.service}/${id.shard}`;
}

/**
 * Computes the capacities of servers from their slots and service times.
 *
 * @param servers - Servers of one service with their slots.
 * @param reports - Latest load reports by server.
 * @returns Capacity of each server, with speed 1 where nothing was measured.
 */
export function computeCapacities(
  servers: readonly {readonly id: string; readonly slots: number}[],
  reports: ReadonlyMap<string, ServerLoad>,
): ServerCapacity[] {
  const serviceTimesMs = servers
    .map(s => reports.get(s.id)?.serviceTimeMs ?? 0)
    .filter(t => t > 0)
    .sort((a, b) => a - b);
  const medianMs = serviceTimesMs[Math.floor(serviceTimesMs.length / 2)] ?? 0;
  return servers.map(s => {
    const serviceTimeMs = reports.get(s.id)?.serviceTimeMs ?? 0;
    const speed =
      serviceTimeMs > 0 && medianMs > 0 ? medianMs / serviceTimeMs : 1;
    return {server: s.id, capacity: s.slots * speed, speed};
  });
}

/**
 * Places each shard, largest load first, on the server whose usage (load divided
 * by capacity) is then lowest. Only the listed shards move, which is the minimum
 * after a loss.
 *
 * @param shards - Shards to place, with their loads. Unlike the loads of `placed`,
 * these are not converted to a server of speed 1.
 * @param servers - Servers that can receive them.
 * @param placed - Shards that stay on their servers.
 * @param reason - Reason that the records state.
 * @returns One move for each shard; none without servers.
 */
export function placeShards(
  shards: readonly (ShardId & {
    readonly from: string | null;
    readonly load: number;
  })[],
  servers: readonly ServerCapacity[],
  placed: readonly PlacedShard[],
  reason: AssignReason,
): Move[] {
  if (servers.length === 0) return [];
  const loads = sumLoads(normalizeLoads(placed, servers));
  const ordered = [...shards].sort(
    (a, b) => b.load - a.load || a.shard - b.shard,
  );
  return ordered.map(s => {
    const load = Math.max(s.load, MIN_SHARD_LOAD);
    const newUsage = (t: ServerCapacity) =>
      ((loads.get(t.server) ?? 0) + load) / t.capacity;
    const best = servers.reduce((a, b) => (newUsage(b) < newUsage(a) ? b : a));
    loads.set(best.server, (loads.get(best.server) ?? 0) + load);
    return {
      service: s.service,
      shard: s.shard,
      from: s.from,
      to: best.server,
      reason,
    };
  });
}

/**
 * Converts busy slots to the slots that the same work would keep busy on a
 * server of speed 1. Measured busy slots already reflect the server's speed, so
 * dividing them by a capacity that includes the speed would count the speed
 * twice and overload fast servers. The load of a shard with a move in flight,
 * although measured at its owner, is converted with the destination's speed.
 */
function normalizeLoads(
  placed: readonly PlacedShard[],
  servers: readonly ServerCapacity[],
): PlacedShard[] {
  const speeds = new Map(servers.map(s => [s.server, s.speed ?? 1]));
  return placed.map(p => ({...p, load: p.load * (speeds.get(p.server) ?? 1)}));
}

function sumLoads(placed: readonly PlacedShard[]): Map<string, number> {
  const loads = new Map<string, number>();
  for (const p of placed) {
    const load = Math.max(p.load, MIN_SHARD_LOAD);
    loads.set(p.server, (loads.get(p.server) ?? 0) + load);
  }
  return loads;
}

/**
 * Computes the imbalance: the largest usage (load divided by capacity) of a
 * server, divided by the usage of all servers together.
 *
 * @param placed - Shards with owners and loads.
 * @param servers - Servers with capacities.
 * @returns 1 when the load is spread evenly or there is none.
 */
export function computeImbalance(
  placed: readonly PlacedShard[],
  servers: readonly ServerCapacity[],
): number {
  let totalLoad = 0;
  let totalCapacity = 0;
  let maxUsage = 0;
  const loads = new Map<string, number>();
  for (const p of normalizeLoads(placed, servers)) {
    loads.set(p.server, (loads.get(p.server) ?? 0) + p.load);
  }
  for (const s of servers) {
    const serverLoad = loads.get(s.server) ?? 0;
    totalLoad += serverLoad;
    totalCapacity += s.capacity;
    maxUsage = Math.max(maxUsage, serverLoad / s.capacity);
  }
  return totalLoad === 0 ? 1 : maxUsage / (totalLoad / totalCapacity);
}

/**
 * Finds the move off the busiest server that most reduces the larger of the two
 * usages (load divided by capacity) of source and destination. Among equal moves
 * it prefers the least used destination.
 *
 * @param placed - Shards of one service with owners and loads.
 * @param servers - Servers that can receive shards, with capacities.
 * @param canMove - Whether a shard may move now.
 * @returns The move, or null when no move helps or the imbalance does not
 * exceed `IMBALANCE_THRESHOLD`.
 */
export function planBalanceMove(
  placed: readonly PlacedShard[],
  servers: readonly ServerCapacity[],
  canMove: (id: ShardId) => boolean,
): Move | null {
  if (servers.length < 2) return null;
  if (computeImbalance(placed, servers) <= IMBALANCE_THRESHOLD) return null;
  const normalized = normalizeLoads(placed, servers);
  const loads = sumLoads(normalized);
  const usage = (s: ServerCapacity) => (loads.get(s.server) ?? 0) / s.capacity;
  const busiest = servers.reduce((a, b) => (usage(b) > usage(a) ? b : a));
  let best: Move | null = null;
  let bestMaxUsage = usage(busiest);
  let bestDestinationUsage = Infinity;
  for (const p of normalized) {
    if (p.server !== busiest.server || p.load <= 0 || !canMove(p)) continue;
    const sourceAfter = usage(busiest) - p.load / busiest.capacity;
    for (const t of servers) {
      if (t.server === busiest.server) continue;
      const destinationAfter = usage(t) + p.load / t.capacity;
      const maxAfter = Math.max(sourceAfter, destinationAfter);
      const isBetter =
        maxAfter < bestMaxUsage ||
        (best !== null &&
          maxAfter === bestMaxUsage &&
          destinationAfter < bestDestinationUsage);
      if (!isBetter) continue;
      bestMaxUsage = maxAfter;
      bestDestinationUsage = destinationAfter;
      best = {
        service: p.service,
        shard: p.shard,
        from: p.server,
        to: t.server,
        reason: 'balance',
      };
    }
  }
  return best;
}

/** Progress of one leaving batch. */
export interface LeavingProgress {
  readonly batch: string;
  /** Wall time from which the servers of the batch get no new requests. */
  readonly leaveAtMs: number;
  /** Wall time at which this assigner first saw the batch leaving. */
  readonly startedAtWallMs: number;
  /** Most shards that the batch was seen to own while leaving. */
  readonly totalShards: number;
  readonly shardsLeft: number;
  /**
   * Wall time of the finish at the rate so far; null before the first completed
   * move.
   */
  readonly expectedFinishWallMs: number | null;
  /**
   * Shards left in the batch whose move should have started by now, including
   * those whose move is in flight.
   */
  readonly dueMoves: number;
  /**
   * Whether the batch still has shards and is past `leaveAtMs`, or is clearly
   * behind its schedule and expected to miss `leaveAtMs`.
   */
  readonly isLate: boolean;
}

/**
 * Computes the progress of a leaving batch and how many moves are due.
 *
 * @param input - Batch, the time at which it was first seen leaving, and its
 * shards left at `wallMs`.
 * @returns Progress; `isLate` is true when the batch will not be empty in time.
 */
export function planLeaving(input: {
  readonly batch: string;
  readonly leaveAtMs: number;
  readonly startedAtWallMs: number;
  readonly totalShards: number;
  readonly shardsLeft: number;
  readonly wallMs: number;
}): LeavingProgress {
  const {totalShards, shardsLeft, wallMs, startedAtWallMs, leaveAtMs} = input;
  const durationMs = (leaveAtMs - startedAtWallMs) * LEAVING_TIME_SHARE;
  const elapsedMs = Math.max(0, wallMs - startedAtWallMs);
  const movedShards = totalShards - shardsLeft;
  const timeShare = durationMs > 0 ? Math.min(1, elapsedMs / durationMs) : 1;
  // One more than the elapsed share, so that the last move starts in time.
  const movesToHaveStarted = Math.min(
    totalShards,
    Math.floor(totalShards * timeShare) + 1,
  );
  const expectedFinishWallMs =
    shardsLeft === 0
      ? wallMs
      : movedShards > 0
        ? wallMs + (shardsLeft * elapsedMs) / movedShards
        : null;
  // A lag of up to 2 shards or 10% of the batch does not count as late.
  const isBehind =
    movesToHaveStarted - movedShards > Math.max(2, totalShards * 0.1);
  const isLate =
    shardsLeft > 0 &&
    (wallMs >= leaveAtMs ||
      (isBehind &&
        (expectedFinishWallMs === null || expectedFinishWallMs > leaveAtMs)));
  return {
    ...input,
    expectedFinishWallMs,
    dueMoves: Math.max(0, movesToHaveStarted - movedShards),
    isLate,
  };
}

/** A key that has stayed hot, and its shard. */
export interface HotKey extends ShardId {
  readonly key: string;
}

/** Detects keys that stay hot across load reports. */
export class HotKeyDetector {
  private readonly hotSinceMs = new Map<string, number>();

  /**
   * Evaluates a load report and returns the keys to isolate.
   *
   * @param report - Load of one server.
   * @param slots - Slots of that server.
   * @param nowMs - Time of the report on this VM's monotonic clock.
   * @returns Keys that have been hot for at least `HOT_KEY_HOLD_MS`.
   */
  evaluate(report: ServerLoad, slots: number, nowMs: number): HotKey[] {
    const hotKeys: HotKey[] = [];
    for (const s of report.shards) {
      const id = `${shardKey(s)}/${s.hotKey ?? ''}`;
      // The hold time starts anew when the hot key of the shard changes.
      for (const known of this.hotSinceMs.keys()) {
        if (known.startsWith(`${shardKey(s)}/`) && known !== id) {
          this.hotSinceMs.delete(known);
        }
      }
      const busyWithHotKey = s.busySlots * s.hotKeyShare;
      if (s.hotKey === null || busyWithHotKey <= slots * HOT_KEY_SLOT_SHARE) {
        this.hotSinceMs.delete(id);
        continue;
      }
      const sinceMs = this.hotSinceMs.get(id) ?? nowMs;
      this.hotSinceMs.set(id, sinceMs);
      if (nowMs - sinceMs >= HOT_KEY_HOLD_MS) {
        hotKeys.push({service: s.service, shard: s.shard, key: s.hotKey});
      }
    }
    return hotKeys;
  }
}
