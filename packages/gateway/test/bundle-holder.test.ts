import type {BundleDelta, GatewayBundle, KeyedRecord} from '@wisteriarun/core';
import {PLATFORM_CODEC} from '@wisteriarun/platform';
import {Channel, createLogger} from '@wisteriarun/runtime';
import {beforeEach, describe, expect, it} from 'vitest';
import {BundleHolder} from '../src/store/bundle-holder.js';
import type {FollowEvent, LogFollower} from '../src/store/log-follower.js';
import {resources} from './harness.js';

const logger = createLogger({level: 'error', process: 'test', zone: 'a'});

const record = (version: number, text?: string): KeyedRecord => ({
  key: 'config',
  value: Buffer.from(
    text ?? JSON.stringify({version: `r${version}`, resources: resources()}),
  ),
  offset: version,
});

describe('a holder of bundles', () => {
  let events: Channel<FollowEvent>;
  let holder: BundleHolder;
  let adopted: number[];
  let decodedCount: number;

  beforeEach(() => {
    events = new Channel();
    adopted = [];
    decodedCount = 0;
    holder = new BundleHolder(
      {events: events.stream} as unknown as LogFollower,
      {
        ...PLATFORM_CODEC,
        bundle: (key, value) => {
          decodedCount += 1;
          return PLATFORM_CODEC.bundle(key, value);
        },
      },
      logger,
    );
    void holder.changes.stream.observe(({bundle}) =>
      adopted.push(bundle.version),
    );
  });

  const read = (...records: KeyedRecord[]) =>
    events.emit({kind: 'records', records});

  function delta(baseVersion: number, version: number): BundleDelta {
    const {services, limits, warnings} = holder.bundle as GatewayBundle;
    return {
      baseVersion,
      version,
      offset: version,
      routes: [],
      removedRoutes: [],
      services,
      limits,
      warnings,
    };
  }

  // Guards against a VM that falls behind because it decodes each large bundle that it
  // has missed.
  it('decodes only the newest of several records', () => {
    read(record(3), record(5), record(9));
    expect(adopted).toEqual([9]);
    expect(decodedCount).toBe(1);
  });

  it('adopts the newest record that it can read', () => {
    read(record(3), record(5), record(9, '{'));
    expect(adopted).toEqual([5]);
  });

  it('applies deltas, also those that come before the bundle they apply to', () => {
    read(record(3));
    holder.applyDelta(delta(3, 4));
    holder.applyDelta(delta(8, 9));
    holder.applyDelta(delta(6, 8));
    expect(adopted).toEqual([3, 4]);
    read(record(6));
    expect(adopted).toEqual([3, 4, 6, 8, 9]);
  });

  it('ignores deltas of older bundles', () => {
    read(record(5));
    holder.applyDelta(delta(3, 4));
    read(record(6));
    holder.applyDelta(delta(5, 6));
    expect(adopted).toEqual([5, 6]);
  });
});
