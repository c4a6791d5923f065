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
const SERVICE = 'svc';

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
  measured: number;
  /** Busy slots in the latest report of the present owner. */
  reported: number;
  movedAtMs: number;
}

/** One service under one placement. */
export class Simulation {
  nowMs = 0;
  /** Moves so far by reason; isolated keys count as `hot-key`. */
  readonly moveCounts = new Map<AssignReason, number>();
  private live: SimServer[];
  private readonly shards: SimShard[];
  private readonly isolated = new Map<number, number>();
  private readonly watch = new HotKeyWatch();
  private reports = new Map<string, ServerLoad>();
  private leaving = new Set<string>();
  private version = 0;
  private cached: {
    readonly version: string;
    readonly loads: Float64Array;
    readonly hottest: readonly (number | undefined)[];
  } | null = null;

  constructor(
    readonly policy: PlacementPolicy,
    private readonly spec: ServiceSpec,
    servers: readonly SimServer[],
    private readonly keys: KeyWorkload,
    private readonly random: Random,
  ) {
    this.live = [...servers];
    this.shards = Array.from({length: spec.shards}, (_, shard) => ({
      owner: '',
      zone: shard % spec.zones,
      key: null,
      measured: 0,
      reported: 0,
      movedAtMs: -Infinity,
    }));
    if (policy === 'product') this.placeFirst();
    else this.rehash();
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
      if (this.nowMs % REPORT_INTERVAL_MS === 0) this.report();
      if (this.policy === 'product') this.balance();
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
    const server = this.live.find(s => s.id === id)!;
    this.live = this.live.filter(s => s !== server);
    return this.policy === 'product'
      ? this.place(s => s.owner === id, 'server-lost', server.zone)
      : this.rehash();
  }

  /**
   * Adds a server.
   *
   * @returns Shards that moved at once.
   */
  addServer(server: SimServer): number {
    this.live.push(server);
    return this.policy === 'product' ? 0 : this.rehash();
  }

  /**
   * Empties the servers of a batch.
   *
   * @returns Shards that moved.
   */
  drainBatch(batch: string): number {
    const ids = this.live.filter(s => s.batch === batch).map(s => s.id);
    this.leaving = new Set(ids);
    if (this.policy !== 'product') {
      this.live = this.live.filter(s => !this.leaving.has(s.id));
      return this.rehash();
    }
    let moved = 0;
    for (let zone = 0; zone < this.spec.zones; zone++) {
      moved += this.place(s => this.leaving.has(s.owner), 'leaving', zone);
    }
    this.live = this.live.filter(s => !this.leaving.has(s.id));
    return moved;
  }

  /** True load of each live server over its true capacity. */
  utilisations(): number[] {
    const loads = this.trueLoads();
    const used = new Map<string, number>();
    this.shards.forEach((s, i) =>
      used.set(s.owner, (used.get(s.owner) ?? 0) + loads[i]!),
    );
    return this.live.map(s => (used.get(s.id) ?? 0) / (s.slots * s.speed));
  }

  /** Largest utilisation over that of an even spread. */
  imbalance(): number {
    const capacity = this.live.reduce((sum, s) => sum + s.slots * s.speed, 0);
    const load = this.trueLoads().reduce((a, b) => a + b, 0);
    return Math.max(...this.utilisations()) / (load / capacity);
  }

  /** Largest load of a zone over its capacity, over the same of all zones. */
  zoneImbalance(): number {
    const loads = this.trueLoads();
    const zoneOf = new Map(this.live.map(s => [s.id, s.zone]));
    const ratios = Array.from({length: this.spec.zones}, (_, zone) => {
      const load = this.shards.reduce(
        (sum, s, i) => sum + (zoneOf.get(s.owner) === zone ? loads[i]! : 0),
        0,
      );
      return load / this.capacity(s => s.zone === zone);
    });
    const all = loads.reduce((a, b) => a + b, 0) / this.capacity(() => true);
    return Math.max(...ratios) / all;
  }

  /** Lowest imbalance that the hottest key, which has one owner, allows. */
  lowestImbalance(): number {
    const fastest = Math.max(...this.live.map(s => s.slots * s.speed));
    const load = this.trueLoads().reduce((a, b) => a + b, 0);
    const mean = load / this.capacity(() => true);
    return Math.max(1, this.keys.hottestLoad / fastest / mean);
  }

  private capacity(of: (s: SimServer) => boolean): number {
    return this.live.filter(of).reduce((sum, s) => sum + s.slots * s.speed, 0);
  }

  private trueLoads(): Float64Array {
    const version = `${this.version} ${this.keys.version}`;
    if (this.cached?.version !== version) {
      this.cached = {
        version,
        loads: this.sumLoads(),
        hottest: this.hottestKeys(),
      };
    }
    return this.cached.loads;
  }

  private sumLoads(): Float64Array {
    const loads = new Float64Array(this.shards.length);
    const {shardByKey, loadByKey} = this.keys;
    for (let key = 0; key < loadByKey.length; key++) {
      loads[this.isolated.get(key) ?? shardByKey[key]!]! += loadByKey[key]!;
    }
    return loads;
  }

  /** One second of each dispatcher's meters, and its report. */
  private report(): void {
    const loads = this.trueLoads();
    const byId = new Map(this.live.map(s => [s.id, s]));
    const {hottest} = this.cached!;
    const used = new Map<string, number>();
    this.shards.forEach((s, i) =>
      used.set(s.owner, (used.get(s.owner) ?? 0) + loads[i]!),
    );
    const share = 1 - Math.exp(-REPORT_INTERVAL_MS / BUSY_TIME_CONSTANT_MS);
    const shardLoads = new Map<string, ShardLoad[]>();
    this.shards.forEach((s, shard) => {
      const server = byId.get(s.owner);
      if (!server) return;
      // A server cannot be busier than its slots.
      const busy = used.get(s.owner)! / server.speed;
      const cut = Math.min(1, server.slots / Math.max(busy, 1e-9));
      const load = loads[shard]!;
      const sample = (load / server.speed) * cut * this.noise(load);
      s.measured += (sample - s.measured) * share;
      s.reported = s.measured < IDLE_BUSY_SLOTS ? 0 : s.measured;
      if (s.reported === 0) return;
      const hot = s.key ?? hottest[shard] ?? null;
      const list = shardLoads.get(s.owner) ?? [];
      list.push({
        service: SERVICE,
        shard,
        busySlots: s.measured,
        hotKey: hot === null ? null : String(hot),
        hotKeyShare: hot === null ? 0 : this.keys.loadByKey[hot]! / load,
      });
      shardLoads.set(s.owner, list);
    });
    this.reports = new Map(
      this.live.map(s => [
        s.id,
        this.serverLoad(s, shardLoads.get(s.id) ?? []),
      ]),
    );
    if (this.policy === 'product') this.isolateHotKeys();
  }

  /** Spread of one second's busy time with exponential service times. */
  private noise(load: number): number {
    const requests = (load * REPORT_INTERVAL_MS) / BASE_SERVICE_TIME_MS;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) *
      Math.cos(2 * Math.PI * this.random());
    return Math.max(0, 1 + normal * Math.sqrt(2 / Math.max(requests, 0.1)));
  }

  private serverLoad(server: SimServer, shards: ShardLoad[]): ServerLoad {
    return {
      server: server.id,
      serviceTimeMs:
        (BASE_SERVICE_TIME_MS / server.speed) * (0.95 + 0.1 * this.random()),
      busySlots: shards.reduce((sum, s) => sum + s.busySlots, 0),
      queued: 0,
      shards,
    };
  }

  private hottestKeys(): (number | undefined)[] {
    const best: (number | undefined)[] = [];
    const {shardByKey, loadByKey} = this.keys;
    for (let key = 0; key < loadByKey.length; key++) {
      if (this.isolated.has(key)) continue;
      const known = best[shardByKey[key]!];
      if (known === undefined || loadByKey[key]! > loadByKey[known]!) {
        best[shardByKey[key]!] = key;
      }
    }
    return best;
  }

  private isolateHotKeys(): void {
    for (const server of this.live) {
      const report = this.reports.get(server.id)!;
      for (const hot of this.watch.evaluate(report, server.slots, this.nowMs)) {
        const key = Number(hot.key);
        const from = this.shards[hot.shard]!;
        if (from.key !== null || this.isolated.has(key)) continue;
        this.isolated.set(key, this.shards.length);
        this.shards.push({
          ...from,
          key,
          measured: 0,
          reported: 0,
          movedAtMs: -Infinity,
        });
        this.version += 1;
        this.count('hot-key');
      }
    }
  }

  /** Capacities as the assigner of a zone computes them. */
  private targets(zone: number): ServerCapacity[] {
    const own = this.live.filter(s => s.zone === zone);
    return computeCapacities(own, this.reports).filter(
      t => !this.leaving.has(t.server),
    );
  }

  /** Loads as the assigner of a zone reads them from the latest reports. */
  private placed(zone: number): PlacedShard[] {
    return this.shards.flatMap((s, shard) =>
      s.zone === zone && s.owner !== ''
        ? {
            service: SERVICE,
            shard,
            server: s.owner,
            load: s.reported,
          }
        : [],
    );
  }

  private balance(): void {
    for (let zone = 0; zone < this.spec.zones; zone++) {
      const placed = this.placed(zone);
      const targets = this.targets(zone);
      for (let i = 0; i < MAX_BALANCE_MOVES; i++) {
        const move = planBalanceMove(
          placed,
          targets,
          id => this.nowMs - this.shards[id.shard]!.movedAtMs >= SHARD_REST_MS,
        );
        if (!move) break;
        const at = placed.findIndex(p => p.shard === move.shard);
        placed[at] = {...placed[at]!, server: move.to};
        this.move(move.shard, move.to, 'balance');
      }
    }
  }

  private placeFirst(): void {
    for (let zone = 0; zone < this.spec.zones; zone++) {
      this.place(() => true, 'initial', zone);
    }
    this.moveCounts.clear();
  }

  private place(
    of: (s: SimShard) => boolean,
    reason: AssignReason,
    zone: number,
  ): number {
    const placed = this.placed(zone);
    const loadOf = new Map(placed.map(p => [p.shard, p.load]));
    const list = this.shards.flatMap((s, shard) =>
      s.zone === zone && of(s)
        ? {
            service: SERVICE,
            shard,
            from: s.owner || null,
            load: loadOf.get(shard) ?? 0,
          }
        : [],
    );
    const moves = placeShards(list, this.targets(zone), placed, reason);
    for (const {shard, to} of moves) this.move(shard, to, reason);
    return moves.length;
  }

  private rehash(): number {
    const servers = this.live.map(s => ({
      server: s.id,
      capacity: s.slots * s.speed,
    }));
    const owners =
      this.policy === 'modulo'
        ? placeByModulo(this.spec.shards, servers)
        : placeByRendezvous(SERVICE, this.spec.shards, servers);
    let moved = 0;
    owners.forEach((owner, shard) => {
      if (this.shards[shard]!.owner === owner) return;
      moved += 1;
      this.shards[shard]!.owner = owner;
    });
    return moved;
  }

  private move(shard: number, to: string, reason: AssignReason): void {
    const s = this.shards[shard]!;
    s.owner = to;
    s.measured = 0;
    s.reported = 0;
    s.movedAtMs = this.nowMs;
    this.count(reason);
  }

  private count(reason: AssignReason): void {
    this.moveCounts.set(reason, (this.moveCounts.get(reason) ?? 0) + 1);
  }
}
