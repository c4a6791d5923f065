import {applyBundleDelta, bundleDelta, RouteIndex} from '@wisteriarun/core';
import type {GatewayBundle, GatewayRoute} from '@wisteriarun/core';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const PREFIXES = ['/', '/a/', '/b/', '/a/b/', '/c/'];
const HOSTS = ['one.example', 'two.example'];

const route: fc.Arbitrary<GatewayRoute> = fc.record({
  name: fc.constantFrom('r-1', 'r-2', 'r-3', 'r-4', 'r-5', 'r-6'),
  host: fc.constantFrom(...HOSTS),
  pathPrefix: fc.constantFrom(...PREFIXES),
  kind: fc.constantFrom('safe', 'unsafe'),
  timeoutMs: fc.constantFrom(500, 600),
  objectiveMs: fc.constantFrom(200, 300),
  priority: fc.constantFrom(0, 1),
  maxAttempts: fc.constantFrom(1, 2),
  parts: fc.array(
    fc.record({
      service: fc.constantFrom('records', 'audio'),
      weight: fc.constantFrom(0, 1, 90),
    }),
    {minLength: 1, maxLength: 2},
  ),
});

const bundleOf = (version: number): fc.Arbitrary<GatewayBundle> =>
  fc.record({
    version: fc.constant(version),
    routes: fc.array(route, {maxLength: 6}),
    services: fc.constantFrom(
      [],
      [{name: 'records', maxConnections: 3, isKeyed: true, warmMs: 0}],
    ),
    limits: fc.record({
      maxHeaderBytes: fc.constantFrom(8_192, 16_384),
      maxBodyBytes: fc.constant(1_000),
      headerTimeoutMs: fc.constant(500),
      idleTimeoutMs: fc.constant(500),
    }),
    warnings: fc.constantFrom([], ['unknown kind']),
  });

describe('the delta of a bundle', () => {
  it('leads to the same answers as the whole bundle', () => {
    fc.assert(
      fc.property(bundleOf(3), bundleOf(8), (base, next) => {
        const delta = bundleDelta(base, next, 7);
        if (delta === null) return;
        const applied = applyBundleDelta(base, delta);
        expect({...applied, routes: next.routes}).toEqual(next);
        const [expected, actual] = [
          new RouteIndex(next),
          new RouteIndex(applied),
        ];
        for (const host of HOSTS) {
          for (const prefix of PREFIXES) {
            expect(actual.find(host, prefix)).toEqual(
              expected.find(host, prefix),
            );
          }
        }
      }),
      {numRuns: 2_000},
    );
  });

  it('has only the routes that changed', () => {
    const [one, two, three, four] = ['r-1', 'r-2', 'r-3', 'r-4'].map(
      (name, index) => ({
        ...fc.sample(route, {numRuns: 1, seed: 1})[0]!,
        name,
        pathPrefix: PREFIXES[index]!,
      }),
    );
    const [base] = fc.sample(bundleOf(3), 1);
    const former = {...base!, routes: [one!, two!, three!]};
    const changed = {...two!, timeoutMs: 700};
    const next = {...base!, version: 8, routes: [one!, changed, four!]};
    expect(bundleDelta(former, next, 7)).toMatchObject({
      baseVersion: 3,
      version: 8,
      routes: [changed, four],
      removedRoutes: ['r-3'],
    });
  });

  it('is not built where the order of routes decides', () => {
    const [same] = fc.sample(route, 1);
    const [base] = fc.sample(bundleOf(3), 1);
    const twice = [same!, {...same!, name: 'r-9'}];
    const next = {...base!, version: 8, routes: twice};
    expect(bundleDelta({...base!, routes: []}, next, 7)).toBeNull();
  });
});
