/** Arithmetic of key ranges. */
import type {KeyRange} from '../types/index.js';

/**
 * Cuts keys out of a range.
 *
 * @param range - Range with any other properties.
 * @param cut - Keys to take out.
 * @returns What is left: nothing, one part or two.
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
