import {PLATFORM_CODEC} from '@wisteriarun/platform';
import {createLogger, SystemClock} from '@wisteriarun/runtime';
import {never} from 'most';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {LogFollower} from '../src/store/log-follower.js';
import {ServerDirectory} from '../src/store/server-directory.js';
import {gatewayServer} from './fixtures.js';

// Guards against requests to servers that have left: a VM kept a server that
// left while the VM was cut off, although the assigner's list lacked it
// (simulated day scale-2, seed 290295215848, of the test deployment eslabon-gw).
describe('the list of servers from the assigner', () => {
  let directory: ServerDirectory;

  beforeEach(() => {
    directory = new ServerDirectory(
      {events: never()} as unknown as LogFollower,
      PLATFORM_CODEC,
      new SystemClock(),
      createLogger({level: 'error', process: 'test', zone: 'a'}),
    );
    // True: the list is complete.
    directory.adoptAll([gatewayServer('i-1'), gatewayServer('i-2')], true);
  });

  afterEach(() => directory.close());

  const ids = () => [...directory.registry.servers.keys()];

  it('removes servers that left while the VM was not linked to the assigner', () => {
    const gone: string[] = [];
    void directory.changes.stream.observe(change => {
      if (change.kind === 'server-gone') gone.push(change.id);
    });
    directory.adoptAll([gatewayServer('i-2'), gatewayServer('i-3')], true);
    expect(ids()).toEqual(['i-2', 'i-3']);
    expect(gone).toEqual(['i-1']);
  });

  it('removes no server when it may be incomplete', () => {
    directory.adoptAll([gatewayServer('i-3')], false);
    expect(ids()).toEqual(['i-1', 'i-2', 'i-3']);
  });

  it('keeps a server as draining that has said so in an answer, until it restarts', () => {
    const isDraining = () => directory.registry.find('i-1')?.isDraining;
    const {bornMs} = gatewayServer('i-1');
    expect(directory.markLeaving('i-1', bornMs - 1)).toBe(false);
    expect(isDraining()).toBe(false);
    expect(directory.markLeaving('i-1', bornMs)).toBe(true);
    expect(directory.markLeaving('i-1', bornMs)).toBe(false);
    const later = gatewayServer('i-1', {sequence: 9});
    directory.adoptAll([later], true);
    expect(isDraining()).toBe(true);
    // Its description expires during an outage of the store, and comes back.
    directory.adoptAll([], true);
    directory.adoptAll([later], true);
    expect(isDraining()).toBe(true);
    directory.adoptAll([gatewayServer('i-1', {bornMs: bornMs + 1})], true);
    expect(isDraining()).toBe(false);
    expect(directory.leaving).toEqual([]);
  });
});
