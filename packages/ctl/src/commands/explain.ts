/** `explain`: where a key's requests go and why. */
import {
  queryFirst,
  createClients,
  printJson,
  reportFailure,
} from '../connection.js';
import type {ConnectionOptions} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {EXIT_CODES} from '../exit-codes.js';
import {escapeText, formatTable} from '../table.js';

/**
 * Shows where a key's requests are routed and the reason for each step.
 *
 * @param service - Service id.
 * @param key - Routing key within the service.
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function explainKey(
  service: string,
  key: string,
  options: ConnectionOptions,
  environment: CliEnvironment,
): Promise<number> {
  const clients = createClients(options, environment);
  const answer = await queryFirst(clients, client =>
    client.explain(service, key),
  );
  if (answer.isErr) return reportFailure(answer.error, environment);
  const view = answer.value;
  if (options.json === true) {
    printJson(view, environment);
    return EXIT_CODES.ok;
  }
  environment.out(
    formatTable(
      ['FIELD', 'VALUE'],
      [
        ['service', view.service],
        ['key', view.key],
        ['shard', view.isolated ? `${view.shard} (isolated key)` : view.shard],
        ['server', view.server],
        ['batch', view.batch],
        ['epoch', view.epoch],
        ['reason', view.reason],
        ['zone', view.zone],
        ['assigner', view.assigner],
        ['term', view.term],
        ['dispatcher', view.dispatcher],
        ['fence', view.fence],
        ['offset', view.offset],
      ],
    ),
  );
  for (const note of view.notes) environment.out(`${escapeText(note)}\n`);
  return EXIT_CODES.ok;
}
