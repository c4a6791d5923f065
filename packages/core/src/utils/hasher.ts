/** Hash of keys to shards. */
import xxhash from 'xxhash-wasm';

/** A loaded 64-bit hash function. */
export interface Hasher {
  /**
   * Hashes the UTF-8 form of a text with xxhash64 and seed 0.
   *
   * @param text - Any text.
   * @returns Unsigned 64-bit hash.
   */
  hash64(text: string): bigint;
}

/**
 * Loads the hash function.
 *
 * @returns A hasher; all hashers give equal results.
 */
export async function createHasher(): Promise<Hasher> {
  const {h64} = await xxhash();
  return {hash64: text => h64(text)};
}

/**
 * Gives the hash shard of a key.
 *
 * @param hasher - Loaded hash function.
 * @param service - Id of the service.
 * @param key - Key within the service.
 * @param shards - Number of hash shards of the service.
 * @returns Shard number from 0 to `shards - 1`.
 */
export function shardOf(
  hasher: Hasher,
  service: string,
  key: string,
  shards: number,
): number {
  // A service id contains no NUL, so no two pairs give the same text.
  return Number(hasher.hash64(`${service}\0${key}`) % BigInt(shards));
}
