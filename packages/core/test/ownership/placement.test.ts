import {describe, expect, it} from 'vitest';
import {
  HotKeyDetector,
  chooseDispatcher,
  computeCapacities,
  computeImbalance,
  placeByModulo,
  placeByRendezvous,
  placeShards,
  planBalanceMove,
  planLeaving,
  type PlacedShard,
  type ServerLoad,
} from '@wisteriarun/core';

const load = (server: string, serviceTimeMs: number): ServerLoad => ({
  server,
  serviceTimeMs,
  busySlots: 0,
  queued: 0,
  shards: [],
});
const unownedShards = (count: number) =>
  Array.from({length: count}, (_, shard) => ({
    service: 'svc',
    shard,
    from: null,
    load: 0.01,
  }));

describe('dispatcher choice', () => {
  const entries = ['a', 'b', 'c', 'd'].map((vm, n) => ({
    vm,
    capacity: n === 0 ? 3 : 1,
    draining: false,
  }));
  const servers = Array.from({length: 600}, (_, n) => `server-${n}`);

  it('changes the dispatcher only for the servers of a lost VM', () => {
    const rest = entries.filter(e => e.vm !== 'b');
    for (const server of servers) {
      const before = chooseDispatcher(server, entries);
      const after = chooseDispatcher(server, rest);
      if (before !== 'b') expect(after).toBe(before);
    }
  });

  it('gives each VM servers in proportion to its capacity', () => {
    const ofA = servers.filter(s => chooseDispatcher(s, entries) === 'a');
    expect(ofA.length / servers.length).toBeGreaterThan(0.42);
    expect(ofA.length / servers.length).toBeLessThan(0.58);
  });

  it('does not choose a draining VM, and returns null without VMs', () => {
    const draining = entries.map(e => ({...e, draining: e.vm !== 'd'}));
    expect(chooseDispatcher('s', draining)).toBe('d');
    expect(chooseDispatcher('s', [])).toBeNull();
  });
});

describe('placement', () => {
  it('places shards in proportion to slots times speed', () => {
    // Speed is the median of the service times divided by the server's own.
    const servers = [
      {id: 'fast', slots: 4},
      {id: 'mid', slots: 4},
      {id: 'slow', slots: 4},
    ];
    const times = [load('fast', 5), load('mid', 10), load('slow', 20)];
    const reports = new Map(times.map(l => [l.server, l]));
    const capacities = computeCapacities(servers, reports);
    expect(capacities.map(c => c.capacity)).toEqual([8, 4, 2]);
    const moves = placeShards(unownedShards(140), capacities, [], 'initial');
    const count = (id: string) => moves.filter(m => m.to === id).length;
    expect(['fast', 'mid', 'slow'].map(count)).toEqual([80, 40, 20]);
  });

  it('places no shards when there is no server', () => {
    expect(placeShards(unownedShards(3), [], [], 'initial')).toEqual([]);
  });

  it('places every shard by modulo and by rendezvous, which moves none off a remaining server', () => {
    const servers = [
      {server: 'a', capacity: 1},
      {server: 'b', capacity: 1},
    ];
    expect(placeByModulo(4, servers)).toEqual(['a', 'b', 'a', 'b']);
    const all = placeByRendezvous('svc', 200, servers);
    const lost = placeByRendezvous('svc', 200, servers.slice(0, 1));
    expect(all.length).toBe(200);
    all.forEach((server, n) => {
      if (server === 'a') expect(lost[n]).toBe('a');
    });
  });
});

describe('balance', () => {
  const servers = ['a', 'b', 'c'].map(server => ({server, capacity: 4}));
  const at = (server: string, shard: number, load: number): PlacedShard => ({
    service: 'svc',
    shard,
    server,
    load,
  });
  const placed = [at('a', 0, 2), at('a', 1, 1), at('b', 2, 1), at('c', 3, 0.5)];

  it('moves the shard that most reduces the larger usage of source and destination', () => {
    const move = planBalanceMove(placed, servers, () => true)!;
    expect([move.shard, move.from, move.to]).toEqual([1, 'a', 'c']);
    const after = placed.map(p => (p.shard === 1 ? {...p, server: 'c'} : p));
    expect(computeImbalance(after, servers)).toBeLessThan(
      computeImbalance(placed, servers),
    );
  });

  it('moves nothing below IMBALANCE_THRESHOLD, nor shards that may not move', () => {
    const even = [at('a', 0, 1.2), at('b', 1, 1), at('c', 2, 1)];
    expect(planBalanceMove(even, servers, () => true)).toBeNull();
    expect(planBalanceMove(placed, servers, () => false)).toBeNull();
  });

  it('isolates a key only after it stayed hot for 30 s', () => {
    const detector = new HotKeyDetector();
    const shard = {
      service: 'svc',
      shard: 1,
      busySlots: 3,
      hotKey: 'k',
      hotKeyShare: 0.9,
    };
    const hot = {...load('a', 1), shards: [shard]};
    const cool = {...hot, shards: [{...shard, busySlots: 1}]};
    expect(detector.evaluate(hot, 4, 0)).toEqual([]);
    expect(detector.evaluate(hot, 4, 29_999)).toEqual([]);
    expect(detector.evaluate(hot, 4, 30_000).map(h => h.key)).toEqual(['k']);
    detector.evaluate(cool, 4, 30_100);
    expect(detector.evaluate(hot, 4, 30_200)).toEqual([]);
  });
});

describe('leaving', () => {
  const base = {
    batch: 'b1',
    leaveAtMs: 100_000,
    startedAtWallMs: 0,
    totalShards: 90,
  };

  it('spreads the starts of moves over 90% of the time, and has all start at once after leaveAtMs', () => {
    const due = (wallMs: number, shardsLeft: number) =>
      planLeaving({...base, wallMs, shardsLeft}).dueMoves;
    expect(due(0, 90)).toBe(1);
    expect(due(45_000, 90)).toBe(46);
    expect(due(90_000, 10)).toBe(10);
    expect(
      planLeaving({...base, leaveAtMs: 0, wallMs: 5, shardsLeft: 90}).dueMoves,
    ).toBe(90);
  });

  it('is late when the moves so far are too slow to finish by leaveAtMs', () => {
    const late = (shardsLeft: number) =>
      planLeaving({...base, wallMs: 50_000, shardsLeft}).isLate;
    expect(late(40)).toBe(false);
    expect(late(80)).toBe(true);
    expect(late(90)).toBe(true);
  });
});
