/** Measures the costs of lease calls, assigner steps and following the log. */
import {setTimeout as sleep} from 'node:timers/promises';
import {BackendClient} from '@wisteriarun/backend';
import {
  Assigner,
  fold,
  type LeaseRequest,
  type RouterState,
  type ServerStatus,
  type StepInput,
} from '@wisteriarun/core';
import {LogClient, LogFollower} from '@wisteriarun/log';
import {
  measureCpuUs,
  medianOfRuns,
  measureTimeUs,
  type Measurement,
} from './measure.js';
import {StandinProcess} from './process.js';
import {socketBytes} from './socket-bytes.js';
import {
  ENTRY_INSTANCE_ID,
  SERVICE,
  TRUSTED_SIGNERS,
  ZONE,
  foldRecord,
  makeAssignRecord,
  buildOwnedState,
  serverName,
} from './states.js';

const LEASE_CALLS = 400;
/** Interval of the assigner's steps, the same as in the daemon. */
const STEP_INTERVAL_MS = 25;
/** Number of records that are appended to the log and then followed. */
const RECORD_COUNT = 1_600;
const STREAM = 'capacity';

/**
 * Measures lease calls, assigner steps and reads of the log.
 *
 * @returns One measurement for each cost.
 */
export async function measureControl(): Promise<Measurement[]> {
  const lease = await measureLeaseCalls(false);
  const renewal = await measureLeaseCalls(true);
  const stepPoints = (sizes: readonly [number, number][], sizeIndex: 0 | 1) =>
    sizes.map(size => ({x: size[sizeIndex], y: measureStepUs(...size)}));
  const log = await measureLog();
  return [
    {name: 'lease call, per grant', unit: 'us', points: lease.time},
    {
      name: 'lease call, bytes both ways, per grant',
      unit: 'B',
      points: lease.bytes,
    },
    {
      name: 'lease renewal without grants, per grant held',
      unit: 'us',
      points: renewal.time,
    },
    {
      name: 'lease renewal without grants, bytes both ways, per grant held',
      unit: 'B',
      points: renewal.bytes,
    },
    {
      name: 'assigner step, 256 shards, per server',
      unit: 'us',
      points: stepPoints(
        [
          [8, 256],
          [16, 256],
          [32, 256],
        ],
        0,
      ),
    },
    {
      name: 'assigner step, 32 servers, per shard of the zone',
      unit: 'us',
      points: stepPoints(
        [
          [32, 64],
          [32, 512],
          [32, 2_048],
        ],
        1,
      ),
    },
    {
      name: 'first assigner step after a record, per shard of the deployment',
      unit: 'us',
      points: [1_024, 8_192, 65_536].map(x => ({
        x,
        y: measureStepAfterRecordUs(x),
      })),
    },
    {name: 'empty poll of the log', unit: 'us', points: log.polls},
    {name: 'empty poll of the log, bytes', unit: 'B', points: log.pollBytes},
    {
      name: 'record read and folded (assign, 1 change, 1,024 shards)',
      unit: 'us',
      points: log.records,
    },
  ];
}

/**
 * Measures the processor time and the bytes of one lease call, at several
 * numbers of grants.
 *
 * @param isRenewal - Whether the calls renew the lease without sending the
 *     grants.
 */
async function measureLeaseCalls(isRenewal: boolean) {
  const server = await StandinProcess.start('backend-server', ['--id', 's1']);
  const {host, port} = server;
  const client = new BackendClient({id: 's1', host, port, connections: 4});
  const timePoints = [];
  const bytePoints = [];
  let seq = 0;
  for (const x of [8, 32, 128]) {
    const measureCall = async () => {
      const status = (await client.status()).unwrapOrElse(throwError);
      const fullLease = makeLeaseRequest(x, status, (seq += 1));
      (await client.lease(fullLease)).unwrapOrElse(throwError);
      const lease = isRenewal
        ? {...fullLease, grants: null, grantsSeq: fullLease.seq}
        : fullLease;
      const bytesBefore = socketBytes();
      const totalUs = await measureCpuUs(async () => {
        for (let i = 0; i < LEASE_CALLS; i++) {
          const next = {...lease, seq: (seq += 1)};
          (await client.lease(next)).unwrapOrElse(throwError);
        }
      });
      bytesPerCall = (socketBytes() - bytesBefore) / LEASE_CALLS;
      return totalUs / LEASE_CALLS;
    };
    let bytesPerCall = 0;
    await measureCall();
    timePoints.push({x, y: await medianOfRuns(measureCall)});
    bytePoints.push({x, y: bytesPerCall});
  }
  await client.close();
  await server.close();
  return {time: timePoints, bytes: bytePoints};
}

function makeLeaseRequest(
  grantCount: number,
  status: ServerStatus,
  seq: number,
): LeaseRequest {
  return {
    zone: ZONE,
    term: 1_234_567,
    fence: {term: 1_234_567, seq: 12},
    dispatcher: ENTRY_INSTANCE_ID,
    expiresAtMs: status.clockMs + 60_000,
    grants: Array.from({length: grantCount}, (_, i) => ({
      service: SERVICE,
      shard: i * 31,
      epoch: 1_234_567 + i,
    })),
    grantsSeq: null,
    bootId: status.bootId,
    seq,
  };
}

/**
 * Starts an assigner, runs 100 steps in which all servers answer it, and then
 * reports the load of each server to it.
 *
 * @returns The state, and a function that runs the next step.
 */
function startAssigner(serverCount: number, shardCount: number) {
  const state = buildOwnedState(serverCount, shardCount);
  const assigner = new Assigner({
    vm: ENTRY_INSTANCE_ID,
    zone: ZONE,
    term: 2,
    termAcknowledgedAtMs: 0,
    nowMs: 0,
    hasPredecessor: false,
  });
  let nowMs = 0;
  const input = (currentState: RouterState = state): StepInput => ({
    nowMs: (nowMs += STEP_INTERVAL_MS),
    wallMs: nowMs,
    state: currentState,
    entries: Array.from({length: 12}, (_, i) => ({
      vm: `entry-${i}.0a1b2c3d`,
      capacity: 1,
      draining: false,
    })),
    removedServers: new Set(),
    knownEntries: [ENTRY_INSTANCE_ID],
    removedEntries: new Set(),
    logAvailable: true,
    logConfirmedAtMs: nowMs,
  });
  const dispatcherByServer = new Map<string, string>();
  const step = (currentState?: RouterState) => {
    for (const command of assigner.step(input(currentState))) {
      if (command.kind === 'dispatch-table') {
        for (const row of command.table.rows) {
          dispatcherByServer.set(row.server, row.dispatcher);
        }
      }
      if (command.kind !== 'lease' && command.kind !== 'probe') continue;
      const sentLease = command.kind === 'lease' ? command.request : null;
      const status = makeServerStatus(command.server, nowMs, sentLease);
      const receivedAtMs = nowMs;
      assigner.onServerStatus({
        server: command.server,
        receivedAtMs,
        status,
        sentLease,
      });
    }
  };
  for (let i = 0; i < 100; i++) step();
  for (let i = 0; i < serverCount; i++) {
    assigner.onLoadReport({
      kind: 'load-report',
      vm: dispatcherByServer.get(serverName(i))!,
      servers: [makeServerLoad(state, i)],
    });
  }
  return {state, step};
}

function makeServerLoad(state: RouterState, index: number) {
  const server = serverName(index);
  const {rows} = state.services.get(SERVICE)!;
  return {
    server,
    serviceTimeMs: 10,
    busySlots: 2,
    queued: 0,
    shards: rows.flatMap((row, shard) =>
      row.server === server
        ? [
            {
              service: SERVICE,
              shard,
              busySlots: 0.05,
              hotKey: `filing-${shard}`,
              hotKeyShare: 0.1,
            },
          ]
        : [],
    ),
  };
}

function makeServerStatus(
  server: string,
  clockMs: number,
  lease: LeaseRequest | null,
): ServerStatus {
  return {
    bootId: `${server}-boot`,
    clockMs,
    term: 2,
    fence: lease?.fence ?? null,
    dispatcher: lease?.dispatcher ?? null,
    grantsSeq: lease ? (lease.grantsSeq ?? lease.seq) : null,
    busy: [],
    inFlight: 0,
    load: 0,
    draining: false,
  };
}

function measureStepUs(serverCount: number, shardCount: number): number {
  const {step} = startAssigner(serverCount, shardCount);
  return measureTimeUs(() => step(), 50);
}

/**
 * Measures by how much longer a step takes with a changed state than with an
 * unchanged one.
 */
function measureStepAfterRecordUs(shardCount: number): number {
  const {state, step} = startAssigner(32, shardCount);
  const stateWithRecord = foldRecord(state, makeAssignRecord(state, 1, 32));
  let usesRecord = false;
  const alternatingUs = measureTimeUs(() => {
    usesRecord = !usesRecord;
    step(usesRecord ? stateWithRecord : state);
  }, 50);
  return Math.max(0, alternatingUs - measureTimeUs(() => step(), 50));
}

/**
 * Measures polls of the log that return no records, and following records from
 * the log and folding them.
 */
async function measureLog() {
  const service = await StandinProcess.start('log-service');
  const endpoint = `http://${service.host}:${service.port}`;
  const client = new LogClient({endpoint, stream: STREAM});
  const pollPoints = [];
  const pollBytePoints = [];
  for (const x of [100, 200, 400]) {
    const poll = () => client.read(1, {waitMs: 0});
    const pollAll = async () => {
      for (let i = 0; i < x; i++) (await poll()).unwrapOrElse(throwError);
    };
    await pollAll();
    const bytesBefore = socketBytes();
    await pollAll();
    pollBytePoints.push({x, y: socketBytes() - bytesBefore});
    pollPoints.push({x, y: await medianOfRuns(() => measureCpuUs(pollAll))});
  }
  const {records, total} = makeRecords(RECORD_COUNT);
  for (const record of records) {
    (await client.append(record as never)).unwrapOrElse(throwError);
  }
  const recordPoints = [];
  for (const x of [400, 800, 1_600]) {
    recordPoints.push({
      x,
      y: await medianOfRuns(() => measureFollowUs(client, total - x)),
    });
  }
  await client.close();
  await service.close();
  return {polls: pollPoints, pollBytes: pollBytePoints, records: recordPoints};
}

/** Makes `assign` records, each valid in the state after the ones before. */
function makeRecords(count: number) {
  const records: unknown[] = [];
  let state = buildOwnedState(32, 1_024);
  for (let i = 0; i < count; i++) {
    const record = makeAssignRecord(state, 1, 32);
    records.push({...record, id: `record-${i}`});
    state = foldRecord(state, record);
  }
  return {records, total: count};
}

/**
 * Measures the processor time of following and folding the records after the
 * skipped ones.
 */
async function measureFollowUs(
  client: LogClient,
  skippedRecords: number,
): Promise<number> {
  let state = buildOwnedState(32, 1_024);
  // The stream lacks the records that build the initial state.
  const offsetShift = state.offset;
  let lastOffset = skippedRecords;
  const follower = new LogFollower({
    client,
    from: skippedRecords + 1,
    waitMs: 0,
  });
  void follower.batches.observe(records => {
    for (const {offset, record} of records) {
      state = fold(
        state,
        {offset: offset + offsetShift, record},
        TRUSTED_SIGNERS,
      ).state;
      lastOffset = offset;
    }
  });
  const usedUs = await measureCpuUs(async () => {
    follower.start();
    while (lastOffset < RECORD_COUNT) await sleep(2);
  });
  await follower.close();
  return usedUs;
}

function throwError(error: unknown): never {
  throw new Error(JSON.stringify(error));
}
