/** Measures the costs of the folded state: records, images, rows and lookups. */
import {
  AttemptTable,
  createHasher,
  fold,
  fromImage,
  route,
  toImage,
  type RouterState,
} from '@wisteriarun/core';
import {encodeFrame} from '@wisteriarun/runtime';
import {measureHeapBytes, measureTimeUs, type Measurement} from './measure.js';
import {
  SERVICE,
  TRUSTED_SIGNERS,
  foldRecord,
  makeAssignRecord,
  makeBundleRecord,
  copyImage,
  makeBundle,
  buildOwnedState,
} from './states.js';

const SHARD_COUNTS = [1_024, 8_192, 32_768, 65_536];
const SERVER_COUNT = 32;

/**
 * Measures folding, images, memory and lookups of the state.
 *
 * @returns One measurement for each cost.
 */
export async function measureState(): Promise<Measurement[]> {
  const states = SHARD_COUNTS.map(shards => ({
    x: shards,
    state: buildOwnedState(SERVER_COUNT, shards),
  }));
  const pointsByShards = (
    measure: (state: RouterState, shards: number) => number,
  ) => states.map(({x, state}) => ({x, y: measure(state, x)}));
  const hasher = await createHasher();
  return [
    {
      name: 'fold of an assign record with 1 change, per shard of the service',
      unit: 'us',
      points: pointsByShards(state =>
        measureFoldUs(state, makeAssignRecord(state, 1, SERVER_COUNT)),
      ),
    },
    {
      name: 'fold of an assign record, per change (1,024 shards)',
      unit: 'us',
      points: [1, 16, 64, 256].map(x => ({
        x,
        y: measureFoldUs(
          states[0]!.state,
          makeAssignRecord(states[0]!.state, x, 32),
        ),
      })),
    },
    {
      name: 'bytes of an assign record, per change',
      unit: 'B',
      points: [1, 16, 64, 256].map(x => ({
        x,
        y: jsonBytes(makeAssignRecord(states[0]!.state, x, 32)),
      })),
    },
    {
      name: 'restore of a snapshot, per row',
      unit: 'us',
      points: pointsByShards(state => {
        const image = copyImage(toImage(state));
        return measureTimeUs(() => fromImage(image, TRUSTED_SIGNERS));
      }),
    },
    {
      name: 'parsing of a snapshot from JSON, per row',
      unit: 'us',
      points: pointsByShards(state => {
        const text = JSON.stringify(toImage(state));
        return measureTimeUs(() => JSON.parse(text));
      }),
    },
    {
      name: 'image as JSON (snapshot), per shard',
      unit: 'B',
      points: pointsByShards(state => jsonBytes(toImage(state))),
    },
    {
      name: 'image as a CBOR frame, per shard (0 above 1 MiB)',
      unit: 'B',
      points: [1_024, 4_096, 8_192].map(x => ({
        x,
        y: frameBytes({
          kind: 'state-reply',
          image: toImage(buildOwnedState(SERVER_COUNT, x)),
        }),
      })),
    },
    {
      name: 'table in memory, per shard',
      unit: 'B',
      points: states.map(({x, state}) => {
        const image = JSON.stringify(toImage(state));
        const build = () => fromImage(JSON.parse(image), TRUSTED_SIGNERS);
        return {x, y: measureHeapBytes(build)};
      }),
    },
    {
      name: 'table in memory, per isolated key',
      unit: 'B',
      points: [64, 128, 256].map(x => ({x, y: measureIsolatedKeyBytes(x)})),
    },
    {
      name: 'route lookup, per shard of the service',
      unit: 'us',
      points: pointsByShards(state => {
        let i = 0;
        const batchUs = measureTimeUs(() => {
          for (let n = 0; n < 100; n++) {
            route(state, hasher, SERVICE, `filing-${i++ % 50_000}`);
          }
        });
        return batchUs / 100;
      }),
    },
    {
      name: 'fold of a bundle, per server',
      unit: 'us',
      points: [32, 256, 2_048].map(x => {
        const state = buildOwnedState(x, 1_024);
        const record = makeBundleRecord(makeBundle(x, 1_024, 2));
        return {x, y: measureFoldUs(state, record)};
      }),
    },
    {
      name: 'bytes of a bundle record, per server',
      unit: 'B',
      points: [32, 256, 2_048].map(x => ({
        x,
        y: jsonBytes(makeBundleRecord(makeBundle(x, 1_024))),
      })),
    },
    {
      name: 'attempt record in memory, answer of 256 bytes',
      unit: 'B',
      points: [2_000, 5_000, 15_000].map(x => ({
        x,
        y: measureHeapBytes(() => makeAttemptTable(x, 256)),
      })),
    },
    {
      name: 'attempt record in a handover frame, answer of 256 bytes',
      unit: 'B',
      points: [250, 500, 1_000].map(x => ({x, y: handoverFrameBytes(x, 256)})),
    },
    {
      name: 'attempt record in a handover frame, no answer kept',
      unit: 'B',
      points: [1_000, 2_000, 4_000].map(x => ({
        x,
        y: handoverFrameBytes(x, null),
      })),
    },
  ];
}

function measureFoldUs(state: RouterState, record: unknown): number {
  return measureTimeUs(() => {
    const result = fold(
      state,
      {offset: state.offset + 1, record},
      TRUSTED_SIGNERS,
    );
    if (result.verdict.kind !== 'accepted') {
      throw new Error(JSON.stringify(result.verdict));
    }
  });
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Returns the size of a value as a frame, or 0 if it exceeds 1 MiB. */
function frameBytes(value: unknown): number {
  return encodeFrame(value).match({Ok: frame => frame.length, Err: () => 0});
}

/** Measures the heap memory that isolated keys add to a state. */
function measureIsolatedKeyBytes(keyCount: number): number {
  const initialState = buildOwnedState(SERVER_COUNT, 65_536);
  let state = initialState;
  for (let i = 0; i < keyCount; i++) {
    state = foldRecord(state, {
      kind: 'isolate',
      id: `isolate-${i}`,
      author: state.terms.get('zone-a')!.holder,
      zone: 'zone-a',
      term: 2,
      baseOffset: state.offset,
      service: SERVICE,
      key: `hot-filing-${i}`,
    });
  }
  const imageWithoutKeys = JSON.stringify(toImage(initialState));
  const imageWithKeys = JSON.stringify(toImage(state));
  const restoredBytes = (text: string) =>
    measureHeapBytes(() => fromImage(JSON.parse(text), TRUSTED_SIGNERS));
  return restoredBytes(imageWithKeys) - restoredBytes(imageWithoutKeys);
}

/**
 * Builds a table of ended attempts.
 *
 * @param count - Number of attempts.
 * @param bodyBytes - Size of each kept answer; null keeps none.
 */
function makeAttemptTable(
  count: number,
  bodyBytes: number | null,
): AttemptTable {
  const table = new AttemptTable();
  const nowMs = Date.now();
  table.takeOver(SERVICE, 1, nowMs - 60_000);
  for (let i = 0; i < count; i++) {
    const id = {
      service: SERVICE,
      shard: 1,
      key: `filing-${i}`,
      idempotencyKey: `01890a5d-ac96-774b-bcce-${String(i).padStart(12, '0')}`,
      createdWallMs: nowMs,
    };
    table.begin(id, nowMs);
    if (bodyBytes === null) table.endUnknown(id);
    else {
      const body = new Uint8Array(bodyBytes);
      const headers = {'content-type': 'application/json'};
      table.endAnswered(id, {status: 201, headers, body});
    }
  }
  return table;
}

/**
 * Returns the size of the frame that hands attempt records over to the next
 * dispatcher.
 *
 * @param count - Number of attempts.
 * @param bodyBytes - Size of each kept answer; null keeps none.
 */
function handoverFrameBytes(count: number, bodyBytes: number | null): number {
  const table = makeAttemptTable(count, bodyBytes);
  return frameBytes({
    kind: 'handover',
    service: SERVICE,
    ...table.export(SERVICE, [1], Date.now()),
  });
}
