/** Hash functions for rendezvous hashing; all VMs compute the same results. */

const FNV_PRIME = 0x01000193;
const FNV_BASIS = 0x811c9dc5;
const UINT32_RANGE = 2 ** 32;

/** The 32-bit finalizer of MurmurHash3. */
function mixBits(hash: number): number {
  let h = hash;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/**
 * Hashes text to 32 bits (FNV-1a with a final mix).
 *
 * @param text - Text to hash.
 * @returns Unsigned 32-bit hash.
 */
export function hashText(text: string): number {
  let h = FNV_BASIS;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), FNV_PRIME);
  }
  return mixBits(h);
}

/**
 * Computes the weighted rendezvous score of a candidate for a key. The
 * candidate with the highest score is chosen.
 *
 * @param key - Item to place.
 * @param candidate - Candidate.
 * @param weight - Relative share of the candidate, above 0.
 * @returns Score above 0.
 */
export function rendezvousScore(
  key: string,
  candidate: string,
  weight: number,
): number {
  // Strictly between 0 and 1, so that the logarithm is finite and below 0.
  const unit = (hashText(`${key}\u0000${candidate}`) + 0.5) / UINT32_RANGE;
  return -weight / Math.log(unit);
}

/**
 * Orders candidates of equal weight by rendezvous score, highest first.
 *
 * @param key - Item for which the candidates are ranked.
 * @param names - Names of the candidates.
 * @returns A new sorted array.
 */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const scores = new Map(names.map(n => [n, rendezvousScore(key, n, 1)]));
  return [...names].sort(
    (a, b) => scores.get(b)! - scores.get(a)! || (a < b ? -1 : 1),
  );
}
