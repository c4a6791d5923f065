/** Relative speeds of servers, estimated from the duration of requests. */

/** Time in which the weight of a sample halves. */
const HALF_LIFE_MS = 6_000;
/**
 * Weight of the assumption of speed 1: the estimate is computed as if requests
 * of this total time had been measured at speed 1 in addition. It keeps the
 * speed near 1 until enough requests were measured.
 */
const PRIOR_MS = 400;
const MIN_SPEED = 0.1;
const MAX_SPEED = 4;

interface DecayedSums {
  expectedMs: number;
  actualMs: number;
  updatedAtMs: number;
}

/**
 * Estimates the speed of a server as the expected time of its requests divided
 * by the time that they took. The expected time is the average over all servers,
 * so an average server has speed 1.
 */
export class ServerSpeeds {
  readonly #servers = new Map<string, DecayedSums>();

  /**
   * Adds measurements of one server.
   *
   * @param server - Id of the server.
   * @param expectedMs - Time of the requests on a server of speed 1.
   * @param actualMs - Time that they took, without waiting.
   * @param nowMs - Monotonic time.
   */
  add(
    server: string,
    expectedMs: number,
    actualMs: number,
    nowMs: number,
  ): void {
    const sums = this.#servers.get(server) ?? {
      expectedMs: 0,
      actualMs: 0,
      updatedAtMs: nowMs,
    };
    const factor = 0.5 ** ((nowMs - sums.updatedAtMs) / HALF_LIFE_MS);
    sums.expectedMs = sums.expectedMs * factor + expectedMs;
    sums.actualMs = sums.actualMs * factor + actualMs;
    sums.updatedAtMs = nowMs;
    this.#servers.set(server, sums);
  }

  /**
   * Returns the speed of a server.
   *
   * @param server - Id of the server.
   * @returns 1 for an average or unknown server, 2 for one twice as fast.
   */
  of(server: string): number {
    const sums = this.#servers.get(server);
    if (sums === undefined) return 1;
    const speed = (sums.expectedMs + PRIOR_MS) / (sums.actualMs + PRIOR_MS);
    return Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
  }

  /**
   * Forgets a server.
   *
   * @param server - Id of the server.
   */
  forget(server: string): void {
    this.#servers.delete(server);
  }
}
