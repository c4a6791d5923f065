/** `drain status`: progress of the batches that are leaving. */
import {
  askFirst,
  createClients,
  printJson,
  reportFailure,
} from '../connection.js';
import type {ConnectionOptions} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {EXIT_CODES} from '../exit-codes.js';
import {formatTable, formatTime} from '../table.js';

/**
 * Shows the batches that are leaving.
 *
 * @param options - Parsed options.
 * @param environment - Process to print to.
 * @returns The exit code.
 */
export async function showDrainStatus(
  options: ConnectionOptions,
  environment: CliEnvironment,
): Promise<number> {
  const clients = createClients(options, environment);
  const status = await askFirst(clients, client => client.status());
  if (status.isErr) return reportFailure(status.error, environment);
  const {drains} = status.value;
  if (options.json === true) {
    printJson(drains, environment);
  } else if (drains.length === 0) {
    environment.out('No batch is leaving.\n');
  } else {
    environment.out(
      formatTable(
        [
          'BATCH',
          'LEAVES AT',
          'SERVERS',
          'SHARDS LEFT',
          'IN FLIGHT',
          'EXPECTED FINISH',
          'ON TIME',
        ],
        drains.map(drain => [
          drain.batch,
          formatTime(drain.leaveAtMs),
          drain.servers,
          drain.shardsLeft,
          drain.inFlight,
          formatTime(drain.expectedFinishMs),
          isOnTime(drain.expectedFinishMs, drain.leaveAtMs),
        ]),
      ),
    );
  }
  return EXIT_CODES.ok;
}

function isOnTime(finishMs: number | null, leaveAtMs: number): string | null {
  if (finishMs === null) return null;
  return finishMs <= leaveAtMs ? 'yes' : 'NO';
}
