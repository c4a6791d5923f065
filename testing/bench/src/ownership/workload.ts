/** Servers and keys of the simulated services. */
import type {Random} from '../capacity/stats.js';

/** Service time of a server of speed 1. */
export const BASE_SERVICE_TIME_MS = 10;
/** Total load divided by the total capacity. */
const LOAD_TO_CAPACITY_RATIO = 0.5;
const ZIPF_EXPONENT = 0.9;
/** Number of hottest keys that swap loads with random keys in `moveHotSet`. */
const HOT_KEY_COUNT = 20;
const MIN_SPEED = 0.5;
const MAX_SPEED = 2;

/** Name and size of a simulated service. All other fields are counts. */
export interface ServiceSpec {
  readonly name: string;
  readonly zones: number;
  readonly servers: number;
  /** Slots of each server. */
  readonly slots: number;
  readonly shards: number;
  readonly keys: number;
}

/** The keyed and the stream service of the two simulated deployments. */
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
  /** Speed relative to a server that takes `BASE_SERVICE_TIME_MS`. */
  readonly speed: number;
  readonly batch: string;
}

/**
 * Generates servers of unequal speed, spread evenly over the zones and over five
 * batches.
 *
 * @param spec - Service that the servers belong to.
 * @param random - Source of the speeds.
 * @returns The generated servers.
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

/**
 * Sums the true capacity of servers.
 *
 * @param servers - The servers.
 * @returns Capacity in slots of a server of speed 1.
 */
export function totalCapacity(servers: readonly SimServer[]): number {
  return servers.reduce((sum, s) => sum + s.slots * s.speed, 0);
}

/** Keys with a Zipf-distributed load, whose hottest keys can change. */
export class KeyWorkload {
  /** Shard that each key hashes to. */
  readonly shardByKey: Int32Array;
  /** Load of each key, in slots of a server of speed 1. */
  readonly loadByKey: Float64Array;
  /** Incremented whenever the loads change. */
  version = 0;
  private cachedHottestLoad: number | null = null;

  /**
   * @param spec - Service that the keys belong to.
   * @param capacity - Total capacity of the servers.
   * @param random - Source of the keys' shards and of the changes of the hot set.
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

  /** Swaps the load of each of the hottest keys with that of a random key. */
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

  /** Load of the hottest key. */
  get hottestLoad(): number {
    this.cachedHottestLoad ??= this.loadByKey.reduce(
      (a, b) => Math.max(a, b),
      0,
    );
    return this.cachedHottestLoad;
  }
}
