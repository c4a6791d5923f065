/** Renews the grants of all servers before they lapse. */
import type {GatewayServer, RangeOwner} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import type {RangeMover} from './range-mover.js';

/** A grant is renewed this many times in its length. */
const RENEWALS_PER_HOLD = 4;
/** Time after which a failed renewal is tried again. */
const RETRY_MS = 150;

/**
 * Time for which renewals go on after a failed one without a sign of life. No
 * server is back within it, so that none of them can reach a later one.
 */
const BLIND_RETRY_MS = 700;
/** A record that is read may have been written this long before. */
const RECORD_LAG_MS = 1_000;

interface RenewalState {
  nextAtMs: number;
  running: Promise<void> | null;
  /** First failure since the last success; null after a success. */
  failingSinceMs: number | null;
}

/** Keeps a schedule for each server. */
export class Renewals {
  readonly #servers = new Map<string, RenewalState>();
  readonly #intervalMs: number;

  /**
   * @param mover - Sends the grants.
   * @param clock - Clock of the process.
   * @param logger - Receives refused renewals.
   * @param holdMs - Time of one grant.
   * @param hasSignOfLife - Tells whether a server has described itself since a
   * moment, or the log that would show it cannot be read.
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
   * Renews the grants of a server when it is time. After a failure the server
   * may be gone and another one may use its address: its keys get a higher
   * fence, and no more grants are sent until it shows that it lives.
   *
   * @param server - The server.
   * @param ranges - Ranges that it holds.
   * @param onRefused - Called for a range that another assigner has granted, or
   * whose server has been replaced at its address.
   * @returns False while a sign of life is missing.
   */
  renew(
    server: GatewayServer,
    ranges: readonly RangeOwner[],
    onRefused: (range: RangeOwner) => void,
  ): boolean {
    const nowMs = this.clock.monotonicMs();
    let renewal = this.#servers.get(server.id);
    if (renewal === undefined) {
      // Spread over the interval, so that servers are not called in step.
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
    const isBlind = nowMs - failingSinceMs > BLIND_RETRY_MS;
    if (
      isBlind &&
      !this.hasSignOfLife(server.id, failingSinceMs + RECORD_LAG_MS)
    ) {
      return false;
    }
    const fenced = ranges.map(range => this.mover.raiseFence(range));
    renewal.running = this.#sendRenewals(renewal, server, fenced, onRefused);
    return true;
  }

  /**
   * Waits for the renewals at a server that are under way.
   *
   * @param server - Id of the server.
   * @returns Resolves when there are none.
   */
  async waitForRenewals(server: string): Promise<void> {
    await this.#servers.get(server)?.running;
  }

  /**
   * Makes the renewal of a server due now.
   *
   * @param server - Id of the server.
   */
  makeDue(server: string): void {
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
        const outcome = await this.mover.grant(range, server, null);
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
