/** Acceptance of `isolate` and `merge` records. */
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
  checkRow,
  findService,
  withService,
  type ServiceInForce,
  type Step,
} from './fold-step.js';

/** Largest number of isolated keys of one service. */
export const MAX_ISOLATED_KEYS = 256;

// The fold is synchronous, so the hash function is loaded with the module.
const hasher = await createHasher();

/** A shard with its row. */
interface NumberedRow {
  readonly shard: number;
  readonly row: ShardRow;
}

/**
 * Applies an `isolate` record: the key gets a shard of its own.
 *
 * @param state - State, already at the record's offset.
 * @param record - Parsed record.
 * @returns The new state, or `stale-term`, `stale-base`, `no-authority`,
 * `unknown-shard`, `too-many-isolated-keys` or `malformed-record`.
 */
export function foldIsolate(state: RouterState, record: IsolateRecord): Step {
  const {service: id, key} = record;
  const service = findService(state, id);
  const fault = checkClaim(state, record) ?? checkKey(key);
  if (fault !== null) return Result.err(fault);
  const hash = service && hashRow(service, key);
  if (!service || !hash) return Result.err(ERRORS.unknownShard(id, 0));
  const {isolated} = service.state;
  const error =
    checkRow(record, id, hash.shard, hash.row) ?? checkRoom(service, key);
  if (error !== null) return Result.err(error);
  const rows = service.state.rows.slice();
  const shard = freeShard(service);
  const row = {...hash.row, epoch: state.offset};
  rows[hash.shard] = row;
  rows[shard] = row;
  const next = {rows, isolated: new Map(isolated).set(key, shard)};
  return Result.ok(withService(state, id, next));
}

/**
 * Applies a `merge` record: the key returns to its hash shard.
 *
 * @param state - State, already at the record's offset.
 * @param record - Parsed record.
 * @returns The new state, or `stale-term`, `stale-base`, `no-authority`,
 * `unknown-shard`, `server-not-eligible` or `malformed-record`.
 */
export function foldMerge(state: RouterState, record: MergeRecord): Step {
  const {service: id, key} = record;
  const fault = checkClaim(state, record);
  if (fault !== null) return Result.err(fault);
  const service = findService(state, id);
  const hash = service && hashRow(service, key);
  if (!service || !hash) return Result.err(ERRORS.unknownShard(id, 0));
  const own = isolatedRow(service, key);
  if (own === null) {
    return Result.err(ERRORS.staleBase('key is not isolated', hash.row.epoch));
  }
  const error =
    checkRow(record, id, own.shard, own.row) ??
    checkRow(record, id, hash.shard, hash.row) ??
    checkOneOwner(own.row, hash.row);
  if (error !== null) return Result.err(error);
  const epoch = state.offset;
  const rows = service.state.rows.slice();
  rows[hash.shard] = {...hash.row, epoch};
  rows[own.shard] = {...own.row, server: null, epoch};
  const isolated = new Map(service.state.isolated);
  isolated.delete(key);
  return Result.ok(withService(state, id, {rows, isolated}));
}

function hashRow(service: ServiceInForce, key: string): NumberedRow | null {
  const shard = shardOf(hasher, service.id, key, service.shards);
  const row = service.state.rows[shard];
  return row === undefined ? null : {shard, row};
}

function isolatedRow(service: ServiceInForce, key: string): NumberedRow | null {
  const shard = service.state.isolated.get(key);
  const row = shard === undefined ? undefined : service.state.rows[shard];
  if (shard === undefined || row === undefined) return null;
  return {shard, row};
}

// The schema library drops `__proto__` from records, and CBOR and UTF-8 change
// lone surrogates, so images cannot carry such keys.
function checkKey(key: string): WisteriarunError | null {
  if (key !== '__proto__' && isWellFormed(key)) return null;
  return ERRORS.malformedRecord('key cannot be isolated');
}

function checkRoom(
  service: ServiceInForce,
  key: string,
): WisteriarunError | null {
  const {isolated} = service.state;
  const own = isolatedRow(service, key);
  if (own !== null) {
    return ERRORS.staleBase('key is isolated already', own.row.epoch);
  }
  if (isolated.size < MAX_ISOLATED_KEYS) return null;
  return ERRORS.tooManyIsolatedKeys(service.id, MAX_ISOLATED_KEYS);
}

function freeShard({shards, state}: ServiceInForce): number {
  const used = new Set(state.isolated.values());
  let shard = shards;
  while (used.has(shard)) shard += 1;
  return shard;
}

function checkOneOwner(own: ShardRow, hash: ShardRow): WisteriarunError | null {
  if (own.server === hash.server) return null;
  return ERRORS.serverNotEligible(
    own.server ?? 'none',
    `the hash shard is owned by ${hash.server ?? 'none'}`,
  );
}
