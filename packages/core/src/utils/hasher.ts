/** Maps keys to shards by their hash. */
import xxhash from 'xxhash-wasm';

/** A 64-bit hash function, ready for use. */
export interface Hasher {
  /**
   * Hashes the UTF-8 encoding of a text with xxHash64 and seed 0.
   *
   * @param text - Any text.
   * @returns Unsigned 64-bit hash.
   */
  hash64(text: string): bigint;
}

/**
 * Loads the hash function.
 *
 * @returns A hasher. All hashers return the same hashes, on every VM.
 */
export async function createHasher(): Promise<Hasher> {
  const {h64} = await xxhash();
  return {hash64: text => h64(text)};
}

/**
 * Computes the hash shard of a key.
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
  // Service ids cannot contain NUL, so different pairs give different texts.
  return Number(hasher.hash64(`${service}\0${key}`) % BigInt(shards));
}
