import {describe, expect, it} from 'vitest';
import {makeBundle, type BundleOptions} from './fold.js';
import {Model, Random} from './model.js';

const THREE_SERVERS = [{id: 's1'}, {id: 's2'}, {id: 's3'}];
const VMS = [
  {id: 'a', zone: 'z1'},
  {id: 'b', zone: 'z1'},
  {id: 'c', zone: 'z1'},
];

function start(options: Partial<BundleOptions> = {}, vms = VMS): Model {
  const bundle = makeBundle({servers: THREE_SERVERS, ...options});
  const model = new Model(bundle, vms, new Random(7));
  model.run(4_000);
  expect(model.unserved()).toEqual([]);
  return model;
}

/**
 * Runs until every shard is served. Returns the time that it took in ms, or
 * Infinity if a shard is still unserved after `limitMs`.
 */
function runUntilServed(model: Model, limitMs: number): number {
  const from = model.timeMs;
  while (model.timeMs - from < limitMs) {
    model.run(10);
    if (model.unserved().length === 0) return model.timeMs - from;
  }
  return Infinity;
}

function expectSafe(model: Model): void {
  expect(model.violations.slice(0, 3)).toEqual([]);
}

describe('loss of a server, the assigner or the log', () => {
  it('moves the shards of a lost server within 1.9 s, after its lease has expired, and only those', () => {
    const model = start();
    const rows = model.log.latest.services.get('svc')!.rows;
    model.servers.get('s1')!.state = 'dead';
    model.run(20);
    const tookMs = runUntilServed(model, 10_000);
    // The last lease before the loss lasts LEASE_TTL_MS (1,200 ms) from the clock
    // reading that it is based on. The assigner waits for `certainExpiryMs()`
    // (1,262 ms); about 600 ms remain for its calls, the append and log reads.
    expect(tookMs).toBeGreaterThan(1_000);
    expect(tookMs).toBeLessThan(1_900);
    const after = model.log.latest.services.get('svc')!.rows;
    rows.forEach((row, n) => {
      if (row.server !== 's1') expect(after[n]!.server).toBe(row.server);
    });
    expectSafe(model);
  });

  it('does not let a frozen server serve moved shards after it resumes', () => {
    const model = start();
    model.servers.get('s1')!.state = 'frozen';
    model.run(5_000);
    expect(model.owned('s1')).toBe(0);
    model.servers.get('s1')!.state = 'live';
    model.run(3_000);
    expectSafe(model);
    expect(model.unserved()).toEqual([]);
  });

  it('grants a restarted server its shards again without appending to the log', () => {
    const model = start();
    const before = model.log.latest.offset;
    model.servers.get('s1')!.restart(model.timeMs);
    model.run(1_500);
    expect(model.log.latest.offset).toBe(before);
    expect(model.unserved()).toEqual([]);
    expectSafe(model);
  });

  it('keeps serving all shards while the assigner is paused, and lets it learn once it resumes that it was superseded', () => {
    const model = start();
    const old = model.holder();
    old.paused = true;
    for (let i = 0; i < 300; i++) {
      model.run(10);
      expect(model.unserved()).toEqual([]);
    }
    expect(model.holder()).not.toBe(old);
    model.resume(old);
    model.run(3_000);
    expect(old.assigner!.isSuperseded).toBe(true);
    expectSafe(model);
    expect(model.unserved()).toEqual([]);
  });

  it('serves but moves nothing while the log is down, and moves shards within 1 s of its return', () => {
    const model = start();
    const offset = model.log.latest.offset;
    model.logDown = true;
    for (let i = 0; i < 600; i++) {
      model.run(10);
      expect(model.unserved()).toEqual([]);
    }
    model.servers.get('s1')!.state = 'frozen';
    model.run(5_000);
    expect(model.log.latest.offset).toBe(offset);
    expect(model.unserved().length).toBe(model.owned('s1'));
    model.logDown = false;
    expect(runUntilServed(model, 3_000)).toBeLessThan(1_000);
    expectSafe(model);
  });

  it('stops serving shards with policy lapse within 2.1 s of the loss of the log', () => {
    const model = start({adoption: 'lapse'});
    model.logDown = true;
    model.run(600);
    expect(model.unserved()).toEqual([]);
    model.run(1_500);
    // Leases are renewed for TERM_CONFIRM_MS (700) after the last log read and
    // expire after LEASE_TTL_MS (1,200). The default bundle has 8 shards.
    expect(model.unserved().length).toBe(8);
    model.logDown = false;
    expect(runUntilServed(model, 3_000)).toBeLessThan(500);
    expectSafe(model);
  });
});

describe('loss of the assigner and a server at the same time', () => {
  function loseAssignerAndServer(adoption: 'hold' | 'lapse'): Model {
    const model = start({adoption});
    model.holder().paused = true;
    model.servers.get('s1')!.state = 'frozen';
    return model;
  }

  it('keeps shards with policy hold, and moves them once the VM list has removed the server', () => {
    const model = loseAssignerAndServer('hold');
    model.run(20_000);
    const owned = model.owned('s1');
    expect(owned).toBeGreaterThan(0);
    model.servers.get('s1')!.state = 'dead';
    model.removed.add('s1');
    expect(runUntilServed(model, 3_000)).toBeLessThan(1_000);
    expectSafe(model);
  });

  it('moves shards with policy hold once a bundle lists the server as stopped', () => {
    const model = loseAssignerAndServer('hold');
    model.run(5_000);
    model.servers.get('s1')!.state = 'dead';
    const body = makeBundle({servers: THREE_SERVERS, stopped: ['s1']});
    model.log.append({kind: 'bundle', body});
    expect(runUntilServed(model, 3_000)).toBeLessThan(1_000);
    expectSafe(model);
  });

  it('moves shards with policy lapse once the leases of the former assigner have expired', () => {
    const model = loseAssignerAndServer('lapse');
    const tookMs = runUntilServed(model, 10_000);
    // TERM_CONFIRM_MS (700) + LEASE_TTL_MS (1,200).
    expect(tookMs).toBeGreaterThan(1_900);
    expect(tookMs).toBeLessThan(4_500);
    model.servers.get('s1')!.state = 'live';
    model.run(3_000);
    expectSafe(model);
  });

  it('does not move the shards of a silent server while a partitioned former assigner may still renew its lease', () => {
    const model = start();
    const old = model.holder();
    old.logCut = true;
    old.peersCut = true;
    model.servers.get('s1')!.state = 'frozen';
    model.run(3_000);
    expect(model.holder()).not.toBe(old);
    expect(model.owned('s1')).toBeGreaterThan(0);
    expectSafe(model);
  });
});

describe('zones', () => {
  const zoned = {
    zones: ['z1', 'z2'],
    servers: [{id: 's1'}, {id: 's2'}, {id: 't1', zone: 'z2'}],
    shards: 8,
  };
  const vms = [...VMS, {id: 'x', zone: 'z2'}, {id: 'y', zone: 'z2'}];

  function startZones(adoption: 'hold' | 'lapse'): Model {
    const bundle = makeBundle({...zoned, adoption});
    const model = new Model(bundle, vms, new Random(3));
    model.run(4_000);
    expect(model.owned('s1') + model.owned('s2')).toBe(4);
    return model;
  }

  /**
   * Cuts the VMs of z1 off from their peers, and from the log if `isLogCut`;
   * otherwise they reach the log again.
   */
  function cutOffZ1(model: Model, isLogCut: boolean): void {
    for (const vm of model.vms) {
      if (vm.zone !== 'z1') continue;
      vm.logCut = isLogCut;
      vm.peersCut = true;
    }
  }

  const z1Served = (model: Model) =>
    model
      .shards()
      .filter(s => model.acceptors(s).some(id => id.startsWith('s'))).length;

  it('keeps serving in a zone that is cut off from the log and other zones (hold)', () => {
    const model = startZones('hold');
    cutOffZ1(model, true);
    for (const vm of model.vms) {
      if (vm.zone === 'z2') vm.serversCut = true;
    }
    model.run(10_000);
    expect(z1Served(model)).toBe(4);
    // A VM of z2 has taken the term of z1.
    expect(model.log.latest.terms.get('z1')!.holderZone).toBe('z2');
    // The log is reachable again; the next line reconnects the peers.
    cutOffZ1(model, false);
    for (const vm of model.vms) vm.peersCut = vm.serversCut = false;
    model.run(4_000);
    expect(model.log.latest.terms.get('z1')!.holderZone).toBe('z1');
    expect(z1Served(model)).toBe(4);
    expectSafe(model);
  });

  it('leaves the term in a zone that still writes to the log', () => {
    const model = startZones('hold');
    // Its VMs receive no heartbeats, so each keeps claiming the term.
    cutOffZ1(model, false);
    model.run(8_000);
    expect(model.log.latest.terms.get('z1')!.holderZone).toBe('z1');
    expectSafe(model);
  });

  it('moves the shards of a lost zone within 3 s of the new term (lapse)', () => {
    const model = startZones('lapse');
    const before = model.log.latest.terms.get('z1')!.term;
    for (const vm of model.vms) vm.paused = vm.zone === 'z1';
    for (const id of ['s1', 's2']) model.servers.get(id)!.state = 'frozen';
    while (model.log.latest.terms.get('z1')!.term === before) model.run(10);
    model.run(3_000);
    expect(model.owned('s1') + model.owned('s2')).toBe(0);
    expect(model.owned('t1')).toBe(4);
    for (const id of ['s1', 's2']) model.servers.get(id)!.state = 'live';
    for (const vm of model.vms) model.resume(vm);
    model.run(3_000);
    expectSafe(model);
  });

  it('moves shards of a lost zone once its servers are removed (hold)', () => {
    const model = startZones('hold');
    for (const vm of model.vms) vm.paused = vm.zone === 'z1';
    for (const id of ['s1', 's2']) model.servers.get(id)!.state = 'dead';
    model.run(10_000);
    expect(model.owned('s1') + model.owned('s2')).toBe(4);
    model.removed.add('s1').add('s2');
    model.run(3_000);
    expect(model.owned('t1')).toBe(4);
    expectSafe(model);
  });
});

describe('leaving batches', () => {
  it('empties a batch gradually before leaveAtMs, and records no move of a shard while its server runs requests for it', () => {
    const servers = [{id: 's1', batch: 'b1'}, {id: 's2'}, {id: 's3'}];
    const model = start({servers, shards: 24});
    const total = model.owned('s1');
    const leaveAtMs = model.timeMs + 20_000;
    const body = makeBundle({servers, shards: 24, leaveAtMs});
    model.log.append({kind: 'bundle', body});
    // After 8 s of the 20 s until leaveAtMs, a part of the shards has moved;
    // after 18.5 s, all have.
    model.run(8_000);
    expect(model.owned('s1')).toBeLessThan(total);
    expect(model.owned('s1')).toBeGreaterThan(0);
    model.run(10_500);
    expect(model.owned('s1')).toBe(0);
    expect(model.holder().assigner!.progress[0]!.shardsLeft).toBe(0);
    expectSafe(model);
  });

  it('reports a leaving batch as late before leaveAtMs when no server can take its shards', () => {
    const servers = [{id: 's1', batch: 'b1'}];
    const model = start({servers});
    const leaveAtMs = model.timeMs + 20_000;
    const body = makeBundle({servers, leaveAtMs});
    model.log.append({kind: 'bundle', body});
    model.run(10_000);
    expect(model.holder().events).toContain('leaving-late');
  });
});
