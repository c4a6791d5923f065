/** Renews the grants of servers before they lapse. */
import type {GatewayServer, RangeOwner} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import type {RangeMover} from './range-mover.js';

/** Renewals per hold time of a grant. */
const RENEWALS_PER_HOLD = 4;
/**
 * Longest wait for the answer to a renewal. A server with a long queue answers late;
 * if it lost its keys for that, they would have to move while it is overloaded.
 */
const RENEWAL_TIMEOUT_MS = 1_000;
/** Delay before a failed renewal is sent again. */
const RETRY_MS = 150;

/**
 * Time after the first failure during which renewals are still sent although no
 * new description of the server was read. A server takes longer to restart, so
 * these renewals cannot reach a successor at the same address.
 */
const UNCONFIRMED_RETRY_MS = 700;
/**
 * Longest time from the write of a description to its read. One that is read
 * sooner after a failure may have been written before it, and so does not show
 * that the server is still live.
 */
const DESCRIPTION_LAG_MS = 1_000;

interface RenewalState {
  nextAtMs: number;
  running: Promise<void> | null;
  /** First failure since the last success; null after a success. */
  failingSinceMs: number | null;
}

/** Schedules the renewals of each server. */
export class Renewals {
  readonly #servers = new Map<string, RenewalState>();
  readonly #intervalMs: number;

  /**
   * @param mover - Sends the grants.
   * @param clock - Clock of the process.
   * @param logger - Receives refused renewals.
   * @param holdMs - Time for which one grant lets a server hold keys.
   * @param hasSignOfLife - Whether a new description that the server wrote of
   * itself was read after `sinceMs`. Also true when the log of servers has not
   * been read recently: otherwise renewals after a failure would stop until the
   * log is back.
   */
  constructor(
    private readonly mover: RangeMover,
    private readonly clock: Clock,
    private readonly logger: Logger,
    holdMs: number,
    private readonly hasSignOfLife: (
      server: string,
      sinceMs: number,
    ) => boolean,
  ) {
    this.#intervalMs = holdMs / RENEWALS_PER_HOLD;
  }

  /**
   * Renews the grants of a server when they are due. After a failure the server
   * may be gone and another one may use its address: each further renewal has a
   * higher fence, and after `UNCONFIRMED_RETRY_MS` none is sent until the server
   * has shown a sign of life.
   *
   * @param server - The server.
   * @param ranges - Ranges that it owns.
   * @param onRefused - Called for each range whose renewal was refused: the
   * server has accepted a higher fence, or another server uses its address.
   * @returns False while renewals wait for a sign of life.
   */
  renew(
    server: GatewayServer,
    ranges: readonly RangeOwner[],
    onRefused: (range: RangeOwner) => void,
  ): boolean {
    const nowMs = this.clock.monotonicMs();
    let renewal = this.#servers.get(server.id);
    if (renewal === undefined) {
      // The first renewal is due at a random time, so that the servers are not
      // all called at once.
      const nextAtMs = nowMs + Math.random() * this.#intervalMs;
      renewal = {nextAtMs, running: null, failingSinceMs: null};
      this.#servers.set(server.id, renewal);
    }
    if (renewal.running !== null || nowMs < renewal.nextAtMs) return true;
    const {failingSinceMs} = renewal;
    if (failingSinceMs === null) {
      renewal.running = this.#sendRenewals(renewal, server, ranges, onRefused);
      return true;
    }
    const isRetryTimeOver = nowMs - failingSinceMs > UNCONFIRMED_RETRY_MS;
    if (
      isRetryTimeOver &&
      !this.hasSignOfLife(server.id, failingSinceMs + DESCRIPTION_LAG_MS)
    ) {
      return false;
    }
    const fenced = ranges.map(range => this.mover.raiseFence(range));
    renewal.running = this.#sendRenewals(renewal, server, fenced, onRefused);
    return true;
  }

  /**
   * Waits for the renewals in flight at a server.
   *
   * @param server - Id of the server.
   * @returns Resolves when they have ended.
   */
  async waitForRenewals(server: string): Promise<void> {
    await this.#servers.get(server)?.running;
  }

  /**
   * Makes the first renewal of a server due now. Must not be called later: it
   * discards the state of earlier renewals, even of those in flight.
   *
   * @param server - Id of the server.
   */
  makeFirstRenewalDue(server: string): void {
    this.#servers.set(server, {
      nextAtMs: 0,
      running: null,
      failingSinceMs: null,
    });
  }

  async #sendRenewals(
    renewal: RenewalState,
    server: GatewayServer,
    ranges: readonly RangeOwner[],
    onRefused: (range: RangeOwner) => void,
  ): Promise<void> {
    const startedAtMs = this.clock.monotonicMs();
    const outcomes = await Promise.all(
      ranges.map(async range => {
        const outcome = await this.mover.grant(
          range,
          server,
          null,
          RENEWAL_TIMEOUT_MS,
        );
        if (outcome === 'fenced' || outcome === 'refused') {
          this.logger.warn(`renewal-${outcome}`, {
            server: server.id,
            from_key: range.fromKey,
            to_key: range.toKey,
            fence: range.fence,
          });
          onRefused(range);
        }
        return outcome;
      }),
    );
    const allAnswered = !outcomes.includes('failed');
    renewal.failingSinceMs = allAnswered
      ? null
      : (renewal.failingSinceMs ?? startedAtMs);
    renewal.nextAtMs = allAnswered
      ? startedAtMs + this.#intervalMs
      : this.clock.monotonicMs() + RETRY_MS;
    renewal.running = null;
  }
}
