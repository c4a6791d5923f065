/** Placements that the measurements compare with; not used for routing. */
import {rendezvousScore} from './hash.js';
import type {ServerCapacity} from './placement.js';

/**
 * Places by shard number modulo the number of servers.
 *
 * @param shards - Number of shards.
 * @param servers - Servers in a fixed order.
 * @returns Server of each shard.
 */
export function placeByModulo(
  shards: number,
  servers: readonly ServerCapacity[],
): string[] {
  if (servers.length === 0) return [];
  return Array.from(
    {length: shards},
    (_, shard) => servers[shard % servers.length]!.server,
  );
}

/**
 * Places by rendezvous hashing weighted with capacity.
 *
 * @param service - Service of the shards.
 * @param shards - Number of shards.
 * @param servers - Servers and their capacities.
 * @returns Server of each shard.
 */
export function placeByRendezvous(
  service: string,
  shards: number,
  servers: readonly ServerCapacity[],
): string[] {
  if (servers.length === 0) return [];
  return Array.from({length: shards}, (_, shard) => {
    const key = `${service}/${shard}`;
    const scored = servers.map(s => ({
      server: s.server,
      score: rendezvousScore(key, s.server, s.capacity),
    }));
    return scored.reduce((a, b) => (b.score > a.score ? b : a)).server;
  });
}
