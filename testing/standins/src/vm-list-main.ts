#!/usr/bin/env node
/** Runs the VM list stand-in as a process. */
import {Command} from 'commander';
import {parseNumber, runMain} from './utils/run-main.js';
import {VmList} from './vm-list.js';

const options = new Command('vm-list')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <n>', 'port, 0 for any', parseNumber, 0)
  .option('--lag-ms <ms>', 'delay until a change is visible', parseNumber, 0)
  .parse()
  .opts<{host: string; port: number; lagMs: number}>();

await runMain(new VmList(options));
