/** Simple placements that benchmarks compare with; not used for routing. */
import {rendezvousScore} from './hash.js';
import type {ServerCapacity} from './placement.js';

/**
 * Places each shard on the server at index `shard % servers.length`.
 *
 * @param shardCount - Number of shards.
 * @param servers - Servers in a fixed order.
 * @returns Server of each shard.
 */
export function placeByModulo(
  shardCount: number,
  servers: readonly ServerCapacity[],
): string[] {
  if (servers.length === 0) return [];
  return Array.from(
    {length: shardCount},
    (_, shard) => servers[shard % servers.length]!.server,
  );
}

/**
 * Places each shard by rendezvous hashing weighted by capacity.
 *
 * @param service - Service of the shards.
 * @param shardCount - Number of shards.
 * @param servers - Servers and their capacities.
 * @returns Server of each shard.
 */
export function placeByRendezvous(
  service: string,
  shardCount: number,
  servers: readonly ServerCapacity[],
): string[] {
  if (servers.length === 0) return [];
  return Array.from({length: shardCount}, (_, shard) => {
    const key = `${service}/${shard}`;
    const scored = servers.map(s => ({
      server: s.server,
      score: rendezvousScore(key, s.server, s.capacity),
    }));
    return scored.reduce((a, b) => (b.score > a.score ? b : a)).server;
  });
}
