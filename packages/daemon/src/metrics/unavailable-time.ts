/** Unavailable time of shards, as one entry VM sees it. */
import type {Clock, Counter, Metrics} from '@wisteriarun/runtime';

/** Longest time between two tries that counts as unavailable. */
const MAX_GAP_MS = 10_000;
/** Shards that are followed at the same time; bounds the memory. */
const MAX_TRACKED_SHARDS = 4_096;

interface UnavailableShard {
  readonly service: string;
  /** Time of the latest failed try. */
  lastFailureMs: number;
}

/** Adds up the time for which shards had no owner that served them. */
export class UnavailableTime {
  private readonly totalMs: Counter;
  /** Shards whose latest try failed, as `service/shard`. */
  private readonly unavailableShards = new Map<string, UnavailableShard>();

  /**
   * @param metrics - Registry for the new metric.
   * @param clock - Clock of the process.
   */
  constructor(
    metrics: Metrics,
    private readonly clock: Clock,
  ) {
    this.totalMs = metrics.counter(
      'wisteriarun_unavailable_shard_ms_total',
      'Shard-milliseconds without a serving owner: for each shard, the time ' +
        'from a try at this VM that failed because the shard had no owner, no ' +
        'reachable dispatcher, or an owner that was unreachable, leaving or ' +
        'without a valid lease, to the next try of the shard, if that ' +
        `follows within ${MAX_GAP_MS} ms. Waits in the queue of a dispatcher ` +
        'and shards that no request asked for are not counted.',
    );
  }

  /**
   * Notes a try that was answered.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   */
  recordServed(service: string, shard: number): void {
    if (this.unavailableShards.size === 0) return;
    const id = `${service}/${shard}`;
    const unavailable = this.unavailableShards.get(id);
    if (!unavailable) return;
    this.addGap(unavailable);
    this.unavailableShards.delete(id);
  }

  /**
   * Notes a try that failed for lack of a serving owner.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   */
  recordUnserved(service: string, shard: number): void {
    const id = `${service}/${shard}`;
    const unavailable = this.unavailableShards.get(id);
    if (unavailable) {
      this.addGap(unavailable);
      return;
    }
    if (this.unavailableShards.size >= MAX_TRACKED_SHARDS) this.dropStale();
    if (this.unavailableShards.size >= MAX_TRACKED_SHARDS) return;
    this.unavailableShards.set(id, {
      service,
      lastFailureMs: this.clock.monotonicMs(),
    });
  }

  private addGap(unavailable: UnavailableShard): void {
    const nowMs = this.clock.monotonicMs();
    const gapMs = nowMs - unavailable.lastFailureMs;
    unavailable.lastFailureMs = nowMs;
    if (gapMs > MAX_GAP_MS) return;
    this.totalMs.add(gapMs, {service: unavailable.service});
  }

  private dropStale(): void {
    const fromMs = this.clock.monotonicMs() - MAX_GAP_MS;
    for (const [id, {lastFailureMs}] of this.unavailableShards) {
      if (lastFailureMs < fromMs) this.unavailableShards.delete(id);
    }
  }
}
