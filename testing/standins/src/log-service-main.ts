#!/usr/bin/env node
/** Runs the log service stand-in as a process. */
import {Command} from 'commander';
import {LogService} from './log-service.js';
import {parseNumber, runMain} from './utils/run-main.js';

const options = new Command('log-service')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <n>', 'port, 0 for any', parseNumber, 0)
  .option('--retain-count <n>', 'maximum records per stream', parseNumber)
  .option('--retain-age-ms <ms>', 'maximum age of kept records', parseNumber)
  .parse()
  .opts<{
    host: string;
    port: number;
    retainCount?: number;
    retainAgeMs?: number;
  }>();

await runMain(new LogService(options));
