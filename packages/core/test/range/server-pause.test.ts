import {parsePauseMs, ServerPause} from '@wisteriarun/core';
import {describe, expect, it} from 'vitest';

describe('the pause that a server asks for', () => {
  it.each([
    ['2', 2_000],
    ['0.25', 250],
    ['0', 0],
    ['999999999', 60_000],
    ['1e9', null],
    ['-1', null],
    ['', null],
    [' 1', null],
    ['soon', null],
    ['Wed, 21 Oct 2026 07:28:00 GMT', null],
    [undefined, null],
    [['1', '2'], null],
  ])('is parsed: %s', (text, pauseMs) => {
    expect(parsePauseMs(text)).toBe(pauseMs);
  });

  it('ends in time, and is never shortened by a later refusal', () => {
    const pause = new ServerPause();
    expect(pause.leftMs(1_000)).toBe(0);
    pause.start(2_000, 1_000);
    pause.start(100, 1_500);
    expect(pause.leftMs(1_500)).toBe(1_500);
    expect(pause.leftMs(3_000)).toBe(0);
  });

  it('brings callers back after its end, spread over time', () => {
    const pause = new ServerPause();
    pause.start(2_000, 0);
    expect(pause.retryAfterMs(500, 0)).toBe(1_500);
    expect(pause.retryAfterMs(500, 0.5)).toBe(1_500 + 375);
    expect(pause.retryAfterMs(1_990, 0.99)).toBeGreaterThan(100);
  });
});
