/** Metrics of the requests. */
import type {Clock, Counter, Histogram, Metrics} from '@wisteriarun/runtime';

/**
 * Time after the start before latencies are recorded. Building the histograms
 * takes CPU time that a starting process needs for its requests.
 */
const LATENCY_WARM_UP_MS = 8_000;

/** Counts requests by outcome and records their latencies. */
export class RequestMeter {
  readonly #requests: Counter;
  readonly #latency: Histogram;
  readonly #recordFromMs: number;

  /**
   * @param metrics - Metrics registry of the process.
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
   * Records a finished request.
   *
   * @param kind - Kind of the request.
   * @param outcome - Outcome of the request, as in the log.
   * @param cause - Why no server answered it; empty if one did.
   * @param tookMs - Time from the head of the request to its answer.
   */
  record(kind: string, outcome: string, cause: string, tookMs: number): void {
    this.#requests.add(1, {kind, outcome, cause});
    if (this.clock.monotonicMs() < this.#recordFromMs) return;
    this.#latency.record(tookMs, {kind});
  }
}
