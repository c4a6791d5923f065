#!/usr/bin/env node
/**
 * Benchmarks the request path: the latency that the router adds, the memory of
 * open uploads, and the router and the direct baseline at several load levels.
 * Run it with `npm run bench:request [-- --json]`.
 */
import {measureAddedLatency, measureUploadMemory} from './costs.js';
import {capacityPerSecond, runLevel, type RoutingMode} from './load-levels.js';

/** Offered loads in percent of the computed capacity of the servers. */
const LEVELS_PERCENT = [50, 80, 110] as const;
const MODES: readonly RoutingMode[] = ['direct', 'router'];

const reportedRows: object[] = [];
const report = (row: object) => {
  reportedRows.push(row);
  if (process.argv.includes('--json')) return;
  const pairs = Object.entries(row).map(([name, value]) => `${name}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
};

// Computed from the slots, speeds and service time of the servers, not measured.
report({measure: 'capacity', requestsPerSecond: capacityPerSecond()});
report({measure: 'added-latency', ...(await measureAddedLatency())});
report({measure: 'upload-memory', ...(await measureUploadMemory())});
for (const levelPercent of LEVELS_PERCENT) {
  for (const mode of MODES) report(await runLevel(mode, levelPercent));
}
if (process.argv.includes('--json')) {
  process.stdout.write(`${JSON.stringify(reportedRows, null, 2)}\n`);
}
