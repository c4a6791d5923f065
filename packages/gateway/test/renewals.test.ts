import type {RangeOwner} from '@wisteriarun/core';
import {createLogger} from '@wisteriarun/runtime';
import {beforeEach, describe, expect, it} from 'vitest';
import type {RangeMover} from '../src/ownership/range-mover.js';
import {Renewals} from '../src/ownership/renewals.js';
import {gatewayServer} from './fixtures.js';

const HOLD_MS = 4_000;
const SERVER = gatewayServer('i-1');
const RANGE: RangeOwner = {
  service: 'records',
  fromKey: 0,
  toKey: 9,
  server: 'i-1',
  former: null,
  bornMs: 1,
  fence: 1,
  moving: false,
};

// Guards against two servers that hold the same keys: renewals to a crashed
// server were sent again until one reached its successor at the same address,
// with a fence that the crashed server had accepted (simulated day scale-2, seed
// 161551318495, of the test deployment eslabon-gw).
describe('renewals after a failure', () => {
  let nowMs = 0;
  let describedAtMs = -Infinity;
  let outcome: 'granted' | 'failed' = 'granted';
  let sentFences: number[] = [];
  let nextFence = 100;
  let renewals: Renewals;

  beforeEach(() => {
    nowMs = 0;
    describedAtMs = -Infinity;
    outcome = 'granted';
    sentFences = [];
    const mover = {
      raiseFence: (range: RangeOwner) => ({...range, fence: (nextFence += 1)}),
      grant: (range: RangeOwner) => {
        sentFences.push(range.fence);
        return Promise.resolve(outcome);
      },
    } as unknown as RangeMover;
    renewals = new Renewals(
      mover,
      {monotonicMs: () => nowMs, wallMs: () => nowMs},
      createLogger({level: 'error', process: 'test', zone: 'a'}),
      HOLD_MS,
      (_, sinceMs) => describedAtMs > sinceMs,
    );
    renewals.makeFirstRenewalDue('i-1');
  });

  /** Renews every 100 ms; returns whether the last call still renewed. */
  async function renewUntil(untilMs: number): Promise<boolean> {
    let isRenewing = true;
    for (; nowMs < untilMs; nowMs += 100) {
      isRenewing = renewals.renew(SERVER, [RANGE], () => {});
      await renewals.waitForRenewals('i-1');
    }
    return isRenewing;
  }

  it('use the same fence while all of them succeed', async () => {
    await renewUntil(3_500);
    expect(sentFences).toEqual([1, 1, 1, 1]);
  });

  it('use a higher fence each time, and end without a sign of life', async () => {
    outcome = 'failed';
    expect(await renewUntil(5_000)).toBe(false);
    expect(sentFences[0]).toBe(1);
    const later = sentFences.slice(1);
    expect(later.length).toBeGreaterThan(0);
    for (const fence of later) expect(fence).toBeGreaterThan(100);
    expect(new Set(later).size).toBe(later.length);
    const count = sentFences.length;
    // A description that may be older than the failure is no sign of life.
    describedAtMs = 900;
    await renewUntil(6_000);
    expect(sentFences.length).toBe(count);
  });

  it('resume after a sign of life, and keep the fence after a success', async () => {
    outcome = 'failed';
    await renewUntil(5_000);
    describedAtMs = 4_000;
    outcome = 'granted';
    const count = sentFences.length;
    expect(await renewUntil(9_000)).toBe(true);
    const later = sentFences.slice(count);
    expect(later[0]).toBeGreaterThan(100);
    expect(later.slice(1)).toEqual([1, 1, 1]);
  });
});
