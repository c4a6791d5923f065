/**
 * Recent load of every key of one service. Keys are the integers from 0 to
 * `KEY_COUNT` - 1.
 */
import {KEY_COUNT} from '../../types/index.js';
import type {KeyRange} from '../../types/index.js';

/** Exponentially decayed loads, in milliseconds of server time per second. */
export class KeyLoadMap {
  readonly #perKey = new Float32Array(KEY_COUNT);
  readonly #halfLifeMs: number;
  #decayedAtMs: number | null = null;
  /** Average time of one request on a server of speed 1; 0 when unknown. */
  requestWorkMs = 0;

  /**
   * @param halfLifeMs - Time in which the weight of a sample halves.
   */
  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /**
   * Adds the server time of requests for a key.
   *
   * @param key - The key.
   * @param workMs - Time that the requests take on a server of average speed
   * (1, see `ServerSpeeds`).
   */
  add(key: number, workMs: number): void {
    // The decayed sum of a steady rate r is r * halfLife / ln 2.
    const perSecond = (workMs * 1_000 * Math.LN2) / this.#halfLifeMs;
    this.#perKey[key] = this.#perKey[key]! + perSecond;
  }

  /**
   * Decays all loads by the time since the last call.
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
   * Returns the load of one key, decayed up to the last call of `decay`.
   *
   * @param key - The key.
   * @returns Milliseconds of server time per second.
   */
  at(key: number): number {
    return this.#perKey[key]!;
  }

  /**
   * Returns the standard deviation of a measured load: with few long requests in
   * the time that the sums cover, a steady load looks uneven.
   *
   * @param load - Mean load, in milliseconds of server time per second.
   * @returns Milliseconds of server time per second.
   */
  noise(load: number): number {
    const timeConstantS = this.#halfLifeMs / Math.LN2 / 1_000;
    return Math.sqrt((load * this.requestWorkMs) / (2 * timeConstantS));
  }

  /**
   * Returns the total load of a range, decayed up to the last call of `decay`.
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
