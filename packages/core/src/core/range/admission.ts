/** Load shedding for overloaded servers. */
import type {KeyRange, RangeOwner} from '../../types/index.js';
import type {KeyLoadMap} from './key-load-map.js';
import type {PlannedServer} from './range-planner.js';

/**
 * Ratio of load to capacity above which load is shed. Below it, the decisions
 * that each VM takes from its view of the server's queue are enough.
 */
const SHED_RATIO = 1.3;
/**
 * Load that is admitted, as a ratio to the capacity. It is above 1 so that the
 * server stays fully used.
 */
const ADMITTED_RATIO = 1.1;
/** Admitted share of urgent requests, as a multiple of `AdmittedShare.share`. */
const URGENT_FACTOR = 2;
/**
 * Time after which shares that were not renewed no longer apply: six times the
 * interval of 250 ms at which the assigner of the gateway publishes them.
 */
const EXPIRY_MS = 1_500;

/**
 * Share of the requests to one overloaded server that is admitted, for requests
 * that are not urgent. Urgent ones get a larger share, see `Admission.admits`.
 */
export interface AdmittedShare {
  readonly server: string;
  /** Above 0 and below 1. */
  readonly share: number;
}

/**
 * Finds servers whose keys have more load than the servers can serve, such as
 * the owner of one hot key, which cannot be split.
 *
 * @param load - Load of the keys of a service.
 * @param servers - Its servers.
 * @param ranges - Its ranges with their owners.
 * @returns The overloaded servers with their admitted shares.
 */
export function admittedShares(
  load: KeyLoadMap,
  servers: readonly PlannedServer[],
  ranges: readonly (KeyRange & Pick<RangeOwner, 'server'>)[],
): AdmittedShare[] {
  const loads = new Map<string, number>();
  for (const range of ranges) {
    const {server} = range;
    if (server === null) continue;
    loads.set(server, (loads.get(server) ?? 0) + load.sum(range));
  }
  return servers.flatMap(({id, capacity}) => {
    const utilization = (loads.get(id) ?? 0) / capacity;
    if (utilization <= SHED_RATIO) return [];
    return [{server: id, share: ADMITTED_RATIO / utilization}];
  });
}

interface Credit {
  readonly share: number;
  /**
   * Credit for requests that are not urgent: each adds the share, and one that
   * is admitted takes 1.
   */
  common: number;
  /** The same for urgent requests. */
  urgent: number;
}

/**
 * Admits the given share of the requests to each overloaded server, and twice
 * that share (at most 1) of the urgent ones. Every VM applies the same shares to
 * its own requests.
 */
export class Admission {
  #credits = new Map<string, Credit>();
  #setAtMs = -Infinity;

  /**
   * Replaces the shares of all overloaded servers.
   *
   * @param shares - The shares; requests to other servers are all admitted.
   * @param nowMs - Monotonic time.
   */
  set(shares: readonly AdmittedShare[], nowMs: number): void {
    this.#setAtMs = nowMs;
    const credits = new Map<string, Credit>();
    for (const {server, share} of shares) {
      // The initial credit is random: with an equal one, all VMs would admit
      // their first requests at the same time.
      const {common, urgent} = this.#credits.get(server) ?? {
        common: Math.random(),
        urgent: Math.random(),
      };
      credits.set(server, {share, common, urgent});
    }
    this.#credits = credits;
  }

  /**
   * Decides whether one request is admitted.
   *
   * @param server - Owner of the key.
   * @param isUrgent - Whether the larger share of urgent requests applies.
   * @param nowMs - Monotonic time.
   * @returns Whether it may be sent.
   */
  admits(server: string, isUrgent: boolean, nowMs: number): boolean {
    const credit = this.#credits.get(server);
    if (credit === undefined || nowMs - this.#setAtMs > EXPIRY_MS) return true;
    const kind = isUrgent ? 'urgent' : 'common';
    const share = isUrgent
      ? Math.min(1, credit.share * URGENT_FACTOR)
      : credit.share;
    credit[kind] += share;
    if (credit[kind] < 1) return false;
    credit[kind] -= 1;
    return true;
  }
}
