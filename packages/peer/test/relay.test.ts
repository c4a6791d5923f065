import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {PassThrough, Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {requestFailure} from '@wisteriarun/core';
import {
  RelayClient,
  RelayServer,
  type RelayHandler,
  type RelayRequest,
  type RelayResult,
} from '@wisteriarun/peer';

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function start(dispatch: RelayHandler['dispatch'], secret = 'secret') {
  const server = new RelayServer(
    {host: '127.0.0.1', port: 0, secret: 'secret'},
    {dispatch},
  );
  const port = await server.listen();
  closers.push(() => void server.close());
  const client = new RelayClient(secret);
  closers.push(() => client.close());
  return {server, client, address: {host: '127.0.0.1', port}};
}

const request = (overrides: Partial<RelayRequest> = {}): RelayRequest => ({
  id: 'r1',
  method: 'POST',
  path: '/s/k%C3%A9?q',
  headers: {'x-a': 'b'},
  service: 's',
  key: 'ké',
  server: 'srv',
  shard: 3,
  epoch: 9,
  fence: {term: 1, seq: 2},
  idempotencyKey: null,
  remainingMs: 5_000,
  crashCount: 1,
  lengthBytes: 5,
  body: Buffer.from('hello'),
  signal: new AbortController().signal,
  ...overrides,
});

const answeredResult = (body: Readable): RelayResult => ({
  kind: 'answered',
  status: 201,
  headers: {'x-b': 'c'},
  body,
});

async function readBody(body: RelayRequest['body']): Promise<string> {
  if (!(body instanceof Readable)) return String(body);
  return Buffer.concat(await body.toArray()).toString();
}

describe('relay', () => {
  it('transfers the time that the server took', async () => {
    const {client, address} = await start(async () => ({
      ...(answeredResult(Readable.from([])) as Extract<
        RelayResult,
        {kind: 'answered'}
      >),
      serverMs: 12.345,
    }));
    const result = await client.send(address, request());
    expect(result).toMatchObject({kind: 'answered', serverMs: 12.345});
    if (result.kind === 'answered') result.body.resume();
  });

  it('transfers the id, path, route, crash count and body of a request, and its answer or failure', async () => {
    const received: RelayRequest[] = [];
    const bodies: string[] = [];
    let fail = false;
    const {client, address} = await start(async relayed => {
      received.push(relayed);
      bodies.push(await readBody(relayed.body));
      if (fail) {
        const failure = requestFailure('queue-full', 1_234);
        return {kind: 'failed', failure, crashCount: 2};
      }
      return answeredResult(Readable.from([Buffer.from('done')]));
    });
    const first = await client.send(address, request());
    if (first.kind !== 'answered') throw new Error(first.kind);
    expect(first).toMatchObject({status: 201, headers: {'x-b': 'c'}});
    expect(await readBody(first.body)).toBe('done');
    const {id, path, service, key, server, shard, epoch, fence} = request();
    const same = {id, path, service, key, server, shard, epoch, fence};
    expect(received[0]).toMatchObject({...same, crashCount: 1});
    expect(bodies).toEqual(['hello']);
    fail = true;
    expect(await client.send(address, request())).toEqual({
      kind: 'failed',
      failure: requestFailure('queue-full', 1_234),
      crashCount: 2,
    });
  });

  it('does not dispatch without the deployment secret', async () => {
    let calls = 0;
    const {client, address} = await start(async () => {
      calls += 1;
      return answeredResult(Readable.from([]));
    }, 'wrong');
    expect(await client.send(address, request())).toMatchObject({
      failure: {reason: 'dispatcher-unreachable'},
    });
    expect(calls).toBe(0);
  });

  it('does not read a large body before the request is admitted', async () => {
    let readCount = 0;
    const source = new Readable({
      read() {
        readCount += 1;
        this.push(readCount > 20 ? null : Buffer.alloc(10_000));
      },
    });
    const body = Readable.from(source.iterator(), {objectMode: false});
    const {client, address} = await start(async () => ({
      kind: 'failed',
      failure: requestFailure('queue-full'),
      crashCount: 0,
    }));
    const refused = await client.send(
      address,
      request({body, lengthBytes: 200_000}),
    );
    expect(refused).toMatchObject({failure: {reason: 'queue-full'}});
    expect(readCount).toBe(0);
    const accepting = await start(async relayed => {
      await sleep(50);
      expect(readCount).toBe(0);
      relayed.onAdmitted?.();
      const sizeBytes = (await readBody(relayed.body)).length;
      return answeredResult(Readable.from([Buffer.from(String(sizeBytes))]));
    });
    const result = await accepting.client.send(
      accepting.address,
      request({body, lengthBytes: 200_000}),
    );
    if (result.kind !== 'answered') throw new Error(result.failure.reason);
    expect(await readBody(result.body)).toBe('200000');
  });

  it('reports dispatcher-unreachable without a connection, and dispatcher-connection-lost without a resend after a lost one', async () => {
    const {client} = await start(async () => answeredResult(Readable.from([])));
    // Nothing listens on port 1.
    const closedPort = {host: '127.0.0.1', port: 1};
    expect(await client.send(closedPort, request())).toMatchObject({
      failure: {reason: 'dispatcher-unreachable'},
    });
    let requests = 0;
    const sockets: Socket[] = [];
    const closingServer = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', () => {
        requests += 1;
        socket.destroy();
      });
    }).listen(0, '127.0.0.1');
    await once(closingServer, 'listening');
    closers.push(() => closingServer.close());
    const {port} = closingServer.address() as AddressInfo;
    const lost = await client.send({host: '127.0.0.1', port}, request());
    expect(lost).toMatchObject({
      failure: {reason: 'dispatcher-connection-lost'},
    });
    expect(requests).toBe(1);
  });

  it('ends an answer with an error when it fails at the dispatcher', async () => {
    const {client, address} = await start(async () => {
      const body = new PassThrough();
      body.write('part');
      setTimeout(() => body.destroy(new Error('lost')), 20);
      return answeredResult(body);
    });
    const result = await client.send(address, request());
    if (result.kind !== 'answered') throw new Error(result.kind);
    await expect(result.body.toArray()).rejects.toThrow();
  });

  it('cancels the request at the dispatcher when the caller aborts', async () => {
    const callerGone = new AbortController();
    let cancelled = false;
    const {client, address} = await start(relayed => {
      setTimeout(() => callerGone.abort(), 20);
      return new Promise(resolve =>
        relayed.signal.addEventListener('abort', () => {
          cancelled = true;
          const failure = requestFailure('caller-gone');
          resolve({kind: 'failed', failure, crashCount: 0});
        }),
      );
    });
    const result = await client.send(
      address,
      request({signal: callerGone.signal}),
    );
    expect(result).toMatchObject({
      failure: {reason: 'dispatcher-connection-lost'},
    });
    await sleep(50);
    expect(cancelled).toBe(true);
  });

  it('fails with answer-timeout when the dispatcher never answers', async () => {
    const {client, address} = await start(() => new Promise(() => {}));
    const result = await client.send(address, request({remainingMs: 50}));
    expect(result).toMatchObject({failure: {reason: 'answer-timeout'}});
  });

  it('matches concurrent answers to their requests', async () => {
    const {client, address} = await start(async relayed => {
      await sleep(Math.random() * 20);
      return answeredResult(Readable.from([Buffer.from(relayed.id)]));
    });
    const ids = Array.from({length: 60}, (_, i) => `r${i}`);
    const answers = await Promise.all(
      ids.map(async id => {
        const result = await client.send(address, request({id}));
        return result.kind === 'answered' ? readBody(result.body) : '';
      }),
    );
    expect(answers).toEqual(ids);
  });
});
