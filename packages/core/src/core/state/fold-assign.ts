/** Validates and applies `assign` records. */
import {Result} from 'true-myth';
import type {Bundle, Server} from '../../types/bundle.js';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import type {AssignRecord, ShardChange, ShardRow} from '../../types/records.js';
import type {RouterState} from '../../types/state.js';
import {bundleIndexOf} from './bundle-index.js';
import {
  checkClaim,
  checkShardChange,
  findService,
  type ApplyResult,
  type ServiceInForce,
} from './fold-checks.js';

/** Pending changes of a record to the rows of one service. */
interface Draft {
  readonly service: ServiceInForce;
  /** Shard numbers of isolated keys. */
  readonly isolated: ReadonlySet<number>;
  readonly changed: Map<number, ShardRow>;
}

type Drafts = Map<string, Draft>;

/**
 * Applies all changes of an `assign` record, or none when one is invalid.
 *
 * @param state - State before the record, but its `offset` is already the
 * record's.
 * @param record - Parsed record.
 * @returns The new state, or `stale-term`, `stale-base`, `no-authority`,
 * `unknown-shard`, `server-not-eligible` or `malformed-record`.
 */
export function foldAssign(
  state: RouterState,
  record: AssignRecord,
): ApplyResult {
  const recordError = checkClaim(state, record);
  if (recordError !== null) return Result.err(recordError);
  const drafts: Drafts = new Map();
  for (const change of record.changes) {
    const error = applyChange(state, record, change, drafts);
    if (error !== null) return Result.err(error);
  }
  const services = new Map(state.services);
  for (const [id, {service, changed}] of drafts) {
    const rows = service.state.rows.slice();
    for (const [shard, row] of changed) rows[shard] = row;
    services.set(id, {...service.state, rows});
  }
  return Result.ok({...state, services});
}

function applyChange(
  state: RouterState,
  record: AssignRecord,
  change: ShardChange,
  drafts: Drafts,
): WisteriarunError | null {
  const {service, shard, server} = change;
  const draft = draftOf(state, service, drafts);
  const row = draft && rowOf(draft, shard);
  if (!draft || !row) return ERRORS.unknownShard(service, shard);
  if (draft.changed.has(shard)) {
    return ERRORS.malformedRecord(`${service} shard ${shard} is listed twice`);
  }
  const error = checkShardChange(record, service, shard, row);
  if (error !== null) return error;
  const owner = findEligibleServer(state.bundle?.body ?? null, service, server);
  if (owner.isErr) return owner.error;
  const zone = owner.value?.zone ?? row.zone;
  draft.changed.set(shard, {server, zone, epoch: state.offset});
  return null;
}

function draftOf(state: RouterState, id: string, drafts: Drafts): Draft | null {
  const known = drafts.get(id);
  if (known !== undefined) return known;
  const service = findService(state, id);
  if (service === null) return null;
  const isolated = new Set(service.state.isolated.values());
  const draft = {service, isolated, changed: new Map<number, ShardRow>()};
  drafts.set(id, draft);
  return draft;
}

function rowOf({service, isolated}: Draft, shard: number): ShardRow | null {
  if (shard >= service.shards && !isolated.has(shard)) return null;
  return service.state.rows[shard] ?? null;
}

function findEligibleServer(
  bundle: Bundle | null,
  service: string,
  id: string | null,
): Result<Server | null, WisteriarunError> {
  if (id === null || bundle === null) return Result.ok(null);
  const index = bundleIndexOf(bundle);
  const refuse = (detail: string) =>
    Result.err<Server, WisteriarunError>(ERRORS.serverNotEligible(id, detail));
  const server = index.servers.get(id);
  if (server === undefined) return refuse('not in the bundle');
  if (server.service !== service) return refuse('serves another service');
  if (index.stopped.has(id)) return refuse('stopped');
  if (index.leavingBatches.has(server.batch)) return refuse('batch is leaving');
  return Result.ok(server);
}
