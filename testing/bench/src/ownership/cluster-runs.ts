/** Failover and roll-out times of a deployment of real processes. */
import {request} from 'undici';
import {HEADERS} from '@wisteriarun/core';
import {Cluster, type EntrySpec, type ServerSpec} from '@wisteriarun/demo';
import {ownersViewSchema, statusViewSchema} from '@wisteriarun/operator';
import {CallerLoad, sleep} from '@wisteriarun/standins';
import {median, quantile, roundToSignificant} from '../capacity/stats.js';
import type {ResultRow} from './compare.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const SERVICE = 'transcripts';
const START_LIMIT_MS = 20_000;
const KEYS = 72;
const PROBE_INTERVAL_MS = 25;
const PROBE_DEADLINE_MS = 4_000;
const ANSWER_LIMIT_MS = 8_000;
const SERVER_KILLS = 6;
const ASSIGNER_KILLS = 3;
const BUNDLES = 10;
const STEADY_MS = 15_000;
const RATE_PER_SECOND = 100;
const LOAD_KEYS = 300;

const zoneOf = (index: number) => ZONES[index % ZONES.length]!;

const SERVERS: readonly ServerSpec[] = Array.from({length: 9}, (_, i) => ({
  id: `server-${i + 1}`,
  service: SERVICE,
  zone: zoneOf(i),
  slots: 3,
  speed: [0.6, 1, 1.6][Math.floor(i / 3)]!,
  serviceTimeMs: 10,
}));

const ENTRIES: readonly EntrySpec[] = Array.from({length: 6}, (_, i) => ({
  id: `entry-${i + 1}`,
  zone: zoneOf(i),
}));

const NAMES = Array.from({length: KEYS}, (_, i) => `probe-${i}`);

/**
 * Runs all measurements on one cluster.
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
    keys: LOAD_KEYS,
    mix: {get: 0.7, post: 0.2, put: 0.1, upload: 0},
    loop: {kind: 'open', ratePerSecond: RATE_PER_SECOND, maxInFlight: 500},
  });
  try {
    await cluster.waitUntilServing(START_LIMIT_MS);
    load.start();
    await sleep(5_000);
    return [
      await measureSteady(cluster),
      await measureRollOut(cluster),
      ...(await measureServerLosses(cluster)),
      ...(await measureAssignerLosses(cluster)),
    ];
  } finally {
    await load.stop();
    await cluster.close();
  }
}

async function measureSteady(cluster: Cluster): Promise<ResultRow> {
  const before = await totalAppends(cluster);
  await sleep(STEADY_MS);
  const appends = (await totalAppends(cluster)) - before;
  const rate = (appends * 1_000) / STEADY_MS;
  return row('appends in steady state, 1/s', [rate], 'several hundred');
}

async function totalAppends(cluster: Cluster): Promise<number> {
  const {appends} = await cluster.logCounters();
  return Object.values(appends).reduce((sum, n) => sum + n, 0);
}

async function measureRollOut(cluster: Cluster): Promise<ResultRow> {
  const times: number[] = [];
  for (let i = 0; i < BUNDLES; i++) {
    const startMs = performance.now();
    const {version} = await cluster.publishBundle();
    await Promise.all(
      ENTRIES.map(async ({id}) => {
        while (((await statusOf(cluster, id)).bundle?.version ?? 0) < version) {
          await sleep(5);
        }
      }),
    );
    times.push(performance.now() - startMs);
  }
  return row('bundle in force at 6 entries, ms', times, 9_000);
}

async function measureServerLosses(cluster: Cluster): Promise<ResultRow[]> {
  const gaps: number[] = [];
  const rates: number[] = [];
  const entries = ENTRIES.map(({id}) => cluster.entryAddress(id));
  for (const {id} of SERVERS.slice(0, SERVER_KILLS)) {
    const keys = await keysWhere(cluster, r => r.server === id);
    if (keys.length === 0) continue;
    const before = await totalAppends(cluster);
    const startMs = performance.now();
    const killed = cluster.killServer(id);
    gaps.push(...(await timeToAnswer(entries, keys, startMs)));
    await killed;
    await sleep(Math.max(0, 5_000 - (performance.now() - startMs)));
    const appends = (await totalAppends(cluster)) - before;
    rates.push(appends / ((performance.now() - startMs) / 1_000));
    await cluster.restartServer(id);
    await sleep(1_500);
  }
  return [
    row('key without answer after loss of a server, ms', gaps, 3_000),
    row('appends in the 5 s after a loss, 1/s', rates, 'several hundred'),
  ];
}

async function measureAssignerLosses(cluster: Cluster): Promise<ResultRow[]> {
  const gaps: number[] = [];
  const others: number[] = [];
  const terms: number[] = [];
  for (const zone of ZONES.slice(0, ASSIGNER_KILLS)) {
    const holder = (await statusOf(cluster, ENTRIES[0]!.id)).terms.find(
      t => t.zone === zone,
    )!;
    const victim = ENTRIES.find(({id}) => holder.holder.startsWith(`${id}.`))!;
    const keys = await keysWhere(cluster, r => r.dispatcher === holder.holder);
    const rest = (await keysWhere(cluster, r => r.zone === zone)).filter(
      key => !keys.includes(key),
    );
    const witnesses = ENTRIES.filter(({id}) => id !== victim.id);
    const entries = witnesses.map(({id}) => cluster.entryAddress(id));
    const startMs = performance.now();
    const killed = cluster.killEntry(victim.id);
    const [own, other, termMs] = await Promise.all([
      timeToAnswer(entries, keys, startMs),
      timeToAnswer(entries, rest, startMs),
      timeToTerm(cluster, witnesses[0]!.id, zone, holder.term, startMs),
    ]);
    await killed;
    gaps.push(...own);
    others.push(...other);
    terms.push(termMs);
    await cluster.restartEntry(victim.id);
    await sleep(4_000);
  }
  return [
    row('new term after loss of the assigner, ms', terms, 3_000),
    row('key of the lost dispatcher without answer, ms', gaps, 3_000),
    row('other key of the zone without answer, ms', others, 3_000),
  ];
}

async function timeToTerm(
  cluster: Cluster,
  entry: string,
  zone: string,
  former: number,
  startMs: number,
): Promise<number> {
  while (performance.now() - startMs < ANSWER_LIMIT_MS) {
    const {terms} = await statusOf(cluster, entry);
    if (terms.some(t => t.zone === zone && t.term > former)) break;
    await sleep(10);
  }
  return performance.now() - startMs;
}

/** Time until a request sent after `startMs` is answered, for each key. */
function timeToAnswer(
  entries: readonly string[],
  keys: readonly string[],
  startMs: number,
): Promise<number[]> {
  return Promise.all(
    keys.map(async (key, index) => {
      let answeredAtMs = Infinity;
      for (let i = index; answeredAtMs === Infinity; i++) {
        const waitedMs = performance.now() - startMs;
        if (waitedMs > ANSWER_LIMIT_MS) return waitedMs;
        const address = entries[i % entries.length]!;
        // Probes overlap, so one that is lost doesn't delay the next.
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
        headers: {[HEADERS.requestTimeoutMs]: String(PROBE_DEADLINE_MS)},
        signal: AbortSignal.timeout(PROBE_DEADLINE_MS),
      },
    );
    await body.dump();
    return headers[HEADERS.outcome] === 'answered';
  } catch {
    return false;
  }
}

interface KeyPlace {
  readonly server: string | null;
  readonly dispatcher: string | null;
  readonly zone: string;
}

async function keysWhere(
  cluster: Cluster,
  matches: (place: KeyPlace) => boolean,
): Promise<string[]> {
  const {rows} = ownersViewSchema.parse(
    await operatorGet(cluster, ENTRIES[0]!.id, '/owners'),
  );
  const byShard = new Map(rows.map(r => [r.shard, r]));
  const found: string[] = [];
  for (const key of NAMES) {
    const shard = await shardOfKey(cluster, key);
    const place = byShard.get(shard);
    if (place && matches(place)) found.push(key);
  }
  return found;
}

const shards = new Map<string, number>();

async function shardOfKey(cluster: Cluster, key: string): Promise<number> {
  const known = shards.get(key);
  if (known !== undefined) return known;
  const path = `/explain?service=${SERVICE}&key=${key}`;
  const view = await operatorGet(cluster, ENTRIES[0]!.id, path);
  const {shard} = view as {shard: number};
  shards.set(key, shard);
  return shard;
}

async function statusOf(cluster: Cluster, entry: string) {
  return statusViewSchema.parse(await operatorGet(cluster, entry, '/status'));
}

async function operatorGet(
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

function row(
  name: string,
  values: readonly number[],
  target: string | number,
): ResultRow {
  return {
    measure: name,
    samples: values.length,
    median: roundToSignificant(median(values), 4),
    max: roundToSignificant(quantile(values, 1), 4),
    target,
  };
}
