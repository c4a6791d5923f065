/**
 * Moves the attempt records of a hot key that gets a shard of its own (record
 * `isolate`) or returns to its hash shard (record `merge`).
 */
import {shardOf, type Hasher, type RouterState} from '@wisteriarun/core';
import type {DispatcherHost} from '../request/dispatcher-host.js';
import type {FoldedRecord} from './state-replica.js';

/**
 * Notifies the dispatcher role of an accepted `isolate` or `merge` record. Must
 * be called before the dispatcher role applies the changed routes: otherwise it
 * treats the new epochs as a takeover and its attempt records as incomplete.
 *
 * @param dispatcher - Dispatcher role.
 * @param hasher - Loaded hash function.
 * @param folded - Folded record.
 * @param before - State before the record.
 * @param after - State after the record.
 */
export function notifyIsolationChange(
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
