import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {OperatorClient, OperatorServer} from '../src/index.js';
import type {
  ExplainView,
  OperatorSource,
  OwnersView,
  StatusView,
  TimelineView,
} from '../src/index.js';

const TOKEN = 'operator-token-0123';
const status: StatusView = {
  deployment: 'd',
  vm: 'entry-1',
  zone: 'a',
  bootId: 'boot',
  draining: false,
  offset: 12,
  logAvailable: true,
  problem: null,
  bundle: {version: 3, offset: 10, author: 'ops', keyId: 'root'},
  terms: [{zone: 'a', holder: 'entry-1', term: 4}],
  peers: [
    {vm: 'entry-2', zone: 'b', connected: true, offset: 12, silentMs: 40},
  ],
  drains: [],
};
const owners: OwnersView = {offset: 12, rows: []};
const timeline: TimelineView = {process: 'entry-1', events: []};
const explain: ExplainView = {
  offset: 12,
  service: 'filing',
  key: 'case/1 ñ',
  shard: 5,
  isolated: false,
  server: 's1',
  batch: 'b1',
  epoch: 11,
  reason: null,
  zone: 'a',
  assigner: 'entry-1',
  term: 4,
  dispatcher: 'entry-2',
  fence: '4.1',
  notes: ['n'],
};

let isHealthy: boolean;
let receivedArgs: unknown[];
const source: OperatorSource = {
  health: () => ({ok: isHealthy, problem: isHealthy ? null : 'no-bundle'}),
  status: () => status,
  owners: () => owners,
  explain: (service, key) => {
    receivedArgs.push([service, key]);
    return service === 'filing' ? explain : null;
  },
  timeline: since => {
    receivedArgs.push(since);
    return timeline;
  },
  metrics: () => 'up 1\n',
};

let server: OperatorServer;
let endpoint: string;
let port: number;
beforeEach(async () => {
  isHealthy = true;
  receivedArgs = [];
  server = new OperatorServer({
    host: '127.0.0.1',
    port: 0,
    token: TOKEN,
    source,
  });
  port = (await server.listen()).unwrapOr(0);
  endpoint = `http://127.0.0.1:${port}`;
});
afterEach(() => server.close());

const authorization = `Bearer ${TOKEN}`;

describe('operator port', () => {
  test('serves every view to its client', async () => {
    const client = new OperatorClient({endpoint, token: TOKEN});
    expect((await client.status()).unwrapOr(null as never)).toEqual(status);
    expect((await client.owners()).unwrapOr(null as never)).toEqual(owners);
    expect((await client.timeline(7)).unwrapOr(null as never)).toEqual(
      timeline,
    );
    expect((await client.metrics()).unwrapOr('')).toBe('up 1\n');
    const view = await client.explain('filing', 'case/1 ñ');
    expect(view.unwrapOr(null as never)).toEqual(explain);
    expect(receivedArgs).toEqual([7, ['filing', 'case/1 ñ']]);
  });

  test('/health needs no token and returns 503 when unhealthy', async () => {
    expect((await fetch(`${endpoint}/health`)).status).toBe(200);
    isHealthy = false;
    const answer = await fetch(`${endpoint}/health`);
    expect(answer.status).toBe(503);
    expect(await answer.json()).toEqual({ok: false, problem: 'no-bundle'});
  });

  const paths = ['/status', '/owners', '/timeline', '/metrics', '/other'];
  test.each(paths)('%s needs the token', async path => {
    const headers: Record<string, string>[] = [
      {},
      {authorization: 'Bearer wrong'},
      {authorization: `Bearer ${TOKEN}x`},
      {authorization: `Bearer ${TOKEN.slice(0, -1)}`},
      {authorization: `Basic ${TOKEN}`},
      {authorization: 'Bearer '},
    ];
    for (const requestHeaders of headers) {
      const answer = await fetch(endpoint + path, {headers: requestHeaders});
      expect(answer.status).toBe(401);
      expect(await answer.text()).not.toContain('entry-1');
    }
  });

  test.each([
    ['unknown path', 404, '/other'],
    ['unknown service', 404, '/explain?service=other&key=k'],
    ['no key', 400, '/explain?service=filing'],
    ['no service', 400, '/explain?key=k'],
    ['key too long', 400, `/explain?service=filing&key=${'k'.repeat(2_049)}`],
    ['negative sequence', 400, '/timeline?since=-1'],
    ['sequence that is not a number', 400, '/timeline?since=x'],
    ['headers too large', 431, `/status?${'x'.repeat(20_000)}`],
  ])('%s gives %i', async (_name, expected, path) => {
    const answer = await fetch(endpoint + path, {headers: {authorization}});
    expect(answer.status).toBe(expected);
  });

  test.each(['POST', 'PUT', 'DELETE', 'PATCH'])('refuses %s', async method => {
    const headers = {authorization};
    const answer = await fetch(`${endpoint}/status`, {method, headers});
    expect(answer.status).toBe(405);
  });

  // Guards against reading a request body of unlimited size.
  test('closes the connection of a request with a body', async () => {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(
      'POST /status HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\nx',
    );
    let text = '';
    socket.on('data', chunk => (text += chunk.toString()));
    await new Promise(resolve => socket.on('close', resolve));
    expect(text).toMatch(/^HTTP\/1.1 405 /);
  });

  test('a malformed request target is refused', async () => {
    const socket = connect(port, '127.0.0.1');
    socket.write('GET //[ HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
    let text = '';
    socket.on('data', chunk => (text += chunk.toString()));
    await new Promise(resolve => socket.on('close', resolve));
    expect(text).toMatch(/^HTTP\/1.1 400 /);
  });

  test('listen fails with operator-unavailable on a port in use', async () => {
    const second = new OperatorServer({
      host: '127.0.0.1',
      port,
      token: TOKEN,
      source,
    });
    const listened = await second.listen();
    expect(listened.isErr && listened.error.kind).toBe('operator-unavailable');
  });
});

describe('operator client', () => {
  const detailOf = async (client: OperatorClient) => {
    const result = await client.status();
    return result.isErr && 'detail' in result.error ? result.error.detail : '';
  };

  test('a refused token is reported, and the token is not shown', async () => {
    const client = new OperatorClient({endpoint, token: 'wrong-token'});
    const result = await client.status();
    expect(result.isErr && result.error).toEqual({
      kind: 'operator-refused',
      endpoint,
      status: 401,
      detail: 'missing or wrong token',
    });
  });

  test('a closed port is reported with a cause', async () => {
    await server.close();
    const client = new OperatorClient({endpoint, token: TOKEN});
    expect(await detailOf(client)).not.toBe('');
  });

  test.each([
    ['text', 'hello'],
    ['another object', '{"vm":1}'],
  ])('%s in place of a view is refused', async (_name, body) => {
    const fake = createServer((_request, response) => response.end(body));
    await new Promise<void>(resolve => fake.listen(0, '127.0.0.1', resolve));
    const fakePort = (fake.address() as AddressInfo).port;
    const client = new OperatorClient({
      endpoint: `http://127.0.0.1:${fakePort}`,
      token: TOKEN,
    });
    expect(await detailOf(client)).toBe('malformed answer');
    fake.closeAllConnections();
    fake.close();
  });

  test('a request to a server that does not answer times out', async () => {
    const fake = createServer(() => undefined);
    await new Promise<void>(resolve => fake.listen(0, '127.0.0.1', resolve));
    const client = new OperatorClient({
      endpoint: `http://127.0.0.1:${(fake.address() as AddressInfo).port}`,
      token: TOKEN,
      timeoutMs: 100,
    });
    expect(await detailOf(client)).not.toBe('');
    fake.closeAllConnections();
    fake.close();
  });
});
