/**
 * Compares the router with the direct baseline at several load levels: latency,
 * goodput and imbalance.
 */
import {fileURLToPath} from 'node:url';
import {Cluster, type ClusterOptions} from '@wisteriarun/demo';
import {
  CallerLoad,
  findViolations,
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
const SERVER_COUNT = 12;
const ENTRY_COUNT = 6;
const SLOTS_PER_SERVER = 4;
const SERVICE_TIME_MS = 40;
const SPEEDS = [0.6, 0.8, 1, 1, 1.2, 1.4] as const;
const SHARD_COUNT = 256;
const KEY_COUNT = 4_000;
const ZIPF_EXPONENT = 0.7;
const HOT_KEY_SHARE = 0.02;
const REQUEST_TIMEOUT_MS = 2_000;
/** Time of load before the measured period. */
const SETTLE_MS = 6_000;
const MEASURE_DURATION_MS = 12_000;
const SERVING_TIMEOUT_MS = 15_000;

/** What the entry VMs run: the router, or the direct baseline. */
export type RoutingMode = 'router' | 'direct';

/** Result of one run at one load level. */
export interface LevelResult {
  readonly mode: RoutingMode;
  readonly levelPercent: number;
  readonly offeredPerSecond: number;
  /** Answered requests per second. */
  readonly goodputPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Requests that were refused before they ran. */
  readonly notRun: number;
  /** Requests with neither an answer nor a refusal. */
  readonly unknown: number;
  /** Median and maximum imbalance of the servers over windows of 2 s. */
  readonly imbalanceMedian: number;
  readonly imbalanceMax: number;
  /** Processor time of all entry VMs per request. */
  readonly entryCpuMsPerRequest: number;
  /** Violations that `findViolations` found in the whole run. */
  readonly violations: number;
}

const DIRECT_ENTRY_PATH = fileURLToPath(
  new URL('./direct-entry-main.js', import.meta.url),
);
const zoneAt = (index: number) => ZONES[index % ZONES.length]!;

function clusterOptions(mode: RoutingMode): ClusterOptions {
  return {
    zones: ZONES,
    services: [{id: SERVICE, shards: SHARD_COUNT}],
    servers: Array.from({length: SERVER_COUNT}, (_, index) => ({
      id: `server-${index + 1}`,
      service: SERVICE,
      zone: zoneAt(index),
      slots: SLOTS_PER_SERVER,
      // Every zone gets the same mix of speeds.
      speed: SPEEDS[Math.floor(index / ZONES.length) % SPEEDS.length],
      serviceTimeMs: SERVICE_TIME_MS,
      checksGrants: mode === 'router',
    })),
    entries: Array.from({length: ENTRY_COUNT}, (_, index) => ({
      id: `entry-${index + 1}`,
      zone: zoneAt(index),
      capacity: index < ZONES.length ? 2 : 1,
    })),
    daemonMain: mode === 'direct' ? DIRECT_ENTRY_PATH : undefined,
  };
}

/**
 * Computes the capacity of all servers together.
 *
 * @returns Capacity in requests per second.
 */
export function capacityPerSecond(): number {
  const speeds = clusterOptions('router').servers.map(
    server => server.speed ?? 1,
  );
  const totalSpeed = speeds.reduce((sum, speed) => sum + speed, 0);
  return (totalSpeed * SLOTS_PER_SERVER * 1_000) / SERVICE_TIME_MS;
}

/**
 * Runs one load level.
 *
 * @param mode - What the entry VMs run.
 * @param levelPercent - Offered load in percent of the servers' capacity.
 * @returns Results of the measured period, which starts after the settling time.
 */
export async function runLevel(
  mode: RoutingMode,
  levelPercent: number,
): Promise<LevelResult> {
  const cluster = await Cluster.start(clusterOptions(mode));
  try {
    await cluster.waitUntilServing(SERVING_TIMEOUT_MS);
    return await measureLevel(cluster, mode, levelPercent);
  } finally {
    await cluster.close();
  }
}

async function measureLevel(
  cluster: Cluster,
  mode: RoutingMode,
  levelPercent: number,
): Promise<LevelResult> {
  const offeredPerSecond = (capacityPerSecond() * levelPercent) / 100;
  const load = new CallerLoad({
    entries: cluster.entryAddresses(),
    service: SERVICE,
    keys: KEY_COUNT,
    mix: {get: 0.8, post: 0.15, put: 0.05, upload: 0},
    loop: {kind: 'open', ratePerSecond: offeredPerSecond, maxInFlight: 5_000},
    zipfExponent: ZIPF_EXPONENT,
    hotShare: HOT_KEY_SHARE,
    timeoutMs: REQUEST_TIMEOUT_MS,
    maxResends: 0,
    probeIntervalMs: null,
  });
  load.start();
  await sleep(SETTLE_MS);
  const fromMs = wallMs();
  const cpuBeforeMs = entryCpuMs(cluster);
  await sleep(MEASURE_DURATION_MS);
  const cpuMs = entryCpuMs(cluster) - cpuBeforeMs;
  const toMs = wallMs();
  await load.stop();
  const measuredAttempts = load
    .history()
    .filter(({startMs, endMs}) => startMs >= fromMs && endMs <= toMs);
  return {
    mode,
    levelPercent,
    offeredPerSecond: roundToDecimals(offeredPerSecond),
    ...summarizeAttempts(measuredAttempts, toMs - fromMs),
    ...summarizeImbalance(cluster, fromMs, toMs),
    entryCpuMsPerRequest: roundToDecimals(cpuMs / measuredAttempts.length, 3),
    violations: findViolations({
      records: cluster.records(),
      attempts: load.history(),
    }).length,
  };
}

function entryCpuMs(cluster: Cluster): number {
  return cluster
    .entryPids()
    .map(cpuTimeMs)
    .reduce((sum, ms) => sum + ms, 0);
}

function summarizeAttempts(attempts: readonly Attempt[], durationMs: number) {
  const answeredAttempts = attempts.filter(
    ({outcome}) => outcome === 'answered',
  );
  const latenciesMs = answeredAttempts.map(
    ({startMs, endMs}) => endMs - startMs,
  );
  const countOutcome = (outcome: Attempt['outcome']) =>
    attempts.filter(attempt => attempt.outcome === outcome).length;
  return {
    goodputPerSecond: roundToDecimals(
      (answeredAttempts.length * 1_000) / durationMs,
    ),
    p50Ms: roundToDecimals(quantile(latenciesMs, 0.5)),
    p99Ms: roundToDecimals(quantile(latenciesMs, 0.99)),
    p999Ms: roundToDecimals(quantile(latenciesMs, 0.999)),
    notRun: countOutcome('not-run'),
    unknown:
      attempts.length - answeredAttempts.length - countOutcome('not-run'),
  };
}

function summarizeImbalance(cluster: Cluster, fromMs: number, toMs: number) {
  const servers = cluster.serverSpecs().map(({id, slots}) => ({id, slots}));
  const ratios = measureImbalance(cluster.records(), servers, 2_000)
    .filter(window => window.fromMs >= fromMs && window.fromMs <= toMs)
    .map(({ratio}) => ratio);
  return {
    imbalanceMedian: roundToDecimals(quantile(ratios, 0.5), 2),
    imbalanceMax: roundToDecimals(Math.max(...ratios), 2),
  };
}
