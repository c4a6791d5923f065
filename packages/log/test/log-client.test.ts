import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {LogRecord} from '@wisteriarun/core';
import {LogAppender, LogClient} from '@wisteriarun/log';
import {SlowLink} from '@wisteriarun/standins';
import {FakeLog, OUTAGE, type Fault} from './fake-log.js';

const backoff = {firstMs: 2, maxMs: 10};
// vitest's default timeout is too short for a machine under load.
const eventually = <T>(read: () => T) => expect.poll(read, {timeout: 5_000});

let fake: FakeLog;
let client: LogClient;

beforeEach(async () => {
  fake = await FakeLog.start();
  const {endpoint} = fake;
  client = new LogClient({endpoint, stream: 'test', timeoutMs: 300});
});

afterEach(async () => {
  await client.close();
  await fake.close();
});

function termRecord(id: string): LogRecord {
  return {
    kind: 'term',
    id,
    author: 'a',
    zone: 'z',
    authorZone: 'z',
    baseTerm: 0,
  };
}

const answer = (status: number, body: unknown): Fault => ({
  kind: 'answer',
  status,
  body: typeof body === 'string' ? body : JSON.stringify(body),
});

const kindOf = (result: {isErr: boolean; error?: {kind: string}}) =>
  result.isErr ? result.error!.kind : 'ok';

describe('LogClient', () => {
  it('appends and reads back in order', async () => {
    expect((await client.append(termRecord('a'))).unwrapOr(0)).toBe(1);
    expect((await client.append(termRecord('b'))).unwrapOr(0)).toBe(2);
    const one = (await client.read(1, {limit: 1})).unwrapOr(null);
    expect(one).toMatchObject({next: 2, atEnd: false});
    const rest = (await client.read(2)).unwrapOr(null);
    expect(rest).toEqual({
      next: 3,
      atEnd: true,
      records: [{offset: 2, record: termRecord('b')}],
    });
  });

  it('waits for a record with a long poll', async () => {
    const read = client.read(1, {waitMs: 5_000});
    await eventually(() => fake.calls.length).toBe(1);
    fake.append(termRecord('a'));
    expect((await read).unwrapOr(null)?.records).toHaveLength(1);
  });

  it('adds the wait of a long poll to the time limit', async () => {
    const batch = (await client.read(1, {waitMs: 500})).unwrapOr(null);
    expect(batch).toEqual({next: 1, atEnd: true, records: []});
  });

  it.each<[string, Fault, string]>([
    ['an outage', OUTAGE, 'log-unavailable'],
    ['a refusal', answer(400, {}), 'log-unavailable'],
    ['a server error other than 503', answer(500, {}), 'append-uncertain'],
    ['status 200 instead of 201', answer(200, 'ok'), 'append-uncertain'],
    ['an answer without offset', answer(201, {}), 'append-uncertain'],
    ['offset 0', answer(201, {offset: 0}), 'append-uncertain'],
    // `applies`: the append takes effect although its answer is lost.
    ['a lost answer', {kind: 'reset', applies: true}, 'append-uncertain'],
    ['no answer', {kind: 'silent', applies: true}, 'append-uncertain'],
  ])(
    'reports whether a failed append is certainly absent: %s',
    async (_, fault, kind) => {
      fake.queuedFaults.POST.push(fault);
      expect(kindOf((await client.append(termRecord('a'))) as never)).toBe(
        kind,
      );
    },
  );

  const record = termRecord('a');
  it.each<[string, Fault]>([
    ['an outage', OUTAGE],
    ['no answer', {kind: 'silent', applies: false}],
    ['a broken connection', {kind: 'reset', applies: false}],
    ['no JSON', answer(200, '{"first":1,')],
    ['JSON without a batch', answer(200, {records: []})],
    ['a gap', answer(200, {first: 1, next: 3, records: [{offset: 2, record}]})],
    [
      'a repeated offset',
      answer(200, {
        first: 1,
        next: 3,
        records: [
          {offset: 1, record},
          {offset: 1, record},
        ],
      }),
    ],
    [
      'a next offset below the requested one',
      answer(200, {first: 1, next: 0, records: []}),
    ],
    [
      'an empty batch with a next offset after the requested one',
      answer(200, {first: 1, next: 9, records: []}),
    ],
    ['410 without an offset', answer(410, {})],
    ['410 with an offset that has not expired', answer(410, {first: 1})],
  ])('treats %s as an unavailable log', async (_, fault) => {
    fake.queuedFaults.GET.push(fault);
    const result = await client.read(1);
    expect(kindOf(result as never)).toBe('log-unavailable');
  });

  it('reports the oldest available offset when records have expired', async () => {
    for (const id of ['a', 'b', 'c']) fake.append(termRecord(id));
    fake.expireBefore(3);
    expect(await client.read(1)).toMatchObject({
      error: {kind: 'log-expired', firstOffset: 3},
    });
  });

  it('asks for fewer records when an answer is too large', async () => {
    // The client accepts answers up to 16 MiB and divides the limit by 4 after a
    // larger one; 4 of these records fit.
    const padding = 'x'.repeat(3 * 1024 ** 2);
    for (let n = 0; n < 8; n += 1) fake.append({padding});
    const batch = (await client.read(1, {timeoutMs: 5_000})).unwrapOr(null);
    expect(batch).toMatchObject({next: 5, atEnd: false});
    expect(fake.calls.map(call => call.limit)).toEqual([256, 64, 16, 4]);
  });

  // Guards against snapshots that a VM with a slow link never gets.
  it('does not time out while an answer arrives', async () => {
    fake.append({padding: 'x'.repeat(100_000)});
    const link = await SlowLink.open(fake.endpoint.slice('http://'.length), {
      bytesPerS: 100_000,
    });
    const endpoint = `http://${link.address}`;
    const slow = new LogClient({endpoint, stream: 'test', timeoutMs: 300});
    const batch = (await slow.read(1)).unwrapOr(null);
    await slow.close();
    link.close();
    expect(batch).toMatchObject({next: 2});
  });

  it('reports an unreachable service as certainly not appended', async () => {
    await fake.close();
    const result = await client.append(termRecord('a'));
    expect(kindOf(result as never)).toBe('log-unavailable');
    // For `afterEach`, which closes it.
    fake = await FakeLog.start();
  });

  it('aborts open requests on close and sends nothing afterwards', async () => {
    const read = client.read(1, {waitMs: 5_000});
    await eventually(() => fake.calls.length).toBe(1);
    await client.close();
    expect(kindOf((await read) as never)).toBe('log-unavailable');
    const late = await client.append(termRecord('a'));
    expect(kindOf(late as never)).toBe('log-unavailable');
    expect(fake.calls).toHaveLength(1);
  });
});

describe('LogAppender', () => {
  const append = (
    request: Partial<Parameters<LogAppender['append']>[1]> = {},
  ) =>
    new LogAppender({client, backoff}).append(termRecord('a'), {
      from: 1,
      timeoutMs: 3_000,
      ...request,
    });
  const countCopies = () =>
    fake.records.filter(record => (record as LogRecord).id === 'a').length;

  it.each<[string, Fault]>([
    ['reset', {kind: 'reset', applies: true}],
    ['silent', {kind: 'silent', applies: true}],
  ])('finds a record whose answer was lost: %s', async (_, fault) => {
    fake.append(termRecord('x'));
    fake.queuedFaults.POST.push(fault);
    expect((await append()).unwrapOr(0)).toBe(2);
    expect(countCopies()).toBe(1);
  });

  it('completes the search after an outage before it appends again', async () => {
    fake.queuedFaults.POST.push({kind: 'reset', applies: true});
    fake.queuedFaults.GET.push(
      OUTAGE,
      {kind: 'silent', applies: false},
      OUTAGE,
    );
    expect((await append()).unwrapOr(0)).toBe(1);
    expect(countCopies()).toBe(1);
  });

  it('finds a record with a lost answer beyond the first batch', async () => {
    for (let n = 0; n < 300; n += 1) fake.append(termRecord(`x-${n}`));
    fake.queuedFaults.POST.push({kind: 'reset', applies: true});
    expect((await append()).unwrapOr(0)).toBe(301);
    expect(countCopies()).toBe(1);
  });

  it('appends again when the record is not on the stream', async () => {
    fake.queuedFaults.POST.push({kind: 'reset', applies: false}, OUTAGE);
    expect((await append()).unwrapOr(0)).toBe(1);
    expect(countCopies()).toBe(1);
  });

  it('does not append again after a record that makes it stale', async () => {
    fake.append(termRecord('winner'));
    fake.queuedFaults.POST.push({kind: 'reset', applies: false});
    const result = await append({
      isStaleAfter: ({record}) => (record as LogRecord).id === 'winner',
    });
    expect(result).toMatchObject({
      error: {kind: 'stale-base', currentOffset: 1},
    });
    expect(countCopies()).toBe(0);
  });

  it('stays uncertain when records expire before they are searched', async () => {
    for (const id of ['x', 'y']) fake.append(termRecord(id));
    fake.expireBefore(3);
    fake.queuedFaults.POST.push({kind: 'reset', applies: true});
    expect(kindOf((await append()) as never)).toBe('append-uncertain');
    expect(countCopies()).toBe(1);
  });

  it('ends at the deadline as unavailable when every attempt was refused', async () => {
    fake.persistentFault = OUTAGE;
    const startMs = performance.now();
    const result = await append({timeoutMs: 700});
    expect(kindOf(result as never)).toBe('log-unavailable');
    expect(performance.now() - startMs).toBeLessThan(1_500);
    expect(fake.calls.length).toBeGreaterThan(5);
  });

  it('starts no attempt that the deadline would cut short', async () => {
    // It would end as uncertain although the service refuses every append.
    fake.persistentFault = OUTAGE;
    let nowMs = 0;
    const timing = {
      nowMs: () => nowMs,
      random: () => 1,
      sleep: async (ms: number) => void (nowMs += ms),
    };
    const appender = new LogAppender({
      client,
      timing,
      backoff: {firstMs: 50, maxMs: 50},
    });
    await appender.append(termRecord('a'), {from: 1, timeoutMs: 200});
    // Attempts at 0, 50 and 100 ms; one at 150 ms would have 50 ms left, less than
    // MIN_ATTEMPT_MS (100 ms).
    expect(nowMs).toBe(100);
    expect(fake.calls).toHaveLength(3);
  });

  it('stays uncertain when the attempts after a lost answer are refused', async () => {
    fake.queuedFaults.POST.push(
      {kind: 'reset', applies: false},
      ...Array<Fault>(500).fill(OUTAGE),
    );
    const result = await append({timeoutMs: 300});
    expect(kindOf(result as never)).toBe('append-uncertain');
  });
});
