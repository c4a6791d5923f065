/** Derives the shard moves that the dispatcher role acts on. */
import type {RouterState} from '@wisteriarun/core';
import type {ShardMove} from '../request/shard-handovers.js';
import type {FoldedRecord} from './state-replica.js';

/**
 * Extracts the changes of shard owners from a folded record.
 *
 * @param folded - Folded record, or null after the whole state was replaced.
 * @param before - State before the record.
 * @returns Moves of shards that had an owner before an accepted assign record;
 * empty for any other record.
 */
export function movesOf(
  folded: FoldedRecord | null,
  before: RouterState,
): ShardMove[] {
  if (folded?.verdict.kind !== 'accepted') return [];
  const {record} = folded.verdict;
  if (record.kind !== 'assign') return [];
  return record.changes.flatMap(({service, shard, server, formerFence}) => {
    const row = before.services.get(service)?.rows[shard];
    if (!row || row.server === null) return [];
    const {server: former, epoch} = row;
    const from = {server: former, epoch, fence: formerFence};
    return [{service, shard, from, to: server}];
  });
}
