/** Latency, goodput and imbalance at several loads, router against baseline. */
import {fileURLToPath} from 'node:url';
import {Cluster, type ClusterOptions} from '@wisteriarun/demo';
import {
  CallerLoad,
  check,
  measureImbalance,
  sleep,
  wallMs,
  type Attempt,
} from '@wisteriarun/standins';
import {cpuTimeMs} from './process-usage.js';
import {quantile} from '../capacity/stats.js';
import {roundToDecimals} from './rounding.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const SERVICE = 'storefront';
const SERVERS = 12;
const ENTRIES = 6;
const SLOTS = 4;
const SERVICE_TIME_MS = 40;
const SPEEDS = [0.6, 0.8, 1, 1, 1.2, 1.4] as const;
const SHARDS = 256;
const KEYS = 4_000;
const ZIPF_EXPONENT = 0.7;
const HOT_SHARE = 0.02;
const TIMEOUT_MS = 2_000;
const SETTLE_MS = 6_000;
const MEASURE_MS = 12_000;
const SERVING_LIMIT_MS = 15_000;

/** Ways of sending that are compared. */
export type RoutingMode = 'router' | 'direct';

/** Result of one run. */
export interface LevelResult {
  readonly mode: RoutingMode;
  readonly levelPercent: number;
  readonly offeredPerSecond: number;
  readonly goodputPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly imbalanceMedian: number;
  readonly imbalanceMax: number;
  readonly entryCpuMsPerRequest: number;
  readonly violations: number;
}

const DIRECT_MAIN = fileURLToPath(
  new URL('./direct-entry-main.js', import.meta.url),
);
const zoneOf = (index: number) => ZONES[index % ZONES.length]!;

function options(mode: RoutingMode): ClusterOptions {
  return {
    zones: ZONES,
    services: [{id: SERVICE, shards: SHARDS}],
    servers: Array.from({length: SERVERS}, (_, index) => ({
      id: `server-${index + 1}`,
      service: SERVICE,
      zone: zoneOf(index),
      slots: SLOTS,
      // Every zone gets the same mix of speeds.
      speed: SPEEDS[Math.floor(index / ZONES.length) % SPEEDS.length],
      serviceTimeMs: SERVICE_TIME_MS,
      checksGrants: mode === 'router',
    })),
    entries: Array.from({length: ENTRIES}, (_, index) => ({
      id: `entry-${index + 1}`,
      zone: zoneOf(index),
      capacity: index < ZONES.length ? 2 : 1,
    })),
    daemonMain: mode === 'direct' ? DIRECT_MAIN : undefined,
  };
}

/**
 * Work that all servers can do together.
 *
 * @returns Requests per second.
 */
export function capacityPerSecond(): number {
  const speeds = options('router').servers.map(server => server.speed ?? 1);
  const total = speeds.reduce((sum, speed) => sum + speed, 0);
  return (total * SLOTS * 1_000) / SERVICE_TIME_MS;
}

/**
 * Runs one load level.
 *
 * @param mode - Way of sending.
 * @param levelPercent - Offered load in percent of the servers' capacity.
 * @returns What was measured after the load had settled.
 */
export async function runLevel(
  mode: RoutingMode,
  levelPercent: number,
): Promise<LevelResult> {
  const cluster = await Cluster.start(options(mode));
  try {
    await cluster.waitUntilServing(SERVING_LIMIT_MS);
    return await measure(cluster, mode, levelPercent);
  } finally {
    await cluster.close();
  }
}

async function measure(
  cluster: Cluster,
  mode: RoutingMode,
  levelPercent: number,
): Promise<LevelResult> {
  const offeredPerSecond = (capacityPerSecond() * levelPercent) / 100;
  const load = new CallerLoad({
    entries: cluster.entryAddresses(),
    service: SERVICE,
    keys: KEYS,
    mix: {get: 0.8, post: 0.15, put: 0.05, upload: 0},
    loop: {kind: 'open', ratePerSecond: offeredPerSecond, maxInFlight: 5_000},
    zipfExponent: ZIPF_EXPONENT,
    hotShare: HOT_SHARE,
    timeoutMs: TIMEOUT_MS,
    maxResends: 0,
    probeIntervalMs: null,
  });
  load.start();
  await sleep(SETTLE_MS);
  const fromMs = wallMs();
  const cpuBeforeMs = entryCpuMs(cluster);
  await sleep(MEASURE_MS);
  const cpuMs = entryCpuMs(cluster) - cpuBeforeMs;
  const toMs = wallMs();
  await load.stop();
  const measured = load
    .history()
    .filter(({startMs, endMs}) => startMs >= fromMs && endMs <= toMs);
  return {
    mode,
    levelPercent,
    offeredPerSecond: roundToDecimals(offeredPerSecond),
    ...summarize(measured, toMs - fromMs),
    ...imbalance(cluster, fromMs, toMs),
    entryCpuMsPerRequest: roundToDecimals(cpuMs / measured.length, 3),
    violations: check({records: cluster.records(), attempts: load.history()})
      .length,
  };
}

function entryCpuMs(cluster: Cluster): number {
  return cluster
    .entryPids()
    .map(cpuTimeMs)
    .reduce((sum, ms) => sum + ms, 0);
}

function summarize(attempts: readonly Attempt[], durationMs: number) {
  const answered = attempts.filter(({outcome}) => outcome === 'answered');
  const latencies = answered.map(({startMs, endMs}) => endMs - startMs);
  const count = (outcome: Attempt['outcome']) =>
    attempts.filter(attempt => attempt.outcome === outcome).length;
  return {
    goodputPerSecond: roundToDecimals((answered.length * 1_000) / durationMs),
    p50Ms: roundToDecimals(quantile(latencies, 0.5)),
    p99Ms: roundToDecimals(quantile(latencies, 0.99)),
    p999Ms: roundToDecimals(quantile(latencies, 0.999)),
    notRun: count('not-run'),
    unknown: attempts.length - answered.length - count('not-run'),
  };
}

function imbalance(cluster: Cluster, fromMs: number, toMs: number) {
  const servers = cluster.serverSpecs().map(({id, slots}) => ({id, slots}));
  const ratios = measureImbalance(cluster.records(), servers, 2_000)
    .filter(window => window.fromMs >= fromMs && window.fromMs <= toMs)
    .map(({ratio}) => ratio);
  return {
    imbalanceMedian: roundToDecimals(quantile(ratios, 0.5), 2),
    imbalanceMax: roundToDecimals(Math.max(...ratios), 2),
  };
}
