/** Carries attempt records along when a hot key is isolated or put back. */
import {shardOf, type Hasher, type RouterState} from '@wisteriarun/core';
import type {DispatcherHost} from '../request/dispatcher-host.js';
import type {FoldedRecord} from './state-replica.js';

/**
 * Tells the dispatcher role about an accepted `isolate` or `merge` record. It
 * has to be called before the change of routes is applied.
 *
 * @param dispatcher - Dispatcher role.
 * @param hasher - Loaded hash function.
 * @param folded - Folded record.
 * @param before - State before the record.
 * @param after - State after the record.
 */
export function followIsolation(
  dispatcher: DispatcherHost,
  hasher: Hasher,
  folded: FoldedRecord,
  before: RouterState,
  after: RouterState,
): void {
  if (folded.verdict.kind !== 'accepted') return;
  const {record} = folded.verdict;
  if (record.kind !== 'isolate' && record.kind !== 'merge') return;
  const {service, key} = record;
  const bundleService = after.bundle?.body.services.find(
    ({id}) => id === service,
  );
  if (!bundleService) return;
  const hashShard = shardOf(hasher, service, key, bundleService.shards);
  const isolatingState = record.kind === 'isolate' ? after : before;
  const isolatedShard = isolatingState.services.get(service)?.isolated.get(key);
  if (isolatedShard === undefined) return;
  if (record.kind === 'isolate')
    dispatcher.onIsolated(service, key, hashShard, isolatedShard);
  else dispatcher.onMerged(service, isolatedShard, hashShard);
}
