/** Which servers answer the assigner. */

/** Time without an answer after which a server's grants are left to lapse. */
const UNREACHABLE_AFTER_MS = 700;
/** Time for which a server that did not answer gets no more keys. */
const AVOID_MS = 2_000;

interface FailureState {
  readonly failingSinceMs: number;
  avoidUntilMs: number;
}

/** Counts answered and unanswered calls to servers. */
export class ServerReachability {
  readonly #servers = new Map<string, FailureState>();

  /**
   * Records an answer.
   *
   * @param server - Id of the server.
   */
  answered(server: string): void {
    this.#servers.delete(server);
  }

  /**
   * Records a call without an answer.
   *
   * @param server - Id of the server.
   * @param nowMs - Monotonic time.
   */
  failed(server: string, nowMs: number): void {
    const state = this.#servers.get(server);
    if (state === undefined) {
      this.#servers.set(server, {failingSinceMs: nowMs, avoidUntilMs: 0});
      return;
    }
    if (nowMs - state.failingSinceMs >= UNREACHABLE_AFTER_MS) {
      state.avoidUntilMs = nowMs + AVOID_MS;
    }
  }

  /**
   * Tells whether the last call had no answer.
   *
   * @param server - Id of the server.
   * @returns True from an unanswered call to the next answer.
   */
  isFailing(server: string): boolean {
    return this.#servers.has(server);
  }

  /**
   * Tells whether a server's keys should go to others.
   *
   * @param server - Id of the server.
   * @param nowMs - Monotonic time.
   * @returns True after calls without an answer for some time.
   */
  isUnreachable(server: string, nowMs: number): boolean {
    const state = this.#servers.get(server);
    return state !== undefined && state.avoidUntilMs > nowMs;
  }
}
