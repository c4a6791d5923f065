/** Reads log lines of key=value pairs, from files of any number of VMs. */
import {readFileSync} from 'node:fs';

/** One log line. */
export interface LogLine {
  readonly timeMs: number;
  readonly event: string;
  readonly process: string;
  readonly fields: Readonly<Record<string, string>>;
}

const START = /(?:^|\s)time=\S+ event=/;
const PAIR = /([\w.-]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

function unquote(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    // Not written by our logger; shown as it is.
    return text;
  }
}

/**
 * Parses a line; text in front of it, as collectors add it, is left out.
 *
 * @param text - The line.
 * @returns The line, or null when it is no log line of ours.
 */
export function parseLogLine(text: string): LogLine | null {
  const start = START.exec(text);
  if (start === null) return null;
  const fields: Record<string, string> = {};
  for (const [, name = '', value = ''] of text
    .slice(start.index)
    .matchAll(PAIR)) {
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
 * @param files - Paths.
 * @returns All log lines in the order of their wall times.
 * @throws Error of the file system for a file that cannot be read.
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
 * Shows the fields of a line.
 *
 * @param line - The line.
 * @returns Pairs in the order of the line.
 */
export function showFields({fields}: LogLine): string {
  return Object.entries(fields)
    .filter(([name]) => name !== 'zone')
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}
