/** Estimates the load of one server from the requests of its dispatcher. */
import type {ServerLoad, ShardLoad} from '../../types/index.js';

/** Time constant of the averages of busy slots and of the weights of keys. */
const BUSY_TIME_CONSTANT_MS = 10_000;
/** Weight of one request in the mean service times. */
const SERVICE_TIME_SAMPLE_WEIGHT = 0.1;
/**
 * Number of keys whose weight is tracked for each shard. A key with more than
 * 1/8 of the shard's weight is always among them.
 */
const SKETCH_CAPACITY = 8;
/**
 * Shards with nothing in flight and fewer busy slots than this are not reported,
 * and their estimates are discarded.
 */
const IDLE_BUSY_SLOTS = 0.001;

/** Exponentially weighted average of the number of requests in flight. */
class BusyMeter {
  inFlight = 0;
  private average = 0;

  constructor(private updatedMs: number) {}

  add(delta: number, nowMs: number): void {
    this.read(nowMs);
    this.inFlight += delta;
  }

  read(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    const decay = Math.exp(-elapsedMs / BUSY_TIME_CONSTANT_MS);
    this.average = this.inFlight + (this.average - this.inFlight) * decay;
    this.updatedMs = Math.max(this.updatedMs, nowMs);
    return this.average;
  }
}

/**
 * Space-Saving sketch: estimates which keys have the most weight in a fixed
 * amount of memory. Weights decay over time.
 */
export class KeySketch {
  private readonly weights = new Map<string, number>();
  private total = 0;
  private updatedMs = 0;

  /**
   * Adds weight to a key.
   *
   * @param key - The key.
   * @param weight - Busy time in milliseconds.
   * @param nowMs - Monotonic time.
   */
  add(key: string, weight: number, nowMs: number): void {
    this.decay(nowMs);
    this.total += weight;
    const knownWeight = this.weights.get(key);
    if (knownWeight !== undefined || this.weights.size < SKETCH_CAPACITY) {
      this.weights.set(key, (knownWeight ?? 0) + weight);
      return;
    }
    // The new key inherits the weight of the one that it replaces, which is the
    // most that it may have had before: weights may be too high, never too low.
    const [leastKey, leastWeight] = this.lightest();
    this.weights.delete(leastKey);
    this.weights.set(key, leastWeight + weight);
  }

  /**
   * Returns the key with the most weight.
   *
   * @returns The key and its share of the total weight, or null when no weight
   * was added.
   */
  hottest(): {key: string; share: number} | null {
    let best: {key: string; share: number} | null = null;
    for (const [key, weight] of this.weights) {
      const share = this.total > 0 ? weight / this.total : 0;
      if (!best || share > best.share) best = {key, share: Math.min(1, share)};
    }
    return best;
  }

  private lightest(): [string, number] {
    let result: [string, number] = ['', Infinity];
    for (const [key, weight] of this.weights) {
      if (weight < result[1]) result = [key, weight];
    }
    return result;
  }

  private decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = Math.max(this.updatedMs, nowMs);
    if (this.total === 0 || elapsedMs === 0) return;
    const factor = Math.exp(-elapsedMs / BUSY_TIME_CONSTANT_MS);
    this.total *= factor;
    for (const [key, weight] of this.weights) {
      this.weights.set(key, weight * factor);
    }
  }
}

interface ShardMeter {
  readonly service: string;
  readonly shard: number;
  readonly busy: BusyMeter;
  readonly keys: KeySketch;
  meanMs: number | null;
}

/** Measures service times and busy slots of one server and of its shards. */
export class ServerLoadMeter {
  private readonly busy: BusyMeter;
  private readonly shards = new Map<string, ShardMeter>();
  private meanMs: number | null = null;

  /**
   * @param server - Server id for the reports.
   * @param nowMs - Monotonic time.
   */
  constructor(
    private readonly server: string,
    nowMs: number,
  ) {
    this.busy = new BusyMeter(nowMs);
  }

  /** Mean service time in milliseconds; 0 before the first request. */
  get serviceTimeMs(): number {
    return this.meanMs ?? 0;
  }

  /**
   * Returns the mean service time of one shard.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @returns Milliseconds; the server's mean when no request of the shard has
   * finished.
   */
  shardServiceTimeMs(service: string, shard: number): number {
    return this.shards.get(`${service}/${shard}`)?.meanMs ?? this.serviceTimeMs;
  }

  /**
   * Counts a started request.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param nowMs - Monotonic time.
   */
  start(service: string, shard: number, nowMs: number): void {
    this.busy.add(1, nowMs);
    this.shard(service, shard, nowMs).busy.add(1, nowMs);
  }

  /**
   * Counts a finished request.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param key - The request's key.
   * @param durationMs - Time for which the request occupied its slot.
   * @param nowMs - Monotonic time.
   * @param countsInMean - False for a refusal, which would distort the mean
   * service time.
   */
  finish(
    service: string,
    shard: number,
    key: string,
    durationMs: number,
    nowMs: number,
    countsInMean = true,
  ): void {
    const meter = this.shard(service, shard, nowMs);
    this.busy.add(-1, nowMs);
    meter.busy.add(-1, nowMs);
    meter.keys.add(key, durationMs, nowMs);
    if (!countsInMean) return;
    this.meanMs = movingAverage(this.meanMs, durationMs);
    meter.meanMs = movingAverage(meter.meanMs, durationMs);
  }

  /**
   * Reports the load and discards the estimates of shards that became idle.
   *
   * @param queued - Number of waiting requests.
   * @param nowMs - Monotonic time.
   * @returns The report for the assigner.
   */
  report(queued: number, nowMs: number): ServerLoad {
    const shards: ShardLoad[] = [];
    for (const [id, meter] of this.shards) {
      const busySlots = meter.busy.read(nowMs);
      if (meter.busy.inFlight === 0 && busySlots < IDLE_BUSY_SLOTS) {
        this.shards.delete(id);
        continue;
      }
      const hottest = meter.keys.hottest();
      shards.push({
        service: meter.service,
        shard: meter.shard,
        busySlots,
        hotKey: hottest?.key ?? null,
        hotKeyShare: hottest?.share ?? 0,
      });
    }
    return {
      server: this.server,
      serviceTimeMs: this.serviceTimeMs,
      busySlots: this.busy.read(nowMs),
      queued,
      shards,
    };
  }

  private shard(service: string, shard: number, nowMs: number): ShardMeter {
    const id = `${service}/${shard}`;
    let meter = this.shards.get(id);
    if (!meter) {
      const busy = new BusyMeter(nowMs);
      meter = {service, shard, busy, keys: new KeySketch(), meanMs: null};
      this.shards.set(id, meter);
    }
    return meter;
  }
}

function movingAverage(mean: number | null, sampleMs: number): number {
  return mean === null
    ? sampleMs
    : mean + (sampleMs - mean) * SERVICE_TIME_SAMPLE_WEIGHT;
}
