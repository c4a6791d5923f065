import {createPublicKey, verify} from 'node:crypto';
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {bundleRecordSchema, bundleSchema} from '@wisteriarun/core';
import {CallerLoad, findViolations, sleep} from '@wisteriarun/standins';
import {
  Cluster,
  PortBlock,
  bundleRecord,
  createSigningKey,
  type ClusterOptions,
} from '@wisteriarun/demo';

const FAKE_DAEMON = fileURLToPath(new URL('./fake-daemon.js', import.meta.url));

const OPTIONS: ClusterOptions = {
  zones: ['zone-a', 'zone-b'],
  services: [{id: 'orders', shards: 8}],
  servers: ['zone-a', 'zone-b'].map((zone, index) => ({
    id: `s${index + 1}`,
    service: 'orders',
    zone,
    slots: 16,
    serviceTimeMs: 1,
  })),
  entries: ['zone-a', 'zone-b'].map((zone, index) => ({
    id: `e${index + 1}`,
    zone,
  })),
  daemonMain: FAKE_DAEMON,
};

let cluster: Cluster | null = null;

afterEach(async () => {
  await cluster?.close();
  cluster = null;
});

async function startCluster(): Promise<Cluster> {
  cluster = await Cluster.start(OPTIONS);
  await cluster.waitUntilServing(9_000);
  return cluster;
}

async function fetchStatusCode(address: string, path: string): Promise<number> {
  const response = await request(`http://${address}${path}`, {
    signal: AbortSignal.timeout(2_000),
  });
  await response.body.dump();
  return response.statusCode;
}

describe('cluster', () => {
  it('serves a load, and its records show no violation', async () => {
    const started = await startCluster();
    const load = new CallerLoad({
      entries: started.entryAddresses(),
      service: 'orders',
      keys: 50,
      mix: {get: 0.6, post: 0.3, put: 0.1, upload: 0},
      loop: {kind: 'open', ratePerSecond: 200, maxInFlight: 100},
    });
    load.start();
    await sleep(1_000);
    await load.stop();
    expect(load.report().outcomes.answered).toBeGreaterThan(100);
    expect(
      findViolations({records: started.records(), attempts: load.history()}),
    ).toEqual([]);
  });

  it('keeps the records of a killed server and restarts it', async () => {
    const started = await startCluster();
    await started.killServer('s1');
    expect(started.isRunning('s1')).toBe(false);
    expect(started.losses()).toMatchObject([{server: 's1'}]);
    const ofServer = () =>
      started.records().filter(record => record.server === 's1');
    expect(ofServer().some(record => record.kind === 'run')).toBe(true);
    await started.restartServer('s1');
    await started.waitUntilServing(5_000);
    expect(new Set(ofServer().map(record => record.bootId)).size).toBe(2);
  });

  it('freezes and thaws servers and entries', async () => {
    const started = await startCluster();
    started.freezeServer('s1');
    const server = started.serverAddress('s1');
    await expect(
      fetchStatusCode(server, '/wisteriarun/status'),
    ).rejects.toThrow();
    started.thawServer('s1');
    expect(await fetchStatusCode(server, '/wisteriarun/status')).toBe(200);
    started.freezeEntry('e1');
    const entry = started.entryAddress('e1');
    await expect(fetchStatusCode(entry, '/orders/k')).rejects.toThrow();
    started.thawEntry('e1');
    await started.waitUntilServing(5_000);
  });

  it('kills, restarts, adds and stops entries', async () => {
    const started = await startCluster();
    await started.killEntry('e1');
    await started.waitUntilServing(5_000);
    await started.restartEntry('e1');
    await started.addEntry({id: 'e3', zone: 'zone-a'});
    expect(started.entryAddresses()).toHaveLength(3);
    await started.waitUntilServing(5_000);
    await started.stopEntry('e3');
    expect(started.isRunning('e3')).toBe(false);
  });

  it('switches faults of the log and publishes the next bundle', async () => {
    const started = await startCluster();
    await started.setLogFault({outage: true});
    await expect(started.publishBundle()).rejects.toThrow('503');
    await started.setLogFault({outage: false});
    const bundle = await started.publishBundle({stopped: ['s2']});
    expect(bundle).toMatchObject({version: 2, stopped: ['s2']});
    expect((await started.logCounters()).appends).toEqual({bundle: 2});
  });

  it('leaves no process and no file behind', async () => {
    const started = await startCluster();
    started.freezeServer('s2');
    const address = started.entryAddress('e1');
    await started.close();
    cluster = null;
    for (const id of ['e1', 'e2', 's1', 's2', 'log', 'vm-list']) {
      expect(started.isRunning(id)).toBe(false);
    }
    await expect(fetchStatusCode(address, '/')).rejects.toThrow();
    expect(existsSync(started.directory)).toBe(false);
  });

  it('fails to start when the script of the daemon does not exist', async () => {
    const options = {...OPTIONS, daemonMain: '/nonexistent.js'};
    await expect(Cluster.start(options)).rejects.toThrow('not built');
  });
});

describe('harness parts', () => {
  it('signs bundles so that the published key verifies them', () => {
    const key = createSigningKey('root');
    const bundle = bundleSchema.parse({
      deployment: 'demo',
      version: 1,
      zones: ['a'],
      services: [{id: 'orders', shards: 4}],
      batches: [{id: 'b', state: 'serving'}],
      servers: [
        {
          id: 's1',
          service: 'orders',
          batch: 'b',
          zone: 'a',
          host: '127.0.0.1',
          port: 1,
          slots: 1,
          connections: 1,
        },
      ],
      signers: [{keyId: key.keyId, publicKey: key.publicKey}],
    });
    const {signed} = bundleRecordSchema.parse(bundleRecord(bundle, key));
    const publicKey = createPublicKey({
      key: Buffer.from(key.publicKey, 'base64'),
      format: 'der',
      type: 'spki',
    });
    const signature = Buffer.from(signed.signature, 'base64');
    expect(
      verify(null, Buffer.from(signed.payload), publicKey, signature),
    ).toBe(true);
  });

  it('never gives the same port to two runs', async () => {
    const blocks = await Promise.all(
      Array.from({length: 20}, () => PortBlock.reserve()),
    );
    const ports = await Promise.all(
      blocks.flatMap(block => [block.allocate(), block.allocate()]),
    );
    expect(new Set(ports).size).toBe(ports.length);
    await Promise.all(blocks.map(block => block.close()));
  });
});
