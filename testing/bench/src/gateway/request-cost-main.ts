#!/usr/bin/env node
/**
 * Processor time of the built gateway for each request, and at idle, against a
 * bare forwarder in the same run. Both stand between the same callers and one
 * server; the way is chosen anew for each round, so that load on the machine
 * touches both.
 */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {PlatformBackendServer, PlatformStore} from '@wisteriarun/standins';
import {Pool} from 'undici';
import {cpuTimeMs, residentBytes} from '../request/process-usage.js';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const HOST = 'court.example';
const ROUNDS = 6;
const REQUESTS_PER_ROUND = 3_000;
const CONCURRENCY = 6;
const WARM_UP_REQUESTS = 3_000;
const IDLE_MS = 10_000;
const HEARTBEAT_MS = 870;
const READY_TRIES = 100;
const READY_PAUSE_MS = 100;
const BYTES_PER_MB = 1_048_576;

const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

const bundle = JSON.stringify({
  version: 'r1',
  resources: [
    {
      type: 'routes',
      metadata: {name: 'reads'},
      spec: {
        host: HOST,
        path_prefix: '/read/',
        kind: 'safe',
        timeout: '500ms',
        service: 'records',
        max_attempts: 2,
      },
    },
    {
      type: 'services',
      metadata: {name: 'records'},
      spec: {max_conns: 130, sharded: true, warm: '3s'},
    },
    {
      type: 'limits',
      metadata: {},
      spec: {
        max_header_bytes: 8_192,
        max_body_bytes: 2_000_000,
        header_timeout: '1s',
        idle_timeout: '5s',
      },
    },
  ],
});

/** One way from callers to the server. */
interface Way {
  readonly name: string;
  readonly child: ChildProcess;
  readonly callers: Pool;
}

async function send(callers: Pool): Promise<number> {
  const answer = await callers.request({
    method: 'GET',
    path: '/read/expediente',
    headers: {
      host: HOST,
      'request-id': Math.random().toString(16).slice(2),
      'deadline-ms': '500',
      'shard-key': String(Math.floor(Math.random() * 65_536)),
    },
  });
  await answer.body.dump();
  return answer.statusCode;
}

/** Returns how many requests were not answered with 200. */
async function load(way: Way, count: number): Promise<number> {
  let left = count;
  let failed = 0;
  const caller = async () => {
    while (left > 0) {
      left -= 1;
      if ((await send(way.callers)) !== 200) failed += 1;
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, caller));
  return failed;
}

async function untilServed(way: Way): Promise<void> {
  for (let tries = 0; tries < READY_TRIES; tries += 1) {
    try {
      if ((await send(way.callers)) === 200) return;
    } catch {
      // Not listening yet.
    }
    await delay(READY_PAUSE_MS);
  }
  throw new Error(`${way.name} does not serve`);
}

const median = (values: number[]) =>
  [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0;

const store = new PlatformStore();
const storeAt = await store.start();
store.put('keyed.op', 'config', bundle);
const server = new PlatformBackendServer({
  id: 'i-1',
  slots: 64,
  maxQueueLength: 64,
});
const serverAt = await server.start();
const serverAddress = `${serverAt.host}:${serverAt.port}`;
let sequence = 0;
const describe = () => {
  sequence += 1;
  const entry = {
    addr: serverAddress,
    born: 1_700_000_000_000,
    info: {service: 'records', version: 'v1', zone: 'a', slots: 64},
    status: {state: 'ready', seq: sequence},
  };
  store.put('keyed.servers', 'i-1', JSON.stringify(entry));
};
describe();
const heartbeats = setInterval(describe, HEARTBEAT_MS);
const folder = mkdtempSync(join(tmpdir(), 'wisteriarun-cost-'));
const [callersPort, readiness, peers, metrics, barePort] = await Promise.all(
  Array.from({length: 5}, freePort),
);
const settings = join(folder, 'node.ini');
writeFileSync(
  settings,
  `[vm]\nid=vm-1\nzone=a\nhost=127.0.0.1
[listen]\ncallers=127.0.0.1:${callersPort}\nreadiness=127.0.0.1:${readiness}
peer_port=${peers}\nmetrics_port=${metrics}
[store]\naddress=${storeAt.host}:${storeAt.port}\n`,
);

function start(name: string, args: string[], port: number | undefined): Way {
  const child = spawn('node', args, {
    cwd: ROOT,
    env: {...process.env, WISTERIARUN_BOOT: settings},
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  return {name, child, callers: new Pool(`http://127.0.0.1:${port}`)};
}

const gateway = start('gateway', ['target/wisteriarun.mjs'], callersPort);
const bareProgram = 'testing/bench/dist/gateway/bare-forwarder-main.js';
const bare = start(
  'bare forwarder',
  [bareProgram, String(barePort), serverAddress],
  barePort,
);
try {
  await untilServed(gateway);
  await untilServed(bare);
  const costs = new Map<Way, number[]>([
    [gateway, []],
    [bare, []],
  ]);
  let failed = 0;
  for (const way of costs.keys()) failed += await load(way, WARM_UP_REQUESTS);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [way, figures] of costs) {
      const beforeMs = cpuTimeMs(way.child.pid!);
      failed += await load(way, REQUESTS_PER_ROUND);
      const usedMs = cpuTimeMs(way.child.pid!) - beforeMs;
      figures.push((usedMs * 1_000) / REQUESTS_PER_ROUND);
    }
  }
  for (const [{name, child}, figures] of costs) {
    const idleBeforeMs = cpuTimeMs(child.pid!);
    await delay(IDLE_MS);
    const idleCores = (cpuTimeMs(child.pid!) - idleBeforeMs) / IDLE_MS;
    const memoryMb = residentBytes(child.pid!) / BYTES_PER_MB;
    console.log(
      `${name}: ${median(figures).toFixed(0)} us/request ` +
        `(${figures.map(figure => figure.toFixed(0)).join(', ')}), ` +
        `idle ${idleCores.toFixed(4)} cores, ${memoryMb.toFixed(0)} MB`,
    );
  }
  const ratio = median(costs.get(gateway)!) / median(costs.get(bare)!);
  console.log(`ratio ${ratio.toFixed(2)}, ${failed} requests not served`);
} finally {
  clearInterval(heartbeats);
  for (const {child, callers} of [gateway, bare]) {
    child.kill('SIGKILL');
    await callers.destroy();
  }
  await server.close();
  await store.close();
  rmSync(folder, {recursive: true});
}
