/** Distributes requests over the parts of a route by weight. */
import type {RoutePart} from '../../types/index.js';

interface PartCredit {
  readonly part: RoutePart;
  credit: number;
}

/**
 * Smooth weighted rotation: any run of choices is within one request of the
 * weights, without bursts to one part.
 */
export class WeightedRotation {
  readonly #credits: PartCredit[];
  readonly #totalWeight: number;

  /**
   * @param parts - Parts with their weights; one at least.
   * @param random - Random number in [0, 1), so that VMs do not rotate in step.
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
