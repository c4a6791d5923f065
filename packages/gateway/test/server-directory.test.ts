import {HttpKeyedLog, PLATFORM_CODEC} from '@wisteriarun/platform';
import {Channel, createLogger, SystemClock} from '@wisteriarun/runtime';
import {PlatformStore} from '@wisteriarun/standins';
import {never} from 'most';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {LogFollower} from '../src/store/log-follower.js';
import type {FollowEvent} from '../src/store/log-follower.js';
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

  // Guards against requests that reach a draining server too late because the time since
  // its report counted from when the VM heard of it.
  it('counts the time of a drain from when the server was last known not to drain', () => {
    let knownAtMs = -Infinity;
    const clock = new SystemClock();
    const late = new ServerDirectory(
      {events: never()} as unknown as LogFollower,
      PLATFORM_CODEC,
      clock,
      createLogger({level: 'error', process: 'test', zone: 'a'}),
      () => knownAtMs,
    );
    late.adoptAll([gatewayServer('i-1'), gatewayServer('i-2')], true);
    knownAtMs = clock.monotonicMs() - 700;
    const drain = (id: string) => {
      const server = gatewayServer(id, {isDraining: true, sequence: 9});
      late.adopt({kind: 'server', server});
    };
    drain('i-1');
    expect(late.drainingMs('i-1')).toBeGreaterThanOrEqual(700);
    expect(late.drainingMs('i-2')).toBe(0);
    // What a VM learns first of a server says nothing about the time before.
    knownAtMs = -Infinity;
    drain('i-2');
    expect(late.drainingMs('i-2')).toBe(Infinity);
    late.close();
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

// Guards against requests to servers that have left (DRAIN on trouble-1 of
// ramcharan-desk-grown, small twin): a VM that had relied on its link read the log again
// from where it had lost it. The old descriptions listed servers that were long gone, and
// their removal was delayed because the log had just been regained.
it('a server that is gone is not listed again by records from before its end', async () => {
  const store = new PlatformStore();
  const {host, port} = await store.start();
  const log = new HttpKeyedLog(`${host}:${port}`);
  const clock = new SystemClock();
  const logger = createLogger({level: 'error', process: 'test', zone: 'a'});
  let isLinked = false;
  const follower = new LogFollower(
    log,
    'servers',
    {
      waitMs: () => 0,
      pauseMs: () => 20,
      isNeeded: () => !isLinked,
      maxGapMs: 2_000,
    },
    clock,
    logger,
  );
  const directory = new ServerDirectory(
    follower,
    PLATFORM_CODEC,
    clock,
    logger,
  );
  let sequence = 0;
  const describeServer = () => {
    sequence += 1;
    const description = {
      addr: '127.0.0.1:9',
      born: 1_000,
      info: {service: 'records', version: 'v1', zone: 'a', slots: 3},
      status: {state: 'ready', seq: sequence, warmup_left: '0ms'},
    };
    store.put('keyed.servers', 'i-1', JSON.stringify(description));
  };
  describeServer();
  follower.start();
  await vi.waitFor(() => expect(directory.isLoaded).toBe(true));
  store.fault = 'busy';
  await vi.waitFor(() => expect(directory.isSettled).toBe(false));
  // The assigner has read that the server is gone.
  isLinked = true;
  describeServer();
  store.put('keyed.servers', 'i-1', '');
  directory.adopt({kind: 'server-gone', id: 'i-1'});
  await new Promise(resolve => setTimeout(resolve, 2_500));
  const listed: string[] = [];
  void directory.changes.stream.observe(change => {
    if (change.kind === 'server') listed.push(change.server.id);
  });
  store.fault = 'none';
  isLinked = false;
  await vi.waitFor(() => expect(follower.ageMs).toBeLessThan(1_000), 3_000);
  follower.close();
  directory.close();
  log.close();
  await store.close();
  expect(listed).toEqual([]);
});

// Guards against keys that move away from servers that are listed again in time: the time
// for that was over before the list had been read at its end.
describe('a server that is missing after a start or a loss of the log', () => {
  /** Time in which servers are listed again. */
  const GRACE_MS = 2_000;
  const clock = new SystemClock();
  const record = (id: string, sequence: number) => ({
    key: id,
    value: Buffer.from(
      JSON.stringify({
        addr: '127.0.0.1:9',
        born: 1_000,
        info: {service: 'records', version: 'v1', zone: 'a', slots: 3},
        status: {state: 'ready', seq: sequence, warmup_left: '0ms'},
      }),
    ),
    offset: sequence,
  });
  let events: Channel<FollowEvent>;
  let knownAtMs: number;
  let directory: ServerDirectory;

  beforeEach(() => {
    vi.useFakeTimers();
    events = new Channel();
    knownAtMs = -Infinity;
    directory = new ServerDirectory(
      {events: events.stream} as unknown as LogFollower,
      PLATFORM_CODEC,
      clock,
      createLogger({level: 'error', process: 'test', zone: 'a'}),
      () => knownAtMs,
    );
    const records = [record('i-1', 1), record('i-2', 2)];
    events.emit({kind: 'image', records});
  });

  afterEach(() => {
    directory.close();
    vi.useRealTimers();
  });

  it('is not gone at a start before a later list was read', () => {
    const loadedAtMs = clock.monotonicMs();
    vi.advanceTimersByTime(GRACE_MS + 100);
    knownAtMs = loadedAtMs + GRACE_MS - 1;
    expect(directory.isSettled).toBe(false);
    knownAtMs = loadedAtMs + GRACE_MS + 1;
    expect(directory.isSettled).toBe(true);
  });

  it('is not gone after a loss before a later list was read', () => {
    events.emit({kind: 'lost'});
    events.emit({kind: 'regained'});
    const regainedAtMs = clock.monotonicMs();
    events.emit({kind: 'image', records: [record('i-2', 3)]});
    vi.advanceTimersByTime(GRACE_MS + 100);
    knownAtMs = regainedAtMs + GRACE_MS - 1;
    vi.advanceTimersByTime(500);
    expect(directory.registry.find('i-1')).not.toBeNull();
    knownAtMs = regainedAtMs + GRACE_MS + 1;
    vi.advanceTimersByTime(500);
    expect(directory.registry.find('i-1')).toBeNull();
    expect(directory.registry.find('i-2')).not.toBeNull();
  });
});
