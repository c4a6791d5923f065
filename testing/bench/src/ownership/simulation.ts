/**
 * Simulated time line of one service: load reports, and the decisions of one
 * placement. Decisions come from the core; there are no processes and no
 * network.
 */
import {
  HotKeyWatch,
  MAX_BALANCE_MOVES,
  SHARD_REST_MS,
  computeCapacities,
  placeByModulo,
  placeByRendezvous,
  placeShards,
  planBalanceMove,
  type AssignReason,
  type PlacedShard,
  type ServerCapacity,
  type ServerLoad,
  type ShardLoad,
} from '@wisteriarun/core';
import type {Random} from '../capacity/stats.js';
import {
  BASE_SERVICE_TIME_MS,
  KeyWorkload,
  type ServiceSpec,
  type SimServer,
} from './workload.js';

/** Time of one planned move: a drain, two lease calls and one append. */
export const MOVE_DURATION_MS = 200;
const REPORT_INTERVAL_MS = 1_000;
const BUSY_TIME_CONSTANT_MS = 10_000;
const IDLE_BUSY_SLOTS = 0.001;
const SERVICE_ID = 'svc';

/** Placement under comparison. */
export type PlacementPolicy = 'product' | 'modulo' | 'rendezvous';
export const PLACEMENT_POLICIES: readonly PlacementPolicy[] = [
  'product',
  'modulo',
  'rendezvous',
];

interface SimShard {
  owner: string;
  readonly zone: number;
  /** Key of an isolated shard. */
  readonly key: number | null;
  /** Busy slots as the dispatcher's meter shows them. */
  measuredBusySlots: number;
  /** Busy slots in the latest report of the present owner. */
  reportedBusySlots: number;
  movedAtMs: number;
}

/** One service under one placement. */
export class Simulation {
  nowMs = 0;
  /** Moves so far by reason; isolated keys count as `hot-key`. */
  readonly moveCounts = new Map<AssignReason, number>();
  private liveServers: SimServer[];
  private readonly shards: SimShard[];
  private readonly isolatedShards = new Map<number, number>();
  private readonly hotKeyWatch = new HotKeyWatch();
  private loadReports = new Map<string, ServerLoad>();
  private leavingServers = new Set<string>();
  private version = 0;
  private loadCache: {
    readonly version: string;
    readonly loads: Float64Array;
    readonly hottestKeyByShard: readonly (number | undefined)[];
  } | null = null;

  constructor(
    readonly policy: PlacementPolicy,
    private readonly spec: ServiceSpec,
    servers: readonly SimServer[],
    private readonly keys: KeyWorkload,
    private readonly random: Random,
  ) {
    this.liveServers = [...servers];
    this.shards = Array.from({length: spec.shards}, (_, shard) => ({
      owner: '',
      zone: shard % spec.zones,
      key: null,
      measuredBusySlots: 0,
      reportedBusySlots: 0,
      movedAtMs: -Infinity,
    }));
    if (policy === 'product') this.placeInitially();
    else this.placeByHash();
  }

  /** Shards of a server. */
  countShardsOf(server: string): number {
    return this.shards.filter(s => s.owner === server).length;
  }

  /** Balance moves and isolated keys so far. */
  get totalMoves(): number {
    return [...this.moveCounts.values()].reduce((sum, n) => sum + n, 0);
  }

  /**
   * Runs for a time.
   *
   * @param durationMs - Length.
   * @param onSecond - Called after each second.
   */
  run(durationMs: number, onSecond: () => void = () => {}): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      if (this.nowMs % REPORT_INTERVAL_MS === 0) this.updateReports();
      if (this.policy === 'product') this.rebalance();
      this.nowMs += MOVE_DURATION_MS;
      if (this.nowMs % REPORT_INTERVAL_MS === 0) onSecond();
    }
  }

  /**
   * Loses a server.
   *
   * @returns Shards that moved at once.
   */
  removeServer(id: string): number {
    const server = this.liveServers.find(s => s.id === id)!;
    this.liveServers = this.liveServers.filter(s => s !== server);
    return this.policy === 'product'
      ? this.placeMatching(s => s.owner === id, 'server-lost', server.zone)
      : this.placeByHash();
  }

  /**
   * Adds a server.
   *
   * @returns Shards that moved at once.
   */
  addServer(server: SimServer): number {
    this.liveServers.push(server);
    return this.policy === 'product' ? 0 : this.placeByHash();
  }

  /**
   * Empties the servers of a batch.
   *
   * @returns Shards that moved.
   */
  drainBatch(batch: string): number {
    const ids = this.liveServers.filter(s => s.batch === batch).map(s => s.id);
    this.leavingServers = new Set(ids);
    if (this.policy !== 'product') {
      this.liveServers = this.liveServers.filter(
        s => !this.leavingServers.has(s.id),
      );
      return this.placeByHash();
    }
    let moved = 0;
    for (let zone = 0; zone < this.spec.zones; zone++) {
      moved += this.placeMatching(
        s => this.leavingServers.has(s.owner),
        'leaving',
        zone,
      );
    }
    this.liveServers = this.liveServers.filter(
      s => !this.leavingServers.has(s.id),
    );
    return moved;
  }

  /** True load of each live server over its true capacity. */
  utilisations(): number[] {
    const loads = this.trueShardLoads();
    const usedSlots = new Map<string, number>();
    this.shards.forEach((s, i) =>
      usedSlots.set(s.owner, (usedSlots.get(s.owner) ?? 0) + loads[i]!),
    );
    return this.liveServers.map(
      s => (usedSlots.get(s.id) ?? 0) / (s.slots * s.speed),
    );
  }

  /** Largest utilisation over that of an even spread. */
  imbalance(): number {
    const capacity = this.liveServers.reduce(
      (sum, s) => sum + s.slots * s.speed,
      0,
    );
    const load = this.trueShardLoads().reduce((a, b) => a + b, 0);
    return Math.max(...this.utilisations()) / (load / capacity);
  }

  /** Largest load of a zone over its capacity, over the same of all zones. */
  zoneImbalance(): number {
    const loads = this.trueShardLoads();
    const zoneByServer = new Map(this.liveServers.map(s => [s.id, s.zone]));
    const ratios = Array.from({length: this.spec.zones}, (_, zone) => {
      const load = this.shards.reduce(
        (sum, s, i) =>
          sum + (zoneByServer.get(s.owner) === zone ? loads[i]! : 0),
        0,
      );
      return load / this.sumCapacity(s => s.zone === zone);
    });
    const meanUtilisation =
      loads.reduce((a, b) => a + b, 0) / this.sumCapacity(() => true);
    return Math.max(...ratios) / meanUtilisation;
  }

  /** Lowest imbalance that the hottest key, which has one owner, allows. */
  lowestImbalance(): number {
    const maxCapacity = Math.max(
      ...this.liveServers.map(s => s.slots * s.speed),
    );
    const load = this.trueShardLoads().reduce((a, b) => a + b, 0);
    const meanUtilisation = load / this.sumCapacity(() => true);
    return Math.max(1, this.keys.hottestLoad / maxCapacity / meanUtilisation);
  }

  private sumCapacity(matches: (s: SimServer) => boolean): number {
    return this.liveServers
      .filter(matches)
      .reduce((sum, s) => sum + s.slots * s.speed, 0);
  }

  private trueShardLoads(): Float64Array {
    const version = `${this.version} ${this.keys.version}`;
    if (this.loadCache?.version !== version) {
      this.loadCache = {
        version,
        loads: this.computeShardLoads(),
        hottestKeyByShard: this.findHottestKeys(),
      };
    }
    return this.loadCache.loads;
  }

  private computeShardLoads(): Float64Array {
    const loads = new Float64Array(this.shards.length);
    const {shardByKey, loadByKey} = this.keys;
    for (let key = 0; key < loadByKey.length; key++) {
      loads[this.isolatedShards.get(key) ?? shardByKey[key]!]! +=
        loadByKey[key]!;
    }
    return loads;
  }

  /** One second of each dispatcher's meters, and its report. */
  private updateReports(): void {
    const loads = this.trueShardLoads();
    const serverById = new Map(this.liveServers.map(s => [s.id, s]));
    const {hottestKeyByShard} = this.loadCache!;
    const usedSlots = new Map<string, number>();
    this.shards.forEach((s, i) =>
      usedSlots.set(s.owner, (usedSlots.get(s.owner) ?? 0) + loads[i]!),
    );
    const smoothing = 1 - Math.exp(-REPORT_INTERVAL_MS / BUSY_TIME_CONSTANT_MS);
    const shardLoads = new Map<string, ShardLoad[]>();
    this.shards.forEach((s, shard) => {
      const server = serverById.get(s.owner);
      if (!server) return;
      // A server cannot be busier than its slots.
      const busySlots = usedSlots.get(s.owner)! / server.speed;
      const saturation = Math.min(1, server.slots / Math.max(busySlots, 1e-9));
      const load = loads[shard]!;
      const sample =
        (load / server.speed) * saturation * this.sampleNoise(load);
      s.measuredBusySlots += (sample - s.measuredBusySlots) * smoothing;
      s.reportedBusySlots =
        s.measuredBusySlots < IDLE_BUSY_SLOTS ? 0 : s.measuredBusySlots;
      if (s.reportedBusySlots === 0) return;
      const hotKey = s.key ?? hottestKeyByShard[shard] ?? null;
      const serverShardLoads = shardLoads.get(s.owner) ?? [];
      serverShardLoads.push({
        service: SERVICE_ID,
        shard,
        busySlots: s.measuredBusySlots,
        hotKey: hotKey === null ? null : String(hotKey),
        hotKeyShare: hotKey === null ? 0 : this.keys.loadByKey[hotKey]! / load,
      });
      shardLoads.set(s.owner, serverShardLoads);
    });
    this.loadReports = new Map(
      this.liveServers.map(s => [
        s.id,
        this.makeServerLoad(s, shardLoads.get(s.id) ?? []),
      ]),
    );
    if (this.policy === 'product') this.isolateHotKeys();
  }

  /** Spread of one second's busy time with exponential service times. */
  private sampleNoise(load: number): number {
    const requests = (load * REPORT_INTERVAL_MS) / BASE_SERVICE_TIME_MS;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) *
      Math.cos(2 * Math.PI * this.random());
    return Math.max(0, 1 + normal * Math.sqrt(2 / Math.max(requests, 0.1)));
  }

  private makeServerLoad(server: SimServer, shards: ShardLoad[]): ServerLoad {
    return {
      server: server.id,
      serviceTimeMs:
        (BASE_SERVICE_TIME_MS / server.speed) * (0.95 + 0.1 * this.random()),
      busySlots: shards.reduce((sum, s) => sum + s.busySlots, 0),
      queued: 0,
      shards,
    };
  }

  private findHottestKeys(): (number | undefined)[] {
    const hottestKeyByShard: (number | undefined)[] = [];
    const {shardByKey, loadByKey} = this.keys;
    for (let key = 0; key < loadByKey.length; key++) {
      if (this.isolatedShards.has(key)) continue;
      const hottestSoFar = hottestKeyByShard[shardByKey[key]!];
      if (
        hottestSoFar === undefined ||
        loadByKey[key]! > loadByKey[hottestSoFar]!
      ) {
        hottestKeyByShard[shardByKey[key]!] = key;
      }
    }
    return hottestKeyByShard;
  }

  private isolateHotKeys(): void {
    for (const server of this.liveServers) {
      const report = this.loadReports.get(server.id)!;
      for (const hotKey of this.hotKeyWatch.evaluate(
        report,
        server.slots,
        this.nowMs,
      )) {
        const key = Number(hotKey.key);
        const from = this.shards[hotKey.shard]!;
        if (from.key !== null || this.isolatedShards.has(key)) continue;
        this.isolatedShards.set(key, this.shards.length);
        this.shards.push({
          ...from,
          key,
          measuredBusySlots: 0,
          reportedBusySlots: 0,
          movedAtMs: -Infinity,
        });
        this.version += 1;
        this.countMove('hot-key');
      }
    }
  }

  /** Capacities as the assigner of a zone computes them. */
  private serverCapacities(zone: number): ServerCapacity[] {
    const zoneServers = this.liveServers.filter(s => s.zone === zone);
    return computeCapacities(zoneServers, this.loadReports).filter(
      t => !this.leavingServers.has(t.server),
    );
  }

  /** Loads as the assigner of a zone reads them from the latest reports. */
  private placedShards(zone: number): PlacedShard[] {
    return this.shards.flatMap((s, shard) =>
      s.zone === zone && s.owner !== ''
        ? {
            service: SERVICE_ID,
            shard,
            server: s.owner,
            load: s.reportedBusySlots,
          }
        : [],
    );
  }

  private rebalance(): void {
    for (let zone = 0; zone < this.spec.zones; zone++) {
      const placedShards = this.placedShards(zone);
      const capacities = this.serverCapacities(zone);
      for (let i = 0; i < MAX_BALANCE_MOVES; i++) {
        const move = planBalanceMove(
          placedShards,
          capacities,
          id => this.nowMs - this.shards[id.shard]!.movedAtMs >= SHARD_REST_MS,
        );
        if (!move) break;
        const index = placedShards.findIndex(p => p.shard === move.shard);
        placedShards[index] = {...placedShards[index]!, server: move.to};
        this.moveShard(move.shard, move.to, 'balance');
      }
    }
  }

  private placeInitially(): void {
    for (let zone = 0; zone < this.spec.zones; zone++) {
      this.placeMatching(() => true, 'initial', zone);
    }
    this.moveCounts.clear();
  }

  private placeMatching(
    matches: (s: SimShard) => boolean,
    reason: AssignReason,
    zone: number,
  ): number {
    const placedShards = this.placedShards(zone);
    const loadByShard = new Map(placedShards.map(p => [p.shard, p.load]));
    const shardsToPlace = this.shards.flatMap((s, shard) =>
      s.zone === zone && matches(s)
        ? {
            service: SERVICE_ID,
            shard,
            from: s.owner || null,
            load: loadByShard.get(shard) ?? 0,
          }
        : [],
    );
    const moves = placeShards(
      shardsToPlace,
      this.serverCapacities(zone),
      placedShards,
      reason,
    );
    for (const {shard, to} of moves) this.moveShard(shard, to, reason);
    return moves.length;
  }

  private placeByHash(): number {
    const servers = this.liveServers.map(s => ({
      server: s.id,
      capacity: s.slots * s.speed,
    }));
    const owners =
      this.policy === 'modulo'
        ? placeByModulo(this.spec.shards, servers)
        : placeByRendezvous(SERVICE_ID, this.spec.shards, servers);
    let moved = 0;
    owners.forEach((owner, shard) => {
      if (this.shards[shard]!.owner === owner) return;
      moved += 1;
      this.shards[shard]!.owner = owner;
    });
    return moved;
  }

  private moveShard(shard: number, to: string, reason: AssignReason): void {
    const s = this.shards[shard]!;
    s.owner = to;
    s.measuredBusySlots = 0;
    s.reportedBusySlots = 0;
    s.movedAtMs = this.nowMs;
    this.countMove(reason);
  }

  private countMove(reason: AssignReason): void {
    this.moveCounts.set(reason, (this.moveCounts.get(reason) ?? 0) + 1);
  }
}
