#!/usr/bin/env node
/** Runs the soak for a series of seeds and prints the broken rules. */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {Command} from 'commander';
import {runSoak} from './soak.js';

const repositoryPath = (path: string) =>
  fileURLToPath(new URL(`../../../${path}`, import.meta.url));
const MAX_PRINTED = 60;

const options = new Command('soak')
  .description(
    'Runs gateways as processes under random faults, one seed after the other.',
  )
  .option('--seed <n>', 'first seed', Number, 1)
  .option('--seeds <n>', 'number of seeds', Number, 50)
  .option('--gateways <n>', 'gateways of a run', Number, 4)
  .option('--servers <n>', 'servers of a run', Number, 8)
  .option('--callers <n>', 'callers of a run', Number, 60)
  .option('--seconds <n>', 'time during which faults begin', Number, 30)
  .option('--gap-ms <n>', 'mean time between two faults', Number, 1_200)
  .option('--plan', 'print the faults of each run')
  .parse()
  .opts<{
    seed: number;
    seeds: number;
    gateways: number;
    servers: number;
    callers: number;
    seconds: number;
    gapMs: number;
    plan?: boolean;
  }>();

/** Command of the deploy file: `node`, its arguments and the script. */
const deployFile = readFileSync(repositoryPath('deploy/system.toml'), 'utf8');
const command = /^run = "node (.*)"$/m.exec(deployFile)?.[1] ?? '';
const nodeArgs = command.split(' ');
const script = repositoryPath(nodeArgs.pop() ?? '');

let brokenCount = 0;
for (let seed = options.seed; seed < options.seed + options.seeds; seed += 1) {
  const {gateways, servers, callers, seconds, gapMs} = options;
  const report = await runSoak({
    seed,
    gateways,
    servers,
    callers,
    durationMs: seconds * 1_000,
    gapMs,
    script,
    nodeArgs,
  });
  const {violations, statuses, directory, plan} = report;
  const counts = JSON.stringify(statuses);
  if (options.plan) {
    for (const {atMs, action} of plan) {
      console.log(`${Math.round(atMs)} ms ${JSON.stringify(action)}`);
    }
  }
  if (violations.length === 0) {
    console.log(`seed ${seed}: no rule broken; requests by status ${counts}`);
    continue;
  }
  brokenCount += 1;
  console.log(
    `seed ${seed}: ${violations.length} violations; requests by status ${counts}; logs in ${directory}`,
  );
  for (const {rule, atMs, detail} of violations.slice(0, MAX_PRINTED)) {
    console.log(`  ${rule} at ${atMs} ms: ${detail}`);
  }
}
console.log(`${brokenCount} of ${options.seeds} seeds broke a rule`);
process.exitCode = brokenCount === 0 ? 0 : 1;
