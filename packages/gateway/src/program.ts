/** The gateway's program: reads the settings, runs a gateway and handles signals. */
import {describeError} from '@wisteriarun/core';
import {
  HttpKeyedLog,
  HttpKeyGranter,
  PLATFORM_CODEC,
  PLATFORM_HEADERS,
} from '@wisteriarun/platform';
import {createLogger, SystemClock} from '@wisteriarun/runtime';
import {Command} from 'commander';
import {Gateway} from './gateway.js';
import {loadGatewaySettings} from './settings.js';

/** Exit code when the settings are invalid. */
const EXIT_INVALID_SETTINGS = 2;
/** Exit code when a listener cannot be opened. */
const EXIT_START_FAILED = 3;

const options = new Command('wisteriarun')
  .description('Routes requests to servers, by key where a service has keys.')
  .option(
    '--config <file>',
    'settings file in INI format (default: $WISTERIARUN_BOOT)',
  )
  .option('--check', 'check the settings and exit')
  .parse()
  .opts<{config?: string; check?: boolean}>();

// Without either, the error names an unreadable file with an empty path.
const settingsPath = options.config ?? process.env['WISTERIARUN_BOOT'] ?? '';
const loadResult = loadGatewaySettings(settingsPath);
if (loadResult.isErr) {
  for (const error of loadResult.error) {
    process.stderr.write(`${describeError(error)}\n`);
  }
  process.exit(EXIT_INVALID_SETTINGS);
}
if (options.check) process.exit(0);

const settings = loadResult.value;
const logger = createLogger({
  level: settings.logLevel,
  process: settings.vm.id,
  zone: settings.vm.zone,
  write: line => process.stdout.write(line + '\n'),
});
// Node prints the error too, but with the whole source line, which is long in a bundle.
process.on('uncaughtExceptionMonitor', (error, origin) => {
  logger.error('process-failed', {origin, cause: error.stack});
});
const gateway = new Gateway(settings, {
  log: new HttpKeyedLog(settings.storeAddress),
  granter: new HttpKeyGranter(),
  codec: PLATFORM_CODEC,
  headers: PLATFORM_HEADERS,
  clock: new SystemClock(),
  logger,
});

process.on('SIGTERM', () => {
  logger.info('signal', {signal: 'SIGTERM'});
  void gateway.stop().then(() => process.exit(0));
});
// There is nothing to reload, since no setting can change while the process runs.
process.on('SIGHUP', () => logger.info('signal', {signal: 'SIGHUP'}));

try {
  await gateway.start();
} catch (error) {
  const cause = error instanceof Error ? error.message : 'unknown';
  logger.error('start-failed', {cause});
  process.exit(EXIT_START_FAILED);
}
