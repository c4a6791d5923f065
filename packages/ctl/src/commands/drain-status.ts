/**
 * `drain status`: progress of the batches that are being drained, which are
 * those that the bundle marks as leaving.
 */
import type {DrainView} from '@wisteriarun/operator';
import {queryAll, createClients, printJson} from '../connection.js';
import type {ConnectionOptions} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {formatTable, formatTime} from '../table.js';

/**
 * Shows the batches that are being drained and their progress.
 *
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function showDrainStatus(
  options: ConnectionOptions,
  environment: CliEnvironment,
): Promise<number> {
  const clients = createClients(options, environment);
  // Only the assigner of a zone knows the progress of the zone's drains.
  const results = await queryAll(
    clients,
    client => client.status(),
    environment,
  );
  if (results.answers.length === 0) return results.exitCode;
  const drains = results.answers
    .flatMap(status => status.drains)
    .sort(
      (a, b) => compareText(a.batch, b.batch) || compareText(a.zone, b.zone),
    );
  if (options.json === true) {
    printJson(drains, environment);
  } else if (drains.length === 0) {
    environment.out('No batch is leaving.\n');
  } else {
    environment.out(
      formatTable(
        [
          'BATCH',
          'ZONE',
          'LEAVES AT',
          'SERVERS',
          'SHARDS',
          'LEFT',
          'DONE',
          'EXPECTED FINISH',
          'ON TIME',
        ],
        drains.map(drain => [
          drain.batch,
          drain.zone,
          formatTime(drain.leaveAtMs),
          drain.servers,
          drain.shardsTotal,
          drain.shardsLeft,
          percentDone(drain.shardsTotal, drain.shardsLeft),
          isFinished(drain) ? 'finished' : formatTime(drain.expectedFinishMs),
          formatOnTime(drain),
        ]),
      ),
    );
  }
  return results.exitCode;
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : Number(a > b);
}

/** Share of the shards that have moved, rounded down. */
function percentDone(total: number, left: number): string {
  return total === 0
    ? '100%'
    : `${Math.floor((100 * (total - left)) / total)}%`;
}

function isFinished({shardsLeft}: DrainView): boolean {
  return shardsLeft === 0;
}

/**
 * Returns null while the expected finish is unknown, and after the finish,
 * because the finish time is not stored.
 */
function formatOnTime(drain: DrainView): string | null {
  const {expectedFinishMs, leaveAtMs} = drain;
  if (expectedFinishMs === null || isFinished(drain)) return null;
  return expectedFinishMs <= leaveAtMs ? 'yes' : 'NO';
}
