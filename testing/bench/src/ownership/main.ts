#!/usr/bin/env node
/**
 * Benchmarks shard ownership: placement in a simulation, then failover with
 * processes. Run it with `npm run bench:ownership [-- --json]`.
 */
import {Command} from 'commander';
import {formatTable} from '../capacity/stats.js';
import {compareBalance, compareChurn, meanShardUnownedMs} from './compare.js';
import {measureCluster} from './cluster-runs.js';
import {SERVICES} from './workload.js';

const TOTAL_TIMEOUT_MS = 175_000;

const options = new Command('bench:ownership')
  .option('--json', 'print the results as JSON')
  .option(
    '--only <part>',
    'part to run: simulation or processes; both for any other value',
  )
  .parse()
  .opts<{json?: boolean; only?: string}>();

// Exits with process.exit(), since the exit handlers of the cluster harness end
// its child processes and remove its files.
setTimeout(() => {
  process.stderr.write(
    `failed: the benchmark did not finish within ${TOTAL_TIMEOUT_MS} ms\n`,
  );
  process.exit(1);
}, TOTAL_TIMEOUT_MS).unref();
process.once('SIGINT', () => process.exit(130));
process.once('SIGTERM', () => process.exit(143));

const runsSimulation = options.only !== 'processes';
const results = {
  balance: runsSimulation ? SERVICES.flatMap(compareBalance) : [],
  churn: runsSimulation ? SERVICES.flatMap(compareChurn) : [],
  // Estimated mean time in ms for which the shards of a lost server have no
  // owner; printed only as JSON.
  meanLossMs: meanShardUnownedMs(),
  processes: options.only === 'simulation' ? [] : await measureCluster(),
};

if (options.json) {
  process.stdout.write(`${JSON.stringify(results, null, 2)}\n`);
} else {
  for (const rows of [results.balance, results.churn, results.processes]) {
    if (rows.length > 0) process.stdout.write(`${formatTable(rows)}\n\n`);
  }
}
process.exit(0);
