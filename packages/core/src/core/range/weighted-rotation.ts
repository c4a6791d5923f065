/** Distributes requests over the parts of a route by weight. */
import type {RoutePart} from '../../types/index.js';

interface Share {
  readonly part: RoutePart;
  credit: number;
}

/**
 * Smooth weighted rotation: any run of choices is within one request of the
 * weights, without bursts to one part.
 */
export class WeightedRotation {
  readonly #shares: Share[];
  readonly #totalWeight: number;

  /**
   * @param parts - Parts with their weights; one at least.
   * @param random - Random number in [0, 1), so that VMs do not rotate in step.
   */
  constructor(parts: readonly RoutePart[], random: number) {
    this.#shares = parts.map(part => ({part, credit: part.weight * random}));
    this.#totalWeight = parts.reduce((sum, part) => sum + part.weight, 0);
  }

  /**
   * Chooses the part of the next request.
   *
   * @returns Name of the service, or null when no part has weight.
   */
  next(): string | null {
    let best: Share | null = null;
    for (const share of this.#shares) {
      if (share.part.weight <= 0) continue;
      share.credit += share.part.weight;
      if (best === null || share.credit > best.credit) best = share;
    }
    if (best === null) return null;
    best.credit -= this.#totalWeight;
    return best.part.service;
  }
}
