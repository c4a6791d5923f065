#!/usr/bin/env node
/** Process of the backend server stand-in. */
import {Command} from 'commander';
import {BackendServer, type BackendBehaviour} from './backend-server.js';
import {DirectoryKeyStore} from './key-store.js';
import {FileRecordWriter, StdoutRecordWriter} from './records.js';
import {parseNumber, runMain} from './utils/run-main.js';

interface Options extends Partial<BackendBehaviour> {
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
  .option('--no-checks', 'run requests without a check against the lease')
  .option('--clock-offset-ms <ms>', 'offset of the clock', parseNumber, 0)
  .option('--clock-drift-ratio <r>', 'drift of the clock', parseNumber, 0)
  .option('--slots <n>', 'concurrent requests', parseNumber)
  .option('--extra-requests <n>', 'accepted beyond the slots', parseNumber)
  .option('--service-time-ms <ms>', 'mean service time', parseNumber)
  .option('--service-time-shape <s>', 'fixed or exponential')
  .option('--speed <r>', 'divides the service time', parseNumber)
  .option('--cold-requests <n>', 'slow requests after a start', parseNumber)
  .option('--cold-factor <r>', 'how much slower they are', parseNumber)
  .option('--reported-load <r>', 'load reported in place of it', parseNumber)
  .option('--store-dir <dir>', 'directory of the values of keys')
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
