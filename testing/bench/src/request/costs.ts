/** Added latency of the router and memory of open uploads. */
import {Cluster, type ClusterOptions} from '@wisteriarun/demo';
import {CallerLoad, sleep} from '@wisteriarun/standins';
import {Agent, request} from 'undici';
import {residentBytes} from './process-usage.js';
import {quantile} from '../capacity/stats.js';
import {roundToDecimals} from './rounding.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const SERVICE = 'recordings';
const SERVICE_TIME_MS = 5;
const CALLS = 1_500;
const WARM_UP_CALLS = 200;
const KEYS = 64;
const UPLOADS = 24;
const UPLOAD_BYTES = 4 * 1024 * 1024;
const CHUNK_PAUSE_MS = 120;
const UPLOAD_SETTLE_MS = 5_000;
const SERVING_LIMIT_MS = 15_000;

function options(checksGrants: boolean, servers: number): ClusterOptions {
  return {
    zones: ZONES,
    services: [{id: SERVICE, shards: 64}],
    servers: Array.from({length: servers}, (_, index) => ({
      id: `server-${index + 1}`,
      service: SERVICE,
      zone: ZONES[index % ZONES.length]!,
      slots: 4,
      serviceTimeMs: SERVICE_TIME_MS,
      checksGrants,
    })),
    entries: ZONES.map((zone, index) => ({id: `entry-${index + 1}`, zone})),
  };
}

/**
 * Sends one request after the other, directly to a server and through the
 * entry VMs.
 *
 * @returns Latencies in milliseconds.
 */
export async function measureAddedLatency() {
  const cluster = await Cluster.start(options(true, 3));
  try {
    await cluster.waitUntilServing(SERVING_LIMIT_MS);
    for (const {id} of cluster.serverSpecs()) {
      await cluster.setServerBehaviour(id, {serviceTimeShape: 'fixed'});
    }
    const routed = await callInTurn(cluster.entryAddresses());
    const direct = await callServers();
    return {
      calls: CALLS,
      directP50Ms: roundToDecimals(quantile(direct, 0.5), 2),
      routedP50Ms: roundToDecimals(quantile(routed, 0.5), 2),
      addedP50Ms: roundToDecimals(
        quantile(routed, 0.5) - quantile(direct, 0.5),
        2,
      ),
      directP99Ms: roundToDecimals(quantile(direct, 0.99), 2),
      routedP99Ms: roundToDecimals(quantile(routed, 0.99), 2),
    };
  } finally {
    await cluster.close();
  }
}

/** Calls servers that do not check grants, with nothing in between. */
async function callServers(): Promise<number[]> {
  const cluster = await Cluster.start(options(false, 3));
  try {
    const ids = cluster.serverSpecs().map(({id}) => id);
    for (const id of ids) {
      await cluster.setServerBehaviour(id, {serviceTimeShape: 'fixed'});
    }
    return await callInTurn(ids.map(id => cluster.serverAddress(id)));
  } finally {
    await cluster.close();
  }
}

async function callInTurn(addresses: readonly string[]): Promise<number[]> {
  const dispatcher = new Agent({connections: 1});
  const latencies: number[] = [];
  for (let call = 0; call < WARM_UP_CALLS + CALLS; call++) {
    const address = addresses[call % addresses.length]!;
    const url = `http://${address}/${SERVICE}/key-${call % KEYS}`;
    const startMs = performance.now();
    const answer = await request(url, {dispatcher});
    await answer.body.dump();
    if (call >= WARM_UP_CALLS) latencies.push(performance.now() - startMs);
  }
  await dispatcher.close();
  return latencies;
}

/**
 * Holds many slow uploads open at the same time.
 *
 * @returns Resident memory of the entry VMs for each open upload.
 */
export async function measureUploadMemory() {
  const cluster = await Cluster.start(options(true, 9));
  try {
    await cluster.waitUntilServing(SERVING_LIMIT_MS);
    const beforeBytes = totalResident(cluster);
    const load = new CallerLoad({
      entries: cluster.entryAddresses(),
      service: SERVICE,
      keys: KEYS,
      uploadService: SERVICE,
      uploadKeys: KEYS,
      uploadBytes: UPLOAD_BYTES,
      uploadChunkPauseMs: CHUNK_PAUSE_MS,
      uploadTimeoutMs: 60_000,
      mix: {get: 0, post: 0, put: 0, upload: 1},
      loop: {kind: 'closed', callers: UPLOADS, thinkTimeMs: 0},
      probeIntervalMs: null,
    });
    load.start();
    await sleep(UPLOAD_SETTLE_MS);
    const duringBytes = totalResident(cluster);
    await load.stop();
    const {outcomes, checksumErrors} = load.report();
    return {
      openUploads: UPLOADS,
      uploadBytes: UPLOAD_BYTES,
      residentKbPerUpload: roundToDecimals(
        (duringBytes - beforeBytes) / UPLOADS / 1024,
      ),
      answered: outcomes.answered,
      checksumErrors,
    };
  } finally {
    await cluster.close();
  }
}

function totalResident(cluster: Cluster): number {
  return cluster
    .entryPids()
    .map(residentBytes)
    .reduce((sum, bytes) => sum + bytes, 0);
}
