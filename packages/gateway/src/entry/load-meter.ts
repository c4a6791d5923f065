/** Measures the load of keys and the speed of servers, for the assigner. */
import type {GatewayMessage, KeyLoad, ServerPace} from '@wisteriarun/core';

/** Weight of a new sample in the average service time of a kind of request. */
const SAMPLE_WEIGHT = 0.02;
/** Assumed service time of a kind of request that has not been measured. */
const DEFAULT_WORK_MS = 80;

/** Total expected and measured service time of a server's requests. */
interface Pace {
  expectedMs: number;
  actualMs: number;
}

/** Accumulates samples between two load reports. */
export class LoadMeter {
  readonly #averageWorkMs = new Map<string, number>();
  readonly #meanWorkMs = new Map<string, number>();
  #keyLoads = new Map<string, Map<number, number>>();
  #paces = new Map<string, Pace>();

  /**
   * Average time that the servers take to run a request, without queueing.
   *
   * @param service - Name of the service.
   * @param kind - Kind of the request.
   * @returns Average service time in milliseconds.
   */
  workMs(service: string, kind: string): number {
    return this.#averageWorkMs.get(`${service} ${kind}`) ?? DEFAULT_WORK_MS;
  }

  /**
   * Average time that the servers take to run a request of any kind, over the
   * recent requests for keys of the service.
   *
   * @param service - Name of the service.
   * @returns Average service time in milliseconds.
   */
  meanWorkMs(service: string): number {
    return this.#meanWorkMs.get(service) ?? DEFAULT_WORK_MS;
  }

  /**
   * Adds a request to the load of its key, also when it is refused later.
   *
   * @param service - Name of the service.
   * @param kind - Kind of the request.
   * @param key - The key.
   */
  recordArrival(service: string, kind: string, key: number): void {
    const loadByKey = this.#keyLoads.get(service) ?? new Map<number, number>();
    const workMs = this.workMs(service, kind);
    loadByKey.set(key, (loadByKey.get(key) ?? 0) + workMs);
    this.#keyLoads.set(service, loadByKey);
    const meanMs = this.meanWorkMs(service);
    this.#meanWorkMs.set(service, meanMs + SAMPLE_WEIGHT * (workMs - meanMs));
  }

  /**
   * Records the time of a request that ran without queueing at its server.
   *
   * @param service - Name of the service.
   * @param kind - Kind of the request.
   * @param server - Id of the server.
   * @param tookMs - Time from sending the request to its answer.
   */
  recordRun(
    service: string,
    kind: string,
    server: string,
    tookMs: number,
  ): void {
    const expectedMs = this.workMs(service, kind);
    const pace = this.#paces.get(server) ?? {expectedMs: 0, actualMs: 0};
    pace.expectedMs += expectedMs;
    pace.actualMs += tookMs;
    this.#paces.set(server, pace);
    const averageMs = expectedMs + SAMPLE_WEIGHT * (tookMs - expectedMs);
    this.#averageWorkMs.set(`${service} ${kind}`, averageMs);
  }

  /**
   * Returns the samples since the last report and resets them.
   *
   * @returns The report; null when there are no samples.
   */
  takeReport(): Extract<GatewayMessage, {kind: 'load'}> | null {
    if (this.#keyLoads.size === 0 && this.#paces.size === 0) return null;
    const loads: KeyLoad[] = [...this.#keyLoads].map(([service, keys]) => ({
      service,
      samples: [...keys].flatMap(([key, workMs]) => [key, Math.round(workMs)]),
    }));
    const paces: ServerPace[] = [...this.#paces].map(([server, pace]) => ({
      server,
      expectedMs: Math.round(pace.expectedMs),
      actualMs: Math.round(pace.actualMs),
    }));
    this.#keyLoads = new Map();
    this.#paces = new Map();
    return {kind: 'load', loads, paces};
  }
}
