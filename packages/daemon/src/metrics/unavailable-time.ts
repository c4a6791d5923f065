/** Time for which shards were unavailable, as one entry VM observes it. */
import type {Clock, Counter, Metrics} from '@wisteriarun/runtime';

/** Longest gap between two tries of a shard that counts as unavailable time. */
const MAX_GAP_MS = 10_000;
/** Largest number of unavailable shards that are tracked; bounds the memory. */
const MAX_TRACKED_SHARDS = 4_096;

/** A shard whose latest try failed. */
interface UnavailableShard {
  readonly service: string;
  /**
   * Monotonic time of the latest failed try, or of the moment at which a request
   * gave up waiting for another try.
   */
  lastFailureMs: number;
}

/** Sums up the time for which shards had no owner that served them. */
export class UnavailableTime {
  private readonly totalMs: Counter;
  /** Shards whose latest try failed, keyed by `service/shard`. */
  private readonly unavailableShards = new Map<string, UnavailableShard>();

  /**
   * @param metrics - Registry that the metric is added to.
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
   * Records a try that was answered, which ends the shard's unavailable time.
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
   * Records that no owner served the shard: when a try fails for this reason,
   * and again when the request gives up waiting for another try.
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
