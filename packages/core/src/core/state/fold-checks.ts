/** Checks and lookups that are shared by several kinds of records. */
import type {Result} from 'true-myth';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import type {ShardRow} from '../../types/records.js';
import type {
  BundleInForce,
  RouterState,
  ServiceState,
} from '../../types/state.js';
import {bundleIndexOf} from './bundle-index.js';

/** The state after an accepted record, or the error for a rejected one. */
export type ApplyResult = Result<RouterState, WisteriarunError>;

/** Author, zone, term and base offset that an assigner states in a record. */
export interface Claim {
  readonly author: string;
  readonly zone: string;
  /** Term of the zone that the author holds. */
  readonly term: number;
  /** Offset of the folded state used for the decision. */
  readonly baseOffset: number;
}

/** A service of the bundle in force with its folded state. */
export interface ServiceInForce {
  readonly id: string;
  /** Number of hash shards. */
  readonly shards: number;
  readonly state: ServiceState;
}

/**
 * Checks that the author of a record holds the zone's current term, that its
 * base offset is before the record's own, and that the author had read the log
 * up to the bundle in force.
 *
 * @param state - State before the record, but its `offset` is already the
 * record's.
 * @param claim - Term and base offset that the record states.
 * @returns The first error, or null.
 */
export function checkClaim(
  state: RouterState,
  claim: Claim,
): WisteriarunError | null {
  const current = state.terms.get(claim.zone);
  if (current?.holder !== claim.author || current.term !== claim.term) {
    return ERRORS.staleTerm(
      claim.zone,
      current?.holder ?? null,
      current?.term ?? 0,
    );
  }
  // With a base offset at or after its own offset, a second copy of the record
  // would not count as stale and would be applied again.
  if (claim.baseOffset >= state.offset) {
    return ERRORS.malformedRecord(
      "baseOffset is not before the record's offset",
    );
  }
  const bundleOffset = state.bundle?.offset ?? 0;
  if (claim.baseOffset < bundleOffset) {
    return ERRORS.staleBase(
      'based on an offset before the bundle in force',
      bundleOffset,
    );
  }
  return null;
}

/**
 * Checks that an assigner has authority over a shard and had read the log up to
 * the last change of the shard.
 *
 * @param claim - Term and base offset that the record states.
 * @param service - Id of the service.
 * @param shard - Shard number.
 * @param row - Current row of the shard.
 * @returns The first error, or null.
 */
export function checkShardChange(
  claim: Claim,
  service: string,
  shard: number,
  row: ShardRow,
): WisteriarunError | null {
  if (row.zone !== claim.zone) {
    return ERRORS.noAuthority(row.zone, service, shard);
  }
  if (claim.baseOffset < row.epoch) {
    const detail = `${service} shard ${shard} changed`;
    return ERRORS.staleBase(detail, row.epoch);
  }
  return null;
}

/**
 * Finds a service of the bundle in force.
 *
 * @param state - Folded state.
 * @param id - Id of the service.
 * @returns The service, or null when the bundle does not list it.
 */
export function findService(
  state: RouterState,
  id: string,
): ServiceInForce | null {
  const service = findInBundle(state.bundle, id);
  const serviceState = state.services.get(id);
  if (service === undefined || serviceState === undefined) return null;
  return {id, shards: service.shards, state: serviceState};
}

function findInBundle(bundle: BundleInForce | null, id: string) {
  return bundle === null
    ? undefined
    : bundleIndexOf(bundle.body).services.get(id);
}

/**
 * Returns a copy of a state in which one service is replaced.
 *
 * @param state - State to copy.
 * @param id - Id of the service.
 * @param service - New state of the service.
 * @returns The copy, which shares all other services with the original.
 */
export function withService(
  state: RouterState,
  id: string,
  service: ServiceState,
): RouterState {
  return {...state, services: new Map(state.services).set(id, service)};
}
