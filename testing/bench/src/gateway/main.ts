/**
 * Measures how the cost of assigning key ranges grows with the number of
 * servers: time of a planning step and of a decay of the key loads, and bytes
 * of a frame with the whole range table and of a frame with one change.
 */
import {
  initialRanges,
  KEY_COUNT,
  KeyLoadMap,
  RangePlanner,
  RangeTable,
} from '@wisteriarun/core';
import type {RangeOwner} from '@wisteriarun/core';
import {encodeFrame} from '@wisteriarun/runtime';

const SERVICE = 'records';
const SERVER_COUNTS = [33, 66, 132, 264, 528];
const SAMPLE_COUNT = 40;
/** Capacity of a server with 3 slots, in server time per second. */
const SERVER_CAPACITY_MS_PER_S = 3_000;
/** Number of adjacent keys whose load is far above that of the others. */
const HOT_KEY_COUNT = 200;

/** Results for one number of servers. */
interface ScalingRow {
  readonly servers: number;
  readonly planMs: number;
  readonly decayMs: number;
  readonly tableBytes: number;
  readonly changeBytes: number;
}

/** Returns the size of ranges as a frame, or 0 if it exceeds the limit. */
function frameBytes(ranges: readonly RangeOwner[]): number {
  const view = {term: 1, revision: 1, vmCount: 12, ranges};
  return encodeFrame({kind: 'change', view}).match({
    Ok: frame => frame.length,
    Err: () => 0,
  });
}

/** Runs a function `SAMPLE_COUNT` times and returns its median duration. */
function medianDurationMs(run: () => void): number {
  const durationsMs: number[] = [];
  for (let index = 0; index < SAMPLE_COUNT; index += 1) {
    const startedAtMs = performance.now();
    run();
    durationsMs.push(performance.now() - startedAtMs);
  }
  durationsMs.sort((a, b) => a - b);
  return durationsMs[SAMPLE_COUNT >> 1]!;
}

function measureScaling(serverCount: number): ScalingRow {
  const servers = Array.from({length: serverCount}, (_, index) => ({
    id: `i-${String(index).padStart(10, '0')}`,
    capacity: SERVER_CAPACITY_MS_PER_S,
  }));
  const load = new KeyLoadMap(1_500);
  for (let key = 0; key < KEY_COUNT; key += 4) load.add(key, 30);
  for (let key = 0; key < HOT_KEY_COUNT; key += 1) load.add(30_000 + key, 400);
  const ranges = initialRanges(servers).map(
    ({to, fromKey, toKey}): RangeOwner => ({
      service: SERVICE,
      fromKey,
      toKey,
      server: to,
      former: null,
      bornMs: 1_700_000_000_000,
      // First fence of term 31: 31 * FENCES_PER_TERM + 1.
      fence: 32_505_857,
      moving: false,
    }),
  );
  const table = new RangeTable(ranges);
  let nowMs = 0;
  return {
    servers: serverCount,
    planMs: medianDurationMs(() => {
      new RangePlanner(load, servers, table.ofService(SERVICE)).rebalance();
    }),
    decayMs: medianDurationMs(() => load.decay((nowMs += 1))),
    tableBytes: frameBytes(ranges),
    changeBytes: frameBytes(ranges.slice(0, 1)),
  };
}

console.log('servers  plan ms  decay ms  table bytes  change bytes');
for (const count of SERVER_COUNTS) {
  const row = measureScaling(count);
  console.log(
    [
      String(row.servers).padStart(7),
      row.planMs.toFixed(2).padStart(8),
      row.decayMs.toFixed(2).padStart(9),
      String(row.tableBytes).padStart(12),
      String(row.changeBytes).padStart(13),
    ].join(''),
  );
}
