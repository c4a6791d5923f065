/** Counts requests for the metrics. */
import type {Clock, Counter, Histogram, Metrics} from '@wisteriarun/runtime';

/**
 * Time after the start from which latencies are recorded. Building histograms
 * takes processor time that a starting process needs for its requests.
 */
const LATENCY_WARM_UP_MS = 8_000;

/** Counts outcomes and records latencies. */
export class RequestMeter {
  readonly #requests: Counter;
  readonly #latency: Histogram;
  readonly #recordFromMs: number;

  /**
   * @param metrics - Metrics of the process.
   * @param clock - Clock of the process.
   */
  constructor(
    metrics: Metrics,
    private readonly clock: Clock,
  ) {
    this.#recordFromMs = clock.monotonicMs() + LATENCY_WARM_UP_MS;
    this.#requests = metrics.counter(
      'wisteriarun_requests_total',
      'Requests of callers by kind, outcome and cause',
    );
    this.#latency = metrics.histogram(
      'wisteriarun_request_milliseconds',
      'Time from the head of a request to its answer',
    );
  }

  /**
   * Records a request that was settled.
   *
   * @param kind - Kind of the request.
   * @param outcome - How it ended.
   * @param cause - Why it was not answered by a server; empty otherwise.
   * @param tookMs - Time that it took.
   */
  record(kind: string, outcome: string, cause: string, tookMs: number): void {
    this.#requests.add(1, {kind, outcome, cause});
    if (this.clock.monotonicMs() < this.#recordFromMs) return;
    this.#latency.record(tookMs, {kind});
  }
}
