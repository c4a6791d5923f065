/** Tracks until when servers may hold the keys that they were granted. */
import type {KeyRange} from '../../types/index.js';
import {subtractKeys} from '../../utils/index.js';

/** Factor by which a server's clock may be slower than this VM's clock. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Allowance for the transit of a grant and the timers on both sides. */
const TRANSIT_MS = 100;

/** Keys granted to a server. */
export interface HeldKeys extends KeyRange {
  readonly service: string;
  readonly server: string;
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
 *
 * A restart of a server frees no keys: it becomes known some time after it
 * happened, and grants sent meanwhile have reached the new incarnation.
 */
export class HoldLedger {
  /** Holds of each server, by service and server. */
  readonly #holdsByServer = new Map<string, Hold[]>();

  /**
   * Records that a server may hold keys from now on. Replaces earlier holds of
   * the same keys that end sooner.
   *
   * @param grant - Keys and the server.
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
    const {service, server, fromKey, toKey, fence} = grant;
    if (!isUnanswered) this.#dropBelowFence(grant);
    const untilMs = nowMs + holdMs * CLOCK_DRIFT_FACTOR + TRANSIT_MS;
    const kept = this.#holdsOf(grant).filter(
      hold =>
        hold.untilMs > nowMs &&
        !(
          hold.fromKey >= fromKey &&
          hold.toKey <= toKey &&
          hold.isUnanswered === isUnanswered &&
          hold.untilMs <= untilMs
        ),
    );
    kept.push({
      service,
      server,
      fromKey,
      toKey,
      fence,
      untilMs,
      isUnanswered,
    });
    this.#setHolds(grant, kept);
  }

  /**
   * Records that a grant is being sent.
   *
   * @param grant - Keys and the server.
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
    this.#setHolds(grant, [...this.#holdsOf(grant), sent]);
    const forget = () => {
      const kept = this.#holdsOf(grant).filter(hold => hold !== sent);
      this.#setHolds(grant, kept);
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
    const owner = {service, server};
    this.#setHolds(
      owner,
      this.#holdsOf(owner).flatMap(hold =>
        hold.isUnanswered ? [hold] : subtractKeys(hold, keys),
      ),
    );
  }

  /**
   * Forgets all holds of a server that has ended for good.
   *
   * @param server - Id of the server.
   */
  forget(server: string): void {
    for (const [name, holds] of this.#holdsByServer) {
      if (holds[0]?.server === server) this.#holdsByServer.delete(name);
    }
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
    return this.#holdsOf({service, server}).some(
      hold =>
        hold.isUnanswered &&
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
    for (const holds of this.#holdsByServer.values()) {
      const [first] = holds;
      if (first === undefined || first.service !== service) continue;
      if (first.server === server) continue;
      for (const hold of holds) {
        if (hold.toKey < keys.fromKey || hold.fromKey > keys.toKey) continue;
        untilMs = Math.max(untilMs, hold.untilMs);
      }
    }
    return untilMs;
  }

  /**
   * Forgets unanswered grants below an accepted fence, since the server refuses
   * them.
   */
  #dropBelowFence(grant: HeldKeys): void {
    this.#setHolds(
      grant,
      this.#holdsOf(grant).flatMap(hold =>
        hold.isUnanswered && hold.fence < grant.fence
          ? subtractKeys(hold, grant)
          : [hold],
      ),
    );
  }

  #holdsOf(owner: HoldOwner): Hold[] {
    return this.#holdsByServer.get(ownerName(owner)) ?? [];
  }

  #setHolds(owner: HoldOwner, holds: Hold[]): void {
    if (holds.length > 0) this.#holdsByServer.set(ownerName(owner), holds);
    else this.#holdsByServer.delete(ownerName(owner));
  }
}

type HoldOwner = Pick<HeldKeys, 'service' | 'server'>;

function ownerName({service, server}: HoldOwner): string {
  return `${service} ${server}`;
}
