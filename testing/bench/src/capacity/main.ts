#!/usr/bin/env node
/** Measures the slopes on which docs/CAPACITY.md rests. */
import {Command} from 'commander';
import {measureControl} from './control-cost.js';
import type {Measurement} from './measure.js';
import {measurePeers} from './peer-cost.js';
import {measureState} from './state-cost.js';
import {fitLine, formatTable, roundToSignificant} from './stats.js';

const TOTAL_LIMIT_MS = 175_000;

const {json, only} = new Command('bench:capacity')
  .option('--json', 'print JSON')
  .option('--only <part>', 'state, peers or control')
  .parse()
  .opts<{json?: boolean; only?: string}>();

setTimeout(() => {
  process.stderr.write(`failed: not finished in ${TOTAL_LIMIT_MS} ms\n`);
  process.exit(1);
}, TOTAL_LIMIT_MS).unref();

const parts: Record<string, () => Promise<Measurement[]>> = {
  state: measureState,
  peers: measurePeers,
  control: measureControl,
};
const measured: Measurement[] = [];
for (const [name, measure] of Object.entries(parts)) {
  if (only === undefined || only === name) measured.push(...(await measure()));
}
const rows = measured.map(({name, unit, points}) => {
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
const text = json ? JSON.stringify(rows, null, 2) : formatTable(rows);
process.stdout.write(`${text}\n`);
process.exit(0);
