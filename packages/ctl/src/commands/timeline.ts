/**
 * `timeline`: the events of all given operator ports, ordered by log offset, and
 * those without an offset by wall time.
 */
import {queryAll, createClients, printJson} from '../connection.js';
import type {ConnectionOptions} from '../connection.js';
import type {CliEnvironment} from '../environment.js';
import {matchesFilter, mergeEvents} from '../merge-events.js';
import {formatTable, formatTime} from '../table.js';

/** Options of `timeline`. */
export interface TimelineOptions extends ConnectionOptions {
  readonly key?: string;
  readonly server?: string;
  /** Earliest wall time, in milliseconds since the Unix epoch. */
  readonly from?: number;
  /** Latest wall time, in milliseconds since the Unix epoch. */
  readonly to?: number;
}

/**
 * Shows the merged events of all operator ports.
 *
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function showTimeline(
  options: TimelineOptions,
  environment: CliEnvironment,
): Promise<number> {
  const clients = createClients(options, environment);
  const results = await queryAll(
    clients,
    client => client.timeline(),
    environment,
  );
  if (results.answers.length === 0) return results.exitCode;
  const filter = {
    key: options.key,
    server: options.server,
    fromMs: options.from,
    toMs: options.to,
  };
  const events = mergeEvents(
    results.answers
      .flatMap(view => view.events)
      .filter(event => matchesFilter(event, filter)),
  );
  if (options.json === true) {
    printJson(events, environment);
    return results.exitCode;
  }
  environment.out(
    formatTable(
      [
        'TIME',
        'PROCESS',
        'ZONE',
        'OFFSET',
        'TERM',
        'EPOCH',
        'KIND',
        'CAUSE',
        'FIELDS',
      ],
      events.map(event => [
        formatTime(event.wallTimeMs),
        event.process,
        event.zone,
        event.offset,
        event.term,
        event.epoch,
        event.kind,
        event.cause,
        Object.entries(event.fields)
          .map(([name, value]) => `${name}=${String(value)}`)
          .join(' '),
      ]),
    ),
  );
  return results.exitCode;
}
