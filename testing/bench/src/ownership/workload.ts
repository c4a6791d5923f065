/** Servers and keys of the two deployments, for the simulation. */
import type {Random} from '../capacity/stats.js';

/** Service time of a server of speed 1. */
export const BASE_SERVICE_TIME_MS = 10;
/** Share of all capacity that the load takes. */
const LOAD_TO_CAPACITY_RATIO = 0.5;
const ZIPF_EXPONENT = 0.9;
/** Ranks that go to other keys when the hot set moves. */
const HOT_KEY_COUNT = 20;
const MIN_SPEED = 0.5;
const MAX_SPEED = 2;

/** A service of a deployment. */
export interface ServiceSpec {
  readonly name: string;
  readonly zones: number;
  readonly servers: number;
  readonly slots: number;
  readonly shards: number;
  readonly keys: number;
}

/** The keyed and the stream service of both deployments. */
export const SERVICES: readonly ServiceSpec[] = [
  {
    name: 'ar-centro keyed',
    zones: 3,
    servers: 30,
    slots: 3,
    shards: 1024,
    keys: 100_000,
  },
  {
    name: 'ar-centro stream',
    zones: 3,
    servers: 6,
    slots: 3,
    shards: 128,
    keys: 5_000,
  },
  {
    name: 'santiago keyed',
    zones: 3,
    servers: 30,
    slots: 4,
    shards: 1024,
    keys: 100_000,
  },
  {
    name: 'santiago stream',
    zones: 3,
    servers: 6,
    slots: 4,
    shards: 128,
    keys: 5_000,
  },
];

/** A backend server with its true speed. */
export interface SimServer {
  readonly id: string;
  readonly zone: number;
  readonly slots: number;
  readonly speed: number;
  readonly batch: string;
}

/**
 * Draws servers of unequal speed, spread over the zones and five batches.
 *
 * @param spec - The service.
 * @param random - Source of the speeds.
 * @returns The servers.
 */
export function generateServers(
  spec: ServiceSpec,
  random: Random,
): SimServer[] {
  const logSpeedRange = Math.log(MAX_SPEED / MIN_SPEED);
  return Array.from({length: spec.servers}, (_, i) => ({
    id: `s${i + 1}`,
    zone: i % spec.zones,
    slots: spec.slots,
    speed: MIN_SPEED * Math.exp(random() * logSpeedRange),
    batch: `b${Math.floor((i * 5) / spec.servers) + 1}`,
  }));
}

/** True capacity in slots of a server of speed 1. */
export function totalCapacity(servers: readonly SimServer[]): number {
  return servers.reduce((sum, s) => sum + s.slots * s.speed, 0);
}

/** Keys with zipf-distributed load, whose hottest keys change. */
export class KeyWorkload {
  /** Hash shard of each key. */
  readonly shardByKey: Int32Array;
  /** Load of each key, in slots of a server of speed 1. */
  readonly loadByKey: Float64Array;
  /** Changes whenever the loads change. */
  version = 0;
  private cachedHottestLoad: number | null = null;

  /**
   * @param spec - The service.
   * @param capacity - Capacity of all servers.
   * @param random - Source of shards and of the order of the keys.
   */
  constructor(
    spec: ServiceSpec,
    capacity: number,
    private readonly random: Random,
  ) {
    this.shardByKey = Int32Array.from({length: spec.keys}, () =>
      Math.floor(random() * spec.shards),
    );
    const weights = Array.from(
      {length: spec.keys},
      (_, rank) => (rank + 1) ** -ZIPF_EXPONENT,
    );
    const total = weights.reduce((sum, w) => sum + w, 0);
    const scale = (capacity * LOAD_TO_CAPACITY_RATIO) / total;
    this.loadByKey = Float64Array.from(weights, w => w * scale);
  }

  /** Gives the load of the hottest keys to others, and theirs to them. */
  moveHotSet(): void {
    const {loadByKey} = this;
    this.version += 1;
    this.cachedHottestLoad = null;
    const hottest = [...loadByKey.keys()]
      .sort((a, b) => loadByKey[b]! - loadByKey[a]!)
      .slice(0, HOT_KEY_COUNT);
    for (const key of hottest) {
      const other = Math.floor(this.random() * loadByKey.length);
      [loadByKey[key], loadByKey[other]] = [loadByKey[other]!, loadByKey[key]!];
    }
  }

  /** The load of the hottest key. */
  get hottestLoad(): number {
    this.cachedHottestLoad ??= this.loadByKey.reduce(
      (a, b) => Math.max(a, b),
      0,
    );
    return this.cachedHottestLoad;
  }
}
