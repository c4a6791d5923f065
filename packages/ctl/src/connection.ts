/** Options and calls shared by the commands that use operator ports. */
import {readFileSync} from 'node:fs';
import {describeError} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {OperatorClient} from '@wisteriarun/operator';
import {InvalidArgumentError} from 'commander';
import type {Command} from 'commander';
import {Result} from 'true-myth';
import type {CliEnvironment} from './environment.js';
import {EXIT_CODES} from './exit-codes.js';
import {escapeText} from './table.js';

const ENDPOINT_VARIABLE = 'WISTERIARUN_OPERATOR';
const TOKEN_VARIABLE = 'WISTERIARUN_OPERATOR_TOKEN';

/** Parsed options shared by the commands that use operator ports. */
export interface ConnectionOptions {
  /** Base URLs of the operator ports. */
  readonly endpoint?: readonly string[];
  readonly tokenFile?: string;
  readonly json?: boolean;
}

/** A command line error that commander's own checks do not detect. */
export class UsageError extends Error {}

/** Converts `host:port`, with or without `http://`, to a base URL. */
function parseEndpoint(text: string): string {
  const match =
    /^(?:http:\/\/)?([A-Za-z0-9.-]+|\[[0-9a-fA-F:]+\]):(\d{1,5})\/?$/.exec(
      text.trim(),
    );
  const port = Number(match?.[2]);
  if (match === null || port < 1 || port > 65_535) {
    throw new InvalidArgumentError(
      'Expected host:port, with a port from 1 to 65535.',
    );
  }
  return `http://${match[1]}:${port}`;
}

/**
 * Adds the options that every command with operator ports has.
 *
 * @param command - Command that reads from operator ports.
 * @returns The command.
 */
export function addConnectionOptions(command: Command): Command {
  return command
    .option(
      '-e, --endpoint <host:port>',
      `operator port of a daemon, may be repeated (or ${ENDPOINT_VARIABLE}, separated by commas)`,
      (text: string, previous: string[] | undefined) => [
        ...(previous ?? []),
        parseEndpoint(text),
      ],
    )
    .option(
      '--token-file <file>',
      `file with the bearer token (or ${TOKEN_VARIABLE})`,
    )
    .option('--json', 'print JSON');
}

/**
 * Creates a client for each distinct operator port.
 *
 * @param options - Parsed options.
 * @param environment - Source of the environment variables.
 * @returns At least one client.
 * @throws UsageError when the ports or the token are missing or malformed.
 */
export function createClients(
  options: ConnectionOptions,
  environment: CliEnvironment,
): OperatorClient[] {
  const endpoints =
    options.endpoint ??
    parseEndpoints(environment.env[ENDPOINT_VARIABLE] ?? '');
  if (endpoints.length === 0) {
    throw new UsageError(`give --endpoint or set ${ENDPOINT_VARIABLE}`);
  }
  const token = readToken(options, environment);
  return [...new Set(endpoints)].map(
    endpoint => new OperatorClient({endpoint, token}),
  );
}

function parseEndpoints(text: string): string[] {
  const parts = text.split(',').filter(part => part.trim() !== '');
  try {
    return parts.map(parseEndpoint);
  } catch {
    throw new UsageError(`${ENDPOINT_VARIABLE} is not a list of host:port`);
  }
}

/** Reads the token from the file of `--token-file`, else from the environment. */
function readToken(
  options: ConnectionOptions,
  environment: CliEnvironment,
): string {
  let token = environment.env[TOKEN_VARIABLE] ?? '';
  if (options.tokenFile !== undefined) {
    try {
      token = readFileSync(options.tokenFile, 'utf8');
    } catch (error) {
      const detail = error instanceof Error ? error.message : 'unknown cause';
      throw new UsageError(`cannot read the token file: ${detail}`);
    }
  }
  token = token.trim();
  if (!/^[\x21-\x7e]+$/.test(token)) {
    throw new UsageError(
      `give a token of printable ASCII characters, without spaces, with --token-file or ${TOKEN_VARIABLE}`,
    );
  }
  return token;
}

/**
 * Queries the operator ports one after another until one responds.
 *
 * @param clients - Clients in the order of preference.
 * @param query - The query to run with a client.
 * @returns The first answer or `operator-refused`, else the last failure.
 */
export async function queryFirst<T>(
  clients: readonly OperatorClient[],
  query: (client: OperatorClient) => Promise<Result<T, WisteriarunError>>,
): Promise<Result<T, WisteriarunError>> {
  let last: Result<T, WisteriarunError> | null = null;
  for (const client of clients) {
    last = await query(client);
    if (last.isOk || last.error.kind === 'operator-refused') return last;
  }
  if (last === null) throw new UsageError('no operator port was given');
  return last;
}

/** Answers of the operator ports and the resulting exit code. */
export interface QueryResults<T> {
  readonly answers: readonly T[];
  readonly exitCode: number;
}

/**
 * Queries all operator ports at once and prints each failure.
 *
 * @param clients - Clients to query.
 * @param query - The query to run with a client.
 * @param environment - Output for the failures.
 * @returns The successful answers, in the order of the clients, and the exit
 * code: `partial` if only some queries succeeded, else the code of the last
 * failure, or `ok`.
 */
export async function queryAll<T>(
  clients: readonly OperatorClient[],
  query: (client: OperatorClient) => Promise<Result<T, WisteriarunError>>,
  environment: CliEnvironment,
): Promise<QueryResults<T>> {
  const results = await Promise.all(clients.map(query));
  const answers: T[] = [];
  let failureCode: number = EXIT_CODES.ok;
  for (const result of results) {
    if (result.isOk) answers.push(result.value);
    else failureCode = reportFailure(result.error, environment);
  }
  const isPartial = failureCode !== EXIT_CODES.ok && answers.length > 0;
  return {answers, exitCode: isPartial ? EXIT_CODES.partial : failureCode};
}

/**
 * Prints the failure of a call to an operator port.
 *
 * @param error - The failure.
 * @param environment - Output for the message.
 * @returns The exit code for the failure.
 */
export function reportFailure(
  error: WisteriarunError,
  environment: CliEnvironment,
): number {
  environment.err(`error: ${escapeText(describeError(error))}\n`);
  return error.kind === 'operator-refused'
    ? EXIT_CODES.refused
    : EXIT_CODES.unreachable;
}

/**
 * Prints a value as JSON.
 *
 * @param value - Value to print.
 * @param environment - Output for the text.
 */
export function printJson(value: unknown, environment: CliEnvironment): void {
  environment.out(JSON.stringify(value, null, 2) + '\n');
}
