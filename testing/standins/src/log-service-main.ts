#!/usr/bin/env node
/** Process of the log service stand-in. */
import {Command} from 'commander';
import {LogService} from './log-service.js';
import {parseNumber, runMain} from './utils/run-main.js';

const options = new Command('log-service')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <n>', 'port, 0 for any', parseNumber, 0)
  .option('--retain-count <n>', 'records kept per stream', parseNumber)
  .option('--retain-age-ms <ms>', 'age up to which they are kept', parseNumber)
  .parse()
  .opts<{
    host: string;
    port: number;
    retainCount?: number;
    retainAgeMs?: number;
  }>();

await runMain(new LogService(options));
