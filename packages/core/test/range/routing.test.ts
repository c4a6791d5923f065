import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  KeyLoadMap,
  RangeTable,
  RouteIndex,
  ServerLoadView,
  ServerRegistry,
  ServerSpeeds,
  WeightedRotation,
} from '@wisteriarun/core';
import type {GatewayRoute, GatewayServer, RangeOwner} from '@wisteriarun/core';

const route = (host: string, pathPrefix: string): GatewayRoute => ({
  name: `${host}${pathPrefix}`,
  host,
  pathPrefix,
  kind: 'safe',
  timeoutMs: 500,
  objectiveMs: 200,
  priority: 0,
  maxAttempts: 2,
  parts: [{service: 's', weight: 1}],
});

describe('routes', () => {
  const index = new RouteIndex({
    version: 1,
    routes: [route('a', '/'), route('a', '/x/'), route('a', '/x/y/')],
    services: [],
    warnings: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  it.each([
    ['a', '/x/y/z', '/x/y/'],
    ['a', '/x/y', '/x/'],
    ['a', '/x/?q=/x/y/', '/x/'],
    ['a:8080', '/other', '/'],
    ['A', '/x/', '/x/'],
  ])('%s%s goes to the longest prefix %s', (host, path, prefix) => {
    expect(index.find(host, path)?.pathPrefix).toBe(prefix);
  });

  it('of other hosts do not match', () => {
    expect(index.find('b', '/x/')).toBe(null);
  });
});

describe('weights', () => {
  it('give each part its share of 500 requests, to within as many requests as there are parts', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 100}), {minLength: 1, maxLength: 5}),
        fc.double({min: 0, max: 0.999, noNaN: true}),
        (weights, random) => {
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          fc.pre(total > 0);
          const parts = weights.map((weight, index) => ({
            service: `s${index}`,
            weight,
          }));
          const rotation = new WeightedRotation(parts, random);
          const counts = new Map<string, number>();
          const requests = 500;
          for (let index = 0; index < requests; index += 1) {
            const service = rotation.next()!;
            counts.set(service, (counts.get(service) ?? 0) + 1);
          }
          for (const {service, weight} of parts) {
            const due = (requests * weight) / total;
            const given = counts.get(service) ?? 0;
            expect(Math.abs(given - due)).toBeLessThanOrEqual(parts.length);
          }
        },
      ),
    );
  });

  it('of 0 choose no service', () => {
    const parts = [{service: 's', weight: 0}];
    expect(new WeightedRotation(parts, 0).next()).toBe(null);
  });
});

describe('descriptions of servers', () => {
  // `bornMs`, the start time, identifies the incarnation of a server.
  const server = (change: Partial<GatewayServer>): GatewayServer => ({
    id: 'i-1',
    address: '10.0.0.1:80',
    service: 's',
    zone: 'a',
    slots: 3,
    isDraining: false,
    warmupLeftMs: 0,
    bornMs: 10,
    sequence: 5,
    ...change,
  });

  it.each([
    ['an earlier sequence number', {sequence: 4, isDraining: false}],
    ['an earlier incarnation', {bornMs: 9, sequence: 99}],
  ])('with %s do not end the draining of a server', (_, change) => {
    const registry = new ServerRegistry();
    registry.update(server({isDraining: true}));
    expect(registry.update(server(change))).toBe('none');
    expect(registry.find('i-1')?.isDraining).toBe(true);
  });

  it('of a new incarnation are adopted with a lower sequence number', () => {
    const registry = new ServerRegistry();
    registry.update(server({}));
    const change = registry.update(server({bornMs: 11, sequence: 0}));
    expect(change).toBe('changed');
  });

  it('with only a higher sequence number are not reported as changes', () => {
    const registry = new ServerRegistry();
    registry.update(server({}));
    expect(registry.update(server({sequence: 6}))).toBe('refreshed');
  });
});

describe('the table of owners', () => {
  it('has the owner that was assigned last for each key, and none for a key never assigned', () => {
    const piece = fc.tuple(
      fc.integer({min: 0, max: 199}),
      fc.integer({min: 0, max: 199}),
      fc.integer({min: 0, max: 9}),
    );
    fc.assert(
      fc.property(fc.array(piece, {maxLength: 40}), pieces => {
        const table = new RangeTable();
        const owners: RangeOwner[] = [];
        const model = new Map<number, string>();
        for (const [one, other, name] of pieces) {
          const owner: RangeOwner = {
            service: 's',
            fromKey: Math.min(one, other),
            toKey: Math.max(one, other),
            server: `i-${name}`,
            former: null,
            bornMs: 0,
            fence: 0,
            moving: false,
          };
          table.assign(owner);
          owners.push(owner);
          for (let key = owner.fromKey; key <= owner.toKey; key += 1) {
            model.set(key, `i-${name}`);
          }
        }
        const copies = [new RangeTable(owners), new RangeTable(table.all())];
        for (let key = 0; key < 200; key += 1) {
          for (const one of [table, ...copies]) {
            const owner = one.find('s', key)?.server ?? null;
            expect(owner).toBe(model.get(key) ?? null);
          }
        }
      }),
    );
  });
});

describe('load', () => {
  it('of a steady rate converges to that rate', () => {
    const load = new KeyLoadMap(1_500);
    for (let ms = 0; ms < 20_000; ms += 100) {
      load.decay(ms);
      // One request of 60 ms in each 100 ms: 600 ms per second.
      load.add(7, 60);
    }
    // 600 ms per second to within 10%.
    expect(load.at(7)).toBeGreaterThan(540);
    expect(load.at(7)).toBeLessThan(660);
  });

  it('of a server includes the requests of other VMs, and decays', () => {
    const view = new ServerLoadView(3);
    view.inFlight = 1;
    view.answered({running: 3, waiting: 6, slots: 3}, 60, 1_000);
    // The 9 running and waiting requests include the one of this VM.
    expect(view.requests(1_000)).toBe(9);
    // One more request waits for 7 of the 9 to end: 187 ms, with 3 slots and the
    // default of 80 ms per request.
    expect(view.waitMs(1_000)).toBeGreaterThan(100);
    // 2,000 ms later, the 8 requests of other VMs have decayed to their average.
    expect(view.requests(3_000)).toBeLessThan(4);
  });

  it('does not exclude a failing server forever: one trial request becomes due', () => {
    const view = new ServerLoadView(3);
    view.failed(0);
    expect(view.isSuspect(0)).toBe(false);
    view.failed(10);
    expect(view.isSuspect(20)).toBe(true);
    // A trial is due TRIAL_INTERVAL_MS (250 ms) after the latest failure, unless
    // a request is in flight.
    expect(view.isSuspect(600)).toBe(false);
    view.inFlight = 1;
    expect(view.isSuspect(600)).toBe(true);
    view.answered(null, 50, 700);
    expect(view.isSuspect(700)).toBe(false);
  });

  it('tells a server of speed 1.7 from one of 0.7 after 60 requests', () => {
    const speeds = new ServerSpeeds();
    for (let index = 0; index < 60; index += 1) {
      // Expected time, actual time and time of the measurement, in ms.
      speeds.add('slow', 60, 60 / 0.7, index * 50);
      speeds.add('fast', 60, 60 / 1.7, index * 50);
    }
    expect(speeds.of('fast') / speeds.of('slow')).toBeGreaterThan(1.8);
    expect(speeds.of('unknown')).toBe(1);
  });
});
