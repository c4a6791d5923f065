import {
  ERRORS,
  emptyState,
  type AssignRecord,
  type AssignerCommand,
  type EventInput,
  type LeaseRequest,
  type RouterState,
  type ServerStatus,
} from '@wisteriarun/core';
import {Result} from 'true-myth';
import {beforeEach, describe, expect, test} from 'vitest';
import {PeerEvents} from '../src/control/peer-events.js';
import {TermEvents} from '../src/control/term-events.js';

let events: EventInput[] = [];
const recordEvent = (event: EventInput) => void events.push(event);
const kinds = () => events.map(event => event.kind);
beforeEach(() => {
  events = [];
});

const status = (bootId: string) =>
  Result.ok<ServerStatus, never>({bootId, clockMs: 1} as ServerStatus);
const unreachable = Result.err<
  never,
  ReturnType<typeof ERRORS.serverUnreachable>
>(ERRORS.serverUnreachable('s1', 'refused'));
const leaseRequest = (epoch: number, seq = 1) =>
  ({
    fence: {term: 7, seq},
    dispatcher: 'vm-1',
    bootId: 'b1',
    grants: [{service: 'filing', shard: 0, epoch}],
  }) as unknown as LeaseRequest;

function acceptedRecord(offset: number, changes: AssignRecord['changes']) {
  const record: AssignRecord = {
    kind: 'assign',
    id: 'r',
    author: 'vm-1',
    zone: 'a',
    term: 7,
    baseOffset: 8,
    changes,
  };
  return {offset, record, verdict: {kind: 'accepted', record} as const};
}

const before: RouterState = {
  ...emptyState(),
  services: new Map([
    [
      'filing',
      {
        rows: Array.from({length: 30}, () => ({
          server: 's1',
          zone: 'a',
          epoch: 3,
        })),
        isolated: new Map(),
      },
    ],
  ]),
};

describe('events of a term', () => {
  let term: TermEvents;
  beforeEach(() => {
    term = new TermEvents('a', 7, recordEvent);
  });
  const reportCall = (
    result: typeof unreachable | ReturnType<typeof status>,
    nowMs: number,
    sentLease: LeaseRequest | null = null,
  ) => term.onServerCall({server: 's1', sentLease, result, nowMs});

  // Guards against a failover whose events, one per shard, displace all others
  // from the timeline.
  test('a failover of 30 shards is reported as one event per new owner', () => {
    const changes = Array.from({length: 30}, (_, shard) => ({
      service: 'filing',
      shard,
      server: shard % 3 === 0 ? 's2' : 's3',
      reason: 'server-lost' as const,
      formerFence: null,
    }));
    term.onOwnRecord(acceptedRecord(9, changes), before);
    expect(events).toHaveLength(2);
    expect(events[0]).toEqual({
      kind: 'move-assigned',
      term: 7,
      epoch: 9,
      offset: 9,
      cause: 'server-lost',
      fields: {
        zone: 'a',
        service: 'filing',
        from: 's1',
        to: 's2',
        count: 10,
        shard: '0,3,6,9,12,15,18,21,24,27',
      },
    });
    expect(String(events[1]?.fields?.['shard'])).toMatch(/,\.\.\.$/);
  });

  test('a planned move is reported once at each stage', () => {
    const change = {
      service: 'filing',
      shard: 4,
      server: 's1',
      reason: 'balance' as const,
      formerFence: null,
    };
    const drain: AssignerCommand = {
      kind: 'shard-drain',
      to: 'vm-1',
      message: {
        kind: 'shard-drain',
        term: 7,
        server: 's0',
        service: 'filing',
        shards: [4],
        offset: 8,
        seq: 1,
        drain: true,
      },
    };
    term.onCommand(drain);
    term.onCommand(drain);
    // The move is appended only once its drain has ended (`move-drained`).
    const {record} = acceptedRecord(9, [change]);
    term.onCommand({kind: 'append', record});
    term.onOwnRecord(acceptedRecord(9, [change]), before);
    // Epoch 9 is the offset of the move's record; epoch 3 is older, so that a
    // lease with it does not show that the new owner serves the shard.
    reportCall(status('b1'), 1, leaseRequest(3));
    reportCall(status('b1'), 2, leaseRequest(9));
    reportCall(status('b1'), 3, leaseRequest(9));
    expect(kinds()).toEqual([
      'move-started',
      'move-drained',
      'move-assigned',
      'fence-accepted',
      'move-served',
    ]);
    expect(events[1]?.fields).toMatchObject({from: 's0', to: 's1', shard: 4});
    expect(events.at(-1)).toMatchObject({
      epoch: 9,
      fields: {zone: 'a', server: 's1', service: 'filing', shard: 4},
    });
  });

  test('a silent server is reported as suspect, lost and back', () => {
    reportCall(status('b1'), 0);
    for (let nowMs = 100; nowMs <= 3_000; nowMs += 100)
      reportCall(unreachable, nowMs);
    reportCall(status('b1'), 3_100);
    reportCall(status('b1'), 3_200);
    expect(kinds()).toEqual(['server-suspect', 'server-lost', 'server-back']);
    expect(events[2]?.cause).toBe('answers-again');
    reportCall(status('b2'), 3_300);
    expect(events[3]).toMatchObject({
      kind: 'server-back',
      cause: 'boot-changed',
      fields: {server: 's1', boot: 'b2'},
    });
  });

  test('a fence is reported when the server acknowledges a lease with it', () => {
    reportCall(status('b1'), 1, leaseRequest(3, 1));
    reportCall(status('b1'), 2, leaseRequest(3, 1));
    reportCall(unreachable, 3, leaseRequest(3, 2));
    reportCall(status('b1'), 4, leaseRequest(3, 2));
    const fenceEvents = events.filter(event => event.kind === 'fence-accepted');
    expect(fenceEvents.map(event => event.fields?.['fence'])).toEqual([
      '7.1',
      '7.2',
    ]);
  });

  test('abandoned moves of one step are reported as one event', () => {
    for (const shard of [1, 2]) {
      const fields = {service: 'filing', shard, from: 's1', to: 's2'};
      const event = {kind: 'move-abandoned', cause: 'source-silent', fields};
      term.onCommand({kind: 'event', event});
    }
    term.onStepEnd([], 9);
    term.onStepEnd([], 9);
    expect(events).toHaveLength(1);
    expect(events[0]?.fields).toMatchObject({count: 2, shard: '1,2'});
  });

  // Guards against an event at each step; the assigner runs 40 steps per second,
  // one every 25 ms.
  test('progress of a leaving batch is reported at each quarter', () => {
    for (let shardsLeft = 100; shardsLeft >= 0; shardsLeft--) {
      const progress = {
        batch: 'b',
        leaveAtMs: 1,
        startedAtWallMs: 0,
        totalShards: 100,
        shardsLeft,
        expectedFinishWallMs: null,
        dueMoves: 0,
        isLate: false,
      };
      term.onStepEnd([progress], 9);
      term.onStepEnd([progress], 9);
    }
    expect(kinds()).toEqual(Array(5).fill('leaving-progress'));
    expect(events.map(event => event.fields?.['shardsLeft'])).toEqual([
      100, 75, 50, 25, 0,
    ]);
    expect(events[4]?.cause).toBe('finished');
  });
});

describe('events of peers', () => {
  test('a lost peer is reported once, and failed connection attempts never', () => {
    let nowMs = 0;
    const clock = {monotonicMs: () => nowMs, wallMs: () => 0};
    const peers = new PeerEvents(clock, recordEvent);
    const cause = ERRORS.peerUnreachable('closed');
    const peer = {vm: 'vm-2', zone: 'a', connected: false, lastHeardMs: 0};
    const peerViews = [peer] as unknown as Parameters<PeerEvents['check']>[0];
    peers.onLink({kind: 'link-down', vm: 'vm-2', cause});
    peers.onLink({kind: 'link-failed', address: '192.0.2.1:1', cause});
    peers.check(peerViews);
    nowMs = 3_000;
    peers.check(peerViews);
    peers.check(peerViews);
    peers.onLink({kind: 'link-up', vm: 'vm-2', bootId: 'b'});
    expect(kinds()).toEqual(['link-down', 'peer-lost', 'link-up']);
  });
});
