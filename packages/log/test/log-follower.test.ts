import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  emptyState,
  fold,
  generateSigner,
  signBundle,
  toImage,
  type RouterState,
} from '@wisteriarun/core';
import {
  LogClient,
  LogFollower,
  recover,
  type FollowerStatus,
} from '@wisteriarun/log';
import {FakeLog, OUTAGE, type Fault} from './fake-log.js';

// vitest's default timeout is too short for a machine under load.
const eventually = <T>(read: () => T) => expect.poll(read, {timeout: 5_000});

let fake: FakeLog;
let client: LogClient;
let follower: LogFollower;
let offsets: number[];
let statuses: FollowerStatus[];

beforeEach(async () => {
  fake = await FakeLog.start();
  const {endpoint} = fake;
  client = new LogClient({endpoint, stream: 'test', timeoutMs: 300});
});

afterEach(async () => {
  await follower?.close();
  await client.close();
  await fake.close();
});

function startFollower(options: {from?: number; limit?: number} = {}): void {
  offsets = [];
  statuses = [];
  follower = new LogFollower({
    client,
    from: 1,
    waitMs: 50,
    backoff: {firstMs: 5, maxMs: 20},
    ...options,
  });
  void follower.batches.observe(batch =>
    offsets.push(...batch.map(stored => stored.offset)),
  );
  void follower.statuses.observe(status => statuses.push(status));
  follower.start();
}

function appendMany(count: number): void {
  for (let n = 0; n < count; n += 1) fake.append({n});
}

const range = (from: number, to: number) =>
  Array.from({length: to - from + 1}, (_, index) => from + index);

describe('LogFollower', () => {
  it('delivers every record once and in order', async () => {
    appendMany(7);
    startFollower({limit: 3});
    await eventually(() => offsets).toEqual(range(1, 7));
    appendMany(2);
    await eventually(() => offsets).toEqual(range(1, 9));
  });

  const garbage: Fault = {kind: 'answer', status: 200, body: '{"next":'};
  it.each<[string, Fault]>([
    ['outage', OUTAGE],
    ['no answers', {kind: 'silent', applies: false}],
    ['broken connections', {kind: 'reset', applies: false}],
    ['garbage', garbage],
  ])(
    'reports the log as down and resumes reading after: %s',
    async (_, fault) => {
      appendMany(2);
      startFollower();
      await eventually(() => follower.status.next).toBe(3);
      fake.persistentFault = fault;
      await eventually(() => follower.status.isUp).toBe(false);
      expect(follower.status.error?.kind).toBe('log-unavailable');
      appendMany(2);
      const {currentAtMs} = follower.status;
      fake.persistentFault = null;
      await eventually(() => offsets).toEqual(range(1, 4));
      await eventually(() => follower.status.isUp).toBe(true);
      expect(follower.status.currentAtMs).toBeGreaterThan(currentAtMs!);
    },
  );

  it('counts as current from the start of the first read that reaches the end', async () => {
    appendMany(6);
    fake.queuedFaults.GET.push({kind: 'slow', delayMs: 60});
    const beforeMs = performance.now();
    startFollower({limit: 3});
    await eventually(() => offsets).toEqual(range(1, 6));
    await eventually(() => follower.status.currentAtMs).not.toBeNull();
    // More records may follow a full batch, so it does not prove currency.
    expect(statuses[0]).toMatchObject({next: 4, currentAtMs: null});
    expect(statuses[1]).toMatchObject({next: 7, currentAtMs: null});
    const current = statuses.find(status => status.currentAtMs !== null)!;
    expect(current.currentAtMs).toBeGreaterThan(beforeMs + 55);
  });

  it('counts as current from the start of a slow read, not from its answer', async () => {
    fake.persistentFault = {kind: 'slow', delayMs: 100};
    startFollower();
    await eventually(() => statuses.length).toBeGreaterThan(0);
    const ageMs = performance.now() - statuses[0]!.currentAtMs!;
    expect(ageMs).toBeGreaterThan(95);
  });

  it('stops when its next record has expired', async () => {
    appendMany(5);
    fake.expireBefore(4);
    startFollower({from: 2});
    await eventually(() => follower.status.error).toEqual({
      kind: 'log-expired',
      firstOffset: 4,
    });
    expect(fake.calls).toHaveLength(1);
    expect(offsets).toEqual([]);
  });

  it('does not poll in a tight loop when the service never waits', async () => {
    const body = JSON.stringify({first: 1, next: 1, records: []});
    fake.persistentFault = {kind: 'answer', status: 200, body};
    startFollower();
    await new Promise(done => setTimeout(done, 300));
    expect(fake.calls.length).toBeLessThan(10);
  });

  it('keeps delivering to other observers when one throws', async () => {
    startFollower();
    const failed = follower.batches.observe(() => {
      throw new Error('observer');
    });
    appendMany(1);
    await expect(failed).rejects.toThrow('observer');
    appendMany(1);
    await eventually(() => offsets).toEqual([1, 2]);
  });

  it('ends its streams and its long poll on close', async () => {
    startFollower();
    const ended = follower.batches.drain();
    await eventually(() => fake.calls.length).toBeGreaterThan(0);
    await follower.close();
    await ended;
    await follower.batches.drain();
    const calls = fake.calls.length;
    appendMany(1);
    await new Promise(done => setTimeout(done, 100));
    expect(fake.calls).toHaveLength(calls);
  });
});

describe('recover', () => {
  const root = generateSigner('root').unwrapOrElse(() => {
    throw new Error('no signer');
  });
  const rootSigners = [root.signer];
  const payload = JSON.stringify({
    deployment: 'test',
    version: 1,
    zones: ['za'],
    services: [{id: 'kv', shards: 2}],
    batches: [{id: 'b1', state: 'serving'}],
    servers: [
      {
        id: 's1',
        service: 'kv',
        batch: 'b1',
        zone: 'za',
        host: '192.0.2.1',
        port: 1,
        slots: 1,
        connections: 1,
      },
    ],
    signers: rootSigners,
  });
  const signed = signBundle(payload, 'root', root.privateKeyPem).unwrapOr(null);

  function termRecord(id: string) {
    const [zone, author] = ['za', 'vm'];
    return {kind: 'term', id, author, zone, authorZone: zone, baseTerm: 0};
  }

  /** Appends a bundle at 1, terms at 2 and 3, and returns the state at 3. */
  function appendInitialRecords(): RouterState {
    fake.append({
      kind: 'bundle',
      id: 'b',
      author: 'op',
      baseVersion: 0,
      signed,
    });
    fake.append(termRecord('t1'));
    fake.append(termRecord('t2'));
    return foldRecords(emptyState(), 1);
  }

  function foldRecords(state: RouterState, from: number): RouterState {
    return fake.records
      .slice(from - fake.first)
      .reduce(
        (before: RouterState, record, index) =>
          fold(before, {offset: from + index, record}, rootSigners).state,
        state,
      );
  }

  function snapshotRecord(state: RouterState, upTo = state.offset) {
    const image = toImage(state);
    return {kind: 'snapshot', id: 's', author: 'vm', upTo, image};
  }

  it('starts empty on a new stream', async () => {
    expect((await recover(client, rootSigners)).unwrapOr(null)).toEqual({
      state: emptyState(),
      from: 1,
      snapshotOffset: null,
    });
  });

  it('uses the latest snapshot and the records since its state', async () => {
    const state = appendInitialRecords();
    fake.append(termRecord('t3'));
    fake.append(snapshotRecord(state));
    fake.append(termRecord('t4'));
    fake.expireBefore(3);
    const recovery = (await recover(client, rootSigners)).unwrapOr(null)!;
    expect(recovery).toEqual({state, from: 4, snapshotOffset: 5});
    fake.expireBefore(4);
    expect((await recover(client, rootSigners)).isOk).toBe(true);
  });

  it('falls back to an older snapshot when the latest is unusable', async () => {
    const state = appendInitialRecords();
    fake.append(snapshotRecord(state));
    fake.append(snapshotRecord(state, 2));
    fake.append({...snapshotRecord(state), image: {}});
    fake.append({...snapshotRecord(state), upTo: 99});
    fake.expireBefore(2);
    const recovery = (await recover(client, rootSigners)).unwrapOr(null);
    expect(recovery).toEqual({state, from: 4, snapshotOffset: 4});
  });

  it('fails when the first records have expired and there is no snapshot', async () => {
    appendInitialRecords();
    fake.expireBefore(2);
    expect(await recover(client, rootSigners)).toMatchObject({
      error: {kind: 'snapshot-missing', firstOffset: 2},
    });
    fake.expireBefore(4);
    expect(await recover(client, rootSigners)).toMatchObject({
      error: {kind: 'snapshot-missing', firstOffset: 4},
    });
  });

  it('fails when records between the state and its snapshot have expired', async () => {
    const state = appendInitialRecords();
    fake.append(termRecord('t3'));
    fake.append(snapshotRecord(state));
    fake.expireBefore(5);
    expect(await recover(client, rootSigners)).toMatchObject({
      error: {kind: 'snapshot-missing', firstOffset: 5},
    });
  });

  it('reports an unavailable log, so that the VM asks a peer instead', async () => {
    fake.persistentFault = OUTAGE;
    expect(await recover(client, rootSigners)).toMatchObject({
      error: {kind: 'log-unavailable'},
    });
  });
});
