/** Until when servers may hold the keys that they were granted. */
import type {KeyRange} from '../../types/index.js';
import {subtractKeys} from '../../utils/index.js';

/** A server's clock may run this much slower than ours. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Delay of a grant on its way, and of timers on both sides. */
const TRANSIT_MS = 100;

/** Keys granted to one incarnation of a server. */
export interface HeldKeys extends KeyRange {
  readonly service: string;
  readonly server: string;
  readonly bornMs: number;
  readonly fence: number;
}

interface Hold extends HeldKeys {
  readonly untilMs: number;
  /** True for a grant without an answer, which may take effect late. */
  readonly isUnanswered: boolean;
}

/** A grant that was sent and not answered yet. */
export interface PendingHold {
  /** The server holds the keys. */
  granted(nowMs: number): void;
  /** No answer came; the grant may take effect late. */
  unanswered(nowMs: number): void;
  /** The grant did not reach the server, or the server refused it. */
  refused(): void;
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
   * @param isUnanswered - Whether no answer came.
   */
  recordHold(
    grant: HeldKeys,
    holdMs: number,
    nowMs: number,
    isUnanswered: boolean,
  ): void {
    const {service, server, bornMs, fromKey, toKey, fence} = grant;
    if (!isUnanswered) this.#dropBelowFence(grant);
    const untilMs = nowMs + holdMs * CLOCK_DRIFT_FACTOR + TRANSIT_MS;
    this.#holds = this.#holds.filter(
      hold =>
        hold.untilMs > nowMs &&
        !(
          hold.server === server &&
          hold.service === service &&
          hold.bornMs === bornMs &&
          hold.fromKey >= fromKey &&
          hold.toKey <= toKey &&
          hold.isUnanswered === isUnanswered &&
          hold.untilMs <= untilMs
        ),
    );
    this.#holds.push({
      service,
      server,
      bornMs,
      fromKey,
      toKey,
      fence,
      untilMs,
      isUnanswered,
    });
  }

  /**
   * Records that a grant is being sent.
   *
   * @param grant - Keys with the incarnation of the server.
   * @param holdMs - Granted time.
   * @param nowMs - Monotonic time.
   * @returns To be told how the grant ended.
   */
  recordPending(grant: HeldKeys, holdMs: number, nowMs: number): PendingHold {
    const sent: Hold = {
      ...grant,
      untilMs: nowMs + holdMs * CLOCK_DRIFT_FACTOR + TRANSIT_MS,
      isUnanswered: true,
    };
    this.#holds.push(sent);
    const forget = () => {
      this.#holds = this.#holds.filter(hold => hold !== sent);
    };
    return {
      granted: endMs => {
        forget();
        this.recordHold(grant, holdMs, endMs, false);
      },
      unanswered: endMs => {
        forget();
        this.recordHold(grant, holdMs, endMs, true);
      },
      refused: forget,
    };
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
      !hold.isUnanswered && hold.service === service && hold.server === server
        ? subtractKeys(hold, keys)
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
  forgetEarlierIncarnations(server: string, bornMs: number): void {
    this.#holds = this.#holds.filter(
      hold => hold.server !== server || hold.bornMs >= bornMs,
    );
  }

  /**
   * Tells whether a server may come to hold keys again after it has released
   * them, through a grant that was not answered.
   *
   * @param service - Name of the service.
   * @param server - Id of the server.
   * @param keys - The keys.
   * @returns Whether such a grant may be under way.
   */
  isUnanswered(service: string, server: string, keys: KeyRange): boolean {
    return this.#holds.some(
      hold =>
        hold.isUnanswered &&
        hold.service === service &&
        hold.server === server &&
        hold.toKey >= keys.fromKey &&
        hold.fromKey <= keys.toKey,
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

  /** A server refuses grants with a lower fence than it has accepted. */
  #dropBelowFence(grant: HeldKeys): void {
    this.#holds = this.#holds.flatMap(hold =>
      hold.isUnanswered &&
      hold.service === grant.service &&
      hold.server === grant.server &&
      hold.fence < grant.fence
        ? subtractKeys(hold, grant)
        : [hold],
    );
  }
}
