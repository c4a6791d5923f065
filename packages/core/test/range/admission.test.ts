import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Admission, admittedShares, KeyLoadMap} from '@wisteriarun/core';

const KEYS = [
  {server: 's0', fromKey: 0, toKey: 9},
  {server: 's1', fromKey: 10, toKey: 19},
  {server: null, fromKey: 20, toKey: 29},
];
const SERVERS = ['s0', 's1', 's2'].map(id => ({id, capacity: 1_000}));

/** Load in ms/s on the keys 5 and 15. */
function load(first: number, second: number): KeyLoadMap {
  const map = new KeyLoadMap(1_000 * Math.LN2);
  map.add(5, first);
  map.add(15, second);
  return map;
}

// Many VMs that each saw few of a hot key's requests sent them all to its
// owner, which reset 3,727 connections on quiet-1 of the grown austral-gw.
describe('shares of overloaded servers', () => {
  it('are given to servers whose load is far above their capacity', () => {
    const shares = admittedShares(load(1_250, 11_000), SERVERS, KEYS);
    expect(shares).toHaveLength(1);
    expect(shares[0]!.server).toBe('s1');
    expect(shares[0]!.share).toBeCloseTo(0.1);
  });

  it('let about the capacity through, over any number of VMs', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 100}),
        fc.double({min: 0.01, max: 0.9, noNaN: true}),
        (count, share) => {
          const perVm = 200;
          let admitted = 0;
          for (let vm = 0; vm < count; vm += 1) {
            const admission = new Admission();
            admission.set([{server: 's1', share}], 0);
            for (let at = 0; at < perVm; at += 1) {
              if (admission.admits('s1', false, 1)) admitted += 1;
            }
          }
          const wanted = count * perVm * share;
          expect(Math.abs(admitted - wanted)).toBeLessThanOrEqual(count);
        },
      ),
      {numRuns: 50},
    );
  });

  it('let more urgent requests through than others', () => {
    const admission = new Admission();
    admission.set([{server: 's1', share: 0.3}], 0);
    const count = (isUrgent: boolean) =>
      Array.from({length: 1_000}, () =>
        admission.admits('s1', isUrgent, 1),
      ).filter(Boolean).length;
    expect(count(true)).toBeGreaterThan(1.9 * count(false));
  });

  it('do not touch other servers, and lapse without a renewal', () => {
    const admission = new Admission();
    admission.set([{server: 's1', share: 0.01}], 0);
    for (let at = 0; at < 50; at += 1) {
      expect(admission.admits('s0', false, 1)).toBe(true);
      expect(admission.admits('s1', false, 1_501)).toBe(true);
    }
    admission.set([], 2_000);
    expect(admission.admits('s1', false, 2_001)).toBe(true);
  });
});
