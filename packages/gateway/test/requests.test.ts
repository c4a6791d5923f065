import type {AnswerFault, PlatformBackendServer} from '@wisteriarun/standins';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {GatewayHarness} from './harness.js';

const KEY = 1_234;

describe('requests through a gateway', () => {
  const harness = new GatewayHarness();
  let server: PlatformBackendServer;

  beforeAll(async () => {
    await harness.start();
    server = await harness.addServer('records', {id: 'i-1'});
    await harness.addServer('audio', {id: 'i-2', checksKeys: false});
    await harness.addGateway('vm-1');
  });

  afterEach(async () => {
    server.answerFault = 'none';
    // A server that closes connections at once counts as full for a moment.
    await harness.until(async () => {
      const {status} = await harness.call('GET', '/read/probe', {key: KEY});
      return status === 200;
    });
  });

  afterAll(() => harness.close());

  it('are answered by the owner of the key, with its signature', async () => {
    const answer = await harness.call('POST', '/file/x', {
      id: 'f-1',
      key: KEY,
      body: 'a filing',
    });
    expect(answer.status).toBe(200);
    expect(answer.body).toBe('answer of i-1');
    expect(answer.headers['response-signature']).toBe('i-1.f-1');
    const run = server.executedRequests.find(({id}) => id === 'f-1');
    expect(run).toMatchObject({key: KEY, body: 'a filing'});
    // The deadline sent to the server must not exceed the time left.
    expect(run!.deadlineMs).toBeLessThanOrEqual(500);
  });

  // Faults of a server's answer, and the status that the caller must get for a
  // request that must not be repeated (filing) and one that may be (read).
  const answerFaults: {fault: AnswerFault; filing: number; read: number}[] = [
    {fault: 'reset', filing: 502, read: 502},
    {fault: 'truncated', filing: 502, read: 502},
    {fault: 'unframed-reset', filing: 502, read: 502},
    {fault: 'chunked-end', filing: 502, read: 502},
    {fault: 'garbage', filing: 502, read: 502},
    {fault: 'wrong-id', filing: 502, read: 502},
    {fault: 'unsigned', filing: 502, read: 502},
    {fault: 'unproven-503', filing: 502, read: 502},
    {fault: 'encoded', filing: 502, read: 502},
    {fault: 'silent', filing: 504, read: 504},
    {fault: 'signed-500', filing: 500, read: 500},
  ];
  it.each(answerFaults)(
    'that may have run are not reported as not run, and run once: $fault',
    async ({fault, filing}) => {
      server.answerFault = fault;
      const id = `file-${fault}`;
      const answer = await harness.call('POST', '/file/x', {id, key: KEY});
      expect(answer.status).toBe(filing);
      expect(server.executedRequests.filter(run => run.id === id)).toHaveLength(
        1,
      );
    },
  );

  it.each(answerFaults)(
    'that may be repeated are sent at most twice: $fault',
    async ({fault, read}) => {
      server.answerFault = fault;
      const id = `read-${fault}`;
      const answer = await harness.call('GET', '/read/x', {id, key: KEY});
      expect(answer.status).toBe(read);
      const runs = server.executedRequests.filter(run => run.id === id);
      expect(runs.length).toBeLessThanOrEqual(2);
    },
  );

  it('get an answer delimited by the connection if the server sends no length', async () => {
    server.answerFault = 'unframed-end';
    const answer = await harness.call('GET', '/read/x', {key: KEY});
    expect(answer.status).toBe(200);
    expect(answer.body).toBe('half');
    expect(answer.headers['content-length']).toBeUndefined();
    expect(answer.headers['transfer-encoding']).toBeUndefined();
    expect(answer.headers['connection']).toBe('close');
  });

  it('that may be repeated are answered although one answer is lost', async () => {
    server.answerFault = 'reset';
    setTimeout(() => (server.answerFault = 'none'), 2);
    const answers = await Promise.all(
      Array.from({length: 3}, () => harness.call('GET', '/read/x', {key: KEY})),
    );
    expect(answers.filter(({status}) => status === 200).length).toBeGreaterThan(
      0,
    );
  });

  it.each([
    ['no route for the path', '/none/x', KEY, 404],
    ['no key', '/read/x', undefined, 400],
    ['a key that is not a number', '/read/x', 'abc', 400],
    ['a key beyond the last', '/read/x', 65_536, 400],
  ])('are rejected with %s', async (_, path, key, status) => {
    const answer = await harness.call('GET', path, {
      ...(key === undefined ? {} : {key}),
    });
    expect(answer.status).toBe(status);
  });

  it('with a large upload reach the server with their whole body', async () => {
    const body = 'x'.repeat(1_500_000);
    const id = 'up-1';
    const answer = await harness.call('POST', '/audio/x', {
      id,
      body,
      deadlineMs: 3_000,
    });
    expect(answer.status).toBe(200);
    const audio = harness.servers[1]!.server;
    expect(audio.executedRequests.find(run => run.id === id)?.body.length).toBe(
      body.length,
    );
  });

  it('are rejected when the body exceeds the limit', async () => {
    const answer = await harness.call('POST', '/audio/x', {
      body: 'x'.repeat(2_000_001),
    });
    expect(answer.status).toBe(413);
  });
});

// Guards against a late copy of the refusal of a first try that is taken for the
// answer to the second try of the same request, which runs.
describe('a server that repeats the refusal of a first try', () => {
  const harness = new GatewayHarness();
  const REQUESTS = 12;
  let server: PlatformBackendServer;

  beforeAll(async () => {
    await harness.start();
    server = await harness.addServer('records', {id: 'i-1', workMs: 20});
    await harness.addGateway('vm-1');
  });

  afterAll(() => harness.close());

  const repetitions = [
    'never',
    'at-once',
    'late',
    'before-next',
    'while-running',
  ] as const;
  it.each(
    [503, 429, 421].flatMap(status =>
      repetitions.map(repetition => ({status, repetition})),
    ),
  )(
    'gets no request that ran reported as not run: $status $repetition',
    async refusal => {
      server.firstTryRefusal = refusal;
      for (let at = 0; at < REQUESTS; at += 1) {
        const id = `${refusal.status}-${refusal.repetition}-${at}`;
        const answer = await harness.call('POST', '/file/x', {id, key: KEY});
        const runs = server.executedRequests.filter(run => run.id === id);
        expect(runs.length).toBeLessThanOrEqual(1);
        if (runs.length === 1) expect([200, 502]).toContain(answer.status);
      }
      server.firstTryRefusal = null;
    },
  );
});

describe('a server that is full', () => {
  it('leads to refusals with a retry-after header, and nothing runs twice', async () => {
    const harness = new GatewayHarness();
    await harness.start();
    const server = await harness.addServer('records', {
      id: 'i-1',
      slots: 1,
      maxQueueLength: 1,
      workMs: 60,
    });
    await harness.addGateway('vm-1');
    const calls = Array.from({length: 20}, (_, index) =>
      harness.call('POST', '/file/x', {id: `b-${index}`, key: KEY}),
    );
    const answers = await Promise.all(calls);
    const refused = answers.filter(({status}) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    for (const {headers} of refused) {
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
    }
    const ids = server.executedRequests
      .map(({id}) => id)
      .filter(id => id.startsWith('b-'));
    expect(new Set(ids).size).toBe(ids.length);
    const ok = answers.filter(({status}) => status === 200).length;
    expect(ids.length).toBe(ok);
    await harness.close();
  });
});
