/** Parses log lines of `key=value` pairs from the log files of VMs. */
import {readFileSync} from 'node:fs';

/** A parsed log line. */
export interface LogLine {
  /** Wall time, in milliseconds since the Unix epoch. */
  readonly timeMs: number;
  readonly event: string;
  readonly process: string;
  /** The other fields of the line, except its level. */
  readonly fields: Readonly<Record<string, string>>;
}

/** Start of a line as the VMs' logger writes it. */
const LINE_START = /(?:^|\s)time=\S+ event=/;
const FIELD_PATTERN = /([\w.-]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

function unquote(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    // Not written by the VMs' logger; kept unchanged.
    return text;
  }
}

/**
 * Parses a log line. Skips a prefix that a log collector put before it.
 *
 * @param text - The line.
 * @returns The parsed line, or null when a VM's logger did not write it.
 */
export function parseLogLine(text: string): LogLine | null {
  const start = LINE_START.exec(text);
  if (start === null) return null;
  const fields: Record<string, string> = {};
  for (const [, name = '', value = ''] of text
    .slice(start.index)
    .matchAll(FIELD_PATTERN)) {
    fields[name] = unquote(value);
  }
  const {time, event = '', process = '', ...rest} = fields;
  delete rest['level'];
  const timeMs = Date.parse(time ?? '');
  if (Number.isNaN(timeMs)) return null;
  return {timeMs, event, process, fields: rest};
}

/**
 * Reads log files.
 *
 * @param files - Paths of the files.
 * @returns All log lines in the order of their wall times.
 * @throws The file system's error for a file that cannot be read.
 */
export function readLogFiles(files: readonly string[]): LogLine[] {
  const lines: LogLine[] = [];
  for (const file of files) {
    for (const text of readFileSync(file, 'utf8').split('\n')) {
      const line = parseLogLine(text);
      if (line !== null) lines.push(line);
    }
  }
  return lines.sort((a, b) => a.timeMs - b.timeMs);
}

/**
 * Formats the fields of a line, except `zone`, which every line has.
 *
 * @param line - The line.
 * @returns `name=value` pairs in the order of the line.
 */
export function formatFields({fields}: LogLine): string {
  return Object.entries(fields)
    .filter(([name]) => name !== 'zone')
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}
