/** Measures failover and bundle roll-out times on a cluster of processes. */
import {request} from 'undici';
import {HEADERS} from '@wisteriarun/core';
import {Cluster, type EntrySpec, type ServerSpec} from '@wisteriarun/demo';
import {ownersViewSchema, statusViewSchema} from '@wisteriarun/operator';
import {CallerLoad, sleep} from '@wisteriarun/standins';
import {median, quantile, roundToSignificant} from '../capacity/stats.js';
import type {ResultRow} from './compare.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const SERVICE = 'transcripts';
const START_TIMEOUT_MS = 20_000;
const PROBE_KEY_COUNT = 72;
const PROBE_INTERVAL_MS = 25;
const PROBE_TIMEOUT_MS = 4_000;
const ANSWER_TIMEOUT_MS = 8_000;
const SERVER_KILLS = 6;
const ASSIGNER_KILLS = 3;
const BUNDLE_COUNT = 10;
const STEADY_DURATION_MS = 15_000;
const LOAD_REQUESTS_PER_SECOND = 100;
const LOAD_KEY_COUNT = 300;

const zoneAt = (index: number) => ZONES[index % ZONES.length]!;

const SERVERS: readonly ServerSpec[] = Array.from({length: 9}, (_, i) => ({
  id: `server-${i + 1}`,
  service: SERVICE,
  zone: zoneAt(i),
  slots: 3,
  speed: [0.6, 1, 1.6][Math.floor(i / 3)]!,
  serviceTimeMs: 10,
}));

const ENTRIES: readonly EntrySpec[] = Array.from({length: 6}, (_, i) => ({
  id: `entry-${i + 1}`,
  zone: zoneAt(i),
}));

const PROBE_KEYS = Array.from(
  {length: PROBE_KEY_COUNT},
  (_, i) => `probe-${i}`,
);

/**
 * Runs all measurements on one cluster under a steady load.
 *
 * @returns One row for each measurement.
 */
export async function measureCluster(): Promise<ResultRow[]> {
  const cluster = await Cluster.start({
    zones: ZONES,
    services: [{id: SERVICE, shards: 128}],
    servers: SERVERS,
    entries: ENTRIES,
  });
  const load = new CallerLoad({
    entries: cluster.entryAddresses(),
    service: SERVICE,
    keys: LOAD_KEY_COUNT,
    mix: {get: 0.7, post: 0.2, put: 0.1, upload: 0},
    loop: {
      kind: 'open',
      ratePerSecond: LOAD_REQUESTS_PER_SECOND,
      maxInFlight: 500,
    },
  });
  try {
    await cluster.waitUntilServing(START_TIMEOUT_MS);
    load.start();
    // Runs the load for some time before the first measurement.
    await sleep(5_000);
    return [
      await measureSteadyAppends(cluster),
      await measureRollOut(cluster),
      ...(await measureServerFailures(cluster)),
      ...(await measureAssignerFailures(cluster)),
    ];
  } finally {
    await load.stop();
    await cluster.close();
  }
}

/** Measures how many records the deployment appends to the log per second. */
async function measureSteadyAppends(cluster: Cluster): Promise<ResultRow> {
  const appendsBefore = await countAppends(cluster);
  await sleep(STEADY_DURATION_MS);
  const appends = (await countAppends(cluster)) - appendsBefore;
  const appendsPerSecond = (appends * 1_000) / STEADY_DURATION_MS;
  return makeRow(
    'appends in steady state, 1/s',
    [appendsPerSecond],
    'several hundred',
  );
}

async function countAppends(cluster: Cluster): Promise<number> {
  const {appends} = await cluster.logCounters();
  return Object.values(appends).reduce((sum, n) => sum + n, 0);
}

/** Measures the time from publishing a bundle until every entry VM uses it. */
async function measureRollOut(cluster: Cluster): Promise<ResultRow> {
  const rollOutTimesMs: number[] = [];
  for (let i = 0; i < BUNDLE_COUNT; i++) {
    const startMs = performance.now();
    const {version} = await cluster.publishBundle();
    await Promise.all(
      ENTRIES.map(async ({id}) => {
        while (
          ((await fetchStatus(cluster, id)).bundle?.version ?? 0) < version
        ) {
          await sleep(5);
        }
      }),
    );
    rollOutTimesMs.push(performance.now() - startMs);
  }
  return makeRow('bundle in force at 6 entries, ms', rollOutTimesMs, 9_000);
}

/** Kills one server after the other and probes the keys that it owned. */
async function measureServerFailures(cluster: Cluster): Promise<ResultRow[]> {
  const answerTimesMs: number[] = [];
  const appendsPerSecond: number[] = [];
  const entries = ENTRIES.map(({id}) => cluster.entryAddress(id));
  for (const {id} of SERVERS.slice(0, SERVER_KILLS)) {
    const keys = await findProbeKeys(
      cluster,
      placement => placement.server === id,
    );
    if (keys.length === 0) continue;
    const appendsBefore = await countAppends(cluster);
    const killedAtMs = performance.now();
    const exited = cluster.killServer(id);
    answerTimesMs.push(
      ...(await measureTimeToAnswer(entries, keys, killedAtMs)),
    );
    await exited;
    // Appends are counted for 5 s after the kill, or longer if the probes take
    // longer.
    await sleep(Math.max(0, 5_000 - (performance.now() - killedAtMs)));
    const appends = (await countAppends(cluster)) - appendsBefore;
    appendsPerSecond.push(appends / ((performance.now() - killedAtMs) / 1_000));
    await cluster.restartServer(id);
    await sleep(1_500);
  }
  return [
    makeRow(
      'key without answer after loss of a server, ms',
      answerTimesMs,
      3_000,
    ),
    makeRow(
      'appends in the 5 s after a loss, 1/s',
      appendsPerSecond,
      'several hundred',
    ),
  ];
}

/**
 * Kills the assigner of one zone after the other, and probes the keys that it
 * dispatched and the other keys of the zone through the remaining entry VMs.
 */
async function measureAssignerFailures(cluster: Cluster): Promise<ResultRow[]> {
  const ownKeyTimesMs: number[] = [];
  const otherKeyTimesMs: number[] = [];
  const newTermTimesMs: number[] = [];
  for (const zone of ZONES.slice(0, ASSIGNER_KILLS)) {
    const assignerTerm = (
      await fetchStatus(cluster, ENTRIES[0]!.id)
    ).terms.find(t => t.zone === zone)!;
    // A holder is `<VM id>.<first 8 characters of its boot id>`.
    const assignerEntry = ENTRIES.find(({id}) =>
      assignerTerm.holder.startsWith(`${id}.`),
    )!;
    const ownKeys = await findProbeKeys(
      cluster,
      placement => placement.dispatcher === assignerTerm.holder,
    );
    const otherKeys = (
      await findProbeKeys(cluster, placement => placement.zone === zone)
    ).filter(key => !ownKeys.includes(key));
    const survivors = ENTRIES.filter(({id}) => id !== assignerEntry.id);
    const survivorAddresses = survivors.map(({id}) => cluster.entryAddress(id));
    const killedAtMs = performance.now();
    const exited = cluster.killEntry(assignerEntry.id);
    const [ownTimesMs, otherTimesMs, newTermMs] = await Promise.all([
      measureTimeToAnswer(survivorAddresses, ownKeys, killedAtMs),
      measureTimeToAnswer(survivorAddresses, otherKeys, killedAtMs),
      measureTimeToNewTerm(
        cluster,
        survivors[0]!.id,
        zone,
        assignerTerm.term,
        killedAtMs,
      ),
    ]);
    await exited;
    ownKeyTimesMs.push(...ownTimesMs);
    otherKeyTimesMs.push(...otherTimesMs);
    newTermTimesMs.push(newTermMs);
    await cluster.restartEntry(assignerEntry.id);
    // `restartEntry` does not wait until the process serves requests.
    await sleep(4_000);
  }
  return [
    makeRow('new term after loss of the assigner, ms', newTermTimesMs, 3_000),
    makeRow(
      'key of the lost dispatcher without answer, ms',
      ownKeyTimesMs,
      3_000,
    ),
    makeRow('other key of the zone without answer, ms', otherKeyTimesMs, 3_000),
  ];
}

/**
 * Measures the time from `killedAtMs` until an entry VM knows a newer term of
 * the zone, or the time waited if that exceeds `ANSWER_TIMEOUT_MS`.
 */
async function measureTimeToNewTerm(
  cluster: Cluster,
  entry: string,
  zone: string,
  formerTerm: number,
  killedAtMs: number,
): Promise<number> {
  while (performance.now() - killedAtMs < ANSWER_TIMEOUT_MS) {
    const {terms} = await fetchStatus(cluster, entry);
    if (terms.some(t => t.zone === zone && t.term > formerTerm)) break;
    await sleep(10);
  }
  return performance.now() - killedAtMs;
}

/**
 * Measures for each key the time from `startMs` until a probe is answered, or
 * the time waited if that exceeds `ANSWER_TIMEOUT_MS`.
 */
function measureTimeToAnswer(
  entries: readonly string[],
  keys: readonly string[],
  startMs: number,
): Promise<number[]> {
  return Promise.all(
    keys.map(async (key, index) => {
      let answeredAtMs = Infinity;
      for (let i = index; answeredAtMs === Infinity; i++) {
        const waitedMs = performance.now() - startMs;
        if (waitedMs > ANSWER_TIMEOUT_MS) return waitedMs;
        const address = entries[i % entries.length]!;
        // Probes overlap, so that a lost one does not delay the next.
        void isAnswered(address, key).then(answered => {
          if (!answered) return;
          answeredAtMs = Math.min(answeredAtMs, performance.now());
        });
        await sleep(PROBE_INTERVAL_MS);
      }
      return answeredAtMs - startMs;
    }),
  );
}

async function isAnswered(address: string, key: string): Promise<boolean> {
  try {
    const {headers, body} = await request(
      `http://${address}/${SERVICE}/${key}`,
      {
        headers: {[HEADERS.requestTimeoutMs]: String(PROBE_TIMEOUT_MS)},
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      },
    );
    await body.dump();
    return headers[HEADERS.outcome] === 'answered';
  } catch {
    return false;
  }
}

/** Owner of a shard, its dispatcher and its zone, as `/owners` returns them. */
interface ShardPlacement {
  readonly server: string | null;
  readonly dispatcher: string | null;
  readonly zone: string;
}

/** Returns the probe keys whose shards have a matching placement. */
async function findProbeKeys(
  cluster: Cluster,
  matches: (placement: ShardPlacement) => boolean,
): Promise<string[]> {
  const {rows} = ownersViewSchema.parse(
    await fetchOperatorView(cluster, ENTRIES[0]!.id, '/owners'),
  );
  const rowByShard = new Map(rows.map(r => [r.shard, r]));
  const matchingKeys: string[] = [];
  for (const key of PROBE_KEYS) {
    const shard = await fetchShardOfKey(cluster, key);
    const placement = rowByShard.get(shard);
    if (placement && matches(placement)) matchingKeys.push(key);
  }
  return matchingKeys;
}

/** Shards of the probe keys that have been fetched. */
const shardByKey = new Map<string, number>();

async function fetchShardOfKey(cluster: Cluster, key: string): Promise<number> {
  const known = shardByKey.get(key);
  if (known !== undefined) return known;
  const path = `/explain?service=${SERVICE}&key=${key}`;
  const view = await fetchOperatorView(cluster, ENTRIES[0]!.id, path);
  const {shard} = view as {shard: number};
  shardByKey.set(key, shard);
  return shard;
}

async function fetchStatus(cluster: Cluster, entry: string) {
  return statusViewSchema.parse(
    await fetchOperatorView(cluster, entry, '/status'),
  );
}

async function fetchOperatorView(
  cluster: Cluster,
  entry: string,
  path: string,
): Promise<unknown> {
  const address = cluster.operatorAddress(entry);
  const {body} = await request(`http://${address}${path}`, {
    headers: {authorization: `Bearer ${cluster.operatorToken}`},
  });
  return body.json();
}

/**
 * Makes the row of one measurement.
 *
 * @param measure - Name and unit of the measured value.
 * @param values - Measured values.
 * @param target - Value that should not be exceeded, as a number or in words.
 */
function makeRow(
  measure: string,
  values: readonly number[],
  target: string | number,
): ResultRow {
  return {
    measure,
    samples: values.length,
    median: roundToSignificant(median(values), 4),
    max: roundToSignificant(quantile(values, 1), 4),
    target,
  };
}
