/** Until when servers may hold the keys that they were granted. */
import type {KeyRange} from '../../types/index.js';

/** A server's clock may run this much slower than ours. */
const CLOCK_DRIFT = 1.02;
/** Delay of a grant on its way, and of timers on both sides. */
const TRANSIT_MS = 100;

interface Hold extends KeyRange {
  readonly service: string;
  readonly server: string;
  readonly bornMs: number;
  readonly untilMs: number;
  /** True for a grant without an answer, which may take effect late. */
  readonly isUncertain: boolean;
}

/**
 * Upper bounds of holds. A grant counts from the moment it was sent, whether
 * or not it was answered, since it may take effect late.
 */
export class HoldLedger {
  #holds: Hold[] = [];

  /**
   * Records that a server may hold keys from now on.
   *
   * @param grant - Keys with the incarnation of the server.
   * @param holdMs - Granted time.
   * @param nowMs - Monotonic time after the grant was sent.
   * @param isUncertain - Whether no answer came.
   */
  extend(
    grant: KeyRange & {service: string; server: string; bornMs: number},
    holdMs: number,
    nowMs: number,
    isUncertain: boolean,
  ): void {
    const {service, server, bornMs, fromKey, toKey} = grant;
    const untilMs = nowMs + holdMs * CLOCK_DRIFT + TRANSIT_MS;
    this.#holds = this.#holds.filter(
      hold =>
        hold.untilMs > nowMs &&
        !(
          hold.server === server &&
          hold.service === service &&
          hold.bornMs === bornMs &&
          hold.fromKey >= fromKey &&
          hold.toKey <= toKey &&
          hold.isUncertain === isUncertain &&
          hold.untilMs <= untilMs
        ),
    );
    this.#holds.push({
      service,
      server,
      bornMs,
      fromKey,
      toKey,
      untilMs,
      isUncertain,
    });
  }

  /**
   * Forgets holds of keys that a server has given back. Those of unanswered
   * grants stay: they may take effect after the release.
   *
   * @param service - Name of the service.
   * @param server - Id of the server.
   * @param keys - Keys that it released.
   */
  release(service: string, server: string, keys: KeyRange): void {
    this.#holds = this.#holds.flatMap(hold =>
      !hold.isUncertain && hold.service === service && hold.server === server
        ? subtract(hold, keys)
        : [hold],
    );
  }

  /**
   * Forgets holds of unanswered grants that a server refuses from now on,
   * because it has accepted a higher fence on the keys.
   *
   * @param service - Name of the service.
   * @param server - Id of the server.
   * @param keys - Keys that it was granted with the higher fence.
   */
  fenced(service: string, server: string, keys: KeyRange): void {
    this.#holds = this.#holds.flatMap(hold =>
      hold.isUncertain && hold.service === service && hold.server === server
        ? subtract(hold, keys)
        : [hold],
    );
  }

  /**
   * Forgets all holds of earlier incarnations: a server that starts holds
   * nothing.
   *
   * @param server - Id of the server.
   * @param bornMs - Start of its present incarnation.
   */
  restarted(server: string, bornMs: number): void {
    this.#holds = this.#holds.filter(
      hold => hold.server !== server || hold.bornMs >= bornMs,
    );
  }

  /**
   * Latest end of the holds of other servers on some keys.
   *
   * @param service - Name of the service.
   * @param keys - The keys.
   * @param server - Server whose own holds do not count; null for none.
   * @returns Monotonic time; 0 when no other server can hold the keys.
   */
  freeAtMs(service: string, keys: KeyRange, server: string | null): number {
    let untilMs = 0;
    for (const hold of this.#holds) {
      if (hold.service !== service || hold.server === server) continue;
      if (hold.toKey < keys.fromKey || hold.fromKey > keys.toKey) continue;
      untilMs = Math.max(untilMs, hold.untilMs);
    }
    return untilMs;
  }
}

function subtract(hold: Hold, cut: KeyRange): Hold[] {
  if (hold.toKey < cut.fromKey || hold.fromKey > cut.toKey) return [hold];
  const rest: Hold[] = [];
  if (hold.fromKey < cut.fromKey) rest.push({...hold, toKey: cut.fromKey - 1});
  if (hold.toKey > cut.toKey) rest.push({...hold, fromKey: cut.toKey + 1});
  return rest;
}
