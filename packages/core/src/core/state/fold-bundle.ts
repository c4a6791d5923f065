/** Validates and applies `bundle` records. */
import {Result} from 'true-myth';
import type {Bundle, Service, Signer} from '../../types/bundle.js';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import type {BundleRecord, ShardRow} from '../../types/records.js';
import type {RouterState, ServiceState} from '../../types/state.js';
import {checkBundle} from './bundle-check.js';
import {bundleIndexOf, zonesOfService} from './bundle-index.js';
import {verifySignedBundle} from './bundle-sign.js';
import type {ApplyResult} from './fold-checks.js';

/**
 * Applies a `bundle` record.
 *
 * @param state - State before the record, but its `offset` is already the
 * record's.
 * @param record - Parsed record.
 * @param rootSigners - Root signers, who may sign the first bundle.
 * @returns The new state, or `stale-version`, `unknown-signer`,
 * `wrong-signature`, `malformed-bundle` or `shard-count-changed`.
 */
export function foldBundle(
  state: RouterState,
  record: BundleRecord,
  rootSigners: readonly Signer[],
): ApplyResult {
  const {bundle: inForce, offset} = state;
  const version = inForce?.body.version ?? 0;
  if (record.baseVersion !== version) {
    return Result.err(
      ERRORS.staleVersion(version, inForce?.author ?? '', inForce?.offset ?? 0),
    );
  }
  const {author, signed} = record;
  const signers = inForce?.body.signers ?? rootSigners;
  return verifySignedBundle(signed, signers)
    .andThen(body => checkBundle(body, inForce?.body ?? null))
    .andThen(body =>
      nextServices(state, body).map(services => ({
        ...state,
        bundle: {offset, author, signed, body},
        services,
      })),
    );
}

type Services = Result<Map<string, ServiceState>, WisteriarunError>;

function nextServices(state: RouterState, body: Bundle): Services {
  const services = new Map(state.services);
  for (const service of body.services) {
    const before = state.services.get(service.id);
    const next =
      before === undefined
        ? initialServiceState(body, service, state.offset)
        : carryOverServiceState(state, body, service, before);
    if (next.isErr) return Result.err(next.error);
    services.set(service.id, next.value);
  }
  return retireServices(state, body, services);
}

function initialServiceState(
  body: Bundle,
  {id, shards}: Service,
  epoch: number,
): Result<ServiceState, WisteriarunError> {
  const rows: ShardRow[] = zonesOfService(body, id).map(zone => ({
    server: null,
    zone,
    epoch,
  }));
  return Result.ok({
    rows: Array.from({length: shards}, (_, shard) =>
      pickRoundRobin(rows, shard),
    ),
    isolated: new Map(),
  });
}

function carryOverServiceState(
  state: RouterState,
  body: Bundle,
  service: Service,
  before: ServiceState,
): Result<ServiceState, WisteriarunError> {
  const previous = state.bundle && bundleIndexOf(state.bundle.body);
  const {zones} = bundleIndexOf(body);
  const isReturning = !previous?.services.has(service.id);
  if (isReturning && before.rows.length !== service.shards) {
    const {id, shards} = service;
    return Result.err(ERRORS.shardCountChanged(id, before.rows.length, shards));
  }
  const hasRemovedZone = [...(previous?.zones ?? [])].some(z => !zones.has(z));
  if (!isReturning && !hasRemovedZone) return Result.ok(before);
  return Result.ok(replaceRemovedZones(body, service.id, before));
}

// A zone that the bundle no longer lists has no assigner, so its shards are
// given to remaining zones. Their owners and epochs do not change.
function replaceRemovedZones(
  body: Bundle,
  id: string,
  before: ServiceState,
): ServiceState {
  const {zones} = bundleIndexOf(body);
  const remainingZones = zonesOfService(body, id);
  const rows = before.rows.map((row, shard) =>
    zones.has(row.zone)
      ? row
      : {...row, zone: pickRoundRobin(remainingZones, shard)},
  );
  return {...before, rows};
}

// Keeps the rows of a removed service, because its servers may still hold
// leases when a later version lists the service again. Rows left over from
// formerly isolated keys are dropped: when the service returns, its number of
// hash shards is compared with the number of rows and must be the same.
function retireServices(
  state: RouterState,
  body: Bundle,
  services: Map<string, ServiceState>,
): Services {
  const {services: listedServices} = bundleIndexOf(body);
  for (const {id, shards} of state.bundle?.body.services ?? []) {
    const service = services.get(id);
    if (listedServices.has(id) || service === undefined) continue;
    if (service.isolated.size > 0) {
      const detail = `${id} cannot be removed while it has isolated keys`;
      return Result.err(ERRORS.malformedBundle('services', detail));
    }
    services.set(id, {...service, rows: service.rows.slice(0, shards)});
  }
  return Result.ok(services);
}

function pickRoundRobin<T>(choices: readonly T[], shard: number): T {
  return choices[shard % choices.length] as T;
}
