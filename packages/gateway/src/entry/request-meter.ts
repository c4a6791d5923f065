/** Counts requests for the metrics. */
import type {Counter, Histogram, Metrics} from '@wisteriarun/runtime';

/** Counts outcomes and records latencies. */
export class RequestMeter {
  readonly #requests: Counter;
  readonly #latency: Histogram;

  /**
   * @param metrics - Metrics of the process.
   */
  constructor(metrics: Metrics) {
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
    this.#latency.record(tookMs, {kind});
  }
}
