/** Recent load of each key of one service. */
import {KEY_COUNT} from '../../types/index.js';
import type {KeyRange} from '../../types/index.js';

/** Exponentially decayed sums of server time, in milliseconds per second. */
export class KeyLoadMap {
  readonly #perKey = new Float32Array(KEY_COUNT);
  readonly #halfLifeMs: number;
  #decayedAtMs: number | null = null;

  /**
   * @param halfLifeMs - Time after which a sample counts half.
   */
  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /**
   * Adds server time that requests for a key took.
   *
   * @param key - The key.
   * @param workMs - Server time at the speed of a common server.
   */
  add(key: number, workMs: number): void {
    // A steady rate r sums up to r * halfLife / ln 2.
    const perSecond = (workMs * 1_000 * Math.LN2) / this.#halfLifeMs;
    this.#perKey[key] = this.#perKey[key]! + perSecond;
  }

  /**
   * Lets the past count less.
   *
   * @param nowMs - Monotonic time.
   */
  decay(nowMs: number): void {
    const sinceMs = nowMs - (this.#decayedAtMs ?? nowMs);
    this.#decayedAtMs = nowMs;
    if (sinceMs <= 0) return;
    const factor = 0.5 ** (sinceMs / this.#halfLifeMs);
    const perKey = this.#perKey;
    for (let key = 0; key < KEY_COUNT; key += 1) {
      perKey[key] = perKey[key]! * factor;
    }
  }

  /**
   * Load of one key.
   *
   * @param key - The key.
   * @returns Milliseconds of server time per second.
   */
  at(key: number): number {
    return this.#perKey[key]!;
  }

  /**
   * Load of a range.
   *
   * @param range - The keys.
   * @returns Milliseconds of server time per second.
   */
  sum(range: KeyRange): number {
    let total = 0;
    for (let key = range.fromKey; key <= range.toKey; key += 1) {
      total += this.#perKey[key]!;
    }
    return total;
  }
}
