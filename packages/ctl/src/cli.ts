/** Commands and options of wisteriactl. */
import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {showBundleStatus} from './commands/bundle-status.js';
import {showDrainStatus} from './commands/drain-status.js';
import {explainKey} from './commands/explain.js';
import {showOwners} from './commands/owners.js';
import type {OwnersOptions} from './commands/owners.js';
import {showTimeline} from './commands/timeline.js';
import type {TimelineOptions} from './commands/timeline.js';
import {addConnectionOptions, UsageError} from './connection.js';
import type {ConnectionOptions} from './connection.js';
import type {CliEnvironment} from './environment.js';
import {EXIT_CODE_HELP, EXIT_CODES} from './exit-codes.js';

/**
 * Runs wisteriactl.
 *
 * @param args - Arguments after the program name.
 * @param environment - Environment variables and output.
 * @returns The exit code.
 */
export async function runCli(
  args: readonly string[],
  environment: CliEnvironment,
): Promise<number> {
  let exitCode: number = EXIT_CODES.ok;
  const program = buildProgram(environment, code => {
    exitCode = code;
  });
  try {
    await program.parseAsync([...args], {from: 'user'});
    return exitCode;
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage;
    }
    if (!(error instanceof UsageError)) throw error;
    environment.err(`error: ${error.message}\n`);
    return EXIT_CODES.usage;
  }
}

function buildProgram(
  environment: CliEnvironment,
  setExitCode: (code: number) => void,
): Command {
  // Subcommands inherit these settings only when they are added later.
  const program = new Command('wisteriactl')
    .description('Shows the state of a wisteriarun deployment.')
    .exitOverride()
    .showSuggestionAfterError()
    .configureOutput({writeOut: environment.out, writeErr: environment.err})
    .addHelpText('after', EXIT_CODE_HELP);

  const bundle = program.command('bundle').description('signed bundles');
  addConnectionOptions(bundle.command('status'))
    .description('show the bundle in force at each VM')
    .action(async (options: ConnectionOptions) => {
      setExitCode(await showBundleStatus(options, environment));
    });

  addConnectionOptions(program.command('owners'))
    .description('show who owns which shard')
    .option('--service <id>', 'only this service')
    .option('--server <id>', 'only shards of this server')
    .option('--zone <id>', 'only shards of this zone')
    .action(async (options: OwnersOptions) => {
      setExitCode(await showOwners(options, environment));
    });

  const drain = program.command('drain').description('batches that leave');
  addConnectionOptions(drain.command('status'))
    .description('show the progress of leaving batches')
    .action(async (options: ConnectionOptions) => {
      setExitCode(await showDrainStatus(options, environment));
    });

  addConnectionOptions(program.command('timeline'))
    .description('merge the events of all given operator ports')
    .option('--key <key>', 'only events of this key')
    .option('--server <id>', 'only events of this server')
    .option('--from <time>', 'earliest time, ISO 8601', parseTime)
    .option('--to <time>', 'latest time, ISO 8601', parseTime)
    .action(async (options: TimelineOptions) => {
      setExitCode(await showTimeline(options, environment));
    });

  addConnectionOptions(program.command('explain <service> <key>'))
    .description("show where a key's requests go and why")
    .action(
      async (service: string, key: string, options: ConnectionOptions) => {
        setExitCode(await explainKey(service, key, options, environment));
      },
    );
  return program;
}

function parseTime(text: string): number {
  const timeMs = Date.parse(text);
  if (Number.isNaN(timeMs)) {
    throw new InvalidArgumentError('Expected an ISO 8601 time.');
  }
  return timeMs;
}
