/** `logs`: timelines and request explanations from the log files of VMs. */
import type {CliEnvironment} from '../environment.js';
import {EXIT_CODES} from '../exit-codes.js';
import {readLogFiles, formatFields} from '../log-lines.js';
import type {LogLine} from '../log-lines.js';
import {explainOutcomes} from '../request-explanation.js';
import {escapeText, formatTable, formatTime} from '../table.js';

/** Options of `logs timeline`. */
export interface LogTimelineOptions {
  readonly event?: string;
  readonly server?: string;
  readonly key?: number;
  /** Earliest wall time, in milliseconds since the Unix epoch. */
  readonly from?: number;
  /** Latest wall time, in milliseconds since the Unix epoch. */
  readonly to?: number;
}

/** Log line fields that hold a server id. */
const SERVER_FIELDS = ['server', 'from', 'to'];

function matchesOptions(line: LogLine, options: LogTimelineOptions): boolean {
  const {event, server, key, from = -Infinity, to = Infinity} = options;
  const {fields} = line;
  // A line without a key gives NaN, which matches no key.
  const fromKey = Number(fields['from_key'] ?? fields['key']);
  const toKey = Number(fields['to_key'] ?? fields['key']);
  return (
    line.timeMs >= from &&
    line.timeMs <= to &&
    // Request lines are numerous, so they are shown only with `--event request`.
    (event === undefined ? line.event !== 'request' : line.event === event) &&
    (server === undefined ||
      SERVER_FIELDS.some(name => fields[name] === server) ||
      // Comma-separated list of `server:outcome` or `server:outcome:cause`.
      (fields['attempts'] ?? '').includes(`${server}:`)) &&
    (key === undefined || (fromKey <= key && key <= toKey))
  );
}

/** Reads log files; prints an error and returns null when one is unreadable. */
function readLines(
  files: readonly string[],
  environment: CliEnvironment,
): LogLine[] | null {
  try {
    return readLogFiles(files);
  } catch (error) {
    const cause = error instanceof Error ? error.message : 'unknown cause';
    environment.err(`error: ${cause}\n`);
    return null;
  }
}

function formatLines(lines: readonly LogLine[]): string {
  return formatTable(
    ['TIME', 'PROCESS', 'EVENT', 'FIELDS'],
    lines.map(line => [
      formatTime(line.timeMs),
      line.process,
      line.event,
      formatFields(line),
    ]),
  );
}

/**
 * Merges the events of log files by wall time and shows those that match.
 *
 * @param files - Paths of the files.
 * @param options - Parsed options.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export function showLogTimeline(
  files: readonly string[],
  options: LogTimelineOptions,
  environment: CliEnvironment,
): number {
  const lines = readLines(files, environment);
  if (lines === null) return EXIT_CODES.invalid;
  environment.out(
    formatLines(lines.filter(line => matchesOptions(line, options))),
  );
  return EXIT_CODES.ok;
}

/**
 * Shows how a request ended and the earlier events that may explain it.
 *
 * @param id - Id of the request.
 * @param files - Paths of the files.
 * @param environment - Environment variables and output.
 * @returns The exit code; `refused` (1) when no line names the request.
 */
export function explainRequest(
  id: string,
  files: readonly string[],
  environment: CliEnvironment,
): number {
  const lines = readLines(files, environment);
  if (lines === null) return EXIT_CODES.invalid;
  const explanations = explainOutcomes(lines, id);
  if (explanations.length === 0) {
    environment.err(
      `no line names request ${escapeText(id)}: it was answered in time with a ` +
        'status below 500, never arrived, or its line was dropped (see request-lines-dropped)\n',
    );
    return EXIT_CODES.refused;
  }
  for (const {request, meaning, before} of explanations) {
    environment.out(`${escapeText(formatFields(request))}\n`);
    environment.out(`at ${escapeText(request.process)}: ${meaning}\n`);
    if (before.length > 0) environment.out(formatLines(before));
  }
  return EXIT_CODES.ok;
}
