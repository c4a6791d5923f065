import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createLogger, StallWatch} from '../src/index.js';

const logger = createLogger({
  level: 'error',
  process: 'test',
  zone: 'a',
});

describe('stall detection by StallWatch', () => {
  let nowMs = 0;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  let watch: StallWatch;

  const advanceTime = (ms: number) => {
    nowMs += ms;
    vi.advanceTimersByTime(50);
  };

  beforeEach(() => {
    vi.useFakeTimers();
    nowMs = 0;
    watch = new StallWatch(clock, logger);
  });

  afterEach(() => {
    watch.close();
    vi.useRealTimers();
  });

  it('reports no stall while the event loop runs', () => {
    for (let turn = 0; turn < 20; turn += 1) {
      advanceTime(50);
      expect(watch.isStalled).toBe(false);
    }
  });

  it('reports a stall before its own timer has run', () => {
    nowMs += 500;
    expect(watch.isStalled).toBe(true);
  });

  // After a stall, the watch's timer runs before the pending reads. If it ended
  // the stall, requests of callers that have already disconnected would be read
  // after it and forwarded.
  it('still reports a stall to the events after its own timer', () => {
    advanceTime(2_000);
    expect(watch.isStalled).toBe(true);
    advanceTime(50);
    advanceTime(60);
    expect(watch.isStalled).toBe(false);
  });
});
