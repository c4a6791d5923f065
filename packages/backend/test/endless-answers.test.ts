import {BackendClient} from '@wisteriarun/backend';
import {
  FixedAnswerServer,
  EndlessAnswerServer,
  ENDLESS_ANSWERS,
  stallEventLoopBeforeTimers,
} from '@wisteriarun/standins';
import type {EndlessAnswerKind} from '@wisteriarun/standins';
import {afterEach, describe, expect, it, vi} from 'vitest';

/** Timeout of status calls, plus time to process events pending at its end. */
const MAX_STATUS_CALL_MS = 500 + 300;
/** Far less than an endless answer sends within the timeout. */
const MAX_GROWTH_BYTES = 48 * 1_048_576;
const ENDLESS_ANSWER_KINDS = Object.keys(
  ENDLESS_ANSWERS,
) as EndlessAnswerKind[];

function createClient(address: string): BackendClient {
  const [host = '', port] = address.split(':');
  const server = {id: 'srv', host, port: Number(port), connections: 2};
  return new BackendClient(server);
}

describe('a server that sends endless data', () => {
  let server: EndlessAnswerServer;
  let client: BackendClient;

  afterEach(async () => {
    await client.close();
    server.close();
  });

  it.each(ENDLESS_ANSWER_KINDS)(
    'does not delay a status call past its timeout or use up memory: %s',
    async kind => {
      server = await EndlessAnswerServer.start(kind);
      client = createClient(server.address);
      const {arrayBuffers, heapUsed} = process.memoryUsage();
      const startedAtMs = performance.now();
      const status = await client.status();
      const tookMs = performance.now() - startedAtMs;
      const after = process.memoryUsage();
      expect(tookMs).toBeLessThan(MAX_STATUS_CALL_MS);
      expect(
        after.arrayBuffers + after.heapUsed - arrayBuffers - heapUsed,
      ).toBeLessThan(MAX_GROWTH_BYTES);
      expect(status.isErr).toBe(true);
      await vi.waitFor(() => expect(server.connectionCount).toBe(0));
    },
  );

  it('does not keep open the connection of an endless refusal', async () => {
    server = await EndlessAnswerServer.start('the body of a refusal');
    client = createClient(server.address);
    const result = await client.send({
      id: 'r1',
      method: 'GET',
      path: '/s/k',
      headers: {},
      service: 's',
      shard: 7,
      epoch: 12,
      fence: {term: 3, seq: 4},
      remainingMs: 400,
      body: null,
      signal: new AbortController().signal,
    });
    expect(result.kind).toBe('not-run');
    await vi.waitFor(() => expect(server.connectionCount).toBe(0));
  });
});

// Timers run before pending reads. After a stall the timeout would otherwise
// fire before the status is read, although it arrived in time.
it('reads a status that arrived while the event loop was blocked', async () => {
  const body = {
    bootId: 'b',
    clockMs: 1,
    term: 0,
    fence: null,
    dispatcher: null,
    busy: [],
    inFlight: 0,
    load: 0,
    draining: false,
  };
  const server = await FixedAnswerServer.start(20, JSON.stringify(body));
  const client = createClient(server.address);
  await client.status();
  const call = client.status();
  await new Promise(resolve => setTimeout(resolve, 10));
  await stallEventLoopBeforeTimers(MAX_STATUS_CALL_MS);
  const status = await call;
  await client.close();
  server.close();
  expect(status.isErr ? status.error : null).toBeNull();
});
