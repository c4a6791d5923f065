/** Tracks until when servers may hold the keys that they were granted. */
import type {KeyRange} from '../../types/index.js';
import {subtractKeys} from '../../utils/index.js';

/** Factor by which a server's clock may be slower than this VM's clock. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Allowance for the transit of a grant and the timers on both sides. */
const TRANSIT_MS = 100;

/** Keys granted to one incarnation of a server. */
export interface HeldKeys extends KeyRange {
  readonly service: string;
  readonly server: string;
  readonly bornMs: number;
  readonly fence: number;
}

interface Hold extends HeldKeys {
  /** Monotonic time of this VM after which the server holds the keys no more. */
  readonly untilMs: number;
  /** Whether the grant has no answer yet; it may take effect late. */
  readonly isUnanswered: boolean;
}

/** A grant that is being sent; one method is called when the call has ended. */
export interface PendingHold {
  /** The server has accepted the grant. */
  granted(nowMs: number): void;
  /** No answer came; the grant may take effect late. */
  unanswered(nowMs: number): void;
  /** The grant did not reach the server, or the server refused it. */
  refused(): void;
}

/**
 * Keeps upper bounds of the times until which servers hold keys. A grant is
 * recorded as soon as it is sent, and stays recorded without an answer, since
 * the server may still accept it.
 */
export class HoldLedger {
  #holds: Hold[] = [];

  /**
   * Records that a server may hold keys from now on. Replaces earlier holds of
   * the same keys that end sooner.
   *
   * @param grant - Keys with the incarnation of the server.
   * @param holdMs - Time for which the server may hold the keys, on its clock.
   * @param nowMs - Monotonic time; not before the grant was sent.
   * @param isUnanswered - Whether the grant was not answered.
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
   * @param holdMs - Time for which the server may hold the keys, on its clock.
   * @param nowMs - Monotonic time.
   * @returns Handle through which the end of the grant must be reported.
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
   * Forgets the holds of keys that a server has released. Holds of unanswered
   * grants stay: these grants may take effect after the release.
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
   * Forgets all holds of earlier incarnations of a server: a server holds no
   * keys when it starts.
   *
   * @param server - Id of the server.
   * @param bornMs - Start of its current incarnation.
   */
  forgetEarlierIncarnations(server: string, bornMs: number): void {
    this.#holds = this.#holds.filter(
      hold => hold.server !== server || hold.bornMs >= bornMs,
    );
  }

  /**
   * Tells whether a server may still accept an unanswered grant, and so hold
   * keys again after it has released them.
   *
   * @param service - Name of the service.
   * @param server - Id of the server.
   * @param keys - The keys.
   * @returns True when there is such a grant for any of the keys.
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
   * Returns the time from which no other server can hold any of the keys.
   *
   * @param service - Name of the service.
   * @param keys - The keys.
   * @param server - Server whose holds are ignored; null for none.
   * @returns Monotonic time; 0 when no other server can hold the keys now.
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

  /**
   * Forgets unanswered grants below an accepted fence, since the server refuses
   * them.
   */
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
