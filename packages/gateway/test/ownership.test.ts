import {ownershipRecordSchema} from '@wisteriarun/core';
import {decode} from 'cbor-x';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {GatewayHarness} from './harness.js';

const KEYS = Array.from({length: 32}, (_, index) => index * 2_048);

describe('owners of keys', () => {
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = new GatewayHarness();
    await harness.start();
    for (const id of ['i-1', 'i-2', 'i-3']) {
      await harness.addServer('records', {id});
    }
  });

  afterEach(() => harness.close());

  const holderCount = (key: number) =>
    harness.servers.filter(({server}) => server.holdsKey(key)).length;

  it('are the same on every VM, exactly one for each key', async () => {
    await harness.addGateway('vm-1');
    await harness.addGateway('vm-2');
    for (const key of KEYS) {
      expect(holderCount(key)).toBe(1);
      for (const gateway of [0, 1]) {
        const answer = await harness.call('GET', '/read/x', {key, gateway});
        expect(answer.status).toBe(200);
      }
    }
  });

  it('hand their keys over when they leave, and no request is lost', async () => {
    await harness.addGateway('vm-1');
    harness.drain('i-2');
    const drained = harness.servers[1]!.server;
    await harness.until(async () => {
      for (const key of KEYS) {
        expect(holderCount(key)).toBeLessThanOrEqual(1);
        const answer = await harness.call('GET', '/read/x', {key});
        expect(answer.status).toBe(200);
      }
      return KEYS.every(key => !drained.holdsKey(key));
    });
  });

  // Guards against two holders of a key: a record of a move named the next
  // owner with the incarnation of the former one. A VM that took over from it
  // treated the next owner as restarted, and moved keys that it still held.
  it('are recorded with the incarnation of the server that is named', async () => {
    await harness.addGateway('vm-1');
    harness.drain('i-1');
    const drained = harness.servers[0]!.server;
    await harness.until(() => KEYS.every(key => !drained.holdsKey(key)));
    const values = harness.store.values('keyed.wisteriarun-ownership');
    const records = values.map(value =>
      ownershipRecordSchema.parse(decode(value)),
    );
    const moving = records.flatMap(({ranges}) =>
      ranges.filter(({former}) => former === 'i-1'),
    );
    expect(moving.length).toBeGreaterThan(0);
    for (const {server, bornMs} of moving) {
      expect(bornMs).toBe(harness.bornMs(server!));
    }
  });

  it('stay in place when another VM takes the assignment over', async () => {
    await harness.addGateway('vm-1');
    await harness.addGateway('vm-2');
    const before = KEYS.map(key =>
      harness.servers.findIndex(({server}) => server.holdsKey(key)),
    );
    // The first gateway started is the assigner. `close` does not resign, as in a
    // crash.
    harness.gateways[0]!.gateway.close();
    // Longer than a grant lasts (4 s), so that the other VM must have renewed the
    // grants.
    await new Promise(resolve => setTimeout(resolve, 5_000));
    for (const [index, key] of KEYS.entries()) {
      const answer = await harness.call('GET', '/read/x', {key, gateway: 1});
      expect(answer.status).toBe(200);
      const owner = harness.servers.findIndex(({server}) =>
        server.holdsKey(key),
      );
      expect(owner).toBe(before[index]);
    }
  });

  it('keep their keys while the store is down', async () => {
    await harness.addGateway('vm-1');
    harness.store.fault = 'silent';
    // Longer than a grant lasts (4 s).
    await new Promise(resolve => setTimeout(resolve, 5_500));
    for (const key of KEYS) {
      const answer = await harness.call('GET', '/read/x', {key});
      expect(answer.status).toBe(200);
    }
  });

  // Guards against an outage of all keys: an assigner that was stopped while
  // the store, which keeps the log, was down ended its grants although no other
  // VM could be elected, so that no key was served until the store was back.
  it('keep their keys when the assigner stops while the store is down', async () => {
    await harness.addGateway('vm-1');
    await harness.addGateway('vm-2');
    harness.store.fault = 'silent';
    // Longer than LOG_LOST_MS (1 s), after which the assigner does not resign.
    await new Promise(resolve => setTimeout(resolve, 1_200));
    // The first gateway started is the assigner.
    const stopped = harness.gateways[0]!.gateway.stop();
    // Less than the time that `stop` takes at least (2.6 s): until its end, the
    // assigner goes on renewing the grants.
    await new Promise(resolve => setTimeout(resolve, 2_200));
    for (const key of KEYS) {
      const answer = await harness.call('GET', '/read/x', {key, gateway: 1});
      expect(answer.status).toBe(200);
    }
    await stopped;
    harness.store.fault = 'none';
    await harness.until(async () => {
      const answer = await harness.call('GET', '/read/x', {key: 1, gateway: 1});
      return answer.status === 200;
    });
  });

  it('change only when the grants of a lost server have lapsed', async () => {
    await harness.addGateway('vm-1');
    const lost = harness.servers[0]!;
    const keys = KEYS.filter(key => lost.server.holdsKey(key));
    await lost.server.close();
    const closedAtMs = performance.now();
    await harness.until(() =>
      keys.every(key =>
        harness.servers.slice(1).some(({server}) => server.holdsKey(key)),
      ),
    );
    // The lost server may have held its keys until its grants lapsed. They last
    // 4 s and are renewed every second, so that at least about 3 s were left.
    expect(performance.now() - closedAtMs).toBeGreaterThan(2_500);
  });
});
