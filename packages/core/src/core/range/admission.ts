/** How much of the load on overloaded servers is let through. */
import type {KeyRange, RangeOwner} from '../../types/index.js';
import type {KeyLoadMap} from './key-load-map.js';
import type {PlannedServer} from './range-planner.js';

/**
 * Load over the capacity from which requests are thinned out. Below it, what
 * each VM sees of the server's queue is enough.
 */
const SHED_RATIO = 1.3;
/** Load that is let through, as a share of the capacity; keeps it busy. */
const ADMITTED_RATIO = 1.1;
/** Urgent requests get this many times the share of the others. */
const URGENT_FACTOR = 2;
/** Time after which shares that are not renewed are forgotten. */
const EXPIRY_MS = 1_500;

/** Share of the requests for one server's keys that is let through. */
export interface AdmittedShare {
  readonly server: string;
  /** Above 0 and below 1. */
  readonly share: number;
}

/**
 * Finds servers whose keys are asked for more than they can serve, such as the
 * owner of one key that cannot be split.
 *
 * @param load - Load of the keys of a service.
 * @param servers - Its servers.
 * @param ranges - Its ranges with their owners.
 * @returns The overloaded servers with their shares.
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
  /** Requests that may pass before the next one is refused. */
  common: number;
  urgent: number;
}

/** Thins out requests evenly: every VM lets the same share through. */
export class Admission {
  #credits = new Map<string, Credit>();
  #setAtMs = -Infinity;

  /**
   * Adopts the shares of all overloaded servers.
   *
   * @param shares - The shares; servers that are not named take everything.
   * @param nowMs - Monotonic time.
   */
  set(shares: readonly AdmittedShare[], nowMs: number): void {
    this.#setAtMs = nowMs;
    const credits = new Map<string, Credit>();
    for (const {server, share} of shares) {
      // VMs that start with the same credit would all let their first one pass.
      const {common, urgent} = this.#credits.get(server) ?? {
        common: Math.random(),
        urgent: Math.random(),
      };
      credits.set(server, {share, common, urgent});
    }
    this.#credits = credits;
  }

  /**
   * Decides about one request.
   *
   * @param server - Owner of the key.
   * @param isUrgent - Whether others should be refused before it.
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
