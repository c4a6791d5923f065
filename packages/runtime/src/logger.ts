/** Logger that writes one line of key=value pairs for each event. */
import './enable-roarr.js';
import {ROARR, Roarr} from 'roarr';

/** Log levels in ascending severity, with the numbers that roarr uses. */
export const LOG_LEVELS = {debug: 20, info: 30, warn: 40, error: 50} as const;
export type LogLevel = keyof typeof LOG_LEVELS;

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes one line for each event at or above its level. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Options of a logger. */
export interface LoggerOptions {
  readonly level: LogLevel;
  /** Name of the process; a field of every line, as is the zone. */
  readonly process: string;
  readonly zone: string;
  /** Values that are redacted wherever they appear in a line. */
  readonly secrets?: readonly string[];
  /** Receives each line without a line break; standard error by default. */
  readonly write?: (line: string) => void;
}

const REDACTED = '[redacted]';
/** Matches the names of fields whose values are always redacted. */
const SECRET_FIELD_NAME = /secret|token|password|authorization|private/i;
/** Matches the values that are written without quotes. */
const UNQUOTED_VALUE = /^[\w.:/@+-]+$/;

type WriteLine = (line: string) => void;

const writeToStderr: WriteLine = line => {
  process.stderr.write(line + '\n');
};

// roarr has one writer for the whole process and calls it before the log call
// returns. Each log call therefore sets the writer of its logger here first.
let activeWrite: WriteLine = writeToStderr;
ROARR.write = line => activeWrite(line);
ROARR.serializeMessage = message => {
  const pairs = [
    `time=${new Date(message.time).toISOString()}`,
    `event=${formatValue(message.message)}`,
  ];
  for (const [name, value] of Object.entries(message.context)) {
    if (value !== undefined) pairs.push(`${name}=${formatField(name, value)}`);
  }
  return pairs.join(' ');
};

function formatField(name: string, value: unknown): string {
  return SECRET_FIELD_NAME.test(name) ? REDACTED : formatValue(value);
}

function formatValue(value: unknown): string {
  const text = String(value);
  return UNQUOTED_VALUE.test(text) ? text : JSON.stringify(text);
}

/**
 * Creates a logger.
 *
 * @param options - Level, identity of the process, secrets and destination.
 * @returns The logger; calls below the level cost one comparison.
 */
export function createLogger(options: LoggerOptions): Logger {
  const threshold = LOG_LEVELS[options.level];
  const secrets = (options.secrets ?? [])
    .filter(secret => secret.length > 0)
    // Quoted values are JSON-escaped, so redact the escaped form as well.
    .flatMap(secret => [secret, JSON.stringify(secret).slice(1, -1)]);
  const destination = options.write ?? writeToStderr;
  const write: WriteLine = line => {
    let safe = line;
    for (const secret of secrets) safe = safe.replaceAll(secret, REDACTED);
    destination(safe);
  };
  const logAt = (level: LogLevel) => (event: string, fields?: LogFields) => {
    if (LOG_LEVELS[level] < threshold) return;
    activeWrite = write;
    // roarr treats % in a message as a format directive.
    Roarr(
      {level, process: options.process, zone: options.zone, ...fields},
      event.replaceAll('%', '%%'),
    );
  };
  return {
    debug: logAt('debug'),
    info: logAt('info'),
    warn: logAt('warn'),
    error: logAt('error'),
  };
}
