/** The daemon's program: reads the settings, runs a daemon and handles signals. */
import {describeError} from '@wisteriarun/core';
import {createLogger, loadSettings} from '@wisteriarun/runtime';
import {Command} from 'commander';
import {Daemon} from './daemon.js';

/** Exit code for invalid settings. */
const EXIT_INVALID_SETTINGS = 2;
/** Exit code for a failed start, e.g. a port that cannot be opened. */
const EXIT_START_FAILED = 3;

const command = new Command('wisteriarun')
  .description('Router for servers that own keys exclusively.')
  .requiredOption('--config <file>', 'settings file in INI format')
  .option('--check', 'check the settings and exit')
  .parse();
const options = command.opts<{config: string; check?: boolean}>();

const settings = loadSettings(options.config);
if (settings.isErr) {
  for (const error of settings.error) {
    process.stderr.write(`${describeError(error)}\n`);
  }
  process.exit(EXIT_INVALID_SETTINGS);
}
if (options.check) process.exit(0);

const {vm, logs, operator, trust} = settings.value;
const logger = createLogger({
  level: logs.level,
  process: vm.id,
  zone: vm.zone,
  secrets: [operator.token, trust.deploymentSecret],
});
const daemon = await Daemon.create(settings.value, logger);

let isStopping = false;
const stop = (signal: string) => {
  logger.info('signal', {signal});
  if (isStopping) return;
  isStopping = true;
  void daemon.shutDown().then(() => process.exit(0));
};
process.on('SIGTERM', () => stop('SIGTERM'));
// From a terminal, a second SIGINT ends the process without waiting for the shutdown:
// it has no listener any more.
process.once('SIGINT', () => stop('SIGINT'));
// There is nothing to reload: settings are read at the start only.
process.on('SIGHUP', () => logger.info('signal', {signal: 'SIGHUP'}));

try {
  await daemon.start();
} catch (error) {
  const cause = error instanceof Error ? error.message : 'unknown';
  logger.error('start-failed', {cause});
  process.exit(EXIT_START_FAILED);
}
