import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {HEADERS} from '@wisteriarun/core';
import {
  RequestHarness,
  outcomeOf,
  reasonOf,
  uuidV7,
} from './request-harness.js';

let harness: RequestHarness;
beforeEach(async () => {
  harness = await new RequestHarness().start();
});
afterEach(() => harness.close());

const post = (key = uuidV7(), body = 'x') => ({
  method: 'POST',
  headers: {'Idempotency-Key': key},
  body: Buffer.from(body),
});

describe.each(['local', 'remote'] as const)('request path, %s entry', entry => {
  const call = (
    ...rest: Parameters<RequestHarness['call']> extends [unknown, ...infer R]
      ? R
      : never
  ) => harness.call(entry, ...rest);

  it('returns the answer of the owner', async () => {
    const answer = await call('/s/k/x?y=1');
    expect(answer).toMatchObject({status: 200, text: 'ran /s/k/x?y=1'});
    expect(outcomeOf(answer)).toBe('answered');
  });

  it('streams a large body and answer whole, once', async () => {
    const {a} = harness.servers;
    a.behaviour = (req, res) => req.pipe(res);
    const body = Buffer.alloc(3 * 1024 * 1024, 'abcdefg');
    const answer = await call('/s/k', {...post(), body});
    expect(answer.text === body.toString()).toBe(true);
    expect(a.runs).toHaveLength(1);
  });

  it('runs a POST once when the connection is lost, and stays unknown', async () => {
    const {a} = harness.servers;
    a.behaviour = req => req.socket.destroy();
    const options = post();
    const first = await call('/s/k', options);
    expect([first.status, outcomeOf(first)]).toEqual([502, 'unknown']);
    a.behaviour = (_req, res) => void res.end('again');
    const second = await call('/s/k', options);
    expect(reasonOf(second)).toBe('attempt-unknown');
    expect(a.runs).toHaveLength(1);
  });

  it('repeats a GET after a lost connection', async () => {
    const {a} = harness.servers;
    a.behaviour = (req, res) => {
      if (a.runs.length === 1) req.socket.destroy();
      else res.end('second');
    };
    expect((await call('/s/k')).text).toBe('second');
    expect(a.runs).toHaveLength(2);
  });

  it('runs a POST again after a refusal before its start', async () => {
    const {a} = harness.servers;
    a.behaviour = (req, res) => {
      req.resume();
      if (a.runs.length > 1) return void res.end('done');
      res.writeHead(503, {
        [HEADERS.outcome]: 'not-run',
        [HEADERS.reason]: 'server-shed',
      });
      res.end();
    };
    expect(await call('/s/k', post())).toMatchObject({text: 'done'});
    expect(a.runs).toHaveLength(2);
  });

  it('breaks an answer that the server breaks, and does not repeat', async () => {
    const {a} = harness.servers;
    a.behaviour = (req, res) => {
      res.writeHead(200, {'content-length': '100'});
      res.write('part');
      setTimeout(() => req.socket.destroy(), 30);
    };
    const options = post();
    const answer = await call('/s/k', options);
    expect(answer).toMatchObject({text: 'part', broken: true});
    expect(reasonOf(await call('/s/k', options))).toBe('attempt-unknown');
    expect(a.runs).toHaveLength(1);
  });

  it('replays a kept answer and joins a running attempt', async () => {
    const {a} = harness.servers;
    a.behaviour = (_req, res) => {
      setTimeout(() => res.writeHead(201).end('order 1'), 100);
    };
    const options = post();
    const answers = await Promise.all([
      call('/s/k', options),
      call('/s/k', options),
    ]);
    answers.push(await call('/s/k', options));
    for (const answer of answers) {
      expect(answer).toMatchObject({status: 201, text: 'order 1'});
    }
    expect(a.runs).toHaveLength(1);
  });

  it('cancels at the server when the caller leaves', async () => {
    const {a} = harness.servers;
    a.behaviour = () => {};
    const gone = new AbortController();
    const pending = call('/s/k', {signal: gone.signal}).catch(() => null);
    await sleep(80);
    gone.abort();
    await pending;
    await sleep(80);
    expect(a.cancelled).toEqual(['/s/k']);
    expect(a.runs).toHaveLength(1);
  });

  it('never gives a late answer to another caller', async () => {
    const {a} = harness.servers;
    a.behaviour = (req, res) => {
      const delayMs = req.url === '/s/slow' ? 150 : 5;
      setTimeout(() => res.end(String(req.url)), delayMs);
    };
    const headers = {'Request-Timeout-Ms': '60'};
    const slow = await call('/s/slow', {headers});
    expect([slow.status, outcomeOf(slow)]).toEqual([504, 'unknown']);
    for (let i = 0; i < 20; i++) {
      expect((await call(`/s/k${i}`)).text).toBe(`/s/k${i}`);
      await sleep(10);
    }
  });

  it('ends at the deadline in the queue as not run', async () => {
    const {a} = harness.servers;
    a.behaviour = (_req, res) => void setTimeout(() => res.end('x'), 400);
    const first = call('/s/k1');
    await sleep(50);
    const headers = {'Request-Timeout-Ms': '100'};
    const second = await call('/s/k2', {headers});
    expect(reasonOf(second)).toBe('deadline-expired');
    await first;
    expect(a.runs).toEqual(['/s/k1']);
  });

  it('refuses invalid keys, unknown services and oversize bodies', async () => {
    const reasons = await Promise.all([
      call('/s/k', {method: 'POST'}),
      call('/s/k', post('no-uuid')),
      call('/s/k', post(uuidV7(Date.now() + 5_000))),
      call('/nowhere/k'),
      call('/s/k', {...post(), body: Buffer.alloc(9 * 1024 * 1024)}),
    ]);
    expect(reasons.map(reasonOf)).toEqual([
      'idempotency-key-required',
      'idempotency-key-invalid',
      'idempotency-key-invalid',
      'unknown-service',
      'body-too-large',
    ]);
    expect(harness.servers.a.runs).toHaveLength(0);
  });

  it('waits for an owner and uses the new one', async () => {
    harness.move(null);
    const pending = call('/s/k', post());
    await sleep(100);
    harness.host.setDispatch('b', {term: 1, seq: 2});
    harness.wallOffsetMs = -10_000;
    harness.move('b');
    harness.wallOffsetMs = 0;
    expect((await pending).text).toBe('ran /s/k');
    expect(harness.servers.a.runs).toHaveLength(0);
    expect(harness.servers.b.runs).toHaveLength(1);
  });

  it('gives no new work to a server of a batch that has left', async () => {
    harness.local.leaving = Date.now() - 1;
    const headers = {'Request-Timeout-Ms': '200'};
    const answer = await call('/s/k', {headers});
    expect([answer.status, reasonOf(answer)]).toEqual([503, 'batch-left']);
    expect(harness.servers.a.runs).toHaveLength(0);
  });
});

describe('dispatcher', () => {
  it('never exceeds the slots and serves every request', async () => {
    const {a} = harness.servers;
    a.behaviour = (req, res) => void setTimeout(() => res.end(req.url), 5);
    const paths = Array.from({length: 60}, (_, i) => `/s/k${i}`);
    const answers = await Promise.all(
      paths.map((path, i) => harness.call(i % 2 ? 'local' : 'remote', path)),
    );
    expect(answers.map(answer => answer.text)).toEqual(paths);
    expect(a.maxInFlight).toBe(3);
    const [load] = harness.host.loads();
    expect(load?.serviceTimeMs).toBeGreaterThan(1);
    expect(load?.shards[0]?.service).toBe('s');
  });

  it('holds a drained shard back and finishes what runs', async () => {
    const {a} = harness.servers;
    let finish = () => {};
    a.behaviour = (req, res) => {
      finish = () => void res.end(req.url);
      if (req.url !== '/s/k1') finish();
    };
    const first = harness.call('local', '/s/k1');
    await sleep(50);
    let drained = false;
    const drain = harness.host
      .setDrain('a', 's', [0], true)
      .then(() => (drained = true));
    const held = harness.call('local', '/s/k2');
    await sleep(50);
    expect(drained).toBe(false);
    finish();
    await drain;
    expect((await first).text).toBe('/s/k1');
    expect((await harness.call('local', '/s/other')).text).toBe('/s/other');
    expect(a.runs).not.toContain('/s/k2');
    harness.host.setDispatch('b', {term: 1, seq: 2});
    harness.move('b');
    expect((await held).text).toBe('ran /s/k2');
  });

  it('stops only when nothing is in flight', async () => {
    const {a} = harness.servers;
    let finish = () => {};
    a.behaviour = (_req, res) => void (finish = () => void res.end('whole'));
    const pending = harness.call('remote', '/s/k');
    await sleep(80);
    let stopped = false;
    const stop = harness.host.stop('a').then(() => (stopped = true));
    await sleep(50);
    expect(stopped).toBe(false);
    finish();
    expect((await pending).text).toBe('whole');
    await stop;
  });

  it('does not write to a non-checking server without permission', async () => {
    await harness.close();
    harness = await new RequestHarness().start({checksGrants: false});
    expect((await harness.call('local', '/s/k')).status).toBe(200);
    harness.permission = 'no-permission';
    const headers = {'Request-Timeout-Ms': '200'};
    const answer = await harness.call('local', '/s/k', {headers});
    expect(reasonOf(answer)).toBe('no-permission');
    expect(harness.servers.a.runs).toHaveLength(1);
  });

  it('answers unknown for keys created before an unplanned takeover', async () => {
    const before = uuidV7();
    harness.host.setDispatch('a', {term: 1, seq: 3});
    const answer = await harness.call('local', '/s/k', post(before));
    expect(reasonOf(answer)).toBe('attempt-unknown');
    expect(harness.servers.a.runs).toHaveLength(0);
  });

  it('keeps its knowledge when a new fence replaces its own', async () => {
    harness.host.setDispatch('a', {term: 2, seq: 1}, {term: 1, seq: 1});
    expect((await harness.call('local', '/s/k', post())).status).toBe(200);
  });

  it('takes attempts over from a planned handover', async () => {
    const ran = uuidV7();
    await harness.call('local', '/s/k', post(ran));
    await harness.host.stop('a');
    const handover = harness.host.exportAttempts('s', [0, 1]);
    expect(handover.attempts).toHaveLength(1);
    const next = await new RequestHarness().start({}, 0);
    try {
      expect(reasonOf(await next.call('local', '/s/k', post()))).toBe(
        'attempt-unknown',
      );
      await next.host.stop('a');
      next.host.importAttempts({
        ...handover,
        shards: [0, 1].map(shard => ({shard, knownSinceWallMs: 0})),
      });
      next.host.setDispatch('a', {term: 1, seq: 2});
      const replay = await next.call('local', '/s/k', post(ran));
      expect(replay.text).toBe('ran /s/k');
      expect(next.servers.a.runs).toHaveLength(0);
      expect((await next.call('local', '/s/k', post())).status).toBe(200);
    } finally {
      await next.close();
    }
  });

  // Guards against a planned change after which new filings are unknown,
  // because the stop dropped the takeover times before the handover.
  it('hands over the takeover times of a stopped server', async () => {
    let known: number[] = [];
    await harness.host.stop('a', () => {
      const {shards} = harness.host.exportAttempts('s', [0, 1]);
      known = shards.map(({shard}) => shard);
    });
    expect(known).toEqual([0, 1]);
  });

  // Guards against filings that are unknown between the handover of a shard
  // and the record of its move.
  it('says that a new filing of a shard that moves has not run', async () => {
    await harness.call('local', '/s/k', post());
    await harness.host.setDrain('a', 's', [0, 1], true);
    const quick = {'request-timeout-ms': '100'};
    const call = async () => {
      const {headers, ...rest} = post();
      return harness.call('local', '/s/k', {
        ...rest,
        headers: {...headers, ...quick},
      });
    };
    expect(reasonOf(await call())).toBe('shard-moving');
    harness.host.exportAttempts('s', [0, 1]);
    harness.host.onRoutesChanged();
    expect(reasonOf(await call())).toBe('shard-moving');
    expect(harness.servers.a.runs).toHaveLength(1);
    await harness.host.setDrain('a', 's', [0, 1], false);
    expect((await call()).status).toBe(200);
  });

  it('identifies a request that crashes servers and spares the others', async () => {
    const {a} = harness.servers;
    const records: number[] = [];
    harness.host.onNewCrashRecords(list =>
      records.push(...list.map(record => record.count)),
    );
    harness.host.onServerBootChanged('a', a.bootId);
    for (let i = 0; i < 3; i++) await harness.call('local', '/s/warm');
    a.behaviour = (req, res) => {
      if (req.url === '/s/k/deadly') setTimeout(() => a.crash(), 30);
      else setTimeout(() => res.end('fine'), 60);
    };
    const [deadly, innocent] = await Promise.all([
      harness.call('remote', '/s/k/deadly'),
      harness.call('local', '/s/k/fine'),
    ]);
    expect(outcomeOf(deadly)).toBe('unknown');
    expect(innocent.text).toBe('fine');
    const refused = await harness.call('local', '/s/k/deadly');
    expect([refused.status, reasonOf(refused)]).toEqual([422, 'crash-suspect']);
    expect(a.runs.filter(path => path.endsWith('deadly'))).toHaveLength(2);
    expect((await harness.call('local', '/s/k/fine')).text).toBe('fine');
    expect(Math.max(...records)).toBe(2);
  });

  it('bounds memory for a slow reader and frees its slot', async () => {
    const {a} = harness.servers;
    let sent = 0;
    a.behaviour = (_req, res) => {
      const chunk = Buffer.alloc(64 * 1024);
      const push = () => {
        while (sent < 256 * 1024 * 1024) {
          sent += chunk.length;
          if (!res.write(chunk)) return void res.once('drain', push);
        }
      };
      push();
    };
    const {request} = await import('node:http');
    const port = harness.ports.remote;
    const req = request({host: '127.0.0.1', port, path: '/s/k'}, res =>
      res.pause(),
    );
    req.on('error', () => {});
    req.end();
    await sleep(500);
    expect(sent).toBeLessThan(64 * 1024 * 1024);
    req.destroy();
    await sleep(150);
    expect(a.inFlight).toBe(0);
    a.behaviour = (_req, res) => void res.end('next');
    expect((await harness.call('remote', '/s/k')).text).toBe('next');
  });
});
