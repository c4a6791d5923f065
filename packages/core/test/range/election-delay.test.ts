import {electionDelayMs, MAX_ELECTION_DELAY_MS} from '@wisteriarun/core';
import {describe, expect, it} from 'vitest';

describe('the delay of an election', () => {
  it('lets strong VMs go before weak ones, whatever their random parts', () => {
    const strong = electionDelayMs({cpuCores: 1.35, linkMbps: 140}, 0.999);
    for (const weak of [
      {cpuCores: 0.203, linkMbps: 140},
      {cpuCores: 1.35, linkMbps: 14},
    ]) {
      expect(electionDelayMs(weak, 0)).toBeGreaterThan(strong);
      expect(electionDelayMs(weak, 0.999)).toBeLessThan(MAX_ELECTION_DELAY_MS);
    }
  });

  it('spreads equal VMs', () => {
    const vm = {cpuCores: 1, linkMbps: Infinity};
    expect(electionDelayMs(vm, 0)).toBe(0);
    expect(electionDelayMs(vm, 0.5)).toBe(25);
  });
});
