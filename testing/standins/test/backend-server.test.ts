import * as http from 'node:http';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {request as sendOnce} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {
  BackendServer,
  MemoryKeyStore,
  readRecordFile,
  sleep,
  type Address,
  type BackendServerOptions,
  type RunRecord,
} from '@wisteriarun/standins';

const openServers: BackendServer[] = [];

async function startServer(options: Partial<BackendServerOptions> = {}) {
  const server = new BackendServer({id: 's1', serviceTimeMs: 1, ...options});
  openServers.push(server);
  return {server, url: urlOf(await server.start())};
}

const urlOf = ({host, port}: Address) => `http://${host}:${port}`;

let lastSeq = 0;

/** Grants shard 3 of `orders` at epoch 10, with changes to the lease call. */
async function sendLease(url: string, change: Record<string, unknown> = {}) {
  const status = (await (await fetch(`${url}/wisteriarun/status`)).json()) as {
    bootId: string;
    clockMs: number;
  };
  return fetch(`${url}/wisteriarun/lease`, {
    method: 'PUT',
    body: JSON.stringify({
      zone: 'a',
      term: 5,
      fence: {term: 5, seq: 1},
      dispatcher: 'e1',
      expiresAtMs: status.clockMs + 1_200,
      grants: [{service: 'orders', shard: 3, epoch: 10}],
      bootId: status.bootId,
      seq: ++lastSeq,
      ...change,
    }),
  });
}

/** Routing headers that match the lease that `sendLease` grants. */
const OWNED_SHARD_HEADERS = {
  'wisteriarun-service': 'orders',
  'wisteriarun-shard': '3',
  'wisteriarun-epoch': '10',
  'wisteriarun-fence': '5.1',
};

const send = (url: string, init: RequestInit = {}) =>
  fetch(`${url}/orders/k`, {
    ...init,
    headers: {
      ...OWNED_SHARD_HEADERS,
      ...(init.headers as Record<string, string>),
    },
  });

/** Effects of the server's run records, in the order of the records. */
const recordedEffects = (server: BackendServer) =>
  server
    .records()
    .filter((record): record is RunRecord => record.kind === 'run')
    .map(record => record.effect);

afterEach(async () => {
  await Promise.all(openServers.splice(0).map(server => server.close()));
});

describe('backend server: lease', () => {
  it('refuses a lease of an older term and answers with its own term', async () => {
    const {url} = await startServer();
    expect((await sendLease(url)).status).toBe(200);
    const refused = await sendLease(url, {term: 4});
    expect(refused.status).toBe(409);
    expect(await refused.json()).toMatchObject({term: 5});
  });

  // A renewal without grants must not change the grants of the server, also
  // when calls are lost, delayed or duplicated, or after a crash.
  it('accepts a renewal only if it holds the grants that the renewal names', async () => {
    const {server, url} = await startServer();
    const renew = async (change: Record<string, unknown>) => {
      const response = await sendLease(url, {grants: null, ...change});
      return response.status;
    };
    expect(await renew({seq: 1, grantsSeq: 1})).toBe(409);
    expect((await sendLease(url, {seq: 2})).status).toBe(200);
    expect(await renew({seq: 3, grantsSeq: 2})).toBe(200);
    expect(server.status().grantsSeq).toBe(2);
    expect((await send(url)).status).toBe(200);
    expect(await renew({term: 6, seq: 4, grantsSeq: 2})).toBe(409);
    expect(server.status().term).toBe(5);
    expect((await sendLease(url, {seq: 5, grants: []})).status).toBe(200);
    expect(await renew({seq: 4, grantsSeq: 2})).toBe(409);
    expect(await renew({seq: 6, grantsSeq: 2})).toBe(409);
    expect(await renew({seq: 7, grantsSeq: 5})).toBe(200);
    const answerWithoutGrant = await sendOnce(`${url}/orders/k`, {
      headers: OWNED_SHARD_HEADERS,
    });
    expect(answerWithoutGrant.statusCode).toBe(421);
    server.crash();
    // The client detects that its connection is closed only when it uses it.
    await fetch(url).catch(() => null);
    expect(await renew({seq: 8, grantsSeq: 5})).toBe(409);
  });

  it.each([
    ['stale epoch', {}, {'wisteriarun-epoch': '9'}, 421, 'stale-epoch'],
    ['other shard', {}, {'wisteriarun-shard': '4'}, 421, 'stale-epoch'],
    ['stale fence', {}, {'wisteriarun-fence': '5.0'}, 421, 'stale-fence'],
    ['expired lease', {expiresAtMs: 0}, {}, 503, 'lease-expired'],
  ])(
    'refuses a request before its start: %s',
    async (_, leaseChange, headers, status, reason) => {
      const {server, url} = await startServer();
      await sendLease(url, leaseChange);
      // `fetch` retries a request that was answered with 421, so undici is used.
      const response = await sendOnce(`${url}/orders/k`, {
        headers: {...OWNED_SHARD_HEADERS, ...headers},
      });
      expect(response.statusCode).toBe(status);
      expect(response.headers['wisteriarun-outcome']).toBe('not-run');
      expect(response.headers['wisteriarun-reason']).toBe(reason);
      expect(recordedEffects(server)).toEqual(['refused']);
    },
  );

  it('refuses the effect when the lease expires while the request runs', async () => {
    const {server, url} = await startServer({
      serviceTimeMs: 800,
      serviceTimeShape: 'fixed',
    });
    await sendLease(url, {expiresAtMs: server.clockMs() + 500});
    const response = await send(url, {method: 'POST'});
    // The request was started, so it must not be reported as `not-run`.
    expect(response.headers.get('wisteriarun-outcome')).toBe('unknown');
    expect(recordedEffects(server)).toEqual(['started', 'refused']);
  });

  // Guards against long requests that fail at a planned change of dispatcher,
  // which brings a new fence, and against an effect after the shard has moved.
  it.each([
    ['new fence', {fence: {term: 5, seq: 2}}, 200, 'done'],
    ['shard withdrawn', {grants: []}, 502, 'refused'],
    [
      'new epoch',
      {grants: [{service: 'orders', shard: 3, epoch: 11}]},
      502,
      'refused',
    ],
  ])(
    'checks ownership but not the fence before the effect: %s',
    async (_, change, status, effect) => {
      const {server, url} = await startServer({
        serviceTimeMs: 100,
        serviceTimeShape: 'fixed',
      });
      await sendLease(url);
      const pendingAnswer = send(url, {method: 'PUT', body: 'v1'});
      await sleep(40);
      await sendLease(url, change);
      expect((await pendingAnswer).status).toBe(status);
      expect(recordedEffects(server)).toEqual(['started', effect]);
    },
  );

  it('refuses a request that waits for a slot when the fence changes', async () => {
    const {server, url} = await startServer({
      slots: 1,
      extraRequests: 1,
      serviceTimeMs: 100,
      serviceTimeShape: 'fixed',
    });
    await sendLease(url);
    const first = send(url);
    await sleep(20);
    const second = sendOnce(`${url}/orders/k`, {headers: OWNED_SHARD_HEADERS});
    await sleep(20);
    await sendLease(url, {fence: {term: 5, seq: 2}});
    expect((await first).status).toBe(200);
    const {headers} = await second;
    expect(headers['wisteriarun-outcome']).toBe('not-run');
    expect(headers['wisteriarun-reason']).toBe('stale-fence');
    expect(recordedEffects(server)).toEqual(['started', 'done', 'refused']);
  });

  it('measures the expiry of the lease on its own clock with offset and drift', async () => {
    const {server, url} = await startServer({
      clockOffsetMs: -1e9,
      clockDriftRatio: 0.01,
    });
    expect(server.clockMs()).toBeLessThan(0);
    await sendLease(url);
    expect((await send(url)).status).toBe(200);
  });

  it('executes requests without a lease when checks are off', async () => {
    const {url} = await startServer({checksGrants: false});
    expect((await send(url)).status).toBe(200);
  });
});

describe('backend server: requests', () => {
  it('refuses requests beyond its slots and while draining', async () => {
    const {server, url} = await startServer({
      slots: 1,
      serviceTimeMs: 100,
      serviceTimeShape: 'fixed',
    });
    await sendLease(url);
    const first = send(url);
    await sleep(40);
    expect(server.status()).toMatchObject({
      inFlight: 1,
      busy: [{service: 'orders', shard: 3}],
    });
    const shed = await send(url);
    expect(shed.status).toBe(503);
    expect(shed.headers.get('wisteriarun-reason')).toBe('server-shed');
    server.setBehavior({draining: true});
    expect((await first).status).toBe(200);
    const drained = await send(url);
    expect(drained.headers.get('wisteriarun-reason')).toBe('server-draining');
  });

  it('queues extra requests until a slot is free', async () => {
    const {server, url} = await startServer({slots: 1, extraRequests: 1});
    await sendLease(url);
    const answers = await Promise.all([send(url), send(url)]);
    expect(answers.map(answer => answer.status)).toEqual([200, 200]);
    expect(recordedEffects(server)).toEqual([
      'started',
      'done',
      'started',
      'done',
    ]);
  });

  it('keeps the newest version of a value across a crash', async () => {
    const store = new MemoryKeyStore();
    const {server, url} = await startServer({store});
    await sendLease(url);
    await send(url, {method: 'PUT', body: 'v2\n'});
    await send(url, {method: 'PUT', body: 'v1\n'});
    expect(await (await send(url)).text()).toBe('v2\n');
    server.crash();
    // Gives the client time to detect that its idle connections are closed.
    await sleep(20);
    await sendLease(url);
    expect(await (await send(url)).text()).toBe('v2\n');
  });

  it('counts and hashes a body that is too large to keep', async () => {
    const {url} = await startServer();
    await sendLease(url);
    const put = await send(url, {method: 'PUT', body: 'x'.repeat(100_000)});
    const answer = (await put.json()) as {sizeBytes: number; sha256: string};
    expect(answer.sizeBytes).toBe(100_000);
    expect(await (await send(url)).json()).toEqual({
      sizeBytes: 100_000,
      sha256: answer.sha256,
    });
  });

  it.each(['closed connection', 'DELETE', 'deadline'])(
    'cancels a running request before its effect: %s',
    async cause => {
      const {server, url} = await startServer({
        serviceTimeMs: 5_000,
        serviceTimeShape: 'fixed',
      });
      await sendLease(url, {expiresAtMs: server.clockMs() + 60_000});
      const abort = new AbortController();
      const answer = send(url, {
        method: 'POST',
        signal: abort.signal,
        headers: {
          'wisteriarun-request-id': 'r1',
          ...(cause === 'deadline' ? {'wisteriarun-deadline-ms': '60'} : {}),
        },
      }).catch(() => null);
      await sleep(40);
      if (cause === 'closed connection') abort.abort();
      if (cause === 'DELETE') {
        await fetch(`${url}/wisteriarun/requests/r1`, {method: 'DELETE'});
      }
      const response = await answer;
      await sleep(40);
      expect(response?.headers.get('wisteriarun-outcome') ?? null).toBe(
        cause === 'closed connection' ? null : 'unknown',
      );
      expect(recordedEffects(server)).toEqual(['started', 'cancelled']);
      expect(server.status().inFlight).toBe(0);
    },
  );

  it('loses its lease and all requests in a crash', async () => {
    const {server, url} = await startServer({
      serviceTimeMs: 500,
      serviceTimeShape: 'fixed',
    });
    await sendLease(url);
    const {bootId} = server.status();
    const otherRequest = send(url).catch(() => 'lost');
    await sleep(20);
    const crashingRequest = send(url, {headers: {'x-standin-crash': '1'}});
    await expect(crashingRequest).rejects.toThrow();
    expect(await otherRequest).toBe('lost');
    expect(server.status()).toMatchObject({term: 0, inFlight: 0});
    expect(server.status().bootId).not.toBe(bootId);
    expect(recordedEffects(server)).toEqual(['started', 'started']);
  });

  it('sends 100 Continue only for a request that it executes', async () => {
    const {url} = await startServer();
    const answers = async () => {
      const request = http.request(`${url}/orders/k`, {
        method: 'PUT',
        headers: {
          ...OWNED_SHARD_HEADERS,
          expect: '100-continue',
          'content-length': 3,
        },
      });
      request.flushHeaders();
      let hasContinued = false;
      request.on('continue', () => {
        hasContinued = true;
        request.end('v1\n');
      });
      request.on('error', () => {});
      const [response] = (await once(request, 'response')) as [
        http.IncomingMessage,
      ];
      response.resume();
      return {continued: hasContinued, status: response.statusCode};
    };
    expect(await answers()).toEqual({
      continued: false,
      status: 503,
    });
    await sendLease(url);
    expect(await answers()).toEqual({
      continued: true,
      status: 200,
    });
  });

  it('reports a configured load and slows down cold requests', async () => {
    const {server, url} = await startServer({
      reportedLoad: 0.01,
      serviceTimeMs: 10,
      serviceTimeShape: 'fixed',
      coldRequests: 1,
      coldFactor: 10,
    });
    await sendLease(url);
    const timeRequestMs = async () => {
      const startMs = performance.now();
      await send(url);
      return performance.now() - startMs;
    };
    expect(await timeRequestMs()).toBeGreaterThan(90);
    expect(await timeRequestMs()).toBeLessThan(90);
    expect(server.status().load).toBe(0.01);
  });
});

describe('backend server: process', () => {
  it('keeps its record file when a request with the crash header kills it', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'wisteriarun-test-'));
    const recordFile = join(directory, 'records');
    const main = fileURLToPath(
      new URL('../dist/backend-server-main.js', import.meta.url),
    );
    const child = spawn(
      process.execPath,
      [main, '--id', 's1', '--no-checks', '--record-file', recordFile],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    try {
      const [line] = (await once(child.stdout, 'data')) as [Buffer];
      const match = /^ready host=(\S+) port=(\d+)\n$/.exec(line.toString())!;
      const url = `http://${match[1]}:${match[2]}`;
      expect((await send(url, {method: 'POST'})).status).toBe(201);
      const exit = once(child, 'exit');
      await expect(
        send(url, {headers: {'x-standin-crash': '1'}}),
      ).rejects.toThrow();
      expect((await exit)[1]).toBe('SIGKILL');
      const runs = readRecordFile(recordFile) as RunRecord[];
      expect(runs.map(run => run.effect)).toEqual([
        'started',
        'done',
        'started',
      ]);
    } finally {
      child.kill('SIGKILL');
      rmSync(directory, {recursive: true});
    }
  });
});
