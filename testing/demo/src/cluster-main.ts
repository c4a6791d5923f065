#!/usr/bin/env node
/**
 * Starts a deployment without load, prints its addresses, and runs it until
 * SIGINT or SIGTERM. Secrets are written to files and never printed.
 */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Cluster, type EntrySpec, type ServerSpec} from './cluster.js';

const ZONES = ['zone-a', 'zone-b'] as const;
/** Longest wait until all entry VMs answer reads of every service. */
const SERVING_TIMEOUT_MS = 9_000;
const PRIVATE_FILE_MODE = 0o600;

const SERVERS: readonly ServerSpec[] = ['batch-1', 'batch-2'].flatMap(batch =>
  ZONES.flatMap(zone =>
    ['transcripts', 'recordings'].map(service => ({
      id: `${service}-${zone}-${batch}`,
      service,
      zone,
      batch,
      slots: 3,
    })),
  ),
);

const ENTRIES: readonly EntrySpec[] = ZONES.flatMap(zone =>
  [1, 2].map(index => ({id: `entry-${zone}-${index}`, zone})),
);

const print = (name: string, value: string) =>
  process.stdout.write(`${name}=${value}\n`);

async function run(): Promise<void> {
  const stopSignal = new Promise<void>(resolve => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  const cluster = await Cluster.start({
    zones: ZONES,
    services: [
      {id: 'transcripts', shards: 32},
      {id: 'recordings', shards: 8},
    ],
    servers: SERVERS,
    entries: ENTRIES,
  });
  try {
    await cluster.waitUntilServing(SERVING_TIMEOUT_MS);
    printConnectionData(cluster);
    await stopSignal;
  } finally {
    await cluster.close();
  }
}

/**
 * Prints the addresses of the deployment and the paths of the files that it
 * writes, one `name=value` per line. The last line is `ready=true`.
 */
function printConnectionData(cluster: Cluster): void {
  const writePrivateFile = (name: string, content: string) => {
    const path = join(cluster.directory, name);
    writeFileSync(path, content, {mode: PRIVATE_FILE_MODE});
    return path;
  };
  const operators = ENTRIES.map(({id}) => cluster.operatorAddress(id));
  const {log, stream, rootKeyId, rootPublicKey} = cluster.publishOptions();
  print('directory', cluster.directory);
  print('callers', cluster.entryAddresses().join(','));
  print('operators', operators.join(','));
  print('token_file', writePrivateFile('token', `${cluster.operatorToken}\n`));
  print('log', log);
  print('stream', stream);
  print('root_key_id', rootKeyId);
  print('root_public_key', rootPublicKey);
  print('root_key_file', writePrivateFile('root.pem', cluster.rootKeyPem()));
  const bundle = JSON.stringify(cluster.currentBundle(), null, 2);
  print('bundle_file', writePrivateFile('bundle-1.json', `${bundle}\n`));
  print('ready', 'true');
}

try {
  await run();
} catch (error) {
  process.stdout.write(`failed: ${(error as Error).message}\n`);
  process.exitCode = 1;
}
