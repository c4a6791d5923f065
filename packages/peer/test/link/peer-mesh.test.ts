import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {Heartbeat, PeerMessage} from '@wisteriarun/core';
import {encodeFrame, FrameDecoder, SystemClock} from '@wisteriarun/runtime';
import {afterEach, describe, expect, test} from 'vitest';
import {PeerMesh} from '../../src/index.js';
import type {LinkEvent, PeerEnvelope} from '../../src/index.js';
import {Handshake} from '../../src/link/handshake.js';

const HOST = '127.0.0.1';
const HEARTBEAT_MS = 50;
const SECRET = 'deployment-secret';

const closeables: {close(): unknown}[] = [];
afterEach(async () => {
  await Promise.all(closeables.splice(0).map(item => item.close()));
});

interface TestVm {
  readonly mesh: PeerMesh;
  readonly port: number;
  readonly received: PeerEnvelope[];
  readonly events: LinkEvent[];
}

async function start(
  vm: string,
  overrides: {secret?: string; deployment?: string; bootId?: string} = {},
  port = 0,
): Promise<TestVm> {
  let seq = 0;
  const mesh = new PeerMesh({
    deployment: 'd',
    vm,
    zone: 'a',
    bootId: `${vm}-boot`,
    capacity: 1,
    relayHost: HOST,
    relayPort: 9,
    host: HOST,
    port,
    secret: SECRET,
    clock: new SystemClock(),
    heartbeatIntervalMs: HEARTBEAT_MS,
    heartbeat: (): Heartbeat => ({
      kind: 'heartbeat',
      vm,
      zone: 'a',
      seq: seq++,
      offset: 7,
      draining: true,
      capacity: 2,
    }),
    ...overrides,
  });
  closeables.push(mesh);
  const received: PeerEnvelope[] = [];
  const events: LinkEvent[] = [];
  void mesh.messages.observe(envelope => {
    if (envelope.message.kind !== 'heartbeat') received.push(envelope);
  });
  void mesh.linkEvents.observe(event => events.push(event));
  const listened = await mesh.listen();
  if (listened.isErr) throw new Error(listened.error.kind);
  return {mesh, port: listened.value, received, events};
}

async function until(condition: () => boolean, what: string): Promise<void> {
  const deadlineMs = Date.now() + 8_000;
  while (!condition()) {
    if (Date.now() > deadlineMs) throw new Error(`timed out: ${what}`);
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const isConnected = (testVm: TestVm, vm: string) =>
  testVm.mesh.peer(vm)?.connected === true;
const causesOf = (testVm: TestVm) =>
  testVm.events.flatMap(event => ('cause' in event ? [event.cause.kind] : []));
const crashRecord = (count: number): PeerMessage => ({
  kind: 'crash-record',
  records: [{fingerprint: 'f', count, server: 's', ageMs: 0}],
});

/** A peer whose frames the test sends and receives one by one. */
class RawPeer {
  readonly frames: unknown[] = [];
  readonly #decoder = new FrameDecoder();
  isClosed = false;

  constructor(readonly socket: Socket) {
    closeables.push({close: () => socket.destroy()});
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isClosed = true;
    });
    socket.on('data', chunk => {
      for (const frame of this.#decoder.decode(chunk)) {
        if (frame.isOk) this.frames.push(frame.value);
      }
    });
  }

  static dial(port: number): RawPeer {
    return new RawPeer(connect(port, HOST));
  }

  send(value: unknown): void {
    const frame = encodeFrame(value);
    if (frame.isOk) this.socket.write(frame.value);
  }

  async next(index: number): Promise<unknown> {
    await until(() => this.frames.length > index, `frame ${index}`);
    return this.frames[index];
  }

  /** Completes the handshake as a connector with the right secret. */
  async authenticate(vm: string, attempt = 1): Promise<void> {
    const identity = {deployment: 'd', vm, secret: SECRET};
    const handshake = new Handshake(identity, 'connector', attempt);
    this.send(handshake.challenge);
    handshake.receiveChallenge(await this.next(0));
    this.send(handshake.createProof());
    const checked = handshake.checkProof(await this.next(1));
    if (checked.isErr) throw new Error(checked.error.kind);
    this.send({
      kind: 'hello',
      deployment: 'd',
      vm,
      zone: 'a',
      bootId: `${vm}-boot`,
      capacity: 1,
      relayHost: HOST,
      relayPort: 9,
    });
  }
}

describe('mesh', () => {
  test('delivers messages in order in both directions and returns its peers', async () => {
    const [a, b] = [await start('a'), await start('b')];
    a.mesh.setPeers([{host: HOST, port: b.port}]);
    await until(() => isConnected(a, 'b') && isConnected(b, 'a'), 'link');
    for (let n = 0; n < 500; n++)
      expect(a.mesh.send('b', crashRecord(n))).toBe(true);
    expect(b.mesh.broadcast(crashRecord(9))).toBe(1);
    await until(() => b.received.length === 500, 'messages at b');
    await until(() => a.received.length === 1, 'message at a');
    expect(b.received).toEqual(
      Array.from({length: 500}, (_, n) => ({
        from: 'a',
        message: crashRecord(n),
      })),
    );
    await until(() => a.mesh.peer('b')?.offset === 7, 'heartbeat');
    expect(a.mesh.peer('b')).toMatchObject({
      zone: 'a',
      capacity: 2,
      draining: true,
      relayHost: HOST,
      relayPort: 9,
      bootId: 'b-boot',
    });
    expect(a.mesh.send('unknown', crashRecord(0))).toBe(false);
  });

  // Guards against ends that keep different links: each would close the link
  // that the other one keeps, and both would reconnect without end.
  test('keeps exactly one link when both ends connect at the same time', async () => {
    for (let round = 0; round < 5; round++) {
      const [a, b] = [await start('a'), await start('b')];
      a.mesh.setPeers([
        {host: HOST, port: b.port},
        {host: 'localhost', port: b.port},
      ]);
      b.mesh.setPeers([{vm: 'a', host: HOST, port: a.port}]);
      await until(() => isConnected(a, 'b') && isConnected(b, 'a'), 'link');
      await wait(4 * HEARTBEAT_MS);
      for (const testVm of [a, b]) {
        const kinds = testVm.events.map(event => event.kind);
        expect(kinds.filter(kind => kind === 'link-up')).toHaveLength(1);
        expect(kinds).not.toContain('link-down');
      }
      expect(a.mesh.send('b', crashRecord(1))).toBe(true);
      expect(b.mesh.send('a', crashRecord(2))).toBe(true);
      await until(() => a.received.length === 1, 'message at a');
      await until(() => b.received.length === 1, 'message at b');
      await a.mesh.close();
      await b.mesh.close();
    }
  });

  test('reconnects after a restart of the peer', async () => {
    const a = await start('a');
    const b = await start('b');
    a.mesh.setPeers([{host: HOST, port: b.port}]);
    await until(() => isConnected(a, 'b'), 'link');
    await b.mesh.close();
    await until(() => !isConnected(a, 'b'), 'loss');
    expect(a.mesh.send('b', crashRecord(0))).toBe(false);
    await start('b', {bootId: 'second'}, b.port);
    await until(
      () => a.mesh.peer('b')?.bootId === 'second',
      'second incarnation',
    );
    expect(a.events.map(event => event.kind)).toContain('link-down');
  });

  test('ignores its own address in a seed list', async () => {
    const a = await start('a');
    a.mesh.setPeers([{host: HOST, port: a.port}]);
    await wait(500);
    expect(a.mesh.peers()).toEqual([]);
    expect(a.events).toEqual([]);
  });

  test('a removed address is not dialed again', async () => {
    const a = await start('a');
    const b = await start('b');
    a.mesh.setPeers([{host: HOST, port: b.port}]);
    await until(() => isConnected(a, 'b'), 'link');
    a.mesh.setPeers([]);
    expect(isConnected(a, 'b')).toBe(true);
    await b.mesh.close();
    await until(() => !isConnected(a, 'b'), 'loss');
    const eventCount = a.events.length;
    await wait(500);
    expect(a.events).toHaveLength(eventCount);
  });
});

describe('faults', () => {
  test.each([
    ['wrong secret', {secret: 'another'}],
    ['wrong deployment', {deployment: 'other'}],
  ])(
    'a peer with the %s gets no link and is reported as peer-unauthenticated',
    async (_name, overrides) => {
      const a = await start('a');
      const b = await start('b', overrides);
      a.mesh.setPeers([{host: HOST, port: b.port}]);
      await until(
        () => [...causesOf(a), ...causesOf(b)].includes('peer-unauthenticated'),
        'refusal',
      );
      expect(a.mesh.peers()).toEqual([]);
      expect(b.mesh.peers()).toEqual([]);
    },
  );

  test('a replayed handshake is refused', async () => {
    const a = await start('a');
    const sent: unknown[] = [];
    const first = RawPeer.dial(a.port);
    const send = first.send.bind(first);
    first.send = value => {
      sent.push(value);
      send(value);
    };
    await first.authenticate('b');
    await until(() => isConnected(a, 'b'), 'first link');
    first.socket.destroy();
    await until(() => !isConnected(a, 'b'), 'loss');
    const replay = RawPeer.dial(a.port);
    for (const value of sent) replay.send(value);
    await until(() => replay.isClosed, 'refusal');
    expect(isConnected(a, 'b')).toBe(false);
    expect(causesOf(a)).toContain('peer-unauthenticated');
  });

  test.each<[string, (peer: RawPeer) => void]>([
    ['a message of an unknown kind', peer => peer.send({kind: 'other'})],
    [
      'a message without its required fields',
      peer => peer.send({kind: 'state-reply'}),
    ],
    [
      'a heartbeat of another VM',
      peer =>
        peer.send({
          kind: 'heartbeat',
          vm: 'c',
          zone: 'a',
          seq: 0,
          offset: 0,
          draining: false,
          capacity: 1,
        }),
    ],
    ['garbage', peer => peer.socket.write(Buffer.from([0, 0, 0, 1, 0xff]))],
    ['an oversize frame', peer => peer.socket.write(Buffer.alloc(8, 0xff))],
    ['a truncated frame', peer => peer.socket.end(Buffer.from([0, 0, 1]))],
  ])('%s ends the link with peer-protocol', async (_name, misbehave) => {
    const a = await start('a');
    const peer = RawPeer.dial(a.port);
    await peer.authenticate('b');
    await until(() => isConnected(a, 'b'), 'link');
    misbehave(peer);
    await until(() => peer.isClosed, 'close');
    expect(a.received).toEqual([]);
    expect(causesOf(a)).toEqual(['peer-protocol']);
  });

  test('an unauthenticated peer is closed when it sends a large frame', async () => {
    const a = await start('a');
    const peer = RawPeer.dial(a.port);
    peer.send(Buffer.alloc(8_000));
    await until(() => peer.isClosed, 'close');
    expect(causesOf(a)).toEqual(['peer-protocol']);
  });

  test('a connection is closed when its handshake times out', async () => {
    const a = await start('a');
    const peer = RawPeer.dial(a.port);
    await until(() => peer.isClosed, 'close');
    expect(causesOf(a)).toEqual(['peer-unreachable']);
  });

  // The peer's socket stays open and is read, but sends nothing.
  test('a half-open link is closed after missing heartbeats', async () => {
    const a = await start('a');
    const peer = RawPeer.dial(a.port);
    await peer.authenticate('b');
    await until(() => isConnected(a, 'b'), 'link');
    const startMs = performance.now();
    await until(() => !isConnected(a, 'b'), 'loss');
    expect(performance.now() - startMs).toBeLessThan(20 * HEARTBEAT_MS);
    expect(causesOf(a)).toEqual(['peer-unreachable']);
    expect(a.mesh.peer('b')?.bootId).toBe('b-boot');
  });

  // Guards against a process that resumes after a pause and closes all its
  // links before it reads the heartbeats that arrived during the pause.
  test('a process that resumes after a pause keeps its links', async () => {
    const [a, b] = [await start('a'), await start('b')];
    a.mesh.setPeers([{host: HOST, port: b.port}]);
    await until(() => isConnected(a, 'b') && isConnected(b, 'a'), 'link');
    const endMs = performance.now() + 10 * HEARTBEAT_MS;
    while (performance.now() < endMs);
    await wait(4 * HEARTBEAT_MS);
    expect(causesOf(a)).toEqual([]);
    expect(causesOf(b)).toEqual([]);
  });

  test('a link to a peer that never reads is closed when its buffer is full', async () => {
    const a = await start('a');
    const peer = RawPeer.dial(a.port);
    await peer.authenticate('b');
    await until(() => isConnected(a, 'b'), 'link');
    peer.socket.pause();
    const message: PeerMessage = {
      kind: 'handover',
      server: 's1',
      fence: {term: 1, seq: 1},
      term: null,
      service: 's',
      shards: [],
      attempts: [
        {
          service: 's',
          key: 'k',
          idempotencyKey: 'i',
          ageMs: 0,
          state: {
            kind: 'answered',
            status: 200,
            headers: {},
            body: Buffer.alloc(512 * 1024),
          },
        },
      ],
    };
    let sent = 0;
    // All sends run in one turn of the event loop, so after its first write
    // the socket passes nothing more to the kernel.
    while (sent < 1_000 && a.mesh.send('b', message)) sent += 1;
    expect(sent).toBeGreaterThan(4);
    expect(sent).toBeLessThan(64);
    await until(() => !isConnected(a, 'b'), 'close');
    expect(causesOf(a)).toEqual(['peer-unreachable']);
  });

  test('an unreachable address is retried with exponential backoff', async () => {
    const blocker: Server = createServer().listen(0, HOST);
    await until(() => blocker.listening, 'listen');
    const {port} = blocker.address() as AddressInfo;
    await new Promise(resolve => blocker.close(resolve));
    const a = await start('a');
    a.mesh.setPeers([{host: HOST, port}]);
    await wait(1_500);
    const failures = a.events.length;
    expect(failures).toBeGreaterThanOrEqual(3);
    expect(failures).toBeLessThanOrEqual(6);
    await start('b', {}, port);
    await until(() => isConnected(a, 'b'), 'link');
  });

  test('listen fails with peer-unreachable on a port in use', async () => {
    const a = await start('a');
    await expect(start('b', {}, a.port)).rejects.toThrow('peer-unreachable');
  });
});
