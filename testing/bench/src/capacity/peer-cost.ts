/** Measures the costs of peer links and relay connections on loopback. */
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Heartbeat, PeerMessage} from '@wisteriarun/core';
import {
  PeerMesh,
  RelayClient,
  RelayServer,
  type RelayRequest,
  type RelayResult,
} from '@wisteriarun/peer';
import {SystemClock, encodeFrame} from '@wisteriarun/runtime';
import {
  measureCpuUs,
  heapBytesAfterGc,
  medianOfRuns,
  type Measurement,
} from './measure.js';
import {ENTRY_INSTANCE_ID, SERVICE, ZONE, serverName} from './states.js';

const HOST = '127.0.0.1';
const MESH_SIZES = [2, 4, 8];
const BROADCAST_ROUNDS = 400;
/** Broadcasts of each peer between two turns of the event loop. */
const ROUNDS_PER_LOOP_TURN = 4;
const CONNECT_TIMEOUT_MS = 5_000;
const RELAY_REQUESTS = 1_500;
const RELAY_CONNECTION_COUNTS = [100, 200, 400];

const instanceIdAt = (index: number) => `entry-00${index}.0a1b2c3d`;

const makeHeartbeat = (vm: string, seq: number): Heartbeat => ({
  kind: 'heartbeat',
  vm,
  zone: ZONE,
  seq,
  offset: 1_234_567,
  draining: false,
  capacity: 1,
});

const makeDispatchTable = (rowCount: number): PeerMessage => ({
  kind: 'dispatch-table',
  zone: ZONE,
  term: 1_234_567,
  version: 12,
  rows: Array.from({length: rowCount}, (_, i) => ({
    server: serverName(i),
    dispatcher: ENTRY_INSTANCE_ID,
    fence: {term: 1_234_567, seq: i},
    replaces: null,
  })),
});

const makeLoadReport = (shardCount: number): PeerMessage => ({
  kind: 'load-report',
  vm: ENTRY_INSTANCE_ID,
  servers: [
    {
      server: serverName(1),
      serviceTimeMs: 10.123,
      busySlots: 1.987,
      queued: 3,
      shards: Array.from({length: shardCount}, (_, shard) => ({
        service: SERVICE,
        shard,
        busySlots: 0.0123 + shard / 1e6,
        hotKey: `filing-${shard}`,
        hotKeyShare: 0.1234,
      })),
    },
  ],
});

/**
 * Measures control messages, peer links and relay connections.
 *
 * @returns One measurement for each cost.
 */
export async function measurePeers(): Promise<Measurement[]> {
  const rowCounts = [8, 32, 128];
  return [
    {
      name: 'heartbeat frame, per heartbeat',
      unit: 'B',
      points: [1, 2, 3].map(x => ({
        x,
        y: x * frameBytes(makeHeartbeat(ENTRY_INSTANCE_ID, 9_999)),
      })),
    },
    {
      name: 'dispatch table frame, per server',
      unit: 'B',
      points: rowCounts.map(x => ({x, y: frameBytes(makeDispatchTable(x))})),
    },
    {
      name: 'load report frame, per shard with load',
      unit: 'B',
      points: rowCounts.map(x => ({x, y: frameBytes(makeLoadReport(x))})),
    },
    {
      name: 'heartbeat sent and received, per message (2, 4, 8 peers)',
      unit: 'us',
      points: await measureMesh(makeHeartbeat),
    },
    {
      name: 'dispatch table of 32 rows sent and received, per message',
      unit: 'us',
      points: await measureMesh(() => makeDispatchTable(32)),
    },
    {
      name: 'memory of an open relay connection, both ends',
      unit: 'B',
      points: await measureRelayMemory(),
    },
    {
      name: 'relayed request, both ends, per request',
      unit: 'us',
      points: await measureRelayTime(),
    },
  ];
}

/** Returns the size of a message as a frame, or 0 if it exceeds the limit. */
function frameBytes(message: PeerMessage): number {
  return encodeFrame(message)
    .map(frame => frame.length)
    .unwrapOr(0);
}

/** Measures the processor time of the messages on all links of a mesh. */
async function measureMesh(
  makeMessage: (vm: string, i: number) => PeerMessage,
) {
  const points = [];
  for (const count of MESH_SIZES) {
    const meshes = await startMeshes(count);
    let received = 0;
    for (const mesh of meshes) {
      void mesh.messages.observe(() => (received += 1));
    }
    const messageCount = BROADCAST_ROUNDS * count * (count - 1);
    const y = await medianOfRuns(async () => {
      received = 0;
      return measureCpuUs(async () => {
        for (let i = 0; i < BROADCAST_ROUNDS; i++) {
          meshes.forEach((mesh, peerIndex) =>
            mesh.broadcast(makeMessage(instanceIdAt(peerIndex), i)),
          );
          if (i % ROUNDS_PER_LOOP_TURN === 0) await sleep(0);
        }
        while (received < messageCount) await sleep(1);
      });
    });
    points.push({x: messageCount, y});
    await Promise.all(meshes.map(mesh => mesh.close()));
  }
  return points;
}

async function startMeshes(count: number): Promise<PeerMesh[]> {
  const meshes: PeerMesh[] = [];
  const ports: number[] = [];
  for (let i = 0; i < count; i++) {
    const vm = instanceIdAt(i);
    const mesh = new PeerMesh({
      deployment: 'capacity',
      vm,
      zone: ZONE,
      bootId: `boot-${i}`,
      capacity: 1,
      relayHost: HOST,
      relayPort: 1,
      host: HOST,
      port: 0,
      secret: 'secret',
      clock: new SystemClock(),
      heartbeatIntervalMs: 60_000,
      heartbeat: () => makeHeartbeat(vm, 1),
    });
    ports.push((await mesh.listen()).unwrapOr(0));
    meshes.push(mesh);
  }
  meshes.forEach(mesh =>
    mesh.setPeers(ports.map(port => ({host: HOST, port}))),
  );
  const startMs = performance.now();
  const isComplete = (mesh: PeerMesh) =>
    mesh.peers().filter(peer => peer.connected).length === count - 1;
  while (!meshes.every(isComplete)) {
    if (performance.now() - startMs > CONNECT_TIMEOUT_MS) {
      throw new Error(
        `mesh of ${count} peers did not connect within the timeout`,
      );
    }
    await sleep(10);
  }
  await sleep(200);
  return meshes;
}

function makeRelayRequest(i: number): RelayRequest {
  return {
    id: `request-${i}`,
    method: 'GET',
    path: `/${SERVICE}/filing-${i}`,
    headers: {accept: 'application/json'},
    service: SERVICE,
    key: `filing-${i}`,
    server: serverName(1),
    shard: i,
    epoch: 9,
    fence: {term: 1, seq: 2},
    idempotencyKey: null,
    remainingMs: 60_000,
    crashCount: 0,
    lengthBytes: 0,
    body: null,
    signal: new AbortController().signal,
  };
}

/** Runs a function with a relay server and a client connected to it. */
async function withRelay<T>(
  dispatch: () => Promise<RelayResult>,
  run: (send: (i: number) => Promise<RelayResult>) => Promise<T>,
): Promise<T> {
  const server = new RelayServer(
    {host: HOST, port: 0, secret: 'secret'},
    {dispatch},
  );
  const port = await server.listen();
  const client = new RelayClient('secret');
  try {
    return await run(i => client.send({host: HOST, port}, makeRelayRequest(i)));
  } finally {
    client.close();
    await server.close();
  }
}

const makeAnswer = (): RelayResult => ({
  kind: 'answered',
  status: 200,
  headers: {'content-type': 'application/json'},
  body: Readable.from([Buffer.alloc(256)]),
});

async function consumeBody(result: RelayResult): Promise<void> {
  if (result.kind !== 'answered') throw new Error(JSON.stringify(result));
  result.body.resume();
  await new Promise(resolve => result.body.once('end', resolve));
}

async function measureRelayMemory() {
  const points = [];
  for (const x of RELAY_CONNECTION_COUNTS) {
    const y = await medianOfRuns(() => measureConnectionBytes(x), 3);
    points.push({x, y});
  }
  return points;
}

/** Measures the heap memory of connections whose requests are in flight. */
async function measureConnectionBytes(
  connectionCount: number,
): Promise<number> {
  let release = () => {};
  const released = new Promise<void>(resolve => (release = resolve));
  let arrivedRequests = 0;
  const dispatch = async () => {
    arrivedRequests += 1;
    await released;
    return makeAnswer();
  };
  return withRelay(dispatch, async send => {
    const bytesBefore = heapBytesAfterGc();
    const results = Array.from({length: connectionCount}, (_, i) => send(i));
    while (arrivedRequests < connectionCount) await sleep(5);
    const bytes = heapBytesAfterGc() - bytesBefore;
    release();
    for (const result of await Promise.all(results)) await consumeBody(result);
    return bytes;
  });
}

async function measureRelayTime() {
  const points = [];
  for (const x of [1, 2, 3].map(n => (n * RELAY_REQUESTS) / 3)) {
    const y = await withRelay(
      async () => makeAnswer(),
      async send => {
        // Sends 10 requests at a time.
        const sendBatches = async () => {
          for (let i = 0; i < x; i += 10) {
            const batch = Array.from({length: 10}, async (_, n) =>
              consumeBody(await send(i + n)),
            );
            await Promise.all(batch);
          }
        };
        await sendBatches();
        return medianOfRuns(() => measureCpuUs(sendBatches));
      },
    );
    points.push({x, y});
  }
  return points;
}
