#!/usr/bin/env node
/**
 * Runs a caller load as a process with a control endpoint. The process prints
 * its report as one line of JSON when it ends.
 */
import {Command} from 'commander';
import * as z from 'zod';
import {CallerLoad} from './caller-load.js';
import {HttpEndpoint, readJson, sendJson} from './utils/http-endpoint.js';
import {parseNumber, runMain} from './utils/run-main.js';
import {sleep} from './utils/time.js';

const controlSchema = z
  .strictObject({
    entries: z.array(z.string()).min(1),
    ratePerSecond: z.number().positive(),
    hotKey: z.int().min(0),
    /** Has an effect only together with `hotKey`. */
    hotShare: z.number().min(0).max(1),
  })
  .partial();

const options = new Command('caller-load')
  .option('--host <ip>', 'address of the control endpoint', '127.0.0.1')
  .option('--port <n>', 'port of the control endpoint', parseNumber, 0)
  .requiredOption('--entries <list>', 'host:port of entry VMs, comma-separated')
  .requiredOption('--service <id>', 'service of all requests but uploads')
  .option('--upload-service <id>', 'service of uploads (default: --service)')
  .option('--keys <n>', 'number of keys', parseNumber, 1_000)
  .option('--rate <n>', 'requests per second', parseNumber, 100)
  .option(
    '--upload-share <r>',
    'weight of uploads; the other requests have a total weight of 1',
    parseNumber,
    0,
  )
  .option(
    '--duration-ms <ms>',
    'time until the load ends by itself',
    parseNumber,
  )
  .option('--seed <n>', 'seed of the random numbers', parseNumber, 1)
  .parse()
  .opts<{
    host: string;
    port: number;
    entries: string;
    service: string;
    uploadService?: string;
    keys: number;
    rate: number;
    uploadShare: number;
    durationMs?: number;
    seed: number;
  }>();

const load = new CallerLoad({
  entries: options.entries.split(','),
  service: options.service,
  uploadService: options.uploadService,
  keys: options.keys,
  mix: {get: 0.7, post: 0.2, put: 0.1, upload: options.uploadShare},
  loop: {kind: 'open', ratePerSecond: options.rate, maxInFlight: 1_000},
  seed: options.seed,
});

const endpoint = new HttpEndpoint(async (request, response) => {
  if (request.url === '/control/history') {
    return sendJson(response, 200, load.history());
  }
  if (request.method === 'POST') {
    const change = controlSchema.parse(await readJson(request));
    if (change.entries) load.setEntries(change.entries);
    if (change.ratePerSecond) load.setRate(change.ratePerSecond);
    if (change.hotKey !== undefined) {
      load.setHotKey(change.hotKey, change.hotShare);
    }
  }
  sendJson(response, 200, load.report());
});

const standin = {
  async start() {
    const address = await endpoint.start(options);
    load.start();
    return address;
  },
  async close() {
    await load.stop();
    await endpoint.close();
    process.stdout.write(`${JSON.stringify(load.report())}\n`);
  },
};

await runMain(standin);
if (options.durationMs !== undefined) {
  await sleep(options.durationMs);
  await standin.close();
}
