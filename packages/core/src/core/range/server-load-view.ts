/** What one VM knows about the load of one server. */
import type {ReportedLoad} from '../../types/index.js';

/** Weight of a new sample in the averages. */
const SAMPLE_WEIGHT = 0.2;
/** Time after which a reported load says little about the present one. */
const REPORT_DECAY_MS = 150;
/** Time of a request before any was measured. */
const DEFAULT_WORK_MS = 80;
/** Failures after which a server is avoided. */
const SUSPECT_FAILURES = 2;
/** Time for which a suspect server is left alone between trials. */
const TRIAL_INTERVAL_MS = 250;

/** Present load as estimated from reports and the requests in flight. */
export class ServerLoadView {
  /** Requests that this VM has at the server. */
  inFlight = 0;
  #slots: number;
  #otherRequests = 0;
  #otherRequestsAverage = 0;
  #reportedAtMs = 0;
  #workMs = DEFAULT_WORK_MS;
  #failures = 0;
  #failedAtMs = 0;

  /**
   * @param slots - Requests that the server runs at a time.
   */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Requests that the server runs at a time. */
  get slots(): number {
    return this.#slots;
  }

  /** Average time of a request at the server, without waiting. */
  get workMs(): number {
    return this.#workMs;
  }

  /**
   * Milliseconds since the server last reported its load.
   *
   * @param nowMs - Monotonic time.
   * @returns The age; large before the first report.
   */
  reportAgeMs(nowMs: number): number {
    return nowMs - this.#reportedAtMs;
  }

  /**
   * Records an answer.
   *
   * @param load - Load that the answer reported; null without a report.
   * @param tookMs - Time from the send to the answer.
   * @param nowMs - Monotonic time.
   * @returns Whether the request ran without waiting, as far as can be told.
   */
  answered(load: ReportedLoad | null, tookMs: number, nowMs: number): boolean {
    this.#failures = 0;
    let ranAtOnce = true;
    if (load !== null) {
      this.reported(load, nowMs);
      ranAtOnce = load.waiting === 0;
    }
    if (ranAtOnce) this.#workMs += SAMPLE_WEIGHT * (tookMs - this.#workMs);
    return ranAtOnce;
  }

  /**
   * Adopts a reported load.
   *
   * @param load - The report.
   * @param nowMs - Monotonic time.
   */
  reported(load: ReportedLoad, nowMs: number): void {
    this.#slots = load.slots;
    const others = load.running + load.waiting - this.inFlight;
    this.#otherRequests = Math.max(0, others);
    this.#otherRequestsAverage +=
      SAMPLE_WEIGHT * (this.#otherRequests - this.#otherRequestsAverage);
    this.#reportedAtMs = nowMs;
  }

  /**
   * Records that the server could not be reached or fell silent.
   *
   * @param nowMs - Monotonic time.
   */
  failed(nowMs: number): void {
    this.#failures += 1;
    this.#failedAtMs = nowMs;
  }

  /**
   * Tells whether requests should go elsewhere.
   *
   * @param nowMs - Monotonic time.
   * @returns True after failures in a row, but for one trial at a time.
   */
  isSuspect(nowMs: number): boolean {
    if (this.#failures < SUSPECT_FAILURES) return false;
    return this.inFlight > 0 || nowMs - this.#failedAtMs < TRIAL_INTERVAL_MS;
  }

  /**
   * Estimates how many requests the server has, running and waiting.
   *
   * @param nowMs - Monotonic time.
   * @returns The estimate, at least the requests of this VM.
   */
  requests(nowMs: number): number {
    const ageMs = nowMs - this.#reportedAtMs;
    const freshness = Math.exp(-ageMs / REPORT_DECAY_MS);
    const others =
      this.#otherRequestsAverage +
      (this.#otherRequests - this.#otherRequestsAverage) * freshness;
    return this.inFlight + others;
  }

  /**
   * Estimates how long one more request would wait for a slot.
   *
   * @param nowMs - Monotonic time.
   * @returns Milliseconds.
   */
  waitMs(nowMs: number): number {
    const ahead = this.requests(nowMs) - this.#slots + 1;
    return ahead <= 0 ? 0 : (ahead * this.#workMs) / this.#slots;
  }
}
