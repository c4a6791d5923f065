#!/usr/bin/env node
/**
 * Measures how costs grow with the size of a deployment, for the estimate in
 * docs/CAPACITY.md. Prints for each cost the line fitted to its points: growth
 * per unit of size, value at size 0, and coefficient of determination.
 *
 * Run it with `npm run bench:capacity [-- --json]`.
 */
import {Command} from 'commander';
import {measureControl} from './control-cost.js';
import type {Measurement} from './measure.js';
import {measurePeers} from './peer-cost.js';
import {measureState} from './state-cost.js';
import {fitLine, formatTable, roundToSignificant} from './stats.js';

const TOTAL_TIMEOUT_MS = 175_000;

const {json, only} = new Command('bench:capacity')
  .option('--json', 'print the results as JSON')
  .option('--only <part>', 'part to run: state, peers or control')
  .parse()
  .opts<{json?: boolean; only?: string}>();

setTimeout(() => {
  process.stderr.write(
    `failed: the benchmark did not finish within ${TOTAL_TIMEOUT_MS} ms\n`,
  );
  process.exit(1);
}, TOTAL_TIMEOUT_MS).unref();

const measureByPart: Record<string, () => Promise<Measurement[]>> = {
  state: measureState,
  peers: measurePeers,
  control: measureControl,
};
const results: Measurement[] = [];
for (const [name, measure] of Object.entries(measureByPart)) {
  if (only === undefined || only === name) results.push(...(await measure()));
}
const rows = results.map(({name, unit, points}) => {
  const line = fitLine(points);
  return {
    measure: name,
    unit,
    slope: roundToSignificant(line.slope),
    'at zero': roundToSignificant(line.intercept),
    r2: roundToSignificant(line.r2),
    points: points.map(p => `${p.x}:${roundToSignificant(p.y)}`).join(' '),
  };
});
const output = json ? JSON.stringify(rows, null, 2) : formatTable(rows);
process.stdout.write(`${output}\n`);
process.exit(0);
