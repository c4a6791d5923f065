/** `owners`: the owner of each shard. */
import type {OwnerRow} from '@wisteriarun/operator';
import {
  queryFirst,
  createClients,
  printJson,
  reportFailure,
} from '../connection.js';
import type {ConnectionOptions} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {EXIT_CODES} from '../exit-codes.js';
import {formatTable} from '../table.js';

/** Options of `owners`; a row must match all filters that are set. */
export interface OwnersOptions extends ConnectionOptions {
  readonly service?: string;
  readonly server?: string;
  readonly zone?: string;
}

/**
 * Shows the owners of all shards or of those that match the filters.
 *
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function showOwners(
  options: OwnersOptions,
  environment: CliEnvironment,
): Promise<number> {
  const clients = createClients(options, environment);
  const owners = await queryFirst(clients, client => client.owners());
  if (owners.isErr) return reportFailure(owners.error, environment);
  const {offset} = owners.value;
  const rows = owners.value.rows.filter(row => isMatch(row, options));
  if (options.json === true) {
    printJson({offset, rows}, environment);
    return EXIT_CODES.ok;
  }
  environment.out(
    formatTable(
      ['SERVICE', 'SHARD', 'KEY', 'SERVER', 'EPOCH', 'ZONE', 'DISPATCHER'],
      rows.map(row => [
        row.service,
        row.shard,
        row.key,
        row.server,
        row.epoch,
        row.zone,
        row.dispatcher,
      ]),
    ),
  );
  return EXIT_CODES.ok;
}

function isMatch(row: OwnerRow, options: OwnersOptions): boolean {
  return (
    (options.service === undefined || row.service === options.service) &&
    (options.server === undefined || row.server === options.server) &&
    (options.zone === undefined || row.zone === options.zone)
  );
}
