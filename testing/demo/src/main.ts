#!/usr/bin/env node
/**
 * Demo: kills a server of a deployment under load, and prints what was measured
 * and whether the guarantees held. An optional argument is the path of a script
 * to run in place of the daemon.
 */
import {
  CallerLoad,
  findViolations,
  measureChurn,
  measureImbalance,
  sleep,
  wallMs,
  type Violation,
} from '@wisteriarun/standins';
import {Cluster, type EntrySpec, type ServerSpec} from './cluster.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const KEYED_SERVICE = 'transcripts';
const UPLOAD_SERVICE = 'recordings';
const LOAD_MS = 20_000;
const KILL_AFTER_MS = 8_000;
const KILLED_SERVER = 'keyed-2';
const TOTAL_TIMEOUT_MS = 45_000;
/** Longest wait until all entry VMs answer reads of every service. */
const SERVING_TIMEOUT_MS = 9_000;
/**
 * Longest time after the kill for which the guarantees allow a key to be
 * without an answer.
 */
const GAP_LIMIT_MS = 3_000;

const zoneOf = (index: number) => ZONES[index % ZONES.length]!;

const KEYED_SPEEDS = [0.6, 1, 1.4, 1, 0.8, 1.6];
const SERVERS: readonly ServerSpec[] = [
  ...KEYED_SPEEDS.map((speed, index) => ({
    id: `keyed-${index + 1}`,
    service: KEYED_SERVICE,
    zone: zoneOf(index),
    slots: 3,
    speed,
    serviceTimeMs: 10,
  })),
  ...ZONES.map((zone, index) => ({
    id: `upload-${index + 1}`,
    service: UPLOAD_SERVICE,
    zone,
    slots: 3,
    serviceTimeMs: 10,
  })),
];

const ENTRIES: readonly EntrySpec[] = Array.from({length: 6}, (_, index) => ({
  id: `entry-${index + 1}`,
  zone: zoneOf(index),
  capacity: index < 3 ? 2 : 1,
}));

/** Prints one `name=value` line of the result. */
const print = (name: string, value: string | number) =>
  process.stdout.write(`${name}=${value}\n`);

const round = (value: number) => Math.round(value * 100) / 100;

async function runDemo(): Promise<string[]> {
  const cluster = await Cluster.start({
    zones: ZONES,
    services: [
      {id: KEYED_SERVICE, shards: 64},
      {id: UPLOAD_SERVICE, shards: 16},
    ],
    servers: SERVERS,
    entries: ENTRIES,
    daemonMain: process.argv[2],
    keepDirectory: process.env['WISTERIARUN_DEMO_KEEP'] === '1',
  });
  try {
    return await measure(cluster);
  } finally {
    await cluster.close();
  }
}

async function measure(cluster: Cluster): Promise<string[]> {
  const inForceMs = await cluster.waitUntilServing(SERVING_TIMEOUT_MS);
  print('bundle_in_force_ms', Math.round(inForceMs));
  const load = new CallerLoad({
    entries: cluster.entryAddresses(),
    service: KEYED_SERVICE,
    keys: 500,
    uploadService: UPLOAD_SERVICE,
    uploadBytes: 2 * 1024 * 1024,
    uploadChunkPauseMs: 5,
    mix: {get: 0.68, post: 0.2, put: 0.1, upload: 0.02},
    loop: {kind: 'open', ratePerSecond: 200, maxInFlight: 1_000},
  });
  load.start();
  await sleep(KILL_AFTER_MS);
  await cluster.killServer(KILLED_SERVER);
  await sleep(LOAD_MS - KILL_AFTER_MS);
  await load.stop();
  return report(cluster, load);
}

/**
 * Prints the measured values.
 *
 * @returns One line per failed check.
 */
function report(cluster: Cluster, load: CallerLoad): string[] {
  const records = cluster.records();
  const attempts = load.history();
  const losses = cluster.losses();
  const result = load.report();
  print('requests', result.requests);
  print('answered', result.outcomes.answered);
  print('not_run', result.outcomes['not-run']);
  print('unknown', result.outcomes.unknown);
  print('timeouts', result.outcomes.timeout);
  print('transport_errors', result.outcomes['transport-error']);
  print('reasons', JSON.stringify(result.reasons));
  print('resends', result.resends);
  print('acknowledged_filings', result.acknowledgedFilings);
  print('uploaded_bytes', result.uploadedBytes);
  print('read_p50_ms', round(result.latency.get.p50Ms));
  print('read_p99_ms', round(result.latency.get.p99Ms));
  printImbalance(cluster);
  const churn = measureChurn(records, losses);
  print('churn_moved', churn.moved);
  print('churn_fewest', churn.fewest);
  print('unavailable_key_ms', Math.round(result.unavailableKeyMs));
  print('longest_gap_ms', Math.round(result.longestGapMs));
  const violations = findViolations({records, attempts});
  const count = (kind: Violation['kind']) =>
    violations.filter(violation => violation.kind === kind).length;
  print('double_owners', count('double-owner'));
  print('double_runs', count('double-run'));
  print('lost_filings', count('lost-filing'));
  print('not_run_that_ran', count('not-run-ran'));
  print('stale_reads', count('stale-read'));
  print('broken_checksums', count('broken-checksum'));
  const failedChecks = violations.map(
    ({kind, subject, detail}) => `${kind} ${subject} ${detail}`,
  );
  const killedAtMs = losses[0]?.atMs ?? Infinity;
  for (const gap of load.gaps()) {
    const lengthMs = gap.toMs - Math.max(gap.fromMs, killedAtMs);
    if (lengthMs <= GAP_LIMIT_MS) continue;
    failedChecks.push(
      `unavailable ${gap.service}/${gap.key} for ${Math.round(lengthMs)} ms`,
    );
  }
  // If no request of an operation is answered, the checks above pass trivially.
  for (const operation of ['get', 'post', 'put', 'upload'] as const) {
    if (result.latency[operation].count === 0) {
      failedChecks.push(`no ${operation} was answered`);
    }
  }
  return failedChecks;
}

/**
 * Prints the median and maximum imbalance of the keyed servers over the time
 * windows of the run.
 */
function printImbalance(cluster: Cluster): void {
  const losses = new Map(cluster.losses().map(l => [l.server, l.atMs]));
  const servers = cluster
    .serverSpecs()
    .filter(({service}) => service === KEYED_SERVICE)
    .map(({id, slots}) => ({id, slots, goneAtMs: losses.get(id)}));
  const ratios = measureImbalance(cluster.records(), servers)
    .map(window => window.ratio)
    .sort((a, b) => a - b);
  print('imbalance_median', round(ratios[ratios.length >> 1] ?? 0));
  print('imbalance_max', round(ratios.at(-1) ?? 0));
}

// On `process.exit` the harness kills its children and removes its files.
setTimeout(() => {
  process.stdout.write(
    `failed: the demo did not finish within ${TOTAL_TIMEOUT_MS} ms\n`,
  );
  process.exit(1);
}, TOTAL_TIMEOUT_MS).unref();
process.once('SIGINT', () => process.exit(130));
process.once('SIGTERM', () => process.exit(143));

const startMs = wallMs();
try {
  const failedChecks = await runDemo();
  print('duration_ms', Math.round(wallMs() - startMs));
  for (const line of failedChecks.slice(0, 20)) print('broken', line);
  print(
    'result',
    failedChecks.length === 0 ? 'kept' : `broken ${failedChecks.length}`,
  );
  process.exitCode = failedChecks.length === 0 ? 0 : 1;
} catch (error) {
  process.stdout.write(`failed: ${(error as Error).message}\n`);
  process.exitCode = 1;
}
