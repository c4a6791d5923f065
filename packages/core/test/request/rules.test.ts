import {describe, expect, it} from 'vitest';
import {
  CrashGuard,
  RetryBudget,
  ServerLoadMeter,
  fingerprint,
  forwardableHeaders,
  methodClass,
  uuidV7WallMs,
} from '@wisteriarun/core';

describe('retry budget', () => {
  it('allows 10 retries plus 10% of the requests of the last 10 s', () => {
    const budget = new RetryBudget();
    for (let i = 0; i < 50; i++) budget.recordRequest(0);
    let allowed = 0;
    while (budget.tryRetry(5_000)) allowed += 1;
    expect(allowed).toBe(15);
    expect(budget.tryRetry(9_999)).toBe(false);
    expect(budget.tryRetry(15_000)).toBe(true);
  });
});

describe('idempotency rules', () => {
  it('reads the creation time of a UUIDv7 and rejects other texts', () => {
    expect(uuidV7WallMs('0190163d-8694-739b-aea5-966c26f8ad91')).toBe(
      0x0190163d8694,
    );
    expect(uuidV7WallMs('0190163d-8694-439b-aea5-966c26f8ad91')).toBeNull();
    expect(uuidV7WallMs('x')).toBeNull();
  });

  it('classifies POST and PATCH as non-repeatable', () => {
    expect(methodClass('POST')).toBe('non-repeatable');
    expect(methodClass('PATCH')).toBe('non-repeatable');
    expect(methodClass('PUT')).toBe('idempotent');
    expect(methodClass('CONNECT')).toBe('unsupported');
  });
});

describe('header forwarding', () => {
  it('removes hop-by-hop headers and forged wisteriarun headers', () => {
    const headers = forwardableHeaders({
      connection: 'close, x-hop',
      'x-hop': '1',
      'wisteriarun-fence': '9.9',
      'transfer-encoding': 'chunked',
      'x-kept': 'yes',
    });
    expect(headers).toEqual({'x-kept': 'yes'});
  });
});

describe('crash guard', () => {
  const parts = {
    idempotencyKey: null,
    service: 's',
    key: 'k',
    method: 'GET',
    path: '/s/k',
    lengthBytes: 0,
  };

  it('identifies a request by its idempotency key, or else by its properties', () => {
    const other = {...parts, path: '/s/k/other'};
    expect(fingerprint(parts)).not.toBe(fingerprint(other));
    const keyed = {...parts, idempotencyKey: 'i'};
    expect(fingerprint(keyed)).toBe(fingerprint({...keyed, path: '/x'}));
  });

  it('counts crashes per request, also on another VM, until 10 min have passed or the request is answered', () => {
    const guard = new CrashGuard();
    // The guard of another entry VM, which receives records of the first one.
    const other = new CrashGuard();
    // Counts once for `p`, although the request is listed twice.
    guard.recordCrash('a', ['p', 'q', 'p'], 0);
    other.merge(guard.recordCrash('b', ['p'], 10), 10);
    expect([guard.count('p', 20), guard.count('q', 20)]).toEqual([2, 1]);
    expect(other.count('p', 20)).toBe(2);
    expect(guard.count('p', 600_010)).toBe(0);
    // A cleared record has the count 0, which clears it on the other VM as well.
    const cleared = guard.clear('q')!;
    other.raiseCount('q', 1, 'a', 20);
    other.merge([cleared], 20);
    expect(other.count('q', 20)).toBe(0);
  });

  it('keeps at most 10,000 records, however many requests crash servers', () => {
    const guard = new CrashGuard();
    guard.recordCrash(
      'a',
      Array.from({length: 12_000}, (_, i) => `${i}`),
      0,
    );
    expect(guard.size).toBe(10_000);
  });
});

describe('server load meter', () => {
  it('estimates busy slots, finds the hot key among many and drops idle shards', () => {
    const meter = new ServerLoadMeter('srv', 0);
    let nowMs = 0;
    for (let i = 0; i < 2_000; i++) {
      const key = i % 10 < 6 ? 'hot' : `cold-${i}`;
      meter.start('s', 1, nowMs);
      nowMs += 20;
      meter.finish('s', 1, key, 20, nowMs);
      nowMs += 20;
    }
    // The first argument is the number of queued requests.
    const load = meter.report(3, nowMs);
    expect(load.serviceTimeMs).toBeCloseTo(20);
    expect(load.busySlots).toBeGreaterThan(0.45);
    expect(load.busySlots).toBeLessThan(0.55);
    expect(load.shards[0]?.hotKey).toBe('hot');
    expect(load.shards[0]?.hotKeyShare).toBeGreaterThan(0.5);
    // After 200 s without requests, the shard counts as idle.
    expect(meter.report(0, nowMs + 200_000).shards).toEqual([]);
  });
});
