/** Validates and applies `isolate` and `merge` records. */
import {Result} from 'true-myth';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import type {
  IsolateRecord,
  MergeRecord,
  ShardRow,
} from '../../types/records.js';
import type {RouterState} from '../../types/state.js';
import {createHasher, shardOf} from '../../utils/hasher.js';
import {isWellFormed} from '../../utils/text.js';
import {
  checkClaim,
  checkShardChange,
  findService,
  withService,
  type ApplyResult,
  type ServiceInForce,
} from './fold-checks.js';

/** Largest number of isolated keys of one service. */
export const MAX_ISOLATED_KEYS = 256;

// `fold` is synchronous, so the hash function is loaded with the module.
const hasher = await createHasher();

/** A shard number with the shard's row. */
interface NumberedShard {
  readonly number: number;
  readonly row: ShardRow;
}

/**
 * Applies an `isolate` record: the key gets a shard of its own, with the owner
 * of its hash shard. Both shards get a new epoch.
 *
 * @param state - State before the record, but its `offset` is already the
 * record's.
 * @param record - Parsed record.
 * @returns The new state, or `stale-term`, `stale-base`, `no-authority`,
 * `unknown-shard`, `too-many-isolated-keys` or `malformed-record`.
 */
export function foldIsolate(
  state: RouterState,
  record: IsolateRecord,
): ApplyResult {
  const {service: id, key} = record;
  const service = findService(state, id);
  const recordError = checkClaim(state, record) ?? checkKeyStorable(key);
  if (recordError !== null) return Result.err(recordError);
  const hashShard = service && findHashShard(service, key);
  // The error needs a shard number; 0 stands in when the service is unknown.
  if (!service || !hashShard) return Result.err(ERRORS.unknownShard(id, 0));
  const {isolated} = service.state;
  const changeError =
    checkShardChange(record, id, hashShard.number, hashShard.row) ??
    checkCanIsolate(service, key);
  if (changeError !== null) return Result.err(changeError);
  const rows = service.state.rows.slice();
  const shard = firstFreeShardNumber(service);
  // Both shards get a new epoch, so that dispatchers refuse (`stale-epoch`)
  // requests that were routed to the hash shard before the record.
  const newRow = {...hashShard.row, epoch: state.offset};
  rows[hashShard.number] = newRow;
  rows[shard] = newRow;
  const next = {rows, isolated: new Map(isolated).set(key, shard)};
  return Result.ok(withService(state, id, next));
}

/**
 * Applies a `merge` record: the key returns to its hash shard, which must have
 * the same owner. The key's own shard loses its owner, and its number may be
 * used for another key. Both shards get a new epoch.
 *
 * @param state - State before the record, but its `offset` is already the
 * record's.
 * @param record - Parsed record.
 * @returns The new state, or `stale-term`, `stale-base`, `no-authority`,
 * `unknown-shard`, `server-not-eligible` or `malformed-record`.
 */
export function foldMerge(
  state: RouterState,
  record: MergeRecord,
): ApplyResult {
  const {service: id, key} = record;
  const recordError = checkClaim(state, record);
  if (recordError !== null) return Result.err(recordError);
  const service = findService(state, id);
  const hashShard = service && findHashShard(service, key);
  // The error needs a shard number; 0 stands in when the service is unknown.
  if (!service || !hashShard) return Result.err(ERRORS.unknownShard(id, 0));
  const isolatedShard = findIsolatedShard(service, key);
  if (isolatedShard === null) {
    return Result.err(
      ERRORS.staleBase('key is not isolated', hashShard.row.epoch),
    );
  }
  const changeError =
    checkShardChange(record, id, isolatedShard.number, isolatedShard.row) ??
    checkShardChange(record, id, hashShard.number, hashShard.row) ??
    checkSameOwner(isolatedShard.row, hashShard.row);
  if (changeError !== null) return Result.err(changeError);
  const epoch = state.offset;
  const rows = service.state.rows.slice();
  rows[hashShard.number] = {...hashShard.row, epoch};
  rows[isolatedShard.number] = {...isolatedShard.row, server: null, epoch};
  const isolated = new Map(service.state.isolated);
  isolated.delete(key);
  return Result.ok(withService(state, id, {rows, isolated}));
}

function findHashShard(
  service: ServiceInForce,
  key: string,
): NumberedShard | null {
  const shard = shardOf(hasher, service.id, key, service.shards);
  const row = service.state.rows[shard];
  return row === undefined ? null : {number: shard, row};
}

function findIsolatedShard(
  service: ServiceInForce,
  key: string,
): NumberedShard | null {
  const shard = service.state.isolated.get(key);
  const row = shard === undefined ? undefined : service.state.rows[shard];
  if (shard === undefined || row === undefined) return null;
  return {number: shard, row};
}

// State images cannot contain these keys: zod drops the key `__proto__` from
// objects, and encoding as CBOR or UTF-8 replaces lone surrogates.
function checkKeyStorable(key: string): WisteriarunError | null {
  if (key !== '__proto__' && isWellFormed(key)) return null;
  return ERRORS.malformedRecord('key cannot be stored in a state image');
}

function checkCanIsolate(
  service: ServiceInForce,
  key: string,
): WisteriarunError | null {
  const {isolated} = service.state;
  const isolatedShard = findIsolatedShard(service, key);
  if (isolatedShard !== null) {
    return ERRORS.staleBase('key is already isolated', isolatedShard.row.epoch);
  }
  if (isolated.size < MAX_ISOLATED_KEYS) return null;
  return ERRORS.tooManyIsolatedKeys(service.id, MAX_ISOLATED_KEYS);
}

function firstFreeShardNumber({shards, state}: ServiceInForce): number {
  const used = new Set(state.isolated.values());
  let shard = shards;
  while (used.has(shard)) shard += 1;
  return shard;
}

function checkSameOwner(
  isolatedRow: ShardRow,
  hashRow: ShardRow,
): WisteriarunError | null {
  if (isolatedRow.server === hashRow.server) return null;
  return ERRORS.serverNotEligible(
    isolatedRow.server ?? 'none',
    `the hash shard is owned by ${hashRow.server ?? 'none'}`,
  );
}
