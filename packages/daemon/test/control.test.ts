import {describe, expect, it} from 'vitest';
import type {PeerMesh, PeerView} from '@wisteriarun/peer';
import type {VmEntry, VmListWatcher} from '@wisteriarun/vm-list';
import {PeerRoster} from '../src/control/peer-roster.js';
import {ZoneOrders} from '../src/control/zone-orders.js';

const peer = (vm: string, overrides: Partial<PeerView> = {}): PeerView => ({
  vm,
  zone: 'z1',
  capacity: 1,
  relayHost: '127.0.0.1',
  relayPort: 1,
  draining: false,
  offset: 1,
  lastHeardMs: 0,
  bootId: vm,
  connected: true,
  ...overrides,
});

function roster(
  peers: readonly PeerView[],
  listed: Record<string, Partial<VmEntry>> | null,
  removed: readonly string[] = [],
): PeerRoster {
  const base = {role: 'entry', zone: 'z1', address: 'x:1', state: 'live'};
  const vms = Object.entries(listed ?? {}).map(
    ([id, entry]) => [id, {id, ...base, ...entry}] as const,
  );
  return new PeerRoster({
    self: {
      vm: 'a.1',
      zone: 'z1',
      capacity: 1,
      relayHost: '127.0.0.1',
      relayPort: 1,
      draining: () => false,
    },
    mesh: {peers: () => [...peers]} as unknown as PeerMesh,
    vmList: {
      lastReadMs: listed === null ? null : 1,
      vms: new Map(vms),
      removedIds: new Set(removed),
    } as unknown as VmListWatcher,
    clock: {monotonicMs: () => 10_000, wallMs: () => 10_000},
  });
}

describe('entry VMs that may hold a permission', () => {
  it('are unknown until the VM list was read', () => {
    expect(roster([peer('b.1')], null).knownIn('z1')).toBeNull();
  });

  it('include silent peers and listed VMs without a known process', () => {
    const silent = peer('b.1', {connected: false});
    const listed = {
      a: {},
      b: {},
      c: {},
      d: {zone: 'z2'},
      s: {role: 'server'},
    } as const;
    const known = roster([silent, peer('e.1', {zone: 'z2'})], listed);
    expect([...known.knownIn('z1')!].sort()).toEqual(['a.1', 'b.1', 'c']);
    expect([...known.knownIn('z2')!].sort()).toEqual(['d', 'e.1']);
  });

  it('count as ended once a later process of the VM runs', () => {
    const old = peer('b.1', {connected: false, lastHeardMs: 5});
    const ownFormer = peer('a.0', {connected: false, lastHeardMs: 9});
    const later = peer('b.2', {lastHeardMs: 8});
    expect([...roster([old, ownFormer], {}).removed()]).toEqual(['a.0']);
    const removed = roster([old, later], {}).removed();
    expect([...removed]).toEqual(['b.1']);
  });

  it('count as ended once the VM list has removed the VM', () => {
    const removed = roster([peer('b.1')], {}, ['b']).removed();
    expect([...removed].sort()).toEqual(['b', 'b.1']);
  });
});

describe('live entry VMs', () => {
  const liveVms = (entries: PeerRoster) =>
    entries.entriesOf('z1').map(({vm}) => vm);

  // Guards against an assigner that replaces all dispatchers on other VMs after
  // a pause, because it received no heartbeats while it was paused.
  it('do not count as silent during a pause of this process', () => {
    const entries = roster([peer('b.1', {lastHeardMs: 10_000 - 4_000})], {});
    expect(liveVms(entries)).toEqual(['a.1']);
    entries.recordPause(3_500);
    expect(liveVms(entries).sort()).toEqual(['a.1', 'b.1']);
  });

  it('count as silent despite a pause shorter than their silence', () => {
    const entries = roster([peer('b.1', {lastHeardMs: 10_000 - 6_000})], {});
    entries.recordPause(3_500);
    expect(liveVms(entries)).toEqual(['a.1']);
  });
});

describe('a drain', () => {
  const fence = {term: 3, seq: 1};
  const shard = {server: 's', service: 'svc', shard: 1};
  const order = {...shard, term: 3, offset: 9, seq: 1, fence};

  function drained(): ZoneOrders {
    const orders = new ZoneOrders();
    orders.recordDrain(order, true);
    return orders;
  }

  const outdated = (orders: ZoneOrders, term: number, epoch: number) =>
    orders.removeOutdatedDrains(
      () => term,
      () => epoch,
    ).length;

  it('ends with a new epoch, so that a returning shard is served', () => {
    const orders = drained();
    expect(outdated(orders, 3, 9)).toBe(0);
    expect(orders.isDrainInForce(order)).toBe(true);
    expect(outdated(orders, 3, 10)).toBe(1);
    expect(orders.isDrainInForce(order)).toBe(false);
  });

  it('ends with a newer term', () => {
    expect(outdated(drained(), 4, 9)).toBe(1);
  });

  it('ends with a new fence, as its order may have gone to another VM', () => {
    const orders = drained();
    expect(orders.removeDrainsOfOtherFences('s', fence)).toEqual([]);
    expect(orders.removeDrainsOfOtherFences('t', {term: 3, seq: 2})).toEqual(
      [],
    );
    const removed = orders.removeDrainsOfOtherFences('s', {term: 3, seq: 2});
    expect(removed.map(o => o.shard)).toEqual([1]);
  });
});
