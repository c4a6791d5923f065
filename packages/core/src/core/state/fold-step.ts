/** Checks that several kinds of records share. */
import type {Result} from 'true-myth';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import type {ShardRow} from '../../types/records.js';
import type {
  BundleInForce,
  RouterState,
  ServiceState,
} from '../../types/state.js';
import {bundleIndexOf} from './bundle-index.js';

/** State after an accepted record, or the reason for its rejection. */
export type ApplyResult = Result<RouterState, WisteriarunError>;

/** What an assigner states about the basis of its decision. */
export interface Claim {
  readonly author: string;
  readonly zone: string;
  readonly term: number;
  readonly baseOffset: number;
}

/** A service of the bundle in force with its rows. */
export interface ServiceInForce {
  readonly id: string;
  /** Number of hash shards. */
  readonly shards: number;
  readonly state: ServiceState;
}

/**
 * Checks term and base of an assigner's record.
 *
 * @param state - State, already at the record's offset.
 * @param claim - Statements of the record.
 * @returns The first fault, or null.
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
  // A base in the future would let a second copy of the record pass.
  if (claim.baseOffset >= state.offset) {
    return ERRORS.malformedRecord('baseOffset is not before the record');
  }
  const bundleOffset = state.bundle?.offset ?? 0;
  if (claim.baseOffset < bundleOffset) {
    return ERRORS.staleBase('bundle in force is newer', bundleOffset);
  }
  return null;
}

/**
 * Checks that an assigner may change a shard.
 *
 * @param claim - Statements of the record.
 * @param service - Id of the service.
 * @param shard - Shard number.
 * @param row - Current row of the shard.
 * @returns The first fault, or null.
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
 * @param state - Any state.
 * @param id - Id of the service.
 * @returns The service, or null when the bundle doesn't list it.
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
 * Replaces the state of one service.
 *
 * @param state - State to start from.
 * @param id - Id of the service.
 * @param service - New state of the service.
 * @returns A copy that shares everything else.
 */
export function withService(
  state: RouterState,
  id: string,
  service: ServiceState,
): RouterState {
  return {...state, services: new Map(state.services).set(id, service)};
}
