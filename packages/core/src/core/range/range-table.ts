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
    for (const range of ranges) this.assign(range);
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
    const ranges = this.#services.get(service);
    if (ranges === undefined) return null;
    let low = 0;
    let high = ranges.length - 1;
    while (low <= high) {
      const middle = (low + high) >> 1;
      const range = ranges[middle]!;
      if (key < range.fromKey) high = middle - 1;
      else if (key > range.toKey) low = middle + 1;
      else return range;
    }
    return null;
  }

  /**
   * Sets the owner of a range, and removes its keys from overlapping ranges.
   *
   * @param assigned - The range with its owner.
   */
  assign(assigned: RangeOwner): void {
    const ranges = this.#services.get(assigned.service) ?? [];
    const kept = ranges.flatMap(range => subtractKeys(range, assigned));
    const at = kept.findIndex(range => range.fromKey > assigned.fromKey);
    kept.splice(at < 0 ? kept.length : at, 0, assigned);
    this.#services.set(assigned.service, kept);
  }

  /**
   * Yields the parts of a range with their current owners.
   *
   * @param service - Name of the service.
   * @param within - The range.
   * @returns Overlapping ranges, narrowed to those keys.
   */
  *overlapping(service: string, within: KeyRange): Generator<RangeOwner> {
    for (const range of this.ofService(service)) {
      if (range.toKey < within.fromKey || range.fromKey > within.toKey) {
        continue;
      }
      yield {
        ...range,
        fromKey: Math.max(range.fromKey, within.fromKey),
        toKey: Math.min(range.toKey, within.toKey),
      };
    }
  }
}
