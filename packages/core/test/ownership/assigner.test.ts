import {describe, expect, it} from 'vitest';
import type {AssignerCommand} from '@wisteriarun/core';
import {MoveTable} from '../../src/core/ownership/move-table.js';
import {
  AssignerHarness,
  dispatcherOf,
  entry,
  pick,
  testBundle,
  type CommandOf,
} from './assigner-harness.js';

describe('leases', () => {
  it('grants to a restarted server only after the term was confirmed', () => {
    const harness = new AssignerHarness(testBundle());
    harness.run(500);
    harness.confirmsTerm = false;
    harness.bootIds.set('s1', '2');
    harness.statuses.set('s1', {term: 0, fence: null, dispatcher: null});
    // One renewal interval, so that the answer to a call shows the restart.
    harness.run(310);
    const leases = () =>
      pick(harness.run(1_000), 'lease').filter(c => c.server === 's1').length;
    expect(leases()).toBe(0);
    harness.confirmsTerm = true;
    expect(leases()).toBeGreaterThan(0);
  });

  it('renews each lease once per renewal interval', () => {
    const harness = new AssignerHarness(testBundle());
    harness.run(1_000);
    // Each of the two servers gets 3,000 ms / LEASE_RENEW_INTERVAL_MS (300 ms).
    const renewals = pick(harness.run(3_000), 'lease');
    expect(renewals.length).toBe(20);
  });
});

describe('dispatchers', () => {
  it('keeps the dispatcher and fence that a server reports', () => {
    const harness = new AssignerHarness(testBundle());
    const fence = {term: 1, seq: 9};
    harness.statuses.set('s1', {term: 1, fence, dispatcher: 'b'});
    const lease = pick(harness.run(100), 'lease').find(c => c.server === 's1')!;
    expect(lease.request).toMatchObject({fence, dispatcher: 'b'});
  });

  it('names a new dispatcher in the table only once the draining one stopped and the server acknowledged the new fence', () => {
    const harness = new AssignerHarness(testBundle());
    harness.run(500);
    const old = dispatcherOf(harness, 's1')!;
    const next = old === 'a' ? 'b' : 'a';
    harness.entries = [entry(old, true), entry(next)];
    const before = harness.run(500);
    const stop = pick(before, 'dispatch-stop').find(
      c => c.message.server === 's1',
    )!;
    expect([stop.to, stop.message.next]).toEqual([old, next]);
    expect(dispatcherOf(harness, 's1')).toBe(old);
    // Until s1 answers again, it acknowledges no new fence.
    harness.silentServers.add('s1');
    const {term, fence} = stop.message;
    const kind = 'dispatch-stopped';
    const message = {kind, server: 's1', term, fence} as const;
    // A late answer to the stop of an earlier fence must not count.
    const earlier = {...fence, seq: fence.seq - 1};
    harness.assigner.onDispatchStopped({...message, fence: earlier}, old);
    harness.run(50);
    expect(dispatcherOf(harness, 's1')).toBe(old);
    harness.assigner.onDispatchStopped(message, next);
    harness.run(50);
    expect(dispatcherOf(harness, 's1')).toBe(old);
    harness.assigner.onDispatchStopped(message, old);
    harness.run(500);
    expect(dispatcherOf(harness, 's1')).toBeUndefined();
    harness.silentServers.clear();
    harness.run(500);
    expect(dispatcherOf(harness, 's1')).toBe(next);
  });

  it('replaces a lost dispatcher without a stop while the log is down', () => {
    const harness = new AssignerHarness(testBundle());
    harness.run(500);
    const old = dispatcherOf(harness, 's1')!;
    const next = old === 'a' ? 'b' : 'a';
    harness.logAvailable = harness.confirmsTerm = false;
    harness.entries = [entry(next)];
    expect(pick(harness.run(100), 'dispatch-stop')).toEqual([]);
    expect(dispatcherOf(harness, 's1')).toBe(next);
  });
});

describe('planned moves', () => {
  function startLeaving(): {
    harness: AssignerHarness;
    drain: CommandOf<'shard-drain'>;
  } {
    const harness = new AssignerHarness(testBundle());
    harness.run(500);
    const body = testBundle({leaveAtMs: 100_000});
    harness.log.append({kind: 'bundle', body});
    // The moves are spread over the time until leaveAtMs, so only one shard is
    // drained now.
    const drain = pick(harness.run(100), 'shard-drain')[0]!;
    return {harness, drain};
  }

  function confirmDrain(
    harness: AssignerHarness,
    drain: CommandOf<'shard-drain'>,
  ): void {
    const {term, seq, server, service, shards} = drain.message;
    const kind = 'shard-drained';
    harness.assigner.onShardDrained({kind, term, seq, server, service, shards});
  }

  it('withdraws the grant once the drain is confirmed, and records the move once the server is idle', () => {
    const {harness, drain} = startLeaving();
    const grantCountAfter = (durationMs: number) => {
      const leases = pick(harness.run(durationMs), 'lease');
      expect(leases.some(c => c.server === 's1')).toBe(true);
      return harness.grantsOf('s1').length;
    };
    // A drain that has not ended after MAX_DRAIN_MS (1,000 ms) is cancelled, so
    // the steps below take less.
    const before = grantCountAfter(250);
    // The assigner receives this busy status only after the confirmation, so it
    // withdraws the grant at once.
    harness.statuses.set('s1', {
      busy: drain.message.shards.map(shard => ({service: 'svc', shard})),
    });
    confirmDrain(harness, drain);
    expect(grantCountAfter(350)).toBe(before - 1);
    expect(pick(harness.run(250), 'append')).toEqual([]);
    harness.statuses.clear();
    expect(pick(harness.run(500), 'append').length).toBe(1);
  });

  const drainTimeouts = (commands: readonly AssignerCommand[]) =>
    pick(commands, 'event').filter(
      ({event}) => event.cause === 'drain-timeout',
    );

  // Guards against a shard that is unavailable until an upload ends: while a
  // drain lasts, the dispatcher holds back new requests for the shard.
  it('cancels a drain that is not confirmed in time and retries after 10 s', () => {
    const {harness, drain} = startLeaving();
    const [shard] = drain.message.shards;
    const ordersOf = (commands: readonly AssignerCommand[]) =>
      pick(commands, 'shard-drain')
        .filter(({message}) => message.shards.includes(shard!))
        .map(({message}) => message.drain);
    expect(ordersOf(harness.run(850))).toEqual([]);
    const commands = harness.run(250);
    expect(ordersOf(commands)).toEqual([false]);
    expect(drainTimeouts(commands).length).toBeGreaterThan(0);
    expect(ordersOf(harness.run(9_700))).toEqual([]);
    // Other shards of the batch may be moved first.
    expect(ordersOf(harness.run(60_000))).toContain(true);
  });

  it('doubles the wait after each failed drain, up to 5 min, until the shard moves', () => {
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
    // The shard is neither moving nor in the cooldown, for which `mayMove` would
    // be false as well.
    expect(moves.mayMove(id, 299_000)).toBe(false);
    moves.clearFailedDrains(id);
    expect(moves.mayMove(id, 0)).toBe(true);
    moves.postponeDrain(id, 0);
    expect(moves.isDrainPostponed(id, 10_000)).toBe(false);
  });

  it('cancels a drain when the server stays busy, but not after leaveAtMs', () => {
    const {harness, drain} = startLeaving();
    const {shards} = drain.message;
    harness.statuses.set('s1', {
      busy: shards.map(shard => ({service: 'svc', shard})),
    });
    confirmDrain(harness, drain);
    expect(drainTimeouts(harness.run(850))).toEqual([]);
    const commands = harness.run(300);
    expect(drainTimeouts(commands)).toHaveLength(1);
    expect(pick(commands, 'append')).toEqual([]);
    const leases = pick(harness.run(350), 'lease');
    expect(leases.some(c => c.server === 's1')).toBe(true);
    expect(harness.grantsOf('s1').map(g => g.shard)).toContain(shards[0]);
    harness.nowMs = 100_000;
    const late = pick(harness.run(500), 'shard-drain').filter(
      ({message}) => message.drain && message.shards.includes(shards[0]!),
    );
    expect(late.length).toBeGreaterThan(0);
    expect(drainTimeouts(harness.run(5_000))).toEqual([]);
  });

  // Guards against refusing the writes that a running upload still makes: a
  // request of a former dispatcher runs on, and once the grant is withdrawn, the
  // server refuses the writes of that request.
  it('keeps the grant after the drain is confirmed while the server reports the shard busy', () => {
    const {harness, drain} = startLeaving();
    const {shards} = drain.message;
    const grantCountAfter = (durationMs: number) => {
      const leases = pick(harness.run(durationMs), 'lease');
      expect(leases.some(c => c.server === 's1')).toBe(true);
      return harness.grantsOf('s1').length;
    };
    harness.statuses.set('s1', {
      busy: shards.map(shard => ({service: 'svc', shard})),
    });
    // One renewal interval, so that the assigner receives the busy status.
    const before = grantCountAfter(310);
    confirmDrain(harness, drain);
    expect(grantCountAfter(310)).toBe(before);
    harness.statuses.clear();
    expect(pick(harness.run(500), 'append').length).toBe(1);
  });

  it('returns the shard to its owner when the append is rejected', () => {
    const {harness, drain} = startLeaving();
    harness.acceptsAppends = false;
    confirmDrain(harness, drain);
    expect(pick(harness.run(200), 'append').length).toBe(1);
    // Without the log, the assigner plans no new move of the shard.
    harness.logAvailable = false;
    harness.assigner.onAppendResult({recordId: 'r', accepted: false});
    const commands = harness.run(350);
    expect(pick(commands, 'shard-drain')[0]!.message.drain).toBe(false);
    const lease = pick(commands, 'lease').find(c => c.server === 's1')!;
    const [shard] = drain.message.shards;
    expect(lease.request.grants!.map(g => g.shard)).toContain(shard);
  });

  it('abandons a drained move when the log stays down', () => {
    const {harness, drain} = startLeaving();
    harness.logAvailable = false;
    confirmDrain(harness, drain);
    const events = pick(harness.run(2_000), 'event').map(c => c.event.cause);
    expect(events).toContain('log-unavailable');
    expect(pick(harness.run(500), 'append')).toEqual([]);
  });

  it('starts at most two balance moves at a time', () => {
    const harness = new AssignerHarness(testBundle({shards: 16}));
    // The initial placement counts as a move and starts the shards' cooldown
    // (SHARD_MOVE_COOLDOWN_MS, 60 s).
    harness.run(61_000);
    const vm = dispatcherOf(harness, 's1')!;
    const shards = harness.log.latest.services
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
    harness.assigner.onLoadReport({kind: 'load-report', vm, servers: [server]});
    // Less than MAX_DRAIN_MS (1,000 ms), so no drain is cancelled and replaced.
    const drains = pick(harness.run(900), 'shard-drain');
    expect(drains.flatMap(d => d.message.shards).length).toBe(2);
  });
});

describe('hot keys', () => {
  it('isolates a key with one record when it has used over half of the slots for 30 s', () => {
    const harness = new AssignerHarness(testBundle());
    harness.run(500);
    const vm = dispatcherOf(harness, 's1')!;
    const shard = harness.log.latest.services
      .get('svc')!
      .rows.findIndex(row => row.server === 's1');
    // The key uses 0.9 * 3 = 2.7 of the server's 4 slots.
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
      harness.assigner.onLoadReport({...report, servers: [...report.servers]});
      return pick(harness.run(durationMs), 'append').filter(
        c => c.record.kind === 'isolate',
      ).length;
    };
    // Loads are evaluated only when a report arrives: the second one arrives
    // 29,900 ms after the first.
    expect(isolations(29_900)).toBe(0);
    expect(isolations(200)).toBe(0);
    // The append gets no result, so no second one may follow.
    harness.acceptsAppends = false;
    expect(isolations(5_000)).toBe(1);
  });
});
