/** `bundle status`: the bundle in force at each VM. */
import {queryAll, createClients, printJson} from '../connection.js';
import type {ConnectionOptions} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {formatTable} from '../table.js';

/**
 * Shows the bundle in force at every operator port.
 *
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function showBundleStatus(
  options: ConnectionOptions,
  environment: CliEnvironment,
): Promise<number> {
  const clients = createClients(options, environment);
  const results = await queryAll(
    clients,
    client => client.status(),
    environment,
  );
  if (results.answers.length === 0) return results.exitCode;
  const rows = results.answers.map(status => ({
    vm: status.vm,
    zone: status.zone,
    offset: status.offset,
    logAvailable: status.logAvailable,
    bundle: status.bundle,
    problem: status.problem,
  }));
  if (options.json === true) {
    printJson(rows, environment);
    return results.exitCode;
  }
  environment.out(
    formatTable(
      [
        'VM',
        'ZONE',
        'VERSION',
        'BUNDLE OFFSET',
        'AUTHOR',
        // Id of the signer's key.
        'KEY',
        // Offset of the last log record that the VM's state includes.
        'OFFSET',
        'LOG',
        'PROBLEM',
      ],
      rows.map(row => [
        row.vm,
        row.zone,
        row.bundle?.version ?? null,
        row.bundle?.offset ?? null,
        row.bundle?.author ?? null,
        row.bundle?.keyId ?? null,
        row.offset,
        row.logAvailable ? 'available' : 'unavailable',
        row.problem,
      ]),
    ),
  );
  return results.exitCode;
}
