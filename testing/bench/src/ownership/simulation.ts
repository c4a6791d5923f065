/**
 * Simulates one service under one placement policy: the load reports of its
 * servers, and the placement decisions. The core's functions make the decisions;
 * there are no processes and no network.
 */
import {
  HotKeyDetector,
  MAX_BALANCE_MOVES,
  SHARD_MOVE_COOLDOWN_MS,
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

/** Duration of one planned move: a drain, two lease calls and one append. */
export const MOVE_DURATION_MS = 200;
/** Interval of the load reports, the same as in the daemon. */
const REPORT_INTERVAL_MS = 1_000;
/** Time constant of the average of busy slots, the same as in the core. */
const BUSY_TIME_CONSTANT_MS = 10_000;
/** Shards with fewer busy slots are not reported, as in the core. */
const IDLE_BUSY_SLOTS = 0.001;
const SERVICE_ID = 'svc';

/** Placement policy: that of the router, or one of the hashing baselines. */
export type PlacementPolicy = 'product' | 'modulo' | 'rendezvous';
/** All placement policies, in the order of the printed rows. */
export const PLACEMENT_POLICIES: readonly PlacementPolicy[] = [
  'product',
  'modulo',
  'rendezvous',
];

interface SimShard {
  owner: string;
  readonly zone: number;
  /** Key of a shard that holds one isolated key, otherwise null. */
  readonly key: number | null;
  /** Busy slots as the dispatcher measures them. */
  measuredBusySlots: number;
  /** Busy slots in the latest load report of the current owner. */
  reportedBusySlots: number;
  movedAtMs: number;
}

/** Simulation of one service under one placement policy. */
export class Simulation {
  /** Simulated time since the start. */
  nowMs = 0;
  /**
   * Moves so far by reason. Isolated keys count as `hot-key`; the initial
   * placement and moves by hashing are not counted.
   */
  readonly moveCounts = new Map<AssignReason, number>();
  private liveServers: SimServer[];
  private readonly shards: SimShard[];
  /** Shard of each isolated key. */
  private readonly shardByIsolatedKey = new Map<number, number>();
  private readonly hotKeyDetector = new HotKeyDetector();
  private loadReports = new Map<string, ServerLoad>();
  private leavingServers = new Set<string>();
  /** Incremented when a key is isolated, which changes the shards' loads. */
  private version = 0;
  private loadCache: {
    readonly version: string;
    readonly loads: Float64Array;
    readonly hottestKeyByShard: readonly (number | undefined)[];
  } | null = null;

  /**
   * @param policy - Policy that places the shards.
   * @param spec - Service to simulate.
   * @param servers - Servers at the start.
   * @param keys - Keys and their loads.
   * @param random - Source of the noise of the load reports.
   */
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

  /**
   * Counts the shards that a server owns.
   *
   * @param server - Identifier of the server.
   * @returns Number of shards.
   */
  countShardsOf(server: string): number {
    return this.shards.filter(s => s.owner === server).length;
  }

  /** Sum of `moveCounts`. */
  get totalMoves(): number {
    return [...this.moveCounts.values()].reduce((sum, n) => sum + n, 0);
  }

  /**
   * Advances the simulated time in steps of `MOVE_DURATION_MS`. Each step may
   * rebalance with as many moves per zone as may be in flight at a time.
   *
   * @param durationMs - Time to simulate.
   * @param onSecond - Called after each simulated second.
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
   * Removes a server that failed.
   *
   * @param id - Identifier of the server.
   * @returns Number of shards that moved immediately.
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
   * @param server - Server to add.
   * @returns Number of shards that moved immediately.
   */
  addServer(server: SimServer): number {
    this.liveServers.push(server);
    return this.policy === 'product' ? 0 : this.placeByHash();
  }

  /**
   * Moves all shards away from the servers of a batch and removes the servers.
   *
   * @param batch - Identifier of the batch.
   * @returns Number of shards that moved.
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

  /**
   * Computes the utilization of each live server: its true load divided by its
   * true capacity.
   *
   * @returns One ratio for each live server.
   */
  utilizations(): number[] {
    const loads = this.trueShardLoads();
    const usedSlots = new Map<string, number>();
    this.shards.forEach((s, i) =>
      usedSlots.set(s.owner, (usedSlots.get(s.owner) ?? 0) + loads[i]!),
    );
    return this.liveServers.map(
      s => (usedSlots.get(s.id) ?? 0) / (s.slots * s.speed),
    );
  }

  /**
   * Computes the imbalance of the servers.
   *
   * @returns Largest utilization of a server divided by the mean utilization.
   */
  imbalance(): number {
    const capacity = this.liveServers.reduce(
      (sum, s) => sum + s.slots * s.speed,
      0,
    );
    const load = this.trueShardLoads().reduce((a, b) => a + b, 0);
    return Math.max(...this.utilizations()) / (load / capacity);
  }

  /**
   * Computes the imbalance of the zones.
   *
   * @returns Largest utilization of a zone divided by the mean utilization.
   */
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
    const meanUtilization =
      loads.reduce((a, b) => a + b, 0) / this.sumCapacity(() => true);
    return Math.max(...ratios) / meanUtilization;
  }

  /**
   * Computes a lower bound of the imbalance, given by the hottest key: a key has
   * one owner, so its load cannot be spread.
   *
   * @returns The lower bound, at least 1.
   */
  lowestImbalance(): number {
    const maxCapacity = Math.max(
      ...this.liveServers.map(s => s.slots * s.speed),
    );
    const load = this.trueShardLoads().reduce((a, b) => a + b, 0);
    const meanUtilization = load / this.sumCapacity(() => true);
    return Math.max(1, this.keys.hottestLoad / maxCapacity / meanUtilization);
  }

  private sumCapacity(matches: (s: SimServer) => boolean): number {
    return this.liveServers
      .filter(matches)
      .reduce((sum, s) => sum + s.slots * s.speed, 0);
  }

  /** Returns the load of each shard in slots of a server of speed 1. */
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
      loads[this.shardByIsolatedKey.get(key) ?? shardByKey[key]!]! +=
        loadByKey[key]!;
    }
    return loads;
  }

  /** Advances the dispatchers' load meters by one interval and reports them. */
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
      // A server cannot have more busy slots than slots.
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

  /**
   * Draws the factor by which the busy time of one report interval differs from
   * its mean. The busy time is the sum of a random (Poisson) number of service
   * times with an exponential distribution, so its relative variance is 2
   * divided by the mean number. It is approximated by a normal distribution.
   */
  private sampleNoise(load: number): number {
    const requests = (load * REPORT_INTERVAL_MS) / BASE_SERVICE_TIME_MS;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) *
      Math.cos(2 * Math.PI * this.random());
    return Math.max(0, 1 + normal * Math.sqrt(2 / Math.max(requests, 0.1)));
  }

  /** Makes a server's load report, whose service time is up to 5% off. */
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

  /** Returns the key with the most load of each shard, isolated keys aside. */
  private findHottestKeys(): (number | undefined)[] {
    const hottestKeyByShard: (number | undefined)[] = [];
    const {shardByKey, loadByKey} = this.keys;
    for (let key = 0; key < loadByKey.length; key++) {
      if (this.shardByIsolatedKey.has(key)) continue;
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

  /** Gives each key that `HotKeyDetector` finds a shard of its own. */
  private isolateHotKeys(): void {
    for (const server of this.liveServers) {
      const report = this.loadReports.get(server.id)!;
      for (const hotKey of this.hotKeyDetector.evaluate(
        report,
        server.slots,
        this.nowMs,
      )) {
        const key = Number(hotKey.key);
        const from = this.shards[hotKey.shard]!;
        if (from.key !== null || this.shardByIsolatedKey.has(key)) continue;
        this.shardByIsolatedKey.set(key, this.shards.length);
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

  /**
   * Computes the capacities of a zone's servers from their load reports, as the
   * zone's assigner does. Servers of a leaving batch are left out.
   */
  private serverCapacities(zone: number): ServerCapacity[] {
    const zoneServers = this.liveServers.filter(s => s.zone === zone);
    return computeCapacities(zoneServers, this.loadReports).filter(
      t => !this.leavingServers.has(t.server),
    );
  }

  /** Returns the shards of a zone with the loads of the latest reports. */
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

  /** Plans balance moves in each zone as its assigner does, and makes them. */
  private rebalance(): void {
    for (let zone = 0; zone < this.spec.zones; zone++) {
      const placedShards = this.placedShards(zone);
      const capacities = this.serverCapacities(zone);
      for (let i = 0; i < MAX_BALANCE_MOVES; i++) {
        const move = planBalanceMove(
          placedShards,
          capacities,
          id =>
            this.nowMs - this.shards[id.shard]!.movedAtMs >=
            SHARD_MOVE_COOLDOWN_MS,
        );
        if (!move) break;
        const index = placedShards.findIndex(p => p.shard === move.shard);
        placedShards[index] = {...placedShards[index]!, server: move.to};
        this.moveShard(move.shard, move.to, 'balance');
      }
    }
  }

  /** Places all shards at the start, without counting moves. */
  private placeInitially(): void {
    for (let zone = 0; zone < this.spec.zones; zone++) {
      this.placeMatching(() => true, 'initial', zone);
    }
    this.moveCounts.clear();
  }

  /**
   * Places the matching shards of a zone on its servers.
   *
   * @returns Number of shards that moved.
   */
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

  /**
   * Places all shards by the hashing policy.
   *
   * @returns Number of shards whose owner changed.
   */
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
