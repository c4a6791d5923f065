import {request as httpRequest} from 'node:http';
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {HEADERS, requestFailure} from '@wisteriarun/core';
import {EntryHandler} from '@wisteriarun/daemon';
import {RelayClient} from '@wisteriarun/peer';
import {
  RequestHarness,
  outcomeOf,
  reasonOf,
  uuidV7,
  type Answer,
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

const within = (timeoutMs: number) => ({
  headers: {'Request-Timeout-Ms': String(timeoutMs)},
});

/**
 * Makes server a withhold matching answers until the returned function runs.
 */
function holdAnswers(
  matchesUrl: (url: string) => boolean = () => true,
): () => void {
  let finish = () => {};
  harness.servers.a.behavior = (req, res) => {
    if (matchesUrl(String(req.url))) finish = () => void res.end('whole');
    else res.end(req.url);
  };
  return () => finish();
}

/** Makes server a answer with the path after a delay. */
const answerAfter = (delayMs: number) => {
  harness.servers.a.behavior = (req, res) =>
    void setTimeout(() => res.end(req.url), delayMs);
};

/** Sends part of a body, then stalls, or disconnects after `breakAfterMs`. */
function upload(
  entry: 'local' | 'remote',
  lengthBytes: number,
  sentBytes: number,
  timeoutMs: number,
  breakAfterMs?: number,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const req = httpRequest(
      {
        host: '127.0.0.1',
        port: harness.ports[entry],
        path: '/s/k',
        method: 'PUT',
        agent: false,
        headers: {
          'Content-Length': lengthBytes,
          'Request-Timeout-Ms': timeoutMs,
        },
      },
      res => {
        const {statusCode: status = 0, headers} = res;
        req.destroy();
        resolve({status, headers, text: '', broken: false});
      },
    );
    req.on('error', reject);
    req.write(Buffer.alloc(sentBytes));
    if (breakAfterMs) setTimeout(() => req.destroy(), breakAfterMs);
  });
}

// `local` is the dispatcher of server a and calls it itself; `remote` relays its
// requests to `local`.
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

  it('passes answers without a body', async () => {
    const {a} = harness.servers;
    a.behavior = (_req, res) => {
      res.writeHead(204, {'x-a': ['1', '2'], 'set-cookie': ['a=1', 'b=2']});
      res.end();
    };
    const none = await call('/s/k', {method: 'DELETE'});
    expect([none.status, none.broken]).toEqual([204, false]);
    expect(none.headers['set-cookie']).toEqual(['a=1', 'b=2']);
    a.behavior = (_req, res) => {
      res.writeHead(200, {'content-length': '7'}).end();
    };
    const head = await call('/s/k', {method: 'HEAD'});
    expect(head).toMatchObject({status: 200, broken: false});
    expect(head.headers['content-length']).toBe('7');
  });

  it('streams a large body and its answer completely, in one run', async () => {
    const {a} = harness.servers;
    a.behavior = (req, res) => req.pipe(res);
    const body = Buffer.alloc(3 * 1024 * 1024, 'abcdefg');
    const answer = await call('/s/k', {...post(), body});
    expect(answer.text === body.toString()).toBe(true);
    expect(a.runs).toHaveLength(1);
  });

  it('does not repeat a POST whose connection was lost', async () => {
    const {a} = harness.servers;
    a.behavior = req => req.socket.destroy();
    const options = post();
    const first = await call('/s/k', options);
    expect([first.status, outcomeOf(first)]).toEqual([502, 'unknown']);
    a.behavior = (_req, res) => void res.end('again');
    const second = await call('/s/k', options);
    expect(reasonOf(second)).toBe('attempt-unknown');
    expect(a.runs).toHaveLength(1);
  });

  it('repeats a GET after a lost connection', async () => {
    const {a} = harness.servers;
    a.behavior = (req, res) => {
      if (a.runs.length === 1) req.socket.destroy();
      else res.end('second');
    };
    expect((await call('/s/k')).text).toBe('second');
    expect(a.runs).toHaveLength(2);
  });

  it('retries a POST that the server refused before running it', async () => {
    const {a} = harness.servers;
    a.behavior = (req, res) => {
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

  it('passes a broken answer on as broken and does not repeat it', async () => {
    const {a} = harness.servers;
    a.behavior = (req, res) => {
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

  it('answers repeats of a POST from its running or finished attempt', async () => {
    const {a} = harness.servers;
    a.behavior = (_req, res) => {
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

  it('cancels a request at the server when the caller disconnects', async () => {
    const {a} = harness.servers;
    a.behavior = () => {};
    const gone = new AbortController();
    const pending = call('/s/k', {signal: gone.signal}).catch(() => null);
    await sleep(80);
    gone.abort();
    await pending;
    await sleep(80);
    expect(a.closedEarly).toEqual(['/s/k']);
    expect([a.runs.length, a.cancelCalls]).toEqual([1, 1]);
  });

  it('never gives a late answer to another caller', async () => {
    const {a} = harness.servers;
    a.behavior = (req, res) => {
      const delayMs = req.url === '/s/slow' ? 150 : 5;
      setTimeout(() => res.end(String(req.url)), delayMs);
    };
    const slow = await call('/s/slow', within(60));
    expect([slow.status, outcomeOf(slow)]).toEqual([504, 'unknown']);
    for (let i = 0; i < 20; i++) {
      expect((await call(`/s/k${i}`)).text).toBe(`/s/k${i}`);
      await sleep(10);
    }
  });

  it('reports not-run when the deadline expires in the queue', async () => {
    const {a} = harness.servers;
    // The limit on requests in flight starts at one, so that the second request
    // waits in the queue.
    answerAfter(400);
    const first = call('/s/k1');
    await sleep(50);
    const second = await call('/s/k2', within(100));
    expect(reasonOf(second)).toBe('deadline-expired');
    await first;
    expect(a.runs).toEqual(['/s/k1']);
  });

  it('drops a queued request whose caller disconnects', async () => {
    const {a} = harness.servers;
    // The limit on requests in flight starts at one, so that the second request
    // waits in the queue.
    answerAfter(200);
    const first = call('/s/k1');
    await sleep(50);
    const gone = new AbortController();
    const queued = call('/s/k2', {signal: gone.signal}).catch(() => null);
    await sleep(50);
    gone.abort();
    await queued;
    expect((await first).text).toBe('/s/k1');
    expect((await call('/s/k3')).text).toBe('/s/k3');
    expect(a.runs).toEqual(['/s/k1', '/s/k3']);
  });

  it('reports not-run when a small request body stalls', async () => {
    // A body of up to 64 KiB is read whole before the server is called.
    const answer = await upload(entry, 1_000, 100, 150);
    expect(reasonOf(answer)).toBe('deadline-expired');
    expect(harness.servers.a.runs).toHaveLength(0);
  });

  it('reports unknown and cancels when a large request body stalls', async () => {
    const {a} = harness.servers;
    // A body of more than 64 KiB is streamed, so the server has been called.
    const answer = await upload(entry, 500_000, 100_000, 200);
    expect(outcomeOf(answer)).toBe('unknown');
    await sleep(50);
    expect(a.closedEarly).toHaveLength(1);
    expect(a.runs).toHaveLength(1);
  });

  it('does not complete the body at the server when the caller breaks it off', async () => {
    const {a} = harness.servers;
    let whole = false;
    a.behavior = (req, res) => {
      req.resume();
      req.once('end', () => {
        whole = true;
        res.end();
      });
    };
    await upload(entry, 500_000, 100_000, 5_000, 150).catch(() => null);
    await sleep(100);
    expect(whole).toBe(false);
    expect(a.closedEarly).toHaveLength(1);
    expect(a.runs).toHaveLength(1);
    a.behavior = (_req, res) => void res.end('next');
    expect((await call('/s/k')).text).toBe('next');
  });

  it('breaks off an answer that is incomplete at the deadline', async () => {
    const {a} = harness.servers;
    a.behavior = (_req, res) => void res.write('part');
    const answer = await call('/s/k', within(150));
    expect(answer).toMatchObject({text: 'part', broken: true});
    await sleep(50);
    expect(a.inFlight).toBe(0);
  });

  it('refuses invalid idempotency keys, unknown services and oversize bodies', async () => {
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

  it('holds a request while its shard has no owner, then sends it to the new one', async () => {
    harness.move(null);
    const pending = call('/s/k', post());
    await sleep(100);
    harness.host.setDispatch('b', {term: 1, seq: 2});
    // The takeover must be older than the request's idempotency key, or the
    // outcome of the request counts as unknown.
    harness.wallOffsetMs = -10_000;
    harness.move('b');
    harness.wallOffsetMs = 0;
    expect((await pending).text).toBe('ran /s/k');
    expect(harness.servers.a.runs).toHaveLength(0);
    expect(harness.servers.b.runs).toHaveLength(1);
  });

  it('sends no new requests to a server of a batch that has left', async () => {
    harness.local.serverLeavingAtMs = Date.now() - 1;
    const answer = await call('/s/k', within(200));
    expect([answer.status, reasonOf(answer)]).toEqual([503, 'batch-left']);
    expect(harness.servers.a.runs).toHaveLength(0);
  });
});

describe('dispatcher', () => {
  it('never exceeds the slots and serves every request', async () => {
    const {a} = harness.servers;
    answerAfter(5);
    const paths = Array.from({length: 60}, (_, i) => `/s/k${i}`);
    const answers = await Promise.all(
      paths.map((path, i) => harness.call(i % 2 ? 'local' : 'remote', path)),
    );
    expect(answers.map(answer => answer.text)).toEqual(paths);
    // The harness gives each server 3 slots.
    expect(a.maxInFlight).toBe(3);
    const [load] = harness.host.loads();
    expect(load?.serviceTimeMs).toBeGreaterThan(1);
    expect(load?.shards[0]?.service).toBe('s');
  });

  it('queues requests of a draining shard and finishes those in flight', async () => {
    const {a} = harness.servers;
    const finish = holdAnswers(url => url === '/s/k1');
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
    expect((await first).text).toBe('whole');
    // Keys that start with `other` are in shard 1, which does not drain.
    expect((await harness.call('local', '/s/other')).text).toBe('/s/other');
    expect(a.runs).not.toContain('/s/k2');
    harness.host.setDispatch('b', {term: 1, seq: 2});
    harness.move('b');
    expect((await held).text).toBe('ran /s/k2');
  });

  it('completes a stop only when no request is in flight', async () => {
    const finish = holdAnswers();
    const pending = harness.call('remote', '/s/k');
    await sleep(80);
    let stopped = false;
    const stop = harness.host.stop('a', 1).then(() => (stopped = true));
    await sleep(50);
    expect(stopped).toBe(false);
    finish();
    expect((await pending).text).toBe('whole');
    await stop;
  });

  it('sends nothing without permission to a server that does not check grants', async () => {
    await harness.close();
    harness = await new RequestHarness().start({checksGrants: false});
    expect((await harness.call('local', '/s/k')).status).toBe(200);
    harness.permissionRefusal = 'no-permission';
    const answer = await harness.call('local', '/s/k', within(200));
    expect(reasonOf(answer)).toBe('no-permission');
    expect(harness.servers.a.runs).toHaveLength(1);
  });

  // On a busy machine, the last try may begin just before the deadline and fail
  // with "deadline-expired". This must not hide the refusal that used the time.
  it('reports the refusal that used the time up, not the expired deadline', async () => {
    let tries = 0;
    const entry = new EntryHandler({
      routes: harness.local,
      clock: {monotonicMs: () => performance.now(), wallMs: Date.now},
      local: {
        dispatch: async () => {
          const isFirst = ++tries === 1;
          await sleep(isFirst ? 250 : 100);
          const reason = isFirst ? 'no-permission' : 'deadline-expired';
          return {
            kind: 'failed',
            failure: requestFailure(reason),
            crashCount: 0,
          };
        },
      },
      relay: new RelayClient('x'),
      random: () => 0,
    });
    const answer = await entry.handle({
      id: 'r',
      method: 'GET',
      path: '/s/k',
      headers: {},
      service: 's',
      key: 'k',
      idempotencyKey: null,
      timeoutMs: 320,
      lengthBytes: 0,
      body: Readable.from([]),
      gone: new AbortController().signal,
    });
    expect(answer).toMatchObject({reason: 'no-permission'});
    expect(tries).toBe(2);
  });

  it('reports shard-moving when the deadline expires while the shard drains', async () => {
    await harness.host.setDrain('a', 's', [0], true);
    const answer = await harness.call('local', '/s/k', within(100));
    expect([answer.status, reasonOf(answer)]).toEqual([503, 'shard-moving']);
    expect(harness.servers.a.runs).toHaveLength(0);
  });

  it('does not exceed the longest deadline of the service', async () => {
    harness.servers.a.behavior = () => {};
    harness.local.longestDeadlineMs = 100;
    const startMs = performance.now();
    const answer = await harness.call('local', '/s/k', within(5000));
    expect(reasonOf(answer)).toBe('answer-timeout');
    expect(performance.now() - startMs).toBeLessThan(2_000);
  });

  // A queued request may be the one that has just crashed another server. If
  // two suspects ran together, a crash would not show which of them caused it.
  it('runs queued requests one at a time once they are crash suspects', async () => {
    const {a} = harness.servers;
    answerAfter(60);
    const keys = [uuidV7(), uuidV7()];
    const calls = [harness.call('local', '/s/k1')];
    await sleep(30);
    calls.push(...keys.map(key => harness.call('local', '/s/k2', post(key))));
    await sleep(20);
    harness.host.onCrashRecords(
      keys.map(key => ({
        fingerprint: JSON.stringify(['s', 'k2', key]),
        count: 1,
        server: 'b',
        ageMs: 0,
      })),
    );
    const answers = await Promise.all(calls);
    expect(answers.map(({status}) => status)).toEqual([200, 200, 200]);
    expect(a.maxInFlight).toBe(1);
  });

  it('reports attempt-unknown for idempotency keys older than an unplanned takeover', async () => {
    const before = uuidV7();
    harness.host.setDispatch('a', {term: 1, seq: 3});
    const answer = await harness.call('local', '/s/k', post(before));
    expect(reasonOf(answer)).toBe('attempt-unknown');
    expect(harness.servers.a.runs).toHaveLength(0);
  });

  it('does not report attempt-unknown after a new fence that directly replaces its own', async () => {
    // The third argument is the fence that this VM held.
    harness.host.setDispatch('a', {term: 2, seq: 1}, {term: 1, seq: 1});
    expect((await harness.call('local', '/s/k', post())).status).toBe(200);
  });

  it('replays an attempt that a planned handover brought', async () => {
    const ran = uuidV7();
    await harness.call('local', '/s/k', post(ran));
    const [handover] = await harness.host.stop('a', 1);
    expect(handover?.attempts).toHaveLength(1);
    // Both shards of the service are owned by server a.
    expect(handover?.shards).toHaveLength(2);
    // 0: the takeover is just now, so that the outcome of attempts with older
    // idempotency keys is unknown.
    const next = await new RequestHarness().start({}, 0);
    try {
      expect(reasonOf(await next.call('local', '/s/k', post()))).toBe(
        'attempt-unknown',
      );
      await next.host.stop('a', 1);
      next.host.importAttempts(handover!);
      next.host.setDispatch('a', {term: 1, seq: 2}, {term: 1, seq: 1});
      const replay = await next.call('local', '/s/k', post(ran));
      expect(replay.text).toBe('ran /s/k');
      expect(next.servers.a.runs).toHaveLength(0);
      expect((await next.call('local', '/s/k', post())).status).toBe(200);
    } finally {
      await next.close();
    }
  });

  it('treats earlier attempts as unknown when assigned again during a stop', async () => {
    const finish = holdAnswers();
    const pending = harness.call('local', '/s/k');
    await sleep(50);
    const stop = harness.host.stop('a', 1);
    harness.host.setDispatch('a', {term: 1, seq: 5});
    finish();
    await pending;
    expect(await stop).toEqual([]);
    const answer = await harness.call('local', '/s/k', post());
    expect(reasonOf(answer)).toBe('attempt-unknown');
  });

  it('applies new slots and a new address without breaking a request', async () => {
    const {b} = harness.servers;
    const finish = holdAnswers();
    const pending = harness.call('local', '/s/k');
    await sleep(50);
    const {port} = harness.local.servers.get('b')!;
    const former = harness.local.servers.get('a')!;
    harness.local.servers.set('a', {...former, port, slots: 1});
    harness.host.onRoutesChanged();
    const next = harness.call('local', '/s/k2');
    await sleep(50);
    expect(b.runs).toEqual([]);
    finish();
    expect((await pending).text).toBe('whole');
    expect((await next).text).toBe('ran /s/k2');
    expect(b.runs).toEqual(['/s/k2']);
  });

  it('refuses a request that crashed its server twice and runs the others', async () => {
    const {a} = harness.servers;
    const crashCounts: number[] = [];
    harness.host.onNewCrashRecords(list =>
      crashCounts.push(...list.map(record => record.count)),
    );
    harness.host.onServerIncarnation('a', a.bootId);
    // Each success raises the limit on requests in flight, which starts at one,
    // so that both requests run at the same time.
    for (let i = 0; i < 3; i++) await harness.call('local', '/s/warm');
    a.behavior = (req, res) => {
      if (req.url === '/s/k/deadly') setTimeout(() => a.crash(), 30);
      else setTimeout(() => res.end('fine'), 60);
    };
    const [crashing, unaffected] = await Promise.all([
      harness.call('remote', '/s/k/deadly'),
      harness.call('local', '/s/k/fine'),
    ]);
    expect(outcomeOf(crashing)).toBe('unknown');
    expect(unaffected.text).toBe('fine');
    const refused = await harness.call('local', '/s/k/deadly');
    expect([refused.status, reasonOf(refused)]).toEqual([422, 'crash-suspect']);
    expect(a.runs.filter(path => path.endsWith('deadly'))).toHaveLength(2);
    expect((await harness.call('local', '/s/k/fine')).text).toBe('fine');
    expect(Math.max(...crashCounts)).toBe(2);
  });

  it('bounds memory for a caller that does not read, and frees its slot', async () => {
    const {a} = harness.servers;
    let sentBytes = 0;
    a.behavior = (_req, res) => {
      const chunk = Buffer.alloc(64 * 1024);
      const writeChunks = () => {
        while (sentBytes < 256 * 1024 * 1024) {
          sentBytes += chunk.length;
          if (!res.write(chunk)) return void res.once('drain', writeChunks);
        }
      };
      writeChunks();
    };
    const port = harness.ports.remote;
    const req = httpRequest({host: '127.0.0.1', port, path: '/s/k'}, res =>
      res.pause(),
    );
    req.on('error', () => {});
    req.end();
    await sleep(500);
    expect(sentBytes).toBeLessThan(64 * 1024 * 1024);
    req.destroy();
    await sleep(150);
    expect(a.inFlight).toBe(0);
    a.behavior = (_req, res) => void res.end('next');
    expect((await harness.call('remote', '/s/k')).text).toBe('next');
  });
});
