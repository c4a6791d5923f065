/** Operations on key ranges. */
import type {KeyRange} from '../types/index.js';

/**
 * Removes keys from a range.
 *
 * @param range - Range; its other properties are copied to each remaining part.
 * @param cut - Keys to remove.
 * @returns The remaining parts: none, one or two.
 */
export function subtractKeys<T extends KeyRange>(range: T, cut: KeyRange): T[] {
  if (range.toKey < cut.fromKey || range.fromKey > cut.toKey) return [range];
  const rest: T[] = [];
  if (range.fromKey < cut.fromKey) {
    rest.push({...range, toKey: cut.fromKey - 1});
  }
  if (range.toKey > cut.toKey) rest.push({...range, fromKey: cut.toKey + 1});
  return rest;
}
