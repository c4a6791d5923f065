/** Metrics of the request path. */
import {REASONS, type Reason} from '@wisteriarun/core';
import type {
  Counter,
  CounterSeries,
  Histogram,
  HistogramSeries,
  Metrics,
} from '@wisteriarun/runtime';
import type {DispatchMeter, EntryMeter} from '../request/types.js';
import type {UnavailableTime} from './unavailable-time.js';

/** Service label for requests to a service that the bundle does not list. */
const NO_SERVICE = '(none)';
const US_PER_MS = 1_000;

/** Series of one service, cached so that requests need not format labels. */
interface ServiceSeries {
  readonly outcomes: Map<Reason | null, CounterSeries>;
  readonly duration: HistogramSeries;
  readonly routerTime: HistogramSeries;
  readonly queueWait: HistogramSeries;
}

/** Counts requests and measures their durations by service. */
export class RequestMeter implements EntryMeter, DispatchMeter {
  private readonly requests: Counter;
  private readonly duration: Histogram;
  private readonly routerTime: Histogram;
  private readonly queueWait: Histogram;
  private readonly services = new Map<string | null, ServiceSeries>();

  /**
   * @param metrics - Registry that the metrics are added to.
   * @param unavailableTime - Receives the served and unserved tries of shards.
   */
  constructor(
    metrics: Metrics,
    private readonly unavailableTime: UnavailableTime,
  ) {
    this.requests = metrics.counter(
      'wisteriarun_requests_total',
      'Requests of callers that ended at this VM, by outcome; those that are ' +
        'malformed before a service is known are not counted.',
    );
    this.duration = metrics.histogram(
      'wisteriarun_request_duration_us',
      "Time at this VM from a request's head to its answer's head or failure, " +
        'in microseconds; the request body is included.',
    );
    this.routerTime = metrics.histogram(
      'wisteriarun_router_time_us',
      "Part of an answered request's duration that its server did not take, " +
        'in microseconds: routing, relay, queue and retries.',
    );
    this.queueWait = metrics.histogram(
      'wisteriarun_queue_wait_us',
      'Time that started requests waited at this VM for a slot of their ' +
        'server, in microseconds.',
    );
  }

  recordRequest(
    service: string | null,
    reason: Reason | null,
    durationMs: number,
    serverMs: number | null,
  ): void {
    const series = this.seriesOf(service);
    const outcome =
      series.outcomes.get(reason) ?? this.addOutcome(series, service, reason);
    outcome.add();
    series.duration.record(durationMs * US_PER_MS);
    if (serverMs === null) return;
    series.routerTime.record((durationMs - serverMs) * US_PER_MS);
  }

  recordServed(service: string, shard: number): void {
    this.unavailableTime.recordServed(service, shard);
  }

  recordUnserved(service: string, shard: number): void {
    this.unavailableTime.recordUnserved(service, shard);
  }

  recordQueueWait(service: string, waitMs: number): void {
    this.seriesOf(service).queueWait.record(waitMs * US_PER_MS);
  }

  private seriesOf(service: string | null): ServiceSeries {
    return this.services.get(service) ?? this.addService(service);
  }

  private addService(service: string | null): ServiceSeries {
    const labels = {service: service ?? NO_SERVICE};
    const series = {
      outcomes: new Map<Reason | null, CounterSeries>(),
      duration: this.duration.series(labels),
      routerTime: this.routerTime.series(labels),
      queueWait: this.queueWait.series(labels),
    };
    this.services.set(service, series);
    return series;
  }

  private addOutcome(
    {outcomes}: ServiceSeries,
    service: string | null,
    reason: Reason | null,
  ): CounterSeries {
    const outcome = reason === null ? 'answered' : REASONS[reason].outcome;
    const series = this.requests.series({
      service: service ?? NO_SERVICE,
      outcome,
      reason: reason ?? '',
    });
    outcomes.set(reason, series);
    return series;
  }
}
