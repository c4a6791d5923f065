/** One VM's estimate of the load of one server. */
import type {ReportedLoad} from '../../types/index.js';
import {ServerPause} from './server-pause.js';

/** Weight of a new sample in the averages. */
const SAMPLE_WEIGHT = 0.2;
/**
 * Time constant of the decay from the last reported load to the average, as a
 * multiple of the time of a request: an old report says little about the present
 * load, but a queue of long requests changes slowly.
 */
const REPORT_DECAY_RATIO = 2;
/**
 * Time to the loss of a connection up to which the server has probably not run the
 * request, as a share of the time of a request.
 */
const QUICK_LOSS_RATIO = 0.25;
/** Requests for each slot that a server is assumed to have when it is full. */
const FULL_REQUESTS_PER_SLOT = 5;
/** Assumed time of a request before any was measured. */
const DEFAULT_WORK_MS = 80;
/** Number of consecutive failures that makes a server suspect. */
const SUSPECT_FAILURES = 2;
/** Time after a failure before a suspect server is tried with one request. */
const TRIAL_INTERVAL_MS = 250;

/** Estimates the load from the server's reports and the requests in flight. */
export class ServerLoadView {
  /**
   * Requests of this VM in flight at the server. The caller counts them, and
   * lowers the number before it calls `answered`.
   */
  inFlight = 0;
  /** Time for which the server wants no requests of this VM. */
  readonly pause = new ServerPause();
  #slots: number;
  /** Requests of other VMs at the server, according to the last report. */
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

  /**
   * Average time of a request as seen by this VM, network included, over the
   * requests for which `answered` returned true.
   */
  get workMs(): number {
    return this.#workMs;
  }

  /**
   * Returns the time since the server last reported its load.
   *
   * @param nowMs - Monotonic time.
   * @returns Milliseconds; `nowMs` itself before the first report.
   */
  reportAgeMs(nowMs: number): number {
    return nowMs - this.#reportedAtMs;
  }

  /**
   * Records an answer.
   *
   * @param load - Load that the answer reported; null without a report.
   * @param tookMs - Time from the start of the attempt, before it has a
   * connection, to the answer.
   * @param nowMs - Monotonic time.
   * @returns True when no request was waiting at the server when it answered,
   * which is taken as a sign that this one had not waited for a slot, or when
   * the answer has no report.
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
   * Adopts a reported load. All requests of the report beyond `inFlight` count
   * as those of other VMs.
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
   * Records that the server closed the connection of a request without an answer.
   * A server that does so at once is taken for full, unless a fresh report says
   * otherwise.
   *
   * @param tookMs - Time from the start of the attempt to the loss.
   * @param nowMs - Monotonic time.
   */
  connectionLost(tookMs: number, nowMs: number): void {
    if (tookMs > QUICK_LOSS_RATIO * this.#workMs) return;
    const isFresh = nowMs - this.#reportedAtMs <= this.#workMs;
    if (isFresh && this.requests(nowMs) < this.#slots) return;
    const fullRequests = FULL_REQUESTS_PER_SLOT * this.#slots - this.inFlight;
    this.#otherRequests = Math.max(this.#otherRequests, fullRequests);
    this.#reportedAtMs = nowMs;
  }

  /**
   * Records that the server could not be reached or did not answer.
   *
   * @param nowMs - Monotonic time.
   */
  failed(nowMs: number): void {
    this.#failures += 1;
    this.#failedAtMs = nowMs;
  }

  /**
   * Tells whether requests should go to other servers.
   *
   * @param nowMs - Monotonic time.
   * @returns True after consecutive failures, except when one trial request is
   * due.
   */
  isSuspect(nowMs: number): boolean {
    if (this.#failures < SUSPECT_FAILURES) return false;
    return this.inFlight > 0 || nowMs - this.#failedAtMs < TRIAL_INTERVAL_MS;
  }

  /**
   * Estimates how many requests are running or waiting at the server.
   *
   * @param nowMs - Monotonic time.
   * @returns The estimate; at least the requests of this VM in flight.
   */
  requests(nowMs: number): number {
    const ageMs = nowMs - this.#reportedAtMs;
    const freshness = Math.exp(-ageMs / (REPORT_DECAY_RATIO * this.#workMs));
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
