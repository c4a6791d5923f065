#!/usr/bin/env node
/** Measures placement in a simulation, then failover with real processes. */
import {Command} from 'commander';
import {formatTable} from '../capacity/stats.js';
import {compareBalance, compareChurn, meanShardUnownedMs} from './compare.js';
import {measureCluster} from './cluster-runs.js';
import {SERVICES} from './workload.js';

const TOTAL_LIMIT_MS = 175_000;

const options = new Command('bench:ownership')
  .option('--json', 'print JSON')
  .option('--only <part>', 'simulation or processes')
  .parse()
  .opts<{json?: boolean; only?: string}>();

// Exit handlers of the harness end its children and remove its files.
setTimeout(() => {
  process.stderr.write(`failed: not finished in ${TOTAL_LIMIT_MS} ms\n`);
  process.exit(1);
}, TOTAL_LIMIT_MS).unref();
process.once('SIGINT', () => process.exit(130));
process.once('SIGTERM', () => process.exit(143));

const runsSimulation = options.only !== 'processes';
const results = {
  balance: runsSimulation ? SERVICES.flatMap(compareBalance) : [],
  churn: runsSimulation ? SERVICES.flatMap(compareChurn) : [],
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
