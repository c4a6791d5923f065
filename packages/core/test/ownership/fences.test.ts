import {describe, expect, it} from 'vitest';
import type {Fence} from '@wisteriarun/core';
import {AssignerHarness, entry, pick, testBundle} from './assigner-harness.js';

const VMS = ['a', 'b', 'c'];

function start(
  options: Parameters<typeof testBundle>[0] = {},
): AssignerHarness {
  const harness = new AssignerHarness(testBundle(options));
  harness.knownEntryVms = VMS;
  harness.answeringVms = new Set(VMS);
  harness.entries = VMS.map(vm => entry(vm));
  harness.run(500);
  return harness;
}

/** Row of s1 in the latest published table. */
const rowOf = (harness: AssignerHarness) =>
  pick(harness.allCommands, 'dispatch-table')
    .at(-1)!
    .table.rows.find(r => r.server === 's1')!;

const loseVm = (harness: AssignerHarness, vm: string) => {
  harness.entries = harness.entries.filter(e => e.vm !== vm);
  harness.answeringVms.delete(vm);
};

/** Dispatcher in the latest lease call or permission for s1. */
function appointed(harness: AssignerHarness): string {
  const calls = harness.allCommands.flatMap(c => {
    if (c.kind === 'lease' && c.server === 's1') return [c.request.dispatcher];
    if (c.kind === 'permission' && c.message.server === 's1') return [c.to];
    return [];
  });
  return calls.at(-1)!;
}

/** Former fences in the assign records of shards that moved off s1. */
function formerFences(harness: AssignerHarness): Set<Fence | null> {
  const changes = pick(harness.allCommands, 'append').flatMap(({record}) =>
    record.kind === 'assign' ? record.changes : [],
  );
  const left = changes.filter(c => c.reason !== 'initial');
  return new Set(left.map(c => c.formerFence));
}

/** Lists s1 as stopped in the bundle, so that its shards move at once. */
function markStopped(
  harness: AssignerHarness,
  options: Parameters<typeof testBundle>[0] = {},
): void {
  harness.silentServers.add('s1');
  const body = testBundle({...options, stopped: ['s1']});
  harness.log.append({kind: 'bundle', body});
  harness.run(1_500);
}

/** New assigner that finds all shards on s1, which reports a dispatcher. */
function startNextTerm(dispatcher: string, fence: Fence): AssignerHarness {
  const harness = new AssignerHarness(testBundle(), true);
  harness.knownEntryVms = VMS;
  harness.entries = VMS.map(vm => entry(vm));
  const {offset, terms} = harness.log.latest;
  const changes = Array.from({length: 8}, (_, shard) => ({
    service: 'svc',
    shard,
    server: 's1',
    reason: 'initial' as const,
    formerFence: null,
  }));
  harness.log.append({
    kind: 'assign',
    author: 'z',
    zone: 'z1',
    term: terms.get('z1')!.term,
    baseOffset: offset,
    changes,
  });
  harness.statuses.set('s1', {term: 1, fence, dispatcher});
  return harness;
}

describe('the replaced fence in a dispatch table row', () => {
  it('is null for the first dispatcher of a term', () => {
    expect(rowOf(start()).replaces).toBeNull();
  });

  it('is the fence of the previous dispatcher', () => {
    const harness = start();
    const first = rowOf(harness);
    loseVm(harness, first.dispatcher);
    harness.run(500);
    const second = rowOf(harness);
    expect(second.dispatcher).not.toBe(first.dispatcher);
    expect(second.replaces).toEqual(first.fence);
  });

  it('skips a fence that the server never accepted', () => {
    const harness = start();
    const first = rowOf(harness);
    harness.silentServers.add('s1');
    loseVm(harness, first.dispatcher);
    harness.run(400);
    const middle = appointed(harness);
    loseVm(harness, middle);
    harness.run(100);
    harness.silentServers.delete('s1');
    harness.run(500);
    const last = rowOf(harness);
    expect(new Set([first.dispatcher, middle, last.dispatcher]).size).toBe(3);
    expect(last.fence.seq).toBeGreaterThan(first.fence.seq + 1);
    expect(last.replaces).toEqual(first.fence);
  });

  it('is the previous fence when several are accepted in succession', () => {
    const harness = start();
    const first = rowOf(harness);
    loseVm(harness, first.dispatcher);
    harness.run(400);
    const second = rowOf(harness);
    loseVm(harness, second.dispatcher);
    harness.run(400);
    expect(rowOf(harness).replaces).toEqual(second.fence);
  });

  it('is null for a fence of a former term and set for the next', () => {
    const fence = {term: 1, seq: 9};
    const harness = startNextTerm('b', fence);
    harness.run(500);
    expect(rowOf(harness)).toMatchObject({fence, replaces: null});
    loseVm(harness, 'b');
    harness.run(500);
    expect(rowOf(harness).replaces).toEqual(fence);
  });

  // Guards against a new assigner that keeps the fence of its first probe
  // although the former assigner has replaced the dispatcher since. That
  // dispatcher would lack the attempt records of its replacement.
  it('adopts a fence that the former assigner put in force after the probe', () => {
    const harness = startNextTerm('b', {term: 1, seq: 9});
    harness.run(10);
    const fence = {term: 1, seq: 10};
    harness.statuses.set('s1', {fence, dispatcher: 'a', term: 1});
    harness.run(500);
    expect(rowOf(harness)).toMatchObject({fence, dispatcher: 'a'});
    const leases = pick(harness.allCommands, 'lease').filter(
      c => c.server === 's1',
    );
    expect(leases.at(-1)!.request.fence).toEqual(fence);
  });

  it('is null when the reported dispatcher is not live', () => {
    // The former assigner may have replaced it after the report.
    const harness = startNextTerm('d', {term: 1, seq: 9});
    harness.run(500);
    expect(rowOf(harness).replaces).toBeNull();
  });

  it('is the last fence that a dispatcher acknowledged if the server checks no grants', () => {
    const harness = start({checksGrants: false});
    const first = rowOf(harness);
    loseVm(harness, first.dispatcher);
    const answering = harness.answeringVms;
    harness.answeringVms = new Set();
    harness.run(2_000);
    const middle = appointed(harness);
    expect(middle).not.toBe(first.dispatcher);
    harness.answeringVms = answering;
    loseVm(harness, middle);
    harness.run(2_000);
    const last = rowOf(harness);
    expect(last.fence.seq).toBeGreaterThan(first.fence.seq + 1);
    expect(last.replaces).toEqual(first.fence);
  });
});

describe('the former fence in an assign record', () => {
  it('is null for an initial placement', () => {
    const [{record}] = pick(start().allCommands, 'append') as [never];
    const {changes} = record as {changes: {formerFence: unknown}[]};
    expect(changes.map(c => c.formerFence)).toEqual(Array(8).fill(null));
  });

  it('is the fence of the last dispatcher that the server accepted', () => {
    const harness = start();
    loseVm(harness, rowOf(harness).dispatcher);
    harness.run(500);
    const {fence} = rowOf(harness);
    harness.silentServers.add('s1');
    harness.run(100);
    loseVm(harness, rowOf(harness).dispatcher);
    harness.run(3_000);
    expect(formerFences(harness)).toEqual(new Set([fence]));
  });

  it('is the adopted fence once the server accepted a lease with it', () => {
    const fence = {term: 1, seq: 9};
    const harness = startNextTerm('b', fence);
    harness.run(500);
    markStopped(harness);
    expect(formerFences(harness)).toEqual(new Set([fence]));
  });

  it('is null for a reported fence that no lease has confirmed', () => {
    const harness = startNextTerm('b', {term: 1, seq: 9});
    harness.run(10);
    expect(pick(harness.allCommands, 'probe').length).toBeGreaterThan(0);
    harness.silentServers.add('s1');
    harness.run(100);
    expect(appointed(harness)).toBe('b');
    markStopped(harness);
    expect(formerFences(harness)).toEqual(new Set([null]));
  });

  it('is null when the server never answered the assigner', () => {
    const harness = startNextTerm('b', {term: 1, seq: 9});
    harness.silentServers.add('s1');
    harness.run(500);
    markStopped(harness);
    expect(formerFences(harness)).toEqual(new Set([null]));
  });

  it('is the last fence that a dispatcher acknowledged if the server checks no grants', () => {
    const options = {checksGrants: false};
    const harness = start(options);
    const {fence, dispatcher} = rowOf(harness);
    loseVm(harness, dispatcher);
    harness.answeringVms = new Set();
    harness.run(2_000);
    markStopped(harness, options);
    expect(formerFences(harness)).toEqual(new Set([fence]));
  });
});
