/** Table of the owners of all key ranges. */
import type {KeyRange, RangeOwner} from '../../types/index.js';
import {subtractKeys} from '../../utils/index.js';

/** Ranges of each service in ascending order, without overlap, ends included. */
export class RangeTable {
  readonly #services = new Map<string, RangeOwner[]>();

  /**
   * @param ranges - Initial ranges. A later one replaces the overlapping keys
   * of an earlier one.
   */
  constructor(ranges: readonly RangeOwner[] = []) {
    for (const range of ranges) {
      const known = this.#services.get(range.service);
      // Tables are written in ascending order, in which nothing overlaps.
      if (known !== undefined && known.at(-1)!.toKey < range.fromKey) {
        known.push(range);
      } else {
        this.assign(range);
      }
    }
  }

  /**
   * Lists all ranges.
   *
   * @returns Ranges by service, the services in the order of their first
   * assignment and the ranges of each service in ascending order.
   */
  all(): RangeOwner[] {
    return [...this.#services.values()].flat();
  }

  /**
   * Lists the ranges of a service.
   *
   * @param service - Name of the service.
   * @returns Ranges in ascending order.
   */
  ofService(service: string): readonly RangeOwner[] {
    return this.#services.get(service) ?? [];
  }

  /**
   * Lists the ranges of a server.
   *
   * @param server - Id of the server.
   * @returns Ranges in the order of `all`.
   */
  ofServer(server: string): RangeOwner[] {
    return this.all().filter(range => range.server === server);
  }

  /**
   * Finds the range that contains a key.
   *
   * @param service - Name of the service.
   * @param key - The key.
   * @returns The range, or null when the key was never assigned.
   */
  find(service: string, key: number): RangeOwner | null {
    const ranges = this.ofService(service);
    const range = ranges[firstIndexFrom(ranges, key)];
    return range !== undefined && range.fromKey <= key ? range : null;
  }

  /**
   * Sets the owner of a range, and removes its keys from overlapping ranges.
   *
   * @param assigned - The range with its owner.
   */
  assign(assigned: RangeOwner): void {
    const ranges = this.ofService(assigned.service);
    const start = firstIndexFrom(ranges, assigned.fromKey);
    let end = start;
    const parts: RangeOwner[] = [];
    for (const range of overlapsFrom(ranges, start, assigned)) {
      parts.push(...subtractKeys(range, assigned));
      end += 1;
    }
    const at = parts.findIndex(part => part.fromKey > assigned.fromKey);
    parts.splice(at < 0 ? parts.length : at, 0, assigned);
    // A copy, since callers may iterate over the ranges while they change.
    const changed = ranges.toSpliced(start, end - start, ...parts);
    this.#services.set(assigned.service, changed);
  }

  /**
   * Yields the parts of a range with their current owners.
   *
   * @param service - Name of the service.
   * @param within - The range.
   * @returns Overlapping ranges, narrowed to those keys.
   */
  *overlapping(service: string, within: KeyRange): Generator<RangeOwner> {
    const ranges = this.ofService(service);
    const start = firstIndexFrom(ranges, within.fromKey);
    for (const range of overlapsFrom(ranges, start, within)) {
      yield {
        ...range,
        fromKey: Math.max(range.fromKey, within.fromKey),
        toKey: Math.min(range.toKey, within.toKey),
      };
    }
  }
}

/** Finds the first range that ends at a key or after it. */
function firstIndexFrom(ranges: readonly RangeOwner[], key: number): number {
  let low = 0;
  let high = ranges.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (ranges[middle]!.toKey < key) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Yields the ranges from an index on that begin before the end of a range. */
function* overlapsFrom(
  ranges: readonly RangeOwner[],
  start: number,
  {toKey}: KeyRange,
): Generator<RangeOwner> {
  for (let index = start; index < ranges.length; index += 1) {
    const range = ranges[index]!;
    if (range.fromKey > toKey) return;
    yield range;
  }
}
