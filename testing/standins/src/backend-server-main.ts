#!/usr/bin/env node
/** Runs the backend server stand-in as a process. */
import {Command} from 'commander';
import {BackendServer, type BackendBehavior} from './backend-server.js';
import {DirectoryKeyStore} from './key-store.js';
import {FileRecordWriter, StdoutRecordWriter} from './records.js';
import {parseNumber, runMain} from './utils/run-main.js';

interface Options extends Partial<BackendBehavior> {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly checks: boolean;
  readonly clockOffsetMs: number;
  readonly clockDriftRatio: number;
  readonly storeDir?: string;
  readonly recordFile?: string;
  readonly recordToStdout?: boolean;
}

const options = new Command('backend-server')
  .requiredOption('--id <id>', 'id of the server')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <n>', 'port, 0 for any', parseNumber, 0)
  .option(
    '--no-checks',
    'execute requests without checking them against the lease',
  )
  .option(
    '--clock-offset-ms <ms>',
    'offset of the monotonic clock',
    parseNumber,
    0,
  )
  .option(
    '--clock-drift-ratio <r>',
    'relative drift of the clock',
    parseNumber,
    0,
  )
  .option(
    '--slots <n>',
    'number of requests executed concurrently',
    parseNumber,
  )
  .option(
    '--extra-requests <n>',
    'requests accepted beyond the slots',
    parseNumber,
  )
  .option('--service-time-ms <ms>', 'mean service time', parseNumber)
  .option(
    '--service-time-shape <s>',
    'distribution of the service time, fixed or exponential',
  )
  .option('--speed <r>', 'divisor of the service time', parseNumber)
  .option(
    '--cold-requests <n>',
    'number of slower requests after a start',
    parseNumber,
  )
  .option(
    '--cold-factor <r>',
    'factor of the service time of slower requests',
    parseNumber,
  )
  .option(
    '--reported-load <r>',
    'load reported instead of the real one',
    parseNumber,
  )
  .option('--store-dir <dir>', 'directory where the values of keys are stored')
  .option('--record-file <path>', 'file to which records are appended')
  .option('--record-to-stdout', 'write records to standard output')
  .parse()
  .opts<Options>();

const recordWriter = options.recordFile
  ? new FileRecordWriter(options.recordFile)
  : options.recordToStdout
    ? new StdoutRecordWriter()
    : undefined;

await runMain(
  new BackendServer({
    ...options,
    checksGrants: options.checks,
    recordWriter,
    store: options.storeDir
      ? new DirectoryKeyStore(options.storeDir)
      : undefined,
    onCrash: () => process.kill(process.pid, 'SIGKILL'),
  }),
);
