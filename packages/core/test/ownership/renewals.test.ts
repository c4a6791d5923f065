import {describe, expect, it} from 'vitest';
import {leaseRequestSchema, type LeaseRequest} from '@wisteriarun/core';
import {AssignerHarness, pick, testBundle} from './assigner-harness.js';
import {ModelServer} from './model.js';

const isFull = ({request}: {request: LeaseRequest}) => request.grants !== null;

function leasesOf(harness: AssignerHarness, durationMs: number) {
  return pick(harness.run(durationMs), 'lease').filter(c => c.server === 's1');
}

/** Harness whose servers hold their grants; no call is outstanding. */
function startedHarness(): AssignerHarness {
  const harness = new AssignerHarness(testBundle());
  harness.run(1_000);
  return harness;
}

/** Drains a shard of s1, so that its next lease call withdraws a grant. */
function takeShardAway(harness: AssignerHarness): void {
  harness.log.append({kind: 'bundle', body: testBundle({leaveAtMs: 100_000})});
  const drain = pick(harness.run(100), 'shard-drain')[0]!;
  const {term, seq, server, service, shards} = drain.message;
  harness.statuses.set('s1', {busy: [{service, shard: shards[0]!}]});
  const kind = 'shard-drained';
  harness.assigner.onShardDrained({kind, term, seq, server, service, shards});
}

describe('renewals', () => {
  it('carry no grants while the acknowledged ones are unchanged', () => {
    const leases = leasesOf(startedHarness(), 3_000);
    expect(leases.length).toBeGreaterThan(5);
    expect(leases.filter(isFull)).toEqual([]);
  });

  it('carry the grants until a call that changes them is acknowledged', () => {
    const harness = startedHarness();
    const before = harness.grantsOf('s1').length;
    takeShardAway(harness);
    harness.silentServers.add('s1');
    const lost = leasesOf(harness, 1_000);
    expect(lost[0]!.request.grants?.length).toBe(before - 1);
    // The move is abandoned because s1 does not answer (`source-silent`). It may
    // still have received the first of these calls, so no later call may refer
    // to the grants that preceded it.
    expect(lost.length).toBeGreaterThan(1);
    expect(lost.every(isFull)).toBe(true);
    harness.silentServers.clear();
    const leases = leasesOf(harness, 1_000);
    expect(isFull(leases[0]!)).toBe(true);
    const {grants} = leases.filter(isFull).at(-1)!.request;
    expect(harness.grantsOf('s1')).toEqual(grants);
  });

  it('carry the grants in the first call after a refusal only', () => {
    const harness = startedHarness();
    harness.assigner.onLeaseRefused({server: 's1', term: 0});
    expect(leasesOf(harness, 1_000).map(isFull).indexOf(true)).toBe(0);
    expect(leasesOf(harness, 1_000).filter(isFull)).toEqual([]);
  });

  it('carry the grants in the first call to a restarted server', () => {
    const harness = startedHarness();
    harness.bootIds.set('s1', '2');
    const leases = leasesOf(harness, 1_000);
    const first = leases.findIndex(c => c.request.bootId === '2');
    expect(isFull(leases[first]!)).toBe(true);
  });

  it('always carry the grants to a server that reports no grantsSeq', () => {
    const harness = startedHarness();
    harness.omitsGrantsSeq = true;
    harness.run(400);
    const leases = leasesOf(harness, 1_000);
    expect(leases.length).toBeGreaterThan(1);
    expect(leases.every(isFull)).toBe(true);
  });
});

describe('a server', () => {
  const grants = [{service: 'svc', shard: 1, epoch: 4}];
  const call = (change: Partial<LeaseRequest>): LeaseRequest => ({
    zone: 'z1',
    term: 3,
    fence: {term: 3, seq: 1},
    dispatcher: 'a',
    expiresAtMs: 1_000,
    grants: null,
    grantsSeq: null,
    bootId: 's1#1',
    seq: 1,
    ...change,
  });

  it('does not restore a withdrawn grant by a delayed renewal', () => {
    const server = new ModelServer('s1', 1);
    expect(server.handleLease(call({grants}))).toBe(true);
    const delayed = call({seq: 2, grantsSeq: 1});
    expect(server.handleLease(call({seq: 3, grants: []}))).toBe(true);
    // The delayed call must not restore the grant, and neither must a copy of
    // it with a higher sequence number.
    expect(server.handleLease(delayed)).toBe(false);
    expect(server.handleLease({...delayed, seq: 4})).toBe(false);
    expect(server.holds(0, 'svc/1')).toBe(false);
  });

  it('refuses a renewal that refers to grants of another term or incarnation', () => {
    const server = new ModelServer('s1', 1);
    server.handleLease(call({grants}));
    expect(server.handleLease(call({term: 4, seq: 2, grantsSeq: 1}))).toBe(
      false,
    );
    expect(server.status(0).term).toBe(3);
    server.restart(0);
    const other = call({bootId: 's1#2', seq: 2, grantsSeq: 1});
    expect(server.handleLease(other)).toBe(false);
    expect(server.holds(0, 'svc/1')).toBe(false);
  });

  it('refuses a call with both grants and grantsSeq, or with neither', () => {
    const parse = (c: LeaseRequest) => leaseRequestSchema.safeParse(c).success;
    expect(parse(call({grants}))).toBe(true);
    expect(parse(call({grantsSeq: 1}))).toBe(true);
    expect(parse(call({grants, grantsSeq: 1}))).toBe(false);
    expect(parse(call({}))).toBe(false);
  });
});
