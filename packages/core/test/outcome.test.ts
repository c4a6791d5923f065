import {describe, expect, it} from 'vitest';
import {REASONS, isReason, requestFailure} from '@wisteriarun/core';

describe('reason table', () => {
  it('gives reasons the status 502 or 504 if the outcome is unknown, else another', () => {
    for (const info of Object.values(REASONS)) {
      const isGatewayError = info.status === 502 || info.status === 504;
      expect(isGatewayError).toBe(info.outcome === 'unknown');
    }
  });

  it('reroutes only requests that are proven not run', () => {
    for (const info of Object.values(REASONS)) {
      if (info.mayReroute) expect(info.outcome).toBe('not-run');
    }
  });

  it('does not accept names of inherited object properties as reasons', () => {
    expect(isReason('toString')).toBe(false);
    expect(isReason(requestFailure('no-owner').reason)).toBe(true);
  });
});
