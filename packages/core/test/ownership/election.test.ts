import {describe, expect, it} from 'vitest';
import {
  ELECTION_STAGGER_MS,
  PEER_SILENT_MS,
  ZONE_SILENT_MS,
  decideElection,
  type ElectionInput,
  type ElectionPeer,
  type RouterState,
} from '@wisteriarun/core';
import {TestLog, makeBundle} from './fold.js';

function state(holder?: string, holderZone = 'z1'): RouterState {
  const log = new TestLog();
  const servers = [{id: 's1'}];
  log.append({
    kind: 'bundle',
    body: makeBundle({zones: ['z1', 'z2'], servers}),
  });
  if (holder) {
    log.append({
      kind: 'term',
      author: holder,
      zone: 'z1',
      authorZone: holderZone,
      baseTerm: 0,
    });
  }
  return log.latest;
}

const peer = (
  vm: string,
  lastHeardAtMs: number,
  zone = 'z1',
): ElectionPeer => ({
  vm,
  zone,
  lastHeardAtMs,
  drainingSinceMs: null,
});

/**
 * Lets a VM decide at 10,000 ms. By default the holder `a` was never heard and
 * no other VM is known, so the VM may claim the term.
 */
function decide(vm: string, zone: string, change: Partial<ElectionInput>) {
  return decideElection({
    self: {vm, zone, draining: false},
    zone: 'z1',
    nowMs: 10_000,
    peers: [],
    state: state('a'),
    logAvailable: true,
    observedSinceMs: 0,
    termSeenAtMs: 0,
    lastZoneRecordAtMs: null,
    ...change,
  });
}

describe('election by a VM of the zone', () => {
  it('claims the term only after the holder was silent long enough', () => {
    const peers = [peer('a', 10_000 - PEER_SILENT_MS + 1)];
    expect(decide('b', 'z1', {peers})).toBeNull();
    const silent = [peer('a', 10_000 - PEER_SILENT_MS)];
    // A term is the offset of its record; state() appends the bundle at 1.
    expect(decide('b', 'z1', {peers: silent})?.baseTerm).toBe(2);
  });

  it('staggers candidates, so that they do not all claim at once', () => {
    const at = (nowMs: number) =>
      ['b', 'c'].filter(vm => {
        const other = vm === 'b' ? 'c' : 'b';
        const peers = [peer('a', 0), peer(other, nowMs)];
        return decide(vm, 'z1', {nowMs, peers});
      });
    expect(at(PEER_SILENT_MS).length).toBe(1);
    expect(at(PEER_SILENT_MS + ELECTION_STAGGER_MS).length).toBe(2);
  });

  it('makes no claim from a VM that is draining or has no log', () => {
    const self = {vm: 'b', zone: 'z1', draining: true};
    expect(decide('b', 'z1', {self})).toBeNull();
    expect(decide('b', 'z1', {logAvailable: false})).toBeNull();
  });

  it('claims the term of a draining holder without waiting for silence', () => {
    const peers = [{...peer('a', 10_000), drainingSinceMs: 9_990}];
    expect(decide('b', 'z1', {peers})).not.toBeNull();
  });

  it('claims the first term of a zone without waiting', () => {
    const change = {state: state(), nowMs: 0};
    expect(decide('b', 'z1', change)?.baseTerm).toBe(0);
  });

  it('reclaims the term from a live holder in another zone', () => {
    const peers = [peer('x', 10_000, 'z2')];
    const change = {state: state('x', 'z2'), peers};
    expect(decide('b', 'z1', change)?.author).toBe('b');
  });

  it('counts silence only from when the new term was seen', () => {
    const change = {termSeenAtMs: 9_900, peers: [peer('a', 0)]};
    expect(decide('b', 'z1', change)).toBeNull();
  });
});

describe('election by a VM of another zone', () => {
  const silent = [peer('a', 10_000 - ZONE_SILENT_MS)];

  it('claims the term only after the whole zone was silent', () => {
    expect(decide('x', 'z2', {peers: silent})?.authorZone).toBe('z2');
    // `b` was heard 1,000 ms ago, less than ZONE_SILENT_MS (3,000 ms).
    const peers = [...silent, peer('b', 9_000)];
    expect(decide('x', 'z2', {peers})).toBeNull();
  });

  it('makes no claim while the zone still writes to the log', () => {
    // The latest record is 1,000 ms old, less than ZONE_SILENT_MS (3,000 ms).
    const change = {peers: silent, lastZoneRecordAtMs: 9_000};
    expect(decide('x', 'z2', change)).toBeNull();
  });

  it('counts silence only from when it started to receive heartbeats', () => {
    // It started 1,000 ms ago, less than ZONE_SILENT_MS (3,000 ms).
    const change = {peers: silent, observedSinceMs: 9_000};
    expect(decide('x', 'z2', change)).toBeNull();
  });
});
