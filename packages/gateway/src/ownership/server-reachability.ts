/** Failure detector of the assigner. */

/** Time of failing calls after which a server counts as unreachable. */
const UNREACHABLE_AFTER_MS = 700;
/** Time for which a server stays unreachable after its last failed call. */
const AVOID_MS = 2_000;

interface FailureState {
  readonly failingSinceMs: number;
  avoidUntilMs: number;
}

/** Tracks which servers answer the assigner's calls. */
export class ServerReachability {
  readonly #servers = new Map<string, FailureState>();

  /**
   * Records that a server answered a call.
   *
   * @param server - Id of the server.
   */
  answered(server: string): void {
    this.#servers.delete(server);
  }

  /**
   * Forgets the failures of the earlier incarnation of a server that has started
   * again.
   *
   * @param server - Id of the server.
   */
  restarted(server: string): void {
    this.#servers.delete(server);
  }

  /**
   * Records that a server did not answer a call.
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
   * Tells whether the last call to a server failed.
   *
   * @param server - Id of the server.
   * @returns True from an unanswered call to the next answer.
   */
  isFailing(server: string): boolean {
    return this.#servers.has(server);
  }

  /**
   * Tells whether a server should get no keys, and lose the keys that it owns once
   * its grants have lapsed.
   *
   * @param server - Id of the server.
   * @param nowMs - Monotonic time.
   * @returns True when calls have failed for some time without an answer.
   */
  isUnreachable(server: string, nowMs: number): boolean {
    const state = this.#servers.get(server);
    return state !== undefined && state.avoidUntilMs > nowMs;
  }
}
