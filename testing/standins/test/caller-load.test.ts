import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {
  BackendServer,
  CallerLoad,
  SLOW_ANSWER_THRESHOLD_MS,
  findViolations,
  sleep,
  type CallerLoadOptions,
} from '@wisteriarun/standins';

const closeFunctions: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of closeFunctions.splice(0).reverse()) await close();
});

/** Handles a request in place of the entry VM; returns whether it did. */
type FaultHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => boolean;

/**
 * Starts an entry VM that forwards requests to one server. The fault handler
 * may take over a request: a GET request before it is forwarded, any other
 * request after the server has answered it.
 */
async function startEntry(port: number, fault: FaultHandler = () => false) {
  const entry = http.createServer((request, response) => {
    const {url, method, headers} = request;
    if (method === 'GET' && fault(request, response)) return;
    const forward = http.request(
      {port, host: '127.0.0.1', path: url, method, headers},
      answer => {
        if (method !== 'GET' && fault(request, response)) {
          answer.resume();
          return;
        }
        response.writeHead(answer.statusCode!, {
          ...answer.headers,
          'wisteriarun-outcome': 'answered',
        });
        answer.pipe(response);
      },
    );
    request.pipe(forward);
  });
  await new Promise<void>(resolve => entry.listen(0, '127.0.0.1', resolve));
  closeFunctions.push(async () => {
    entry.closeAllConnections();
    entry.close();
  });
  return `127.0.0.1:${(entry.address() as AddressInfo).port}`;
}

/** Starts a server that executes requests without a lease. */
async function startServer() {
  const server = new BackendServer({
    id: 's1',
    checksGrants: false,
    slots: 64,
    serviceTimeMs: 1,
  });
  closeFunctions.push(() => server.close());
  return {server, port: (await server.start()).port};
}

const loadOptions = (entries: string[]): CallerLoadOptions => ({
  entries,
  service: 'orders',
  keys: 20,
  uploadService: 'artwork',
  uploadBytes: 200_000,
  mix: {get: 0.5, post: 0.25, put: 0.2, upload: 0.05},
  loop: {kind: 'closed', callerCount: 8, thinkTimeMs: 1},
});

async function runFor(load: CallerLoad, ms: number) {
  load.start();
  await sleep(ms);
  await load.stop();
}

describe('caller load', () => {
  it('records no violation, and gaps only for slow answers, without faults', async () => {
    const {server, port} = await startServer();
    const load = new CallerLoad(loadOptions([await startEntry(port)]));
    await runFor(load, 400);
    const report = load.report();
    expect(report.outcomes.answered).toBe(report.requests);
    expect(report.acknowledgedFilings).toBeGreaterThan(0);
    expect(report.latency.upload.count).toBeGreaterThan(0);
    // A stall of the machine may delay an answer; nothing else causes a gap.
    const slowAttempts = load
      .history()
      .filter(
        ({operation, startMs, endMs}) =>
          operation !== 'upload' && endMs - startMs > SLOW_ANSWER_THRESHOLD_MS,
      );
    expect(report.unavailableKeyMs > 0).toBe(slowAttempts.length > 0);
    expect(
      findViolations({records: server.records(), attempts: load.history()}),
    ).toEqual([]);
  });

  // Guards against a checksum that is computed after the last chunk was sent,
  // when the answer may already have arrived.
  it('reports no checksum error when the answer to an upload immediately follows its last chunk', async () => {
    const {port} = await startServer();
    const load = new CallerLoad({
      ...loadOptions([await startEntry(port)]),
      mix: {get: 0, post: 0, put: 0, upload: 1},
      uploadChunkPauseMs: 20,
    });
    await runFor(load, 300);
    expect(load.report().latency.upload.count).toBeGreaterThan(8);
    expect(load.report().checksumErrors).toBe(0);
  });

  // The server runs both attempts although they have the same idempotency key:
  // only dispatchers remove duplicates, and there is none here.
  it('resends a POST request through another entry, which shows as a double run', async () => {
    const {server, port} = await startServer();
    const faultyEntry = await startEntry(port, (request, response) => {
      if (request.method !== 'POST') return false;
      response.destroy();
      return true;
    });
    const load = new CallerLoad({
      ...loadOptions([faultyEntry, await startEntry(port)]),
      mix: {get: 0, post: 1, put: 0, upload: 0},
    });
    await runFor(load, 200);
    const report = load.report();
    expect(report.outcomes['transport-error']).toBeGreaterThan(0);
    expect(report.resends).toBe(report.outcomes['transport-error']);
    const kinds = findViolations({
      records: server.records(),
      attempts: load.history(),
    }).map(violation => violation.kind);
    expect(new Set(kinds)).toEqual(new Set(['double-run']));
  });

  it('detects an entry that reports not-run for an executed request', async () => {
    const {server, port} = await startServer();
    const misreportingEntry = await startEntry(port, (request, response) => {
      if (request.method === 'GET') return false;
      response.writeHead(503, {'wisteriarun-outcome': 'not-run'}).end();
      return true;
    });
    const load = new CallerLoad(loadOptions([misreportingEntry]));
    await runFor(load, 200);
    const kinds = findViolations({
      records: server.records(),
      attempts: load.history(),
    }).map(violation => violation.kind);
    expect(new Set(kinds)).toEqual(new Set(['not-run-ran']));
  });

  // Guards against gaps that only end with the next request of the load.
  it('probes a failed key to determine its unavailable time', async () => {
    const {port} = await startServer();
    let isDown = true;
    const entry = await startEntry(port, (_, response) => {
      if (!isDown) return false;
      response.writeHead(502, {'wisteriarun-outcome': 'unknown'}).end();
      return true;
    });
    const load = new CallerLoad({
      ...loadOptions([entry]),
      keys: 1,
      mix: {get: 1, post: 0, put: 0, upload: 0},
      // The next request comes so late that only a probe can end the gap.
      loop: {kind: 'closed', callerCount: 1, thinkTimeMs: 60_000},
      probeIntervalMs: 20,
    });
    load.start();
    await sleep(200);
    isDown = false;
    await sleep(200);
    await load.stop();
    expect(load.gaps()).toHaveLength(1);
    expect(load.report().longestGapMs).toBeGreaterThan(150);
    // Less than the whole run of 400 ms, since a probe ended the gap before.
    expect(load.report().longestGapMs).toBeLessThan(390);
    expect(load.gaps()[0]!.closed).toBe(true);
  });

  // Guards against probes that start only when the request ends, here at its
  // timeout.
  it('probes a key whose request has no answer yet', async () => {
    const {port} = await startServer();
    let requestCount = 0;
    // Leaves the first request without an answer.
    const entry = await startEntry(port, () => requestCount++ === 0);
    const load = new CallerLoad({
      ...loadOptions([entry]),
      keys: 1,
      mix: {get: 1, post: 0, put: 0, upload: 0},
      loop: {kind: 'closed', callerCount: 1, thinkTimeMs: 60_000},
      timeoutMs: 1_000,
      maxResends: 0,
      probeIntervalMs: 20,
    });
    await runFor(load, 600);
    expect(load.history().at(-1)!.outcome).toBe('timeout');
    expect(load.gaps()).toHaveLength(1);
    expect(load.gaps()[0]!.closed).toBe(true);
    expect(load.report().longestGapMs).toBeGreaterThan(
      SLOW_ANSWER_THRESHOLD_MS,
    );
    expect(load.report().longestGapMs).toBeLessThan(1_000);
  });

  it('changes the hot key and the rate of an open loop at run time', async () => {
    const {server, port} = await startServer();
    const load = new CallerLoad({
      ...loadOptions([await startEntry(port)]),
      mix: {get: 1, post: 0, put: 0, upload: 0},
      loop: {kind: 'open', ratePerSecond: 50, maxInFlight: 50},
      hotShare: 1,
    });
    load.start();
    await sleep(200);
    load.setHotKey(7);
    load.setRate(400);
    await sleep(300);
    await load.stop();
    const doneCountOf = (key: string) =>
      server
        .records()
        .filter(r => r.kind === 'run' && r.key === key && r.effect === 'done')
        .length;
    expect(doneCountOf('key-0')).toBeGreaterThan(3);
    expect(doneCountOf('key-7')).toBeGreaterThan(2 * doneCountOf('key-0'));
  });
});
