/** Decides which server a shard is placed on. */
import type {AssignReason, ServerLoad} from '../../types/index.js';

/** Imbalance above which shards are moved between healthy servers. */
export const IMBALANCE_THRESHOLD = 1.25;
/** Most balance moves in flight in one zone. */
export const MAX_BALANCE_MOVES = 2;
/** Time during which a shard that was moved is not moved again. */
export const SHARD_REST_MS = 60_000;
/** Share of a server's slots above which a key is hot. */
export const HOT_KEY_SLOT_SHARE = 0.5;
/** Time for which a key must be hot before it is isolated. */
export const HOT_KEY_HOLD_MS = 30_000;
/** Share of the time to `leaveAtMs` within which a batch is emptied. */
export const LEAVING_TIME_SHARE = 0.9;

/** A server that may take shards. */
export interface ServerCapacity {
  readonly server: string;
  /** Slots times relative speed. */
  readonly capacity: number;
  /** Relative speed; 1 by default. */
  readonly speed?: number;
}

/** A shard of a service. */
export interface ShardId {
  readonly service: string;
  readonly shard: number;
}

/** A shard with its owner and load. */
export interface PlacedShard extends ShardId {
  readonly server: string;
  /** Busy slots on this server, which depend on its speed. */
  readonly load: number;
}

/** A decision to give a shard to a server. */
export interface Move extends ShardId {
  readonly from: string | null;
  readonly to: string;
  readonly reason: AssignReason;
}

/** Load assumed for a shard without measurements, in slots. */
const MIN_SHARD_LOAD = 1e-3;

/**
 * Names a shard in maps.
 *
 * @param id - Shard.
 * @returns Unique text.
 */
export function shardKey(id: ShardId): string {
  return `${id.service}/${id.shard}`;
}

/**
 * Capacity of servers from their slots and service times.
 *
 * @param servers - Servers of one service with their slots.
 * @param reports - Latest load reports by server.
 * @returns Capacity by server; speed 1 where nothing was measured.
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
 * Places shards on the servers that end up least utilised. Shards that are not
 * listed stay, so this is the minimum of moves after a loss.
 *
 * @param shards - Shards to place, with their loads.
 * @param targets - Servers that may take them.
 * @param placed - Shards that stay.
 * @param reason - Reason for the records.
 * @returns One move for each shard; none without targets.
 */
export function placeShards(
  shards: readonly (ShardId & {
    readonly from: string | null;
    readonly load: number;
  })[],
  targets: readonly ServerCapacity[],
  placed: readonly PlacedShard[],
  reason: AssignReason,
): Move[] {
  if (targets.length === 0) return [];
  const loads = sumLoads(normalizeLoads(placed, targets));
  const ordered = [...shards].sort(
    (a, b) => b.load - a.load || a.shard - b.shard,
  );
  return ordered.map(s => {
    const load = Math.max(s.load, MIN_SHARD_LOAD);
    const newUsage = (t: ServerCapacity) =>
      ((loads.get(t.server) ?? 0) + load) / t.capacity;
    const best = targets.reduce((a, b) => (newUsage(b) < newUsage(a) ? b : a));
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
 * Converts busy slots to slots of a server of speed 1. A server is as busy as
 * its speed makes it, so dividing its busy slots by a capacity that includes
 * the speed would count the speed twice and overload the fast servers.
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
 * Largest utilisation over the utilisation of an even spread.
 *
 * @param placed - Shards with owners and loads.
 * @param servers - Servers and capacities.
 * @returns 1 when even or without load.
 */
export function computeImbalance(
  placed: readonly PlacedShard[],
  servers: readonly ServerCapacity[],
): number {
  let totalLoad = 0;
  let totalCapacity = 0;
  let maxUtilization = 0;
  const loads = new Map<string, number>();
  for (const p of normalizeLoads(placed, servers)) {
    loads.set(p.server, (loads.get(p.server) ?? 0) + p.load);
  }
  for (const s of servers) {
    const serverLoad = loads.get(s.server) ?? 0;
    totalLoad += serverLoad;
    totalCapacity += s.capacity;
    maxUtilization = Math.max(maxUtilization, serverLoad / s.capacity);
  }
  return totalLoad === 0 ? 1 : maxUtilization / (totalLoad / totalCapacity);
}

/**
 * Finds the move that reduces the largest utilisation most.
 *
 * @param placed - Shards of one service with owners and loads.
 * @param servers - Servers that may take shards, with capacities.
 * @param canMove - Whether a shard may move now.
 * @returns The move, or null when none helps or imbalance is low.
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
  let bestDestination = Infinity;
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
          destinationAfter < bestDestination);
      if (!isBetter) continue;
      bestMaxUsage = maxAfter;
      bestDestination = destinationAfter;
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
  readonly leaveAtMs: number;
  readonly startedAtWallMs: number;
  readonly totalShards: number;
  readonly shardsLeft: number;
  /** Wall time at the present rate; null before the first shard left. */
  readonly expectedFinishWallMs: number | null;
  /** Shards whose move should have started by now. */
  readonly due: number;
  readonly late: boolean;
}

/**
 * Computes how far a leaving batch is and how many moves are due.
 *
 * @param input - Batch, first sight of it, and shards left at `wallMs`.
 * @returns Progress, with `late` when it will not finish in time.
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
  // One move ahead, so that the last one starts before the time is over.
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
  const isBehind =
    movesToHaveStarted - movedShards > Math.max(2, totalShards * 0.1);
  const late =
    shardsLeft > 0 &&
    (wallMs >= leaveAtMs ||
      (isBehind &&
        (expectedFinishWallMs === null || expectedFinishWallMs > leaveAtMs)));
  return {
    ...input,
    expectedFinishWallMs,
    due: Math.max(0, movesToHaveStarted - movedShards),
    late,
  };
}

/** A key that stays hot, and its shard. */
export interface HotKey extends ShardId {
  readonly key: string;
}

/** Watches for keys that stay hot. */
export class HotKeyWatch {
  private readonly hotSinceMs = new Map<string, number>();

  /**
   * Notes a report and tells which keys are to be isolated.
   *
   * @param report - Load of one server.
   * @param slots - Slots of that server.
   * @param nowMs - Own monotonic time of the report.
   * @returns Shards and keys that were hot for `HOT_KEY_HOLD_MS`.
   */
  note(report: ServerLoad, slots: number, nowMs: number): HotKey[] {
    const hotKeys: HotKey[] = [];
    for (const s of report.shards) {
      const id = `${shardKey(s)}/${s.hotKey ?? ''}`;
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
