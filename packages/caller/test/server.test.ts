import {once} from 'node:events';
import {request as httpRequest, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {PassThrough, Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {
  CallerServer,
  type CallerAnswer,
  type CallerHandler,
  type CallerRequest,
} from '@wisteriarun/caller';
import {requestFailure} from '@wisteriarun/core';
import {createLogger, StallWatch, SystemClock} from '@wisteriarun/runtime';

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

const answeredWith = (
  body: Readable,
  headers: CallerAnswer['headers'] = {},
): CallerAnswer => ({kind: 'answered', status: 200, headers, body});

async function startServer(handle: CallerHandler['handle']) {
  const seen: CallerRequest[] = [];
  const logger = createLogger({level: 'error', process: 'test', zone: 'a'});
  // `CallerServer` needs it to detect stalls of the event loop.
  const stalls = new StallWatch(new SystemClock(), logger);
  const server = new CallerServer(
    {host: '127.0.0.1', port: 0},
    {
      handle: async request => {
        seen.push(request);
        return handle(request);
      },
    },
    stalls,
  );
  const port = await server.listen();
  closers.push(
    // Not awaited, since one test leaves a request in flight forever.
    () => void server.close(),
    () => stalls.close(),
  );
  return {server, port, seen};
}

function sendRequest(
  port: number,
  path: string,
  options: {method?: string; headers?: Record<string, string>} = {},
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const req = httpRequest(
      {host: '127.0.0.1', port, path, agent: false, ...options},
      resolve,
    );
    req.on('error', reject);
    req.end();
  });
}

/** Sends raw bytes and returns everything received until the close. */
async function sendRaw(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', chunk => (received += chunk));
  socket.on('error', () => {});
  socket.write(text);
  await once(socket, 'close');
  return received;
}

describe('caller port', () => {
  it('parses service, key, idempotency key and timeout, capped at 10 min', async () => {
    const {port, seen} = await startServer(async () =>
      answeredWith(Readable.from([Buffer.from('ok')])),
    );
    const res = await sendRequest(port, '/filing/a%2Fb/page?x=1', {
      headers: {'Request-Timeout-Ms': '900000', 'Idempotency-Key': 'i1'},
    });
    expect(Buffer.concat(await res.toArray()).toString()).toBe('ok');
    expect(res.headers['wisteriarun-outcome']).toBe('answered');
    expect(seen[0]).toMatchObject({
      service: 'filing',
      key: 'a/b',
      path: '/filing/a%2Fb/page?x=1',
      timeoutMs: 600_000,
      idempotencyKey: 'i1',
      lengthBytes: 0,
    });
  });

  it('sends outcome, reason and Retry-After for a failure', async () => {
    const {port} = await startServer(async () =>
      // The wait is in milliseconds; Retry-After is rounded up to seconds.
      requestFailure('queue-full', 2_300),
    );
    const res = await sendRequest(port, '/s/k');
    expect(res.statusCode).toBe(429);
    expect(res.headers).toMatchObject({
      'wisteriarun-outcome': 'not-run',
      'wisteriarun-reason': 'queue-full',
      'retry-after': '3',
    });
  });

  it('reports outcome unknown when the handler throws', async () => {
    const {port} = await startServer(async () => {
      throw new Error('fault');
    });
    const res = await sendRequest(port, '/s/k');
    expect(res.headers['wisteriarun-outcome']).toBe('unknown');
  });

  it.each([
    ['no key', '/s', {}],
    ['empty key', '/s/', {}],
    ['invalid percent escape', '/s/%zz', {}],
    // The limit is 512 bytes.
    ['key too long', `/s/${'k'.repeat(600)}`, {}],
    ['negative timeout', '/s/k', {headers: {'Request-Timeout-Ms': '-1'}}],
    ['unsupported method', '/s/k', {method: 'TRACE'}],
  ])('refuses a malformed request: %s', async (_name, path, options) => {
    const {port, seen} = await startServer(async () =>
      requestFailure('no-owner'),
    );
    const res = await sendRequest(port, path, options);
    expect(res.statusCode).toBe(400);
    expect(res.headers['wisteriarun-reason']).toBe('malformed-request');
    expect(seen).toHaveLength(0);
  });

  it('refuses input that is not HTTP and headers that are too large', async () => {
    const {port, seen} = await startServer(async () =>
      requestFailure('no-owner'),
    );
    const noise = await sendRaw(port, 'noise\r\n\r\n');
    expect(noise).toContain('Wisteriarun-Outcome: not-run');
    const head = `GET /s/k HTTP/1.1\r\nHost: x\r\nA: ${'a'.repeat(20_000)}`;
    expect(await sendRaw(port, `${head}\r\n\r\n`)).toContain('not-run');
    expect(seen).toHaveLength(0);
  });

  it('does not claim not-run for a malformed body of a handled request', async () => {
    const {port, seen} = await startServer(async request => {
      await request.body.toArray().catch(() => {});
      return requestFailure('server-connection-lost');
    });
    const head =
      'POST /s/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n';
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', chunk => (received += chunk));
    socket.on('error', () => {});
    socket.write(`${head}2\r\nab\r\n`);
    await sleep(50);
    expect(seen).toHaveLength(1);
    socket.write('zz\r\n');
    await once(socket, 'close');
    expect(received).not.toContain('not-run');
  });

  it.each([
    ['with a length', {'content-length': '100'}],
    ['chunked', {}],
  ])(
    'closes the connection when the body of an answer fails: %s',
    async (_n, headers) => {
      const {port} = await startServer(async () => {
        const body = new PassThrough();
        body.write('part');
        setTimeout(() => body.destroy(new Error('lost')), 20);
        return answeredWith(body, headers as CallerAnswer['headers']);
      });
      const res = await sendRequest(port, '/s/k');
      await expect(res.toArray()).rejects.toThrow();
      expect(res.complete).toBe(false);
    },
  );

  it('delivers a refusal to a caller that is still uploading', async () => {
    const {port} = await startServer(async () =>
      requestFailure('body-too-large'),
    );
    const sizeBytes = 6 * 1024 * 1024;
    const head = `PUT /s/k HTTP/1.1\r\nHost: x\r\nContent-Length: ${sizeBytes}\r\n`;
    const socket = connect(port, '127.0.0.1');
    // Simple HTTP clients read the answer only after the whole upload.
    socket.pause();
    socket.write(`${head}\r\n`);
    for (let sentBytes = 0; sentBytes < sizeBytes; sentBytes += 64 * 1024) {
      await new Promise<void>((resolve, reject) =>
        socket.write(Buffer.alloc(64 * 1024), error =>
          error ? reject(error) : resolve(),
        ),
      );
    }
    let received = '';
    socket.on('data', chunk => (received += chunk));
    socket.resume();
    await once(socket, 'close');
    expect(received).toContain('413');
  });

  it('aborts the signal of a request whose caller disconnects', async () => {
    const {port, seen} = await startServer(
      () => new Promise<CallerAnswer>(() => {}),
    );
    const req = httpRequest({host: '127.0.0.1', port, path: '/s/k'});
    req.on('error', () => {});
    req.end();
    await sleep(50);
    req.destroy();
    await sleep(50);
    expect(seen[0]?.gone.aborted).toBe(true);
  });

  it('applies backpressure to the body when the caller reads slowly', async () => {
    // Without backpressure, the source would produce all of its 256 MiB.
    let producedBytes = 0;
    const chunk = Buffer.alloc(64 * 1024);
    const source = new Readable({
      read() {
        producedBytes += chunk.length;
        this.push(producedBytes > 256 * 1024 * 1024 ? null : chunk);
      },
    });
    const {port} = await startServer(async () => answeredWith(source));
    const res = await sendRequest(port, '/s/k');
    res.pause();
    await sleep(300);
    expect(producedBytes).toBeLessThan(32 * 1024 * 1024);
    res.destroy();
  });

  it('completes an answer in flight during a graceful shutdown', async () => {
    const body = new PassThrough();
    const {server, port} = await startServer(async () => answeredWith(body));
    body.write('first ');
    const open = await sendRequest(port, '/s/k');
    expect((await sendRequest(port, '/health')).statusCode).toBe(200);
    server.beginShutdown();
    expect((await sendRequest(port, '/health')).statusCode).toBe(503);
    let closed = false;
    const closing = server.close().then(() => (closed = true));
    await sleep(50);
    expect(closed).toBe(false);
    await expect(sendRequest(port, '/s/k')).rejects.toThrow();
    body.end('second');
    expect(Buffer.concat(await open.toArray()).toString()).toBe('first second');
    await closing;
  });
});
