import {ServerLoadView} from '@wisteriarun/core';
import {beforeEach, describe, expect, it} from 'vitest';

const SLOTS = 3;

describe('the estimated load of a server', () => {
  let load: ServerLoadView;

  beforeEach(() => {
    load = new ServerLoadView(SLOTS);
  });

  /** Records answers until the average time of a request is close to `tookMs`. */
  const measureWork = (tookMs: number) => {
    for (let at = 0; at < 60; at += 1) load.answered(null, tookMs, 0);
  };

  it('counts a server as full that closed a connection without an answer', () => {
    measureWork(300);
    expect(load.requests(10_000)).toBe(0);
    load.connectionLost(5, 10_000);
    expect(load.requests(10_000)).toBeGreaterThanOrEqual(4 * SLOTS);
    expect(load.waitMs(10_000)).toBeGreaterThan(1_000);
  });

  it('does not count a server as full that ran the request, or has just reported free slots', () => {
    measureWork(300);
    load.connectionLost(250, 10_000);
    expect(load.requests(10_000)).toBe(0);
    load.reported({running: 1, waiting: 0, slots: SLOTS}, 11_000);
    load.connectionLost(5, 11_100);
    expect(load.requests(11_100)).toBeLessThan(SLOTS);
  });

  it('keeps a report for about the time in which the queue is served', () => {
    const report = {running: 3, waiting: 9, slots: SLOTS};
    for (const workMs of [60, 300]) {
      load = new ServerLoadView(SLOTS);
      measureWork(workMs);
      load.reported(report, 10_000);
      const soon = load.requests(10_000 + workMs);
      const late = load.requests(10_000 + 10 * workMs);
      expect(soon).toBeGreaterThan(7);
      expect(late).toBeLessThan(4);
    }
  });
});
