/** Measures the latency that the router adds, and the memory of open uploads. */
import {Cluster, type ClusterOptions} from '@wisteriarun/demo';
import {CallerLoad, sleep} from '@wisteriarun/standins';
import {Agent, request} from 'undici';
import {residentBytes} from './process-usage.js';
import {quantile} from '../capacity/stats.js';
import {roundToDecimals} from './rounding.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const SERVICE = 'recordings';
const SERVICE_TIME_MS = 5;
const REQUEST_COUNT = 1_500;
const WARM_UP_REQUESTS = 200;
const KEY_COUNT = 64;
const OPEN_UPLOADS = 24;
const UPLOAD_BYTES = 4 * 1024 * 1024;
/** Pause before each chunk of 64 KiB, so that an upload takes over 7 s. */
const UPLOAD_CHUNK_PAUSE_MS = 120;
/** Time after which memory is measured; no upload has ended by then. */
const UPLOAD_SETTLE_MS = 5_000;
const SERVING_TIMEOUT_MS = 15_000;

function clusterOptions(
  checksGrants: boolean,
  serverCount: number,
): ClusterOptions {
  return {
    zones: ZONES,
    services: [{id: SERVICE, shards: 64}],
    servers: Array.from({length: serverCount}, (_, index) => ({
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
 * Measures the latency of sequential requests, through the entry VMs and
 * directly to the servers.
 *
 * @returns Number of requests of each kind, their latency quantiles in
 * milliseconds, and the difference of the medians.
 */
export async function measureAddedLatency() {
  const cluster = await Cluster.start(clusterOptions(true, 3));
  try {
    await cluster.waitUntilServing(SERVING_TIMEOUT_MS);
    for (const {id} of cluster.serverSpecs()) {
      await cluster.setServerBehavior(id, {serviceTimeShape: 'fixed'});
    }
    const routedMs = await sendSequentially(cluster.entryAddresses());
    const directMs = await measureDirectLatencies();
    return {
      calls: REQUEST_COUNT,
      directP50Ms: roundToDecimals(quantile(directMs, 0.5), 2),
      routedP50Ms: roundToDecimals(quantile(routedMs, 0.5), 2),
      addedP50Ms: roundToDecimals(
        quantile(routedMs, 0.5) - quantile(directMs, 0.5),
        2,
      ),
      directP99Ms: roundToDecimals(quantile(directMs, 0.99), 2),
      routedP99Ms: roundToDecimals(quantile(routedMs, 0.99), 2),
    };
  } finally {
    await cluster.close();
  }
}

/**
 * Measures requests that are sent directly to servers. These do not check
 * grants, because without a dispatcher nothing grants them their shards.
 */
async function measureDirectLatencies(): Promise<number[]> {
  const cluster = await Cluster.start(clusterOptions(false, 3));
  try {
    const ids = cluster.serverSpecs().map(({id}) => id);
    for (const id of ids) {
      await cluster.setServerBehavior(id, {serviceTimeShape: 'fixed'});
    }
    return await sendSequentially(ids.map(id => cluster.serverAddress(id)));
  } finally {
    await cluster.close();
  }
}

/**
 * Sends one request after the other, to the addresses in turn.
 *
 * @returns Latencies in milliseconds, without those of the warm-up.
 */
async function sendSequentially(
  addresses: readonly string[],
): Promise<number[]> {
  const agent = new Agent({connections: 1});
  const latenciesMs: number[] = [];
  for (let i = 0; i < WARM_UP_REQUESTS + REQUEST_COUNT; i++) {
    const address = addresses[i % addresses.length]!;
    const url = `http://${address}/${SERVICE}/key-${i % KEY_COUNT}`;
    const startMs = performance.now();
    const response = await request(url, {dispatcher: agent});
    await response.body.dump();
    if (i >= WARM_UP_REQUESTS) latenciesMs.push(performance.now() - startMs);
  }
  await agent.close();
  return latenciesMs;
}

/**
 * Measures the resident memory of the entry VMs while many slow uploads are
 * open.
 *
 * @returns Number and size of the uploads, growth of the resident memory of all
 * entry VMs for each upload in KiB, uploads answered, and checksum errors.
 */
export async function measureUploadMemory() {
  const cluster = await Cluster.start(clusterOptions(true, 9));
  try {
    await cluster.waitUntilServing(SERVING_TIMEOUT_MS);
    const residentBeforeBytes = totalResidentBytes(cluster);
    const load = new CallerLoad({
      entries: cluster.entryAddresses(),
      service: SERVICE,
      keys: KEY_COUNT,
      uploadService: SERVICE,
      uploadKeys: KEY_COUNT,
      uploadBytes: UPLOAD_BYTES,
      uploadChunkPauseMs: UPLOAD_CHUNK_PAUSE_MS,
      uploadTimeoutMs: 60_000,
      mix: {get: 0, post: 0, put: 0, upload: 1},
      loop: {kind: 'closed', callerCount: OPEN_UPLOADS, thinkTimeMs: 0},
      probeIntervalMs: null,
    });
    load.start();
    await sleep(UPLOAD_SETTLE_MS);
    const residentDuringBytes = totalResidentBytes(cluster);
    await load.stop();
    const {outcomes, checksumErrors} = load.report();
    return {
      openUploads: OPEN_UPLOADS,
      uploadBytes: UPLOAD_BYTES,
      residentKbPerUpload: roundToDecimals(
        (residentDuringBytes - residentBeforeBytes) / OPEN_UPLOADS / 1024,
      ),
      answered: outcomes.answered,
      checksumErrors,
    };
  } finally {
    await cluster.close();
  }
}

function totalResidentBytes(cluster: Cluster): number {
  return cluster
    .entryPids()
    .map(residentBytes)
    .reduce((sum, bytes) => sum + bytes, 0);
}
