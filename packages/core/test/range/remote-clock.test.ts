import {RemoteClock} from '@wisteriarun/core';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';

describe('the clock of another process', () => {
  // Guards against old knowledge that counts as fresh because its message took long.
  it('never makes an event look later than it was, whatever messages take', () => {
    const delayMs = fc.double({min: 0, max: 5_000, noNaN: true});
    const trip = fc.record({
      startMs: delayMs,
      thereMs: delayMs,
      backMs: delayMs,
    });
    fc.assert(
      fc.property(
        fc.array(trip, {maxLength: 8}),
        fc.double({min: -1e6, max: 1e6, noNaN: true}),
        delayMs,
        (trips, offsetMs, eventMs) => {
          const remote = new RemoteClock();
          const nowMs = 15_000;
          for (const {startMs, thereMs, backMs} of trips) {
            if (startMs + thereMs + backMs > nowMs) continue;
            remote.record(startMs, startMs + thereMs + offsetMs);
          }
          const boundMs = remote.earliestMs(eventMs + offsetMs, nowMs);
          expect(boundMs).toBeLessThanOrEqual(eventMs + 1e-6);
        },
      ),
    );
  });

  it('is known as closely as the shortest way there', () => {
    const remote = new RemoteClock();
    remote.record(100, 1_180);
    remote.record(200, 1_205);
    expect(remote.earliestMs(1_300, 400)).toBe(295);
  });

  it('is not known without a recent round trip', () => {
    const remote = new RemoteClock();
    expect(remote.earliestMs(1_000, 100)).toBe(-Infinity);
    remote.record(100, 1_100);
    expect(remote.earliestMs(4_000, 3_000)).toBe(3_000);
    expect(remote.earliestMs(4_300, 3_200)).toBe(-Infinity);
  });

  it('is not taken for a later time than the present', () => {
    const remote = new RemoteClock();
    remote.record(100, 1_100);
    expect(remote.earliestMs(9_000, 500)).toBe(500);
  });
});
