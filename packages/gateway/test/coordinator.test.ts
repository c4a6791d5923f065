import {Admission} from '@wisteriarun/core';
import type {
  GatewayBundle,
  GatewayMessage,
  GatewayRoute,
  GatewayServer,
  KeyedRecord,
  OwnershipRecord,
} from '@wisteriarun/core';
import {HttpKeyedLog, PLATFORM_CODEC} from '@wisteriarun/platform';
import {Channel, createLogger, SystemClock} from '@wisteriarun/runtime';
import {PlatformStore, SlowLink} from '@wisteriarun/standins';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {CrashWatch} from '../src/entry/crash-watch.js';
import {Coordinator} from '../src/ownership/coordinator.js';
import type {CoordinatorDependencies} from '../src/ownership/coordinator.js';
import {OwnerView} from '../src/ownership/owner-view.js';
import {OwnershipLog} from '../src/ownership/ownership-log.js';
import {PeerLink} from '../src/ownership/peer-link.js';
import {PeerServer} from '../src/ownership/peer-server.js';
import type {BundleAdoption} from '../src/store/bundle-holder.js';
import {LogFollower} from '../src/store/log-follower.js';
import type {FollowEvent} from '../src/store/log-follower.js';
import {ServerDirectory} from '../src/store/server-directory.js';
import {freePorts} from './harness.js';

const clock = new SystemClock();
const logger = createLogger({level: 'error', process: 'test', zone: 'a'});
const server: GatewayServer = {
  id: 'i-1',
  address: '127.0.0.1:1',
  service: 'records',
  zone: 'a',
  slots: 3,
  isDraining: false,
  warmupLeftMs: 0,
  bornMs: 1,
  sequence: 1,
};

/** Creates a directory that has read `records` and also lists `server`. */
function directoryOf(records: KeyedRecord[]): ServerDirectory {
  const events = new Channel<FollowEvent>();
  const follower = {events: events.stream} as unknown as LogFollower;
  const directory = new ServerDirectory(
    follower,
    PLATFORM_CODEC,
    clock,
    logger,
  );
  events.emit({kind: 'image', records});
  directory.adopt({kind: 'server', server});
  return directory;
}

/** A coordinator that is elected at once, with the store and links that it needs. */
class ElectedCoordinator {
  readonly #links: PeerLink[] = [];
  #close = async () => {};
  /** Bundles that this VM adopts. */
  readonly adoptions = new Channel<BundleAdoption>();
  coordinator!: Coordinator;
  peers!: PeerServer;
  #peerAddress = '';

  /** @param recorded - Newest record of the ownership log; null for none. */
  async create(recorded: OwnershipRecord | null = null): Promise<void> {
    const store = new PlatformStore();
    const {host, port} = await store.start();
    const log = new HttpKeyedLog(`${host}:${port}`);
    if (recorded !== null) {
      const earlier = new OwnershipLog(log, clock, logger);
      await earlier.refresh();
      await earlier.append(recorded);
    }
    const [peerPort = 0] = await freePorts(1);
    this.peers = new PeerServer(logger);
    await this.peers.listen('127.0.0.1', peerPort);
    this.#peerAddress = `127.0.0.1:${peerPort}`;
    this.coordinator = new Coordinator({
      log: new OwnershipLog(log, clock, logger),
      owners: new OwnerView(),
      crashes: new CrashWatch(logger),
      admission: new Admission(),
      directory: directoryOf([]),
      bundles: {
        bundle: {services: []},
        changes: this.adoptions,
        service: () => null,
      },
      granter: {},
      peers: this.peers,
      clock,
      logger,
      holdMs: 4_000,
      vm: 'vm-1',
      readProgress: () => ({
        serversAgeMs: 0,
        bundlesAgeMs: 0,
        bundlesOffset: 0,
      }),
      zone: 'a',
      strength: {cpuCores: 1, linkMbps: Infinity},
      serversOffset: () => undefined,
      peerAddress: this.#peerAddress,
    } as unknown as CoordinatorDependencies);
    this.#close = async () => {
      this.coordinator.close();
      this.peers.close();
      log.close();
      await store.close();
    };
  }

  /** Opens a link as another VM does; returns the messages that it receives. */
  link(hello: Partial<GatewayMessage> = {}): GatewayMessage[] {
    const received: GatewayMessage[] = [];
    const link = new PeerLink(
      this.#peerAddress,
      () =>
        ({kind: 'hello', vm: 'vm-2', zone: 'a', ...hello}) as GatewayMessage,
      message => received.push(message),
      clock,
      logger,
    );
    this.#links.push(link);
    return received;
  }

  async elect(): Promise<void> {
    this.coordinator.start();
    await vi.waitFor(
      () => expect(this.coordinator.isAssigner).toBe(true),
      5_000,
    );
  }

  async close(): Promise<void> {
    for (const link of this.#links) link.close();
    await this.#close();
  }
}

const recordOf = (vm: string, peerAddress: string): OwnershipRecord => ({
  id: `${vm}-1`,
  term: 0,
  assigner: {vm, peerAddress, incarnation: 'earlier'},
  revision: 0,
  resigned: false,
  ranges: [],
});

// Guards against a slow return after a loss of all VMs: the wait for the next record
// came before the newest one was looked at.
describe('a VM that starts', () => {
  const MAX_WAIT_MS = 500;

  it('is elected at once when the last assigner was its earlier process', async () => {
    const elected = new ElectedCoordinator();
    await elected.create(recordOf('vm-1', '127.0.0.1:9'));
    const startedAtMs = performance.now();
    await elected.elect();
    const tookMs = performance.now() - startedAtMs;
    await elected.close();
    expect(tookMs).toBeLessThan(MAX_WAIT_MS);
  });

  it('connects at once to the assigner of the newest record', async () => {
    const [port = 0] = await freePorts(1);
    const assigner = new PeerServer(logger);
    await assigner.listen('127.0.0.1', port);
    const elected = new ElectedCoordinator();
    await elected.create(recordOf('vm-2', `127.0.0.1:${port}`));
    const startedAtMs = performance.now();
    elected.coordinator.start();
    await vi.waitFor(() => expect(assigner.linkCount).toBe(1), 2_000);
    const tookMs = performance.now() - startedAtMs;
    await elected.close();
    assigner.close();
    expect(tookMs).toBeLessThan(MAX_WAIT_MS);
  });
});

const kindsOf = (messages: readonly GatewayMessage[]) =>
  messages.map(({kind}) => kind);

// Guards against VMs with an incomplete list of servers: one that was linked
// before the election received later changes, but never the whole list.
it('a VM that is linked before the election receives all servers', async () => {
  const elected = new ElectedCoordinator();
  await elected.create();
  const received = elected.link();
  await vi.waitFor(() => expect(elected.peers.linkCount).toBe(1));
  await elected.elect();
  await vi.waitFor(() => expect(kindsOf(received)).toContain('heartbeat'));
  await elected.close();
  const serverLists = received.filter(({kind}) => kind === 'servers');
  expect(serverLists).toMatchObject([{servers: [{id: 'i-1'}]}]);
});

describe('a bundle that the assigner has read', () => {
  const routeOf = (index: number): GatewayRoute => ({
    name: `r-${index}`,
    host: 'court.example',
    pathPrefix: `/${index}/`,
    kind: 'safe',
    timeoutMs: 500,
    objectiveMs: 250,
    priority: 1,
    maxAttempts: 2,
    parts: [{service: 'records', weight: 1}],
  });
  const bundleOf = (version: number, routeCount: number): GatewayBundle => ({
    version,
    routes: Array.from({length: routeCount}, (_, index) => routeOf(index)),
    services: [],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 500,
      idleTimeoutMs: 500,
    },
    warnings: [],
  });
  const former = bundleOf(3, 2_000);
  let elected: ElectedCoordinator;

  beforeEach(async () => {
    elected = new ElectedCoordinator();
    await elected.create();
  });

  afterEach(() => elected.close());

  /** Links VMs, adopts a bundle, and returns how many of them have got its delta. */
  async function countReceivers(
    linkCount: number,
    bundle: GatewayBundle,
    hello: Partial<GatewayMessage>,
  ): Promise<number> {
    const links = Array.from({length: linkCount}, () => elected.link(hello));
    await vi.waitFor(() => expect(elected.peers.linkCount).toBe(linkCount));
    await elected.elect();
    elected.adoptions.emit({bundle, former, offset: 7});
    // Sent after the delta, on the same connections.
    await vi.waitFor(() => {
      for (const received of links) {
        expect(kindsOf(received)).toContain('heartbeat');
      }
    }, 5_000);
    await new Promise(resolve => setTimeout(resolve, 500));
    const deltas = links.flatMap(received =>
      received.flatMap(message =>
        message.kind === 'bundle-delta' ? message.delta : [],
      ),
    );
    for (const delta of deltas) {
      expect(delta).toMatchObject({baseVersion: 3, version: 8, offset: 7});
      expect(delta.routes).toEqual([routeOf(2_000)]);
    }
    return deltas.length;
  }

  const next = bundleOf(8, 2_001);

  it.each([32, 12])('goes as a delta to all of %i VMs', async linkCount => {
    const hello = {takesBundleDeltas: true};
    expect(await countReceivers(linkCount, next, hello)).toBe(linkCount);
  });

  it('does not go to many VMs if its delta is large', async () => {
    const large = bundleOf(8, 4_000);
    const hello = {takesBundleDeltas: true};
    expect(await countReceivers(32, large, hello)).toBe(0);
  });

  it('does not go to VMs of an earlier version', async () => {
    expect(await countReceivers(32, next, {})).toBe(0);
  });
});

/**
 * Opens an assigner that states all the time that it has just read the logs.
 *
 * @param readClockMs - Clock that it states; without one, it is of an earlier version.
 */
async function openAssigner(readClockMs?: () => number) {
  const [port = 0] = await freePorts(1);
  const assigner = new PeerServer(logger);
  await assigner.listen('127.0.0.1', port);
  const heartbeats = setInterval(
    () =>
      assigner.broadcast({
        kind: 'heartbeat',
        term: 0,
        isLogLost: false,
        ...(readClockMs === undefined ? {} : {clockMs: readClockMs()}),
        serversAgeMs: 0,
        bundlesAgeMs: 0,
        bundlesOffset: 0,
      }),
    100,
  );
  const close = () => {
    clearInterval(heartbeats);
    assigner.close();
  };
  return {assigner, address: `127.0.0.1:${port}`, close};
}

// Guards against VMs that take old knowledge for fresh: a heartbeat that had waited in full
// links and unread sockets counted from the time at which it was read.
it('the age of what the assigner has read includes the time on the link', async () => {
  const maxDelayMs = 1_000;
  const {assigner, address, close} = await openAssigner(() =>
    clock.monotonicMs(),
  );
  const link = await SlowLink.open(address);
  const follower = new ElectedCoordinator();
  await follower.create(recordOf('vm-2', link.address));
  void assigner.messages.stream.observe(({message, reply}) => {
    if (message.kind !== 'probe' && message.kind !== 'hello') return;
    reply({
      kind: 'echo',
      sentAtMs: message.sentAtMs!,
      clockMs: clock.monotonicMs(),
    });
  });
  follower.coordinator.start();
  await vi.waitFor(() => expect(assigner.linkCount).toBe(1), 5_000);
  await vi.waitFor(
    () =>
      expect(follower.coordinator.assignerReads.serversAgeMs).toBeLessThan(500),
    2_000,
  );
  // A queue that grows slowly, so that the link never falls silent.
  while (link.delayMs < maxDelayMs) {
    link.delayMs += 50;
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  // Until nothing is on the way that was sent before.
  await new Promise(resolve => setTimeout(resolve, 2 * maxDelayMs));
  const agesMs: number[] = [];
  for (let sample = 0; sample < 20; sample += 1) {
    await new Promise(resolve => setTimeout(resolve, 100));
    const {serversAgeMs, bundlesAgeMs} = follower.coordinator.assignerReads;
    agesMs.push(serversAgeMs, bundlesAgeMs);
  }
  await follower.close();
  close();
  link.close();
  expect(Math.min(...agesMs)).toBeGreaterThanOrEqual(maxDelayMs);
});

it('a VM sends no probe to an assigner of an earlier version', async () => {
  const {assigner, address, close} = await openAssigner();
  const kinds: string[] = [];
  void assigner.messages.stream.observe(({message}) =>
    kinds.push(message.kind),
  );
  const follower = new ElectedCoordinator();
  await follower.create(recordOf('vm-2', address));
  follower.coordinator.start();
  await new Promise(resolve => setTimeout(resolve, 1_500));
  const {serversAgeMs} = follower.coordinator.assignerReads;
  await follower.close();
  close();
  expect(kinds).toEqual(['hello']);
  // Without its clock, nothing is known of the age.
  expect(serversAgeMs).toBe(Infinity);
});

describe('a follower of a log', () => {
  it('skips records that it knows from another VM', async () => {
    const store = new PlatformStore();
    const {host, port} = await store.start();
    const log = new HttpKeyedLog(`${host}:${port}`);
    const follower = new LogFollower(
      log,
      'bundles',
      {
        waitMs: () => 300,
        pauseMs: () => 0,
        isNeeded: () => true,
        maxGapMs: 2_000,
      },
      clock,
      logger,
    );
    const offsets: number[] = [];
    void follower.events.observe(event => {
      if (event.kind !== 'records') return;
      offsets.push(...event.records.map(({offset}) => offset));
    });
    follower.start();
    await vi.waitFor(() => expect(follower.offset).toBe(0));
    // While a read of offset 0 waits.
    follower.skipTo(2);
    follower.skipTo(1);
    for (const text of ['a', 'b', 'c']) store.put('keyed.op', 'config', text);
    await vi.waitFor(() => expect(follower.offset).toBe(3));
    follower.close();
    log.close();
    await store.close();
    expect(offsets).toEqual([2]);
  });
});
