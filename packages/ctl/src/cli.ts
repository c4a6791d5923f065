/** Defines the commands and options of wisteriactl. */
import {KEY_COUNT} from '@wisteriarun/core';
import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {
  checkBundleFile,
  generateKey,
  showBundleDiff,
  signBundleFile,
} from './commands/bundle-files.js';
import type {
  CheckOptions,
  DiffOptions,
  KeygenOptions,
  SignOptions,
} from './commands/bundle-files.js';
import {PUBLISH_TIMEOUT_MS, publishBundle} from './commands/bundle-publish.js';
import type {PublishOptions} from './commands/bundle-publish.js';
import {showBundleStatus} from './commands/bundle-status.js';
import {showDrainStatus} from './commands/drain-status.js';
import {explainKey} from './commands/explain.js';
import {showOwners} from './commands/owners.js';
import type {OwnersOptions} from './commands/owners.js';
import {explainRequest, showLogTimeline} from './commands/logs.js';
import type {LogTimelineOptions} from './commands/logs.js';
import {showTimeline} from './commands/timeline.js';
import type {TimelineOptions} from './commands/timeline.js';
import {showVmDrains, showVmOwner, showVmStatus} from './commands/vm.js';
import type {VmOptions} from './commands/vm.js';
import {addConnectionOptions, UsageError} from './connection.js';
import type {ConnectionOptions} from './connection.js';
import type {CliEnvironment} from './environment.js';
import {EXIT_CODE_HELP, EXIT_CODES} from './exit-codes.js';

/**
 * Runs wisteriactl.
 *
 * @param args - Arguments after the program name.
 * @param environment - Environment variables and output functions.
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
  // A subcommand copies the settings of the program when it is created, so
  // these calls precede the subcommands.
  const program = new Command('wisteriactl')
    .description(
      'Shows the state of a wisteriarun deployment and publishes bundles.',
    )
    .exitOverride()
    .showSuggestionAfterError()
    .configureOutput({writeOut: environment.out, writeErr: environment.err})
    .addHelpText('after', EXIT_CODE_HELP);

  const bundle = program
    .command('bundle')
    .description('sign, check, compare, publish and show bundles');
  addConnectionOptions(bundle.command('status'))
    .description('show the bundle in force at each VM')
    .action(async (options: ConnectionOptions) => {
      setExitCode(await showBundleStatus(options, environment));
    });

  addBundleCommands(bundle, environment, setExitCode);

  addConnectionOptions(program.command('owners'))
    .description('show the owner of each shard')
    .option('--service <id>', 'only this service')
    .option('--server <id>', 'only shards of this server')
    .option('--zone <id>', 'only shards of this zone')
    .action(async (options: OwnersOptions) => {
      setExitCode(await showOwners(options, environment));
    });

  const drain = program
    .command('drain')
    .description('batches that are being drained');
  addConnectionOptions(drain.command('status'))
    .description('show the progress of the batches that are being drained')
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
  addVmCommands(program, environment, setExitCode);
  addLogCommands(program, environment, setExitCode);
  return program;
}

/**
 * Adds the commands for gateways. These have no operator port; they report their
 * state at their metrics address.
 */
function addVmCommands(
  program: Command,
  environment: CliEnvironment,
  setExitCode: (code: number) => void,
): void {
  const vm = program
    .command('vm')
    .description('state of the gateways on entry VMs');
  const add = (name: string, description: string) =>
    vm
      .command(name)
      .description(description)
      .requiredOption('--at <host:port...>', 'metrics addresses of the VMs')
      .option('--json', 'print JSON');
  add(
    'status',
    'show the bundle in force, the assigner and the age of the server and bundle data',
  ).action(async (options: VmOptions) => {
    setExitCode(await showVmStatus(options, environment));
  });
  add(
    'drains',
    'show draining servers and the keys that they still own',
  ).action(async (options: VmOptions) => {
    setExitCode(await showVmDrains(options, environment));
  });
  add('owner', 'show who owns a key and what would move it')
    .argument('<service>', 'name of the service')
    .argument('<key>', 'key, 0 to 65535', parseKey)
    .action(async (service: string, key: number, options: VmOptions) => {
      setExitCode(await showVmOwner(service, key, options, environment));
    });
}

/** Adds the commands that read the log files of gateways. */
function addLogCommands(
  program: Command,
  environment: CliEnvironment,
  setExitCode: (code: number) => void,
): void {
  const logs = program.command('logs').description('log files of gateways');
  logs
    .command('timeline <files...>')
    .description(
      'merge the events of log files; requests only with --event request',
    )
    .option('--event <name>', 'only this event, for example request')
    .option('--server <id>', 'only events of this server')
    .option('--key <key>', 'only events of this key', parseKey)
    .option('--from <time>', 'earliest time, ISO 8601', parseTime)
    .option('--to <time>', 'latest time, ISO 8601', parseTime)
    .action((files: string[], options: LogTimelineOptions) => {
      setExitCode(showLogTimeline(files, options, environment));
    });
  logs
    .command('explain <id> <files...>')
    .description('show how a request ended and which events preceded it')
    .action((id: string, files: string[]) => {
      setExitCode(explainRequest(id, files, environment));
    });
}

/** Parses a key of a keyed service of a gateway. */
function parseKey(text: string): number {
  if (!/^\d{1,5}$/.test(text) || Number(text) >= KEY_COUNT) {
    throw new InvalidArgumentError('Expected a key from 0 to 65535.');
  }
  return Number(text);
}

function addBundleCommands(
  bundle: Command,
  environment: CliEnvironment,
  setExitCode: (code: number) => void,
): void {
  bundle
    .command('check <file>')
    .description('check a signed or unsigned bundle')
    .option('--base <file>', 'version that the bundle follows')
    .action((file: string, options: CheckOptions) => {
      setExitCode(checkBundleFile(file, options, environment));
    });
  bundle
    .command('keygen')
    .description('generate a signer and print its public part')
    .requiredOption('--key-id <id>', 'id under which bundles list the signer')
    .requiredOption('--out <file>', 'new file for the private key, mode 0600')
    .action((options: KeygenOptions) => {
      setExitCode(generateKey(options, environment));
    });
  bundle
    .command('sign <file>')
    .description('sign a bundle and print the signed bundle')
    .requiredOption('--key <file>', 'file with the private key in PEM')
    .requiredOption('--key-id <id>', 'id of the signer')
    .action((file: string, options: SignOptions) => {
      setExitCode(signBundleFile(file, options, environment));
    });
  bundle
    .command('publish <file>')
    .description(
      'publish a signed bundle and wait until it is accepted or rejected',
    )
    .requiredOption('--log <url>', 'log service')
    .requiredOption('--stream <name>', "the deployment's stream")
    .requiredOption(
      '--root-key-id <id>',
      'id of the root key, as trust.root_key_id in the settings',
    )
    .requiredOption(
      '--root-public-key <base64>',
      'public part of the root key, as trust.root_public_key in the settings',
    )
    .option('--author <name>', 'operator; the key id by default')
    .option(
      '--timeout-ms <ms>',
      'time limit of the append, and then of the wait until the bundle is accepted or rejected',
      parseTimeout,
      PUBLISH_TIMEOUT_MS,
    )
    .action(async (file: string, options: PublishOptions) => {
      setExitCode(await publishBundle(file, options, environment));
    });
  bundle
    .command('diff <a> <b>')
    .description('show the differences between two signed or unsigned bundles')
    .option('--json', 'print JSON')
    .action((a: string, b: string, options: DiffOptions) => {
      setExitCode(showBundleDiff([a, b], options, environment));
    });
}

function parseTimeout(text: string): number {
  if (!/^[1-9]\d{0,8}$/.test(text)) {
    throw new InvalidArgumentError(
      'Expected a whole number of milliseconds, 1 to 999999999.',
    );
  }
  return Number(text);
}

function parseTime(text: string): number {
  const timeMs = Date.parse(text);
  if (Number.isNaN(timeMs)) {
    throw new InvalidArgumentError('Expected an ISO 8601 time.');
  }
  return timeMs;
}
