/** Looks up the owner of a key. */
import type {Route, RouterState} from '../../types/state.js';
import {shardOf, type Hasher} from '../../utils/hasher.js';
import {findService} from './fold-checks.js';

/**
 * Finds the shard of a key and the server that owns it.
 *
 * @param state - Folded state.
 * @param hasher - Loaded hash function.
 * @param service - Id of the service.
 * @param key - Key within the service.
 * @returns The route, or null when the bundle in force has no such service or
 * the shard has no row.
 */
export function route(
  state: RouterState,
  hasher: Hasher,
  service: string,
  key: string,
): Route | null {
  const found = findService(state, service);
  if (found === null) return null;
  // An isolated key has a shard of its own.
  const shard =
    found.state.isolated.get(key) ??
    shardOf(hasher, service, key, found.shards);
  const row = found.state.rows[shard];
  if (row === undefined) return null;
  const {epoch, zone, server} = row;
  return {service, shard, epoch, zone, server};
}
