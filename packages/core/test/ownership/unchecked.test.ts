import {describe, expect, it} from 'vitest';
import {
  certainExpiryMs,
  type AssignerCommand,
  type AssignerOptions,
} from '@wisteriarun/core';
import {
  Bench,
  ENTRY_CLOCK_AHEAD_MS,
  dispatcherOf,
  entry,
  pick,
  two,
  type Of,
} from './bench.js';

const DEADLINE_MS = 10_000;
const one = {checksGrants: false, servers: [{id: 's1'}]};
const LAPSE_END_MS = 700 + certainExpiryMs();

function start(options: Parameters<typeof two>[0] = one): Bench {
  const bench = new Bench(two(options));
  bench.run(1_500);
  return bench;
}

/** Calls that let an entry VM send. */
const grants = (commands: readonly AssignerCommand[]) =>
  pick(commands, 'permission').filter(c => c.message.expiresAtMs > 0);

/** Latest end of the permissions sent so far, on the assigner's clock. */
const sentUntilMs = (bench: Bench) =>
  Math.max(...grants(bench.seen).map(c => c.message.expiresAtMs)) -
  ENTRY_CLOCK_AHEAD_MS;

/** Loses the dispatcher of s1; returns both entry VMs. */
function loseDispatcher(bench: Bench): {old: string; next: string} {
  const old = dispatcherOf(bench, 's1')!;
  const next = old === 'a' ? 'b' : 'a';
  bench.entries = [entry(next)];
  bench.answering.delete(old);
  return {old, next};
}

describe('servers that do not check grants', () => {
  it('get no leases; their dispatcher gets permissions', () => {
    const bench = start();
    expect(pick(bench.seen, 'lease')).toEqual([]);
    const {message} = grants(bench.run(350)).at(-1)!;
    expect(message.grants.length).toBe(8);
    const limitMs = bench.nowMs + ENTRY_CLOCK_AHEAD_MS + 1_200;
    expect(message.expiresAtMs).toBeLessThanOrEqual(limitMs);
  });

  it('get another dispatcher once the permission has expired, not later', () => {
    const bench = start();
    const {next} = loseDispatcher(bench);
    const untilMs = sentUntilMs(bench);
    bench.run(untilMs - bench.nowMs);
    expect(pick(bench.seen, 'permission').some(c => c.to === next)).toBe(false);
    bench.run(200);
    expect(dispatcherOf(bench, 's1')).toBe(next);
  });

  it('are not left while a lost dispatcher may have requests running', () => {
    const bench = start({checksGrants: false});
    const {next} = loseDispatcher(bench);
    const untilMs = sentUntilMs(bench) + DEADLINE_MS;
    bench.run(1_000);
    bench.silent.add('s1');
    const early = bench.run(untilMs - bench.nowMs);
    expect(pick(early, 'shard-drain')).toEqual([]);
    const kinds = pick(early, 'event').map(c => c.event.kind);
    expect(kinds).not.toContain('move-abandoned');
    const drain = pick(bench.run(500), 'shard-drain')[0]!;
    expect([drain.to, drain.message.server]).toEqual([next, 's1']);
  });

  it('keep a shard whose dispatcher is lost after it confirmed the drain', () => {
    const bench = start({checksGrants: false});
    const leaveAtMs = bench.nowMs + 1_000;
    const body = two({checksGrants: false, leaveAtMs});
    bench.run(60_000);
    bench.log.append({kind: 'bundle', body});
    const drain = pick(bench.run(500), 'shard-drain')[0]!;
    const {term, seq, server, service, shards} = drain.message;
    const {next} = loseDispatcher(bench);
    bench.logAvailable = false;
    const kind = 'shard-drained';
    bench.assigner.onShardDrained({kind, term, seq, server, service, shards});
    bench.run(50);
    bench.logAvailable = true;
    const causes = pick(bench.seen, 'event').map(c => c.event.cause);
    expect(causes).toContain('dispatcher-lost');
    expect(pick(bench.run(5_000), 'append')).toEqual([]);
    expect(dispatcherOf(bench, 's1')).toBe(next);
  });

  it('do not lose a shard by the answer to a drain that was taken back', () => {
    const servers = ['s1', 's2', 's3'].map(id => ({id}));
    const bench = start({checksGrants: false, servers});
    bench.run(60_000);
    bench.silent.add('s1');
    const first = pick(bench.run(1_500), 'shard-drain')[0]!;
    bench.silent.add('s2').add('s3');
    const back = pick(bench.run(500), 'shard-drain');
    expect(back.some(c => !c.message.drain)).toBe(true);
    bench.silent.delete('s2');
    bench.silent.delete('s3');
    const again = pick(bench.run(500), 'shard-drain').at(-1)!;
    expect(again.message).toMatchObject({server: 's1', drain: true});
    const answer = ({message}: Of<'shard-drain'>, shards: number[]) => {
      const {term, seq, server, service} = message;
      const kind = 'shard-drained';
      const drained = {kind, term, seq, server, service, shards} as const;
      bench.assigner.onShardDrained({...drained, shards});
    };
    const {shards} = again.message;
    answer(first, shards);
    expect(pick(bench.run(500), 'append')).toEqual([]);
    answer(again, shards);
    expect(pick(bench.run(500), 'append').length).toBe(1);
  });

  it('are drained only by a VM that knows that it dispatches', () => {
    const bench = start({checksGrants: false});
    bench.run(60_000);
    const {next} = loseDispatcher(bench);
    bench.answering.clear();
    bench.run(DEADLINE_MS + 2_000);
    const body = two({checksGrants: false, leaveAtMs: 1});
    bench.log.append({kind: 'bundle', body});
    expect(pick(bench.run(2_000), 'shard-drain')).toEqual([]);
    bench.answering.add(next);
    expect(pick(bench.run(500), 'shard-drain')[0]!.to).toBe(next);
  });
});

describe('log outage with servers that do not check grants', () => {
  const outage = (adoption: 'hold' | 'lapse', authorZone = 'z1') => {
    const options = two({...one, adoption});
    const bench = new Bench(options, false, {}, authorZone);
    bench.run(1_500);
    bench.logAvailable = bench.confirms = false;
    bench.run(1_000);
    return grants(bench.run(2_000)).length;
  };

  it('renews permissions with policy hold', () => {
    expect(outage('hold')).toBeGreaterThan(0);
  });

  it('renews nothing with policy lapse', () => {
    expect(outage('lapse')).toBe(0);
  });

  it('renews nothing from another zone, whose VMs nobody would fence', () => {
    expect(outage('hold', 'z2')).toBe(0);
  });
});

describe('a new assigner and servers that do not check grants', () => {
  const begin = (options: Partial<AssignerOptions> = {}, lapse = false) => {
    const adoption = lapse ? 'lapse' : 'hold';
    return new Bench(two({...one, adoption}), true, options);
  };

  it('appoints once every entry VM of the zone refuses the former one', () => {
    const bench = begin();
    bench.known = ['a', 'b', 'c'];
    bench.run(5_000);
    const calls = pick(bench.seen, 'permission');
    expect(new Set(calls.map(c => c.to))).toEqual(new Set(['a', 'b', 'c']));
    expect(calls.every(c => c.message.grants.length === 0)).toBe(true);
    expect(grants(bench.seen)).toEqual([]);
    bench.acknowledge(calls.find(c => c.to === 'c')!);
    bench.run(500);
    expect(grants(bench.seen).length).toBeGreaterThan(0);
  });

  it('does not wait for an entry VM that the VM list has removed', () => {
    const bench = begin();
    bench.known = ['a', 'b', 'c'];
    bench.run(2_000);
    bench.removed.add('c');
    expect(grants(bench.run(500)).length).toBeGreaterThan(0);
  });

  it('appoints nobody before the VM list was read', () => {
    const bench = begin();
    bench.known = null;
    expect(grants(bench.run(20_000))).toEqual([]);
  });

  it('calls a silent entry VM again', () => {
    const bench = begin();
    bench.answering.delete('b');
    const calls = pick(bench.run(1_000), 'permission');
    expect(calls.filter(c => c.to === 'b').length).toBe(4);
  });

  it('ignores answers to permissions of another term', () => {
    const bench = begin();
    bench.answering.clear();
    const call = pick(bench.run(100), 'permission')[0]!;
    const other = (to: string): Of<'permission'> => ({
      ...call,
      to,
      message: {...call.message, term: call.message.term - 1},
    });
    for (const vm of ['a', 'b']) bench.acknowledge(other(vm));
    expect(grants(bench.run(2_000))).toEqual([]);
  });

  it('waits for the end of a term that was held from another zone', () => {
    const bench = begin({foreignTermEndedAtMs: 1_000});
    const untilMs = 1_000 + LAPSE_END_MS;
    expect(grants(bench.run(untilMs - 20))).toEqual([]);
    expect(grants(bench.run(500)).length).toBeGreaterThan(0);
  });

  it('waits for the end of the former authority with policy lapse', () => {
    const bench = begin({}, true);
    expect(pick(bench.run(LAPSE_END_MS - 20), 'permission')).toEqual([]);
    expect(grants(bench.run(200)).length).toBeGreaterThan(0);
  });

  it('does not wait in the first term of a zone', () => {
    const bench = new Bench(two(one), false);
    bench.known = null;
    expect(grants(bench.run(200)).length).toBeGreaterThan(0);
  });

  it('moves no shard before the longest deadline after the fence', () => {
    const bench = new Bench(two({checksGrants: false}), true);
    bench.answering.delete('b');
    bench.run(3_000);
    bench.answering.add('b');
    const fencedMs = bench.nowMs;
    bench.run(1_000);
    bench.silent.add('s1');
    const early = bench.run(fencedMs + DEADLINE_MS - bench.nowMs);
    expect(pick(early, 'shard-drain')).toEqual([]);
    expect(pick(bench.run(1_000), 'shard-drain').length).toBe(1);
  });
});
