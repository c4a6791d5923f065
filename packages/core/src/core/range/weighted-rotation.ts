/** Distributes the requests of a route over its parts by weight. */
import type {RoutePart} from '../../types/index.js';

interface PartCredit {
  readonly part: RoutePart;
  credit: number;
}

/**
 * Smooth weighted round-robin: in any run of choices, each part gets its share
 * to within a few requests, without bursts.
 */
export class WeightedRotation {
  readonly #credits: PartCredit[];
  readonly #totalWeight: number;

  /**
   * @param parts - Parts with their weights; at least one.
   * @param random - Random number in [0, 1) for the start of the rotation, so
   * that VMs do not choose the same part at the same time.
   */
  constructor(parts: readonly RoutePart[], random: number) {
    this.#credits = parts.map(part => ({part, credit: part.weight * random}));
    this.#totalWeight = parts.reduce((sum, part) => sum + part.weight, 0);
  }

  /**
   * Chooses the part of the next request.
   *
   * @returns Name of the service, or null when no part has weight.
   */
  next(): string | null {
    let best: PartCredit | null = null;
    for (const candidate of this.#credits) {
      if (candidate.part.weight <= 0) continue;
      candidate.credit += candidate.part.weight;
      if (best === null || candidate.credit > best.credit) best = candidate;
    }
    if (best === null) return null;
    best.credit -= this.#totalWeight;
    return best.part.service;
  }
}
