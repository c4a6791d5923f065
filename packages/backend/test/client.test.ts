import {once} from 'node:events';
import {createServer, type Server as HttpServer} from 'node:http';
import {
  createServer as createTcpServer,
  type AddressInfo,
  type Server as TcpServer,
  type Socket,
} from 'node:net';
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {BackendClient, type BackendRequest} from '@wisteriarun/backend';
import {HEADERS} from '@wisteriarun/core';

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function listenOnFreePort(
  server: HttpServer | TcpServer,
): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(() => {
    if ('closeAllConnections' in server) server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

function createClient(port: number, connections = 4): BackendClient {
  const server = {id: 'srv', host: '127.0.0.1', port, connections};
  const client = new BackendClient(server);
  closers.push(() => client.close());
  return client;
}

const backendRequest = (
  overrides: Partial<BackendRequest> = {},
): BackendRequest => ({
  id: 'r1',
  method: 'POST',
  path: '/s/k',
  headers: {},
  service: 's',
  shard: 7,
  epoch: 12,
  fence: {term: 3, seq: 4},
  remainingMs: 5_000,
  body: Buffer.from('hello'),
  signal: new AbortController().signal,
  ...overrides,
});

/** TCP server that calls a function on the first data of each connection. */
async function startTcpServer(onFirstData: (socket: Socket) => void) {
  const state = {requests: 0};
  const sockets = new Set<Socket>();
  const server = createTcpServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      state.requests += 1;
      onFirstData(socket);
    });
  });
  const port = await listenOnFreePort(server);
  closers.push(() => sockets.forEach(socket => socket.destroy()));
  return {port, state};
}

describe('results of requests to a server', () => {
  it('reports not-run when the connection is refused', async () => {
    const server = createTcpServer();
    const port = await listenOnFreePort(server);
    server.close();
    const result = await createClient(port).send(backendRequest());
    expect(result).toMatchObject({
      kind: 'not-run',
      reason: 'server-unreachable',
    });
  });

  it.each([
    ['by a reset before the answer', (s: Socket) => s.resetAndDestroy()],
    ['by a clean close before the answer', (s: Socket) => s.end()],
    [
      'in the middle of the headers',
      (s: Socket) => s.end('HTTP/1.1 200 OK\r\nContent-'),
    ],
  ])(
    'reports unknown and sends nothing again when the connection is lost %s',
    async (_name, act) => {
      const {port, state} = await startTcpServer(act);
      for (const method of ['POST', 'GET']) {
        state.requests = 0;
        const body = method === 'GET' ? null : Buffer.from('x');
        const result = await createClient(port).send(
          backendRequest({method, body}),
        );
        expect(result).toMatchObject({kind: 'unknown', isConnectionLost: true});
        await sleep(30);
        expect(state.requests).toBe(1);
      }
    },
  );

  it('fails the answer body when the server closes in the middle', async () => {
    const {port} = await startTcpServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345');
      setTimeout(() => socket.destroy(), 20);
    });
    const result = await createClient(port).send(backendRequest());
    if (result.kind !== 'answered') throw new Error(result.kind);
    await expect(result.body.toArray()).rejects.toThrow();
  });

  it('accepts a refusal only with both its status and its header', async () => {
    let status = 421;
    let headers: Record<string, string> = {};
    const server = createServer((req, res) => {
      req.resume();
      res.writeHead(status, headers).end('refused');
    });
    const client = createClient(await listenOnFreePort(server));
    headers = {[HEADERS.outcome]: 'not-run', [HEADERS.reason]: 'stale-epoch'};
    expect(await client.send(backendRequest())).toMatchObject({
      kind: 'not-run',
      reason: 'stale-epoch',
    });
    status = 503;
    headers = {[HEADERS.outcome]: 'not-run', [HEADERS.reason]: 'server-shed'};
    expect(await client.send(backendRequest())).toMatchObject({
      kind: 'not-run',
      reason: 'server-shed',
    });
    headers = {};
    expect(await client.send(backendRequest())).toMatchObject({
      kind: 'answered',
    });
    status = 200;
    headers = {[HEADERS.outcome]: 'not-run'};
    expect(await client.send(backendRequest())).toMatchObject({
      kind: 'answered',
    });
  });

  it('writes nothing when beforeWrite returns a reason', async () => {
    const {port, state} = await startTcpServer(socket => socket.destroy());
    const client = createClient(port);
    const result = await client.send(
      backendRequest({beforeWrite: () => 'no-permission'}),
    );
    expect(result).toMatchObject({kind: 'not-run', reason: 'no-permission'});
    await sleep(30);
    expect(state.requests).toBe(0);
  });

  it('does not destroy the body of a request that was not written', async () => {
    const body = new Readable({read() {}});
    const result = await createClient(1).send(backendRequest({body}));
    expect(result.kind).toBe('not-run');
    expect(body.destroyed).toBe(false);
  });

  it('reports unknown at the deadline and closes the connection', async () => {
    let closed = false;
    const {port} = await startTcpServer(socket =>
      socket.once('close', () => (closed = true)),
    );
    const result = await createClient(port).send(
      backendRequest({remainingMs: 50}),
    );
    expect(result).toMatchObject({
      kind: 'unknown',
      reason: 'answer-timeout',
      isConnectionLost: false,
    });
    await sleep(30);
    expect(closed).toBe(true);
  });

  // Guards against a request that keeps running at the server after its caller
  // has gone.
  it('reports unknown and closes the connection on an abort', async () => {
    const gone = new AbortController();
    let closed = false;
    const {port} = await startTcpServer(socket => {
      socket.once('close', () => (closed = true));
      gone.abort();
    });
    const result = await createClient(port).send(
      backendRequest({signal: gone.signal}),
    );
    expect(result).toMatchObject({kind: 'unknown', isConnectionLost: false});
    await sleep(30);
    expect(closed).toBe(true);
  });

  // Some servers notice a closed connection only when they write the answer.
  it('calls the cancel path when a written request is aborted', async () => {
    const calls: string[] = [];
    const server = createServer((req, res) => {
      calls.push(`${req.method} ${req.url}`);
      if (req.method === 'DELETE') res.end();
      else if (req.url === '/s/head') res.write('part');
    });
    const client = createClient(await listenOnFreePort(server));
    for (const path of ['/s/wait', '/s/head']) {
      const gone = new AbortController();
      const id = `r${path}`;
      const sent = client.send(backendRequest({id, path, signal: gone.signal}));
      await sleep(50);
      gone.abort();
      const result = await sent;
      if (result.kind === 'answered') result.body.on('error', () => {});
    }
    const unwritten = new AbortController();
    const {signal} = unwritten;
    const beforeWrite = () => 'no-permission' as const;
    const sent = client.send(
      backendRequest({id: 'unwritten', signal, beforeWrite}),
    );
    unwritten.abort();
    await sent;
    await sleep(50);
    const cancels = ['wait', 'head'].map(
      name => `DELETE /wisteriarun/requests/r%2Fs%2F${name}`,
    );
    expect(calls.filter(call => call.startsWith('DELETE'))).toEqual(cancels);
  });

  // Guards against a burst of calls to a server when many requests are aborted at
  // once.
  it('skips cancel calls while 32 (MAX_CANCELS) are in flight', async () => {
    let cancels = 0;
    const server = createServer((req, res) => {
      if (req.method !== 'DELETE') return;
      cancels += 1;
      setTimeout(() => res.end(), 2);
    });
    const client = createClient(await listenOnFreePort(server), 40);
    const gone = new AbortController();
    const sent = Array.from({length: 40}, (_, i) =>
      client.send(backendRequest({id: `r${i}`, signal: gone.signal})),
    );
    await sleep(100);
    gone.abort();
    await Promise.all(sent);
    await sleep(400);
    expect(cancels).toBe(32);
  });

  it('sends its own routing headers in place of forged ones, and removes those of the answer', async () => {
    let seen: Record<string, unknown> = {};
    let content = '';
    const server = createServer(async (req, res) => {
      seen = req.headers;
      for await (const chunk of req) content += chunk;
      res.writeHead(201, {'x-a': 'b', [HEADERS.fence]: '1.1'}).end('done');
    });
    const client = createClient(await listenOnFreePort(server));
    const headers = {[HEADERS.fence]: '99.99', 'x-keep': 'y'};
    const result = await client.send(
      backendRequest({headers, body: Readable.from([Buffer.from('ab')])}),
    );
    if (result.kind !== 'answered') throw new Error(result.kind);
    expect(result.headers['x-a']).toBe('b');
    expect(result.headers[HEADERS.fence]).toBeUndefined();
    expect(Buffer.concat(await result.body.toArray()).toString()).toBe('done');
    expect(content).toBe('ab');
    expect(seen).toMatchObject({
      [HEADERS.service]: 's',
      [HEADERS.shard]: '7',
      [HEADERS.epoch]: '12',
      [HEADERS.fence]: '3.4',
      [HEADERS.requestId]: 'r1',
      'x-keep': 'y',
    });
  });
});

describe('lease and status calls', () => {
  const status = {
    bootId: 'b',
    clockMs: 5,
    term: 2,
    fence: null,
    dispatcher: null,
    grantsSeq: null,
    busy: [],
    inFlight: 0,
    load: 0,
    draining: false,
  };
  const lease = {
    zone: 'z',
    term: 2,
    fence: {term: 2, seq: 1},
    dispatcher: 'vm',
    expiresAtMs: 9,
    grants: [],
    grantsSeq: null,
    bootId: 'boot',
    seq: 1,
  };

  it('returns the status, lease-refused with the term, or server-unreachable', async () => {
    let code = 200;
    const server = createServer((req, res) => {
      req.resume();
      res.writeHead(code).end(JSON.stringify({...status, term: 8}));
    });
    const client = createClient(await listenOnFreePort(server));
    expect((await client.status()).unwrapOr(null)).toMatchObject({term: 8});
    expect((await client.lease(lease)).isOk).toBe(true);
    code = 409;
    expect(await client.lease(lease)).toMatchObject({
      error: {kind: 'lease-refused', term: 8},
    });
    code = 500;
    expect(await client.status()).toMatchObject({
      error: {kind: 'server-unreachable'},
    });
  });

  it('reports server-unreachable when a server does not answer in 500 ms', async () => {
    const {port} = await startTcpServer(() => {});
    const startMs = performance.now();
    const result = await createClient(port).lease(lease);
    expect(result).toMatchObject({error: {kind: 'server-unreachable'}});
    expect(performance.now() - startMs).toBeLessThan(1_000);
  });
});
