/** Records that backend servers keep about their own work. */
import {closeSync, openSync, readFileSync, writeSync} from 'node:fs';
import type {Fence, Grant} from '@wisteriarun/core';

/** Header with a caller's own id for one try of a request. */
export const ATTEMPT_HEADER = 'x-standin-attempt';

/** Step of one request at one server. */
export interface RunRecord {
  readonly kind: 'run';
  readonly wallMs: number;
  readonly server: string;
  readonly bootId: string;
  readonly service: string;
  readonly key: string;
  readonly shard: number;
  readonly epoch: number;
  readonly method: string;
  readonly idempotencyKey: string | null;
  /** The caller's id of this try, when the router forwarded it. */
  readonly attemptId: string | null;
  readonly requestId: string;
  readonly effect: 'started' | 'done' | 'refused' | 'cancelled';
  /** Cause of a refusal. */
  readonly reason: string | null;
}

/** A lease that differs from the one before it in more than its expiry. */
export interface LeaseRecord {
  readonly kind: 'lease';
  readonly wallMs: number;
  readonly server: string;
  readonly bootId: string;
  readonly term: number;
  readonly fence: Fence;
  readonly dispatcher: string;
  readonly grants: readonly Grant[];
}

export type ServerRecord = RunRecord | LeaseRecord;

/** Receives records as they arise. */
export interface RecordWriter {
  write(record: ServerRecord): void;
  close(): void;
}

/** Keeps records in memory. */
export class MemoryRecordWriter implements RecordWriter {
  readonly records: ServerRecord[] = [];

  write(record: ServerRecord): void {
    this.records.push(record);
  }

  close(): void {}
}

/**
 * Appends records to a file, one JSON text a line. Each write completes before
 * the server goes on, and the kernel keeps written data when the process is
 * killed, so SIGKILL loses no record.
 */
export class FileRecordWriter implements RecordWriter {
  private readonly fileDescriptor: number;

  constructor(path: string) {
    this.fileDescriptor = openSync(path, 'a');
  }

  write(record: ServerRecord): void {
    writeSync(this.fileDescriptor, `${JSON.stringify(record)}\n`);
  }

  close(): void {
    closeSync(this.fileDescriptor);
  }
}

/** Writes records to standard output, one JSON text a line. */
export class StdoutRecordWriter implements RecordWriter {
  write(record: ServerRecord): void {
    writeSync(1, `${JSON.stringify(record)}\n`);
  }

  close(): void {}
}

/**
 * Reads a file that a `FileSink` wrote.
 *
 * @param path - Path of the file.
 * @returns Its records; a line cut off by a kill is left out.
 */
export function readRecordFile(path: string): ServerRecord[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines.slice(0, -1).map(line => JSON.parse(line) as ServerRecord);
}
