/** Metrics of the process, the log, the peers, the leases and the servers. */
import {monitorEventLoopDelay, type IntervalHistogram} from 'node:perf_hooks';
import type {
  Clock,
  Counter,
  Gauge,
  Histogram,
  Metrics,
} from '@wisteriarun/runtime';
import type {AppendState} from '../control/log-tail.js';
import type {FoldedRecord} from '../control/state-replica.js';
import type {LeaseMeter} from '../control/types.js';
import type {ServerUsage} from '../request/server-dispatcher.js';

/**
 * Sampling interval of the event-loop delay. Each sample contains it, so it is
 * subtracted before the delay is published.
 */
const DELAY_SAMPLE_INTERVAL_MS = 10;
/** Length of the window over which the event-loop delay is measured. */
const DELAY_WINDOW_MS = 10_000;
/** Time for which an expired lease is still published, with 0 ms left. */
const EXPIRED_LEASE_KEEP_MS = 60_000;
const NS_PER_US = 1_000;
/** Published quantiles of the event-loop delay; 1 is the largest delay. */
const DELAY_QUANTILES = [0.5, 0.99, 1] as const;

/** Sources of the values that are read whenever the metrics are rendered. */
export interface DaemonReadings {
  readonly clock: Clock;
  readonly serverUsages: () => readonly ServerUsage[];
  readonly logAvailable: () => boolean;
  readonly offset: () => number;
  readonly peersConnected: () => number;
}

/** Registers the metrics of the daemon and updates them. */
export class DaemonMetrics implements LeaseMeter {
  private readonly leaseCalls: Counter;
  private readonly leaseTimeLeft: Gauge;
  private readonly appendDurations: Histogram;
  private readonly shardsMoved: Counter;
  private readonly inFlight: Gauge;
  private readonly queued: Gauge;
  private readonly slots: Gauge;
  private readonly logUp: Gauge;
  private readonly offset: Gauge;
  private readonly connectedPeers: Gauge;
  private readonly loopDelay: Gauge;
  private readonly memory: Gauge;
  /** Monotonic time at which the latest lease of each server expires. */
  private readonly leaseExpiriesMs = new Map<string, number>();
  private readonly delayHistogram: IntervalHistogram;
  private windowStartMs: number;

  /**
   * @param metrics - Registry that the metrics are added to.
   * @param readings - Sources of the current values.
   */
  constructor(
    metrics: Metrics,
    private readonly readings: DaemonReadings,
  ) {
    const gauge = metrics.gauge.bind(metrics);
    this.inFlight = gauge(
      'wisteriarun_server_in_flight',
      'Requests that run at a server that this VM dispatches.',
    );
    this.queued = gauge(
      'wisteriarun_server_queue_length',
      'Requests that wait for a server that this VM dispatches.',
    );
    this.slots = gauge(
      'wisteriarun_server_slots',
      'Slots that this VM may use now at a server that it dispatches.',
    );
    this.leaseCalls = metrics.counter(
      'wisteriarun_lease_calls_total',
      'Lease calls of the assigners of this VM; failed: no answer, refused: ' +
        'the server knows a newer term or has restarted.',
    );
    this.leaseTimeLeft = gauge(
      'wisteriarun_lease_time_left_ms',
      'Time until the lease of a server of this assigner expires; 0 when it ' +
        'has expired.',
    );
    this.logUp = gauge(
      'wisteriarun_log_up',
      '1 while the latest read of the log service succeeded, else 0.',
    );
    this.offset = gauge(
      'wisteriarun_log_offset',
      'Offset of the folded state.',
    );
    this.appendDurations = metrics.histogram(
      'wisteriarun_log_append_ms',
      'Time of appends to the log with their retries, in milliseconds.',
    );
    this.connectedPeers = gauge(
      'wisteriarun_peers_connected',
      'Entry VMs with an open control link.',
    );
    this.shardsMoved = metrics.counter(
      'wisteriarun_shards_moved_total',
      'Shards that accepted assign records gave to an owner since the start ' +
        'of this process, in the whole deployment; initial: had none before.',
    );
    this.loopDelay = gauge(
      'wisteriarun_event_loop_delay_us',
      'Delay of the event loop in the latest window, in microseconds; ' +
        'quantile 1 is the largest.',
    );
    this.memory = gauge(
      'wisteriarun_resident_memory_bytes',
      'Resident memory of the process.',
    );
    this.windowStartMs = readings.clock.monotonicMs();
    this.delayHistogram = monitorEventLoopDelay({
      resolution: DELAY_SAMPLE_INTERVAL_MS,
    });
    this.delayHistogram.enable();
    metrics.onRender(() => this.collect());
  }

  recordRenewed(server: string, leftMs: number): void {
    this.leaseCalls.add(1, {result: 'renewed'});
    this.leaseExpiriesMs.set(
      server,
      this.readings.clock.monotonicMs() + leftMs,
    );
  }

  recordFailed(): void {
    this.leaseCalls.add(1, {result: 'failed'});
  }

  recordRefused(): void {
    this.leaseCalls.add(1, {result: 'refused'});
  }

  /**
   * Records an append to the log.
   *
   * @param result - Result of the append.
   * @param durationMs - Duration including all retries.
   */
  recordAppend(result: AppendState, durationMs: number): void {
    this.appendDurations.record(durationMs, {result});
  }

  /**
   * Counts the shards that an accepted assign record gave to an owner.
   *
   * @param folded - A folded record.
   */
  onFolded({verdict}: FoldedRecord): void {
    if (verdict.kind !== 'accepted' || verdict.record.kind !== 'assign') return;
    for (const {service, reason, server} of verdict.record.changes) {
      if (server !== null) this.shardsMoved.add(1, {service, reason});
    }
  }

  /**
   * Publishes the event-loop delay and begins a new window when one is over.
   */
  closeWindowIfDue(): void {
    const nowMs = this.readings.clock.monotonicMs();
    if (nowMs - this.windowStartMs < DELAY_WINDOW_MS) return;
    this.windowStartMs = nowMs;
    this.setLoopDelay();
    this.delayHistogram.reset();
  }

  /** Stops sampling the event loop. */
  close(): void {
    this.delayHistogram.disable();
  }

  private setLoopDelay(): void {
    for (const quantile of DELAY_QUANTILES) {
      const ns =
        quantile === 1
          ? this.delayHistogram.max
          : this.delayHistogram.percentile(quantile * 100);
      const delayUs = ns / NS_PER_US - DELAY_SAMPLE_INTERVAL_MS * 1_000;
      this.loopDelay.set(Math.max(0, Math.round(delayUs)), {quantile});
    }
  }

  private collect(): void {
    const {serverUsages, logAvailable, offset, peersConnected} = this.readings;
    for (const gauge of [this.inFlight, this.queued, this.slots]) gauge.clear();
    for (const {server, inFlight, queued, limit} of serverUsages()) {
      this.inFlight.set(inFlight, {server});
      this.queued.set(queued, {server});
      this.slots.set(limit, {server});
    }
    this.collectLeases();
    this.logUp.set(logAvailable() ? 1 : 0);
    this.offset.set(offset());
    this.connectedPeers.set(peersConnected());
    this.memory.set(process.memoryUsage.rss());
  }

  private collectLeases(): void {
    const nowMs = this.readings.clock.monotonicMs();
    this.leaseTimeLeft.clear();
    for (const [server, expiresAtMs] of this.leaseExpiriesMs) {
      const leftMs = Math.round(expiresAtMs - nowMs);
      if (leftMs < -EXPIRED_LEASE_KEEP_MS) this.leaseExpiriesMs.delete(server);
      else this.leaseTimeLeft.set(Math.max(0, leftMs), {server});
    }
  }
}
