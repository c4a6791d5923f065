/** Relative speeds of servers, from the time that requests took. */

/** Samples are forgotten by half in this time. */
const HALF_LIFE_MS = 6_000;
/** Weight, in milliseconds of server time, of the assumption of speed 1. */
const PRIOR_MS = 400;
const MIN_SPEED = 0.1;
const MAX_SPEED = 4;

interface DecayedSums {
  expectedMs: number;
  actualMs: number;
  updatedAtMs: number;
}

/** Compares what requests took with what they take on a common server. */
export class ServerSpeeds {
  readonly #servers = new Map<string, DecayedSums>();

  /**
   * Adds measurements of one server.
   *
   * @param server - Id of the server.
   * @param expectedMs - Time of the requests on a common server.
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
   * Speed of a server.
   *
   * @param server - Id of the server.
   * @returns 1 for a common server, 2 for one that is twice as fast.
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
