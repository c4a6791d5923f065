import {describe, expect, it} from 'vitest';
import type {AssignerCommand} from '@wisteriarun/core';
import {MoveTable} from '../../src/core/ownership/move-table.js';
import {Bench, dispatcherOf, entry, pick, two, type Of} from './bench.js';

describe('leases', () => {
  it('grants to a restarted server only after the term was confirmed', () => {
    const bench = new Bench(two());
    bench.run(500);
    bench.confirms = false;
    bench.boots.set('s1', '2');
    bench.statuses.set('s1', {term: 0, fence: null, dispatcher: null});
    bench.run(310);
    const leases = () =>
      pick(bench.run(1_000), 'lease').filter(c => c.server === 's1').length;
    expect(leases()).toBe(0);
    bench.confirms = true;
    expect(leases()).toBeGreaterThan(0);
  });

  it('renews at the interval and never has two calls outstanding', () => {
    const bench = new Bench(two());
    bench.run(1_000);
    const renewals = pick(bench.run(3_000), 'lease');
    expect(renewals.length).toBe(20);
  });
});

describe('dispatchers', () => {
  it('keeps the dispatcher and fence that a server reports', () => {
    const bench = new Bench(two());
    const fence = {term: 1, seq: 9};
    bench.statuses.set('s1', {term: 1, fence, dispatcher: 'b'});
    const lease = pick(bench.run(100), 'lease').find(c => c.server === 's1')!;
    expect(lease.request).toMatchObject({fence, dispatcher: 'b'});
  });

  it('changes a draining dispatcher by stop, then fence, then table', () => {
    const bench = new Bench(two());
    bench.run(500);
    const old = dispatcherOf(bench, 's1')!;
    const next = old === 'a' ? 'b' : 'a';
    bench.entries = [entry(old, true), entry(next)];
    const before = bench.run(500);
    const stop = pick(before, 'dispatch-stop').find(
      c => c.message.server === 's1',
    )!;
    expect([stop.to, stop.message.next]).toEqual([old, next]);
    expect(dispatcherOf(bench, 's1')).toBe(old);
    bench.silent.add('s1');
    const {term, fence} = stop.message;
    const kind = 'dispatch-stopped';
    const message = {kind, server: 's1', term, fence} as const;
    // A late answer to the stop of an earlier fence must not count.
    const earlier = {...fence, seq: fence.seq - 1};
    bench.assigner.onDispatchStopped({...message, fence: earlier}, old);
    bench.run(50);
    expect(dispatcherOf(bench, 's1')).toBe(old);
    bench.assigner.onDispatchStopped(message, next);
    bench.run(50);
    expect(dispatcherOf(bench, 's1')).toBe(old);
    bench.assigner.onDispatchStopped(message, old);
    bench.run(500);
    expect(dispatcherOf(bench, 's1')).toBeUndefined();
    bench.silent.clear();
    bench.run(500);
    expect(dispatcherOf(bench, 's1')).toBe(next);
  });

  it('replaces a lost dispatcher while the log is down', () => {
    const bench = new Bench(two());
    bench.run(500);
    const old = dispatcherOf(bench, 's1')!;
    const next = old === 'a' ? 'b' : 'a';
    bench.logAvailable = bench.confirms = false;
    bench.entries = [entry(next)];
    expect(pick(bench.run(100), 'dispatch-stop')).toEqual([]);
    expect(dispatcherOf(bench, 's1')).toBe(next);
  });
});

describe('planned moves', () => {
  function leave(): {bench: Bench; drain: Of<'shard-drain'>} {
    const bench = new Bench(two());
    bench.run(500);
    const body = two({leaveAtMs: 100_000});
    bench.log.append({kind: 'bundle', body});
    const drain = pick(bench.run(100), 'shard-drain')[0]!;
    return {bench, drain};
  }

  function confirm(bench: Bench, drain: Of<'shard-drain'>): void {
    const {term, seq, server, service, shards} = drain.message;
    const kind = 'shard-drained';
    bench.assigner.onShardDrained({kind, term, seq, server, service, shards});
  }

  it('keeps the grant until the dispatcher has drained', () => {
    const {bench, drain} = leave();
    const grants = (durationMs: number) => {
      const leases = pick(bench.run(durationMs), 'lease');
      expect(leases.some(c => c.server === 's1')).toBe(true);
      return bench.grantsOf('s1').length;
    };
    // The whole drain has to end within 1,000 ms.
    const before = grants(250);
    bench.statuses.set('s1', {
      busy: drain.message.shards.map(shard => ({service: 'svc', shard})),
    });
    confirm(bench, drain);
    expect(grants(350)).toBe(before - 1);
    expect(pick(bench.run(250), 'append')).toEqual([]);
    bench.statuses.clear();
    expect(pick(bench.run(500), 'append').length).toBe(1);
  });

  const abandoned = (commands: readonly AssignerCommand[]) =>
    pick(commands, 'event').filter(
      ({event}) => event.cause === 'drain-timeout',
    );

  // Guards against a shard that is unavailable for the length of an upload.
  it('takes an unconfirmed drain back and tries again after 10 s', () => {
    const {bench, drain} = leave();
    const [shard] = drain.message.shards;
    const ordersOf = (commands: readonly AssignerCommand[]) =>
      pick(commands, 'shard-drain')
        .filter(({message}) => message.shards.includes(shard!))
        .map(({message}) => message.drain);
    expect(ordersOf(bench.run(850))).toEqual([]);
    const commands = bench.run(250);
    expect(ordersOf(commands)).toEqual([false]);
    expect(abandoned(commands).length).toBeGreaterThan(0);
    expect(ordersOf(bench.run(9_700))).toEqual([]);
    // The pace of the batch may leave other shards first.
    expect(ordersOf(bench.run(60_000))).toContain(true);
  });

  it('waits for a growing time after each failed drain, up to 5 min', () => {
    const moves = new MoveTable();
    const id = {service: 'svc', shard: 1};
    const waits = Array.from({length: 7}, () => {
      moves.postponeDrain(id, 0);
      return Array.from({length: 400}, (_, s) => s * 1_000).find(
        atMs => !moves.isDrainPostponed(id, atMs),
      );
    });
    expect(waits.map(ms => ms! / 1_000)).toEqual([
      10, 20, 40, 80, 160, 300, 300,
    ]);
    expect(moves.mayMove(id, 299_000)).toBe(false);
    moves.clearFailedDrains(id);
    expect(moves.mayMove(id, 0)).toBe(true);
    moves.postponeDrain(id, 0);
    expect(moves.isDrainPostponed(id, 10_000)).toBe(false);
  });

  it('takes a drain back when the server stays busy, before the date only', () => {
    const {bench, drain} = leave();
    const {shards} = drain.message;
    bench.statuses.set('s1', {
      busy: shards.map(shard => ({service: 'svc', shard})),
    });
    confirm(bench, drain);
    expect(abandoned(bench.run(850))).toEqual([]);
    const commands = bench.run(300);
    expect(abandoned(commands)).toHaveLength(1);
    expect(pick(commands, 'append')).toEqual([]);
    const leases = pick(bench.run(350), 'lease');
    expect(leases.some(c => c.server === 's1')).toBe(true);
    expect(bench.grantsOf('s1').map(g => g.shard)).toContain(shards[0]);
    bench.nowMs = 100_000;
    const late = pick(bench.run(500), 'shard-drain').filter(
      ({message}) => message.drain && message.shards.includes(shards[0]!),
    );
    expect(late.length).toBeGreaterThan(0);
    expect(abandoned(bench.run(5_000))).toEqual([]);
  });

  // Guards against the effect of an upload under a former dispatcher that is
  // refused because the grant was withdrawn while it ran.
  it('keeps the grant while the server reports the shard busy', () => {
    const {bench, drain} = leave();
    const {shards} = drain.message;
    const grants = (durationMs: number) => {
      const leases = pick(bench.run(durationMs), 'lease');
      expect(leases.some(c => c.server === 's1')).toBe(true);
      return bench.grantsOf('s1').length;
    };
    bench.statuses.set('s1', {
      busy: shards.map(shard => ({service: 'svc', shard})),
    });
    const before = grants(310);
    confirm(bench, drain);
    expect(grants(310)).toBe(before);
    bench.statuses.clear();
    expect(pick(bench.run(500), 'append').length).toBe(1);
  });

  it('gives the shard back when the append is refused', () => {
    const {bench, drain} = leave();
    bench.appends = false;
    confirm(bench, drain);
    expect(pick(bench.run(200), 'append').length).toBe(1);
    bench.logAvailable = false;
    bench.assigner.onAppendResult({recordId: 'r', accepted: false});
    const commands = bench.run(350);
    expect(pick(commands, 'shard-drain')[0]!.message.drain).toBe(false);
    const lease = pick(commands, 'lease').find(c => c.server === 's1')!;
    const [shard] = drain.message.shards;
    expect(lease.request.grants!.map(g => g.shard)).toContain(shard);
  });

  it('gives the shard back when the log stays down', () => {
    const {bench, drain} = leave();
    bench.logAvailable = false;
    confirm(bench, drain);
    const events = pick(bench.run(2_000), 'event').map(c => c.event.cause);
    expect(events).toContain('log-unavailable');
    expect(pick(bench.run(500), 'append')).toEqual([]);
  });

  it('has at most two balance moves in flight', () => {
    const bench = new Bench(two({shards: 16}));
    // The initial placement counts as a move, after which shards rest.
    bench.run(61_000);
    const vm = dispatcherOf(bench, 's1')!;
    const shards = bench.log.latest.services
      .get('svc')!
      .rows.flatMap((row, shard) => (row.server === 's1' ? [shard] : []))
      .map(shard => ({
        service: 'svc',
        shard,
        busySlots: 0.4,
        hotKey: null,
        hotKeyShare: 0,
      }));
    const server = {
      server: 's1',
      serviceTimeMs: 5,
      busySlots: 3,
      queued: 0,
      shards,
    };
    bench.assigner.onLoadReport({kind: 'load-report', vm, servers: [server]});
    const drains = pick(bench.run(900), 'shard-drain');
    expect(drains.flatMap(d => d.message.shards).length).toBe(2);
  });
});

describe('hot keys', () => {
  it('isolates a key that took over half of the slots for 30 s, once', () => {
    const bench = new Bench(two());
    bench.run(500);
    const vm = dispatcherOf(bench, 's1')!;
    const shard = bench.log.latest.services
      .get('svc')!
      .rows.findIndex(row => row.server === 's1');
    const hot = {service: 'svc', shard, busySlots: 3, hotKeyShare: 0.9};
    const server = {
      server: 's1',
      serviceTimeMs: 5,
      busySlots: 3,
      queued: 0,
      shards: [{...hot, hotKey: 'k'}],
    };
    const report = {kind: 'load-report', vm, servers: [server]} as const;
    const isolations = (durationMs: number) => {
      bench.assigner.onLoadReport({...report, servers: [...report.servers]});
      return pick(bench.run(durationMs), 'append').filter(
        c => c.record.kind === 'isolate',
      ).length;
    };
    expect(isolations(29_900)).toBe(0);
    expect(isolations(200)).toBe(0);
    bench.appends = false;
    expect(isolations(5_000)).toBe(1);
  });
});
