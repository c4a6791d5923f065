import {Admission} from '@wisteriarun/core';
import type {
  GatewayMessage,
  GatewayServer,
  KeyedRecord,
} from '@wisteriarun/core';
import {HttpKeyedLog, PLATFORM_CODEC} from '@wisteriarun/platform';
import {Channel, createLogger, SystemClock} from '@wisteriarun/runtime';
import {PlatformStore} from '@wisteriarun/standins';
import {expect, it, vi} from 'vitest';
import {CrashWatch} from '../src/entry/crash-watch.js';
import {Coordinator} from '../src/ownership/coordinator.js';
import type {CoordinatorDependencies} from '../src/ownership/coordinator.js';
import {OwnerView} from '../src/ownership/owner-view.js';
import {OwnershipLog} from '../src/ownership/ownership-log.js';
import {PeerLink} from '../src/ownership/peer-link.js';
import {PeerServer} from '../src/ownership/peer-server.js';
import type {FollowEvent, LogFollower} from '../src/store/log-follower.js';
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

// Guards against VMs with an incomplete list of servers: one that was linked
// before the election received later changes, but never the whole list.
it('a VM that is linked before the election receives all servers', async () => {
  const store = new PlatformStore();
  const {host, port} = await store.start();
  const log = new HttpKeyedLog(`${host}:${port}`);
  const [peerPort = 0] = await freePorts(1);
  const peers = new PeerServer(logger);
  await peers.listen('127.0.0.1', peerPort);
  const peerAddress = `127.0.0.1:${peerPort}`;
  const coordinator = new Coordinator({
    log: new OwnershipLog(log, clock, logger),
    owners: new OwnerView(),
    crashes: new CrashWatch(logger),
    admission: new Admission(),
    directory: directoryOf([]),
    bundles: {
      bundle: {services: []},
      changes: new Channel(),
      service: () => null,
    },
    granter: {},
    peers,
    clock,
    logger,
    holdMs: 4_000,
    vm: 'vm-1',
    readProgress: () => ({serversAgeMs: 0, bundlesAgeMs: 0, bundlesOffset: 0}),
    zone: 'a',
    strength: {cpuCores: 1, linkMbps: Infinity},
    serversOffset: () => undefined,
    peerAddress,
  } as unknown as CoordinatorDependencies);
  const received: GatewayMessage[] = [];
  const link = new PeerLink(
    peerAddress,
    () => ({kind: 'hello', vm: 'vm-2', zone: 'a'}),
    message => received.push(message),
    clock,
    logger,
  );
  await vi.waitFor(() => expect(peers.linkCount).toBe(1));
  coordinator.start();
  await vi.waitFor(() => expect(coordinator.isAssigner).toBe(true), 5_000);
  await vi.waitFor(() =>
    expect(received.map(({kind}) => kind)).toContain('heartbeat'),
  );
  const serverLists = received.filter(({kind}) => kind === 'servers');
  link.close();
  coordinator.close();
  peers.close();
  log.close();
  await store.close();
  expect(serverLists).toMatchObject([{servers: [{id: 'i-1'}]}]);
});
