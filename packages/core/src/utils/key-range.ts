/** Arithmetic of key ranges. */
import type {KeyRange} from '../types/index.js';

/**
 * Cuts keys out of a range.
 *
 * @param range - Range with any other properties.
 * @param removed - Keys to take out.
 * @returns What is left: nothing, one part or two.
 */
export function subtractKeys<T extends KeyRange>(
  range: T,
  removed: KeyRange,
): T[] {
  if (range.toKey < removed.fromKey || range.fromKey > removed.toKey)
    return [range];
  const remaining: T[] = [];
  if (range.fromKey < removed.fromKey) {
    remaining.push({...range, toKey: removed.fromKey - 1});
  }
  if (range.toKey > removed.toKey)
    remaining.push({...range, fromKey: removed.toKey + 1});
  return remaining;
}
