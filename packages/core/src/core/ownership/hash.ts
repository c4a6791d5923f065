/** Hash functions of the rendezvous choices; the same on every VM. */

const FNV_PRIME = 0x01000193;
const FNV_BASIS = 0x811c9dc5;
const UINT32_RANGE = 2 ** 32;

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
 * Weighted rendezvous score; the node with the highest score wins.
 *
 * @param key - What is placed.
 * @param candidate - Candidate.
 * @param weight - Relative share of the candidate, above 0.
 * @returns Score above 0.
 */
export function rendezvousScore(
  key: string,
  candidate: string,
  weight: number,
): number {
  const unit = (hashText(`${key}\u0000${candidate}`) + 0.5) / UINT32_RANGE;
  return -weight / Math.log(unit);
}

/**
 * Orders names by equal-weight rendezvous score, best first.
 *
 * @param key - What the names compete for.
 * @param names - Candidates.
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
