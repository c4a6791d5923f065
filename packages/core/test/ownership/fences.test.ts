import {describe, expect, it} from 'vitest';
import type {Fence} from '@wisteriarun/core';
import {Bench, entry, pick, two} from './bench.js';

const VMS = ['a', 'b', 'c'];

function start(options: Parameters<typeof two>[0] = {}): Bench {
  const bench = new Bench(two(options));
  bench.known = VMS;
  bench.answering = new Set(VMS);
  bench.entries = VMS.map(vm => entry(vm));
  bench.run(500);
  return bench;
}

/** Row of s1 in the latest published table. */
const rowOf = (bench: Bench) =>
  pick(bench.seen, 'dispatch-table')
    .at(-1)!
    .table.rows.find(r => r.server === 's1')!;

const lose = (bench: Bench, vm: string) => {
  bench.entries = bench.entries.filter(e => e.vm !== vm);
  bench.answering.delete(vm);
};

/** Dispatcher in the latest lease call or permission for s1. */
function appointed(bench: Bench): string {
  const calls = bench.seen.flatMap(c => {
    if (c.kind === 'lease' && c.server === 's1') return [c.request.dispatcher];
    if (c.kind === 'permission' && c.message.server === 's1') return [c.to];
    return [];
  });
  return calls.at(-1)!;
}

/** Former fences that the assign records name for shards which left s1. */
function formerFences(bench: Bench): Set<Fence | null> {
  const changes = pick(bench.seen, 'append').flatMap(({record}) =>
    record.kind === 'assign' ? record.changes : [],
  );
  const left = changes.filter(c => c.reason !== 'initial');
  return new Set(left.map(c => c.formerFence));
}

/** Makes s1 lost by an operator's statement, which needs no ledger. */
function stop(bench: Bench, options: Parameters<typeof two>[0] = {}): void {
  bench.silent.add('s1');
  const body = two({...options, stopped: ['s1']});
  bench.log.append({kind: 'bundle', body});
  bench.run(1_500);
}

/** New assigner; the shards have owners, and s1 reports a dispatcher. */
function takeOver(dispatcher: string, fence: Fence): Bench {
  const bench = new Bench(two(), true);
  bench.known = VMS;
  bench.entries = VMS.map(vm => entry(vm));
  const {offset, terms} = bench.log.latest;
  const changes = Array.from({length: 8}, (_, shard) => ({
    service: 'svc',
    shard,
    server: 's1',
    reason: 'initial' as const,
    formerFence: null,
  }));
  bench.log.append({
    kind: 'assign',
    author: 'z',
    zone: 'z1',
    term: terms.get('z1')!.term,
    baseOffset: offset,
    changes,
  });
  bench.statuses.set('s1', {term: 1, fence, dispatcher});
  return bench;
}

describe('the fence that a row replaces', () => {
  it('is unknown for the first dispatcher of a term', () => {
    expect(rowOf(start()).replaces).toBeNull();
  });

  it('is the fence of the dispatcher before', () => {
    const bench = start();
    const first = rowOf(bench);
    lose(bench, first.dispatcher);
    bench.run(500);
    const second = rowOf(bench);
    expect(second.dispatcher).not.toBe(first.dispatcher);
    expect(second.replaces).toEqual(first.fence);
  });

  it('skips a fence that was never accepted', () => {
    const bench = start();
    const first = rowOf(bench);
    bench.silent.add('s1');
    lose(bench, first.dispatcher);
    bench.run(400);
    const middle = appointed(bench);
    lose(bench, middle);
    bench.run(100);
    bench.silent.delete('s1');
    bench.run(500);
    const last = rowOf(bench);
    expect(new Set([first.dispatcher, middle, last.dispatcher]).size).toBe(3);
    expect(last.fence.seq).toBeGreaterThan(first.fence.seq + 1);
    expect(last.replaces).toEqual(first.fence);
  });

  it('names each fence in a row of accepted ones', () => {
    const bench = start();
    const first = rowOf(bench);
    lose(bench, first.dispatcher);
    bench.run(400);
    const second = rowOf(bench);
    lose(bench, second.dispatcher);
    bench.run(400);
    expect(rowOf(bench).replaces).toEqual(second.fence);
  });

  it('is unknown for an adopted fence and known for the next one', () => {
    const fence = {term: 1, seq: 9};
    const bench = takeOver('b', fence);
    bench.run(500);
    expect(rowOf(bench)).toMatchObject({fence, replaces: null});
    lose(bench, 'b');
    bench.run(500);
    expect(rowOf(bench).replaces).toEqual(fence);
  });

  // Guards against a dispatcher that goes on with incomplete attempt records,
  // because the former assigner replaced it after the new one's first probe.
  it('follows a fence that the former assigner put in force meanwhile', () => {
    const bench = takeOver('b', {term: 1, seq: 9});
    bench.run(10);
    const fence = {term: 1, seq: 10};
    bench.statuses.set('s1', {fence, dispatcher: 'a', term: 1});
    bench.run(500);
    expect(rowOf(bench)).toMatchObject({fence, dispatcher: 'a'});
    const leases = pick(bench.seen, 'lease').filter(c => c.server === 's1');
    expect(leases.at(-1)!.request.fence).toEqual(fence);
  });

  it('is unknown when the reported dispatcher is not live', () => {
    // The former assigner may have replaced it after the report.
    const bench = takeOver('d', {term: 1, seq: 9});
    bench.run(500);
    expect(rowOf(bench).replaces).toBeNull();
  });

  it('is the last acknowledged one at a server that does not check', () => {
    const bench = start({checksGrants: false});
    const first = rowOf(bench);
    lose(bench, first.dispatcher);
    const answering = bench.answering;
    bench.answering = new Set();
    bench.run(2_000);
    const middle = appointed(bench);
    expect(middle).not.toBe(first.dispatcher);
    bench.answering = answering;
    lose(bench, middle);
    bench.run(2_000);
    const last = rowOf(bench);
    expect(last.fence.seq).toBeGreaterThan(first.fence.seq + 1);
    expect(last.replaces).toEqual(first.fence);
  });
});

describe('the former fence in an assign record', () => {
  it('is null for an initial placement', () => {
    const [{record}] = pick(start().seen, 'append') as [never];
    const {changes} = record as {changes: {formerFence: unknown}[]};
    expect(changes.map(c => c.formerFence)).toEqual(Array(8).fill(null));
  });

  it('is that of the last dispatcher which the server accepted', () => {
    const bench = start();
    lose(bench, rowOf(bench).dispatcher);
    bench.run(500);
    const {fence} = rowOf(bench);
    bench.silent.add('s1');
    bench.run(100);
    lose(bench, rowOf(bench).dispatcher);
    bench.run(3_000);
    expect(formerFences(bench)).toEqual(new Set([fence]));
  });

  it('is an adopted one after the server took a lease with it', () => {
    const fence = {term: 1, seq: 9};
    const bench = takeOver('b', fence);
    bench.run(500);
    stop(bench);
    expect(formerFences(bench)).toEqual(new Set([fence]));
  });

  it('is null for a reported one that no lease has confirmed', () => {
    const bench = takeOver('b', {term: 1, seq: 9});
    bench.run(10);
    expect(pick(bench.seen, 'probe').length).toBeGreaterThan(0);
    bench.silent.add('s1');
    bench.run(100);
    expect(appointed(bench)).toBe('b');
    stop(bench);
    expect(formerFences(bench)).toEqual(new Set([null]));
  });

  it('is null when the server never answered the assigner', () => {
    const bench = takeOver('b', {term: 1, seq: 9});
    bench.silent.add('s1');
    bench.run(500);
    stop(bench);
    expect(formerFences(bench)).toEqual(new Set([null]));
  });

  it('is the last acknowledged one at a server that does not check', () => {
    const options = {checksGrants: false};
    const bench = start(options);
    const {fence, dispatcher} = rowOf(bench);
    lose(bench, dispatcher);
    bench.answering = new Set();
    bench.run(2_000);
    stop(bench, options);
    expect(formerFences(bench)).toEqual(new Set([fence]));
  });
});
