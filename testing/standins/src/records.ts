/** Records that backend servers write about requests and leases, for checks. */
import {closeSync, openSync, readFileSync, writeSync} from 'node:fs';
import type {Fence, Grant} from '@wisteriarun/core';

/** Header with the id that the caller gave to one attempt of a request. */
export const ATTEMPT_HEADER = 'x-standin-attempt';

/** One step in the execution of a request at one server. */
export interface RunRecord {
  readonly kind: 'run';
  /** Wall time in milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly server: string;
  /** Incarnation of the server; each restart starts a new one. */
  readonly bootId: string;
  readonly service: string;
  readonly key: string;
  /** Shard that the router sent with the request; -1 without one. */
  readonly shard: number;
  /** Epoch of the shard that the router sent; -1 without one. */
  readonly epoch: number;
  readonly method: string;
  readonly idempotencyKey: string | null;
  /** Attempt id of the caller; null when the router did not forward it. */
  readonly attemptId: string | null;
  readonly requestId: string;
  /**
   * `done` means that the request took effect at this time. `refused` and
   * `cancelled` end a request before or after it was `started`.
   */
  readonly effect: 'started' | 'done' | 'refused' | 'cancelled';
  /** Cause of a refusal or cancellation; null when there is none. */
  readonly reason: string | null;
}

/**
 * A lease that the server accepted. Renewals that change only the expiry and
 * the sequence number are not recorded.
 */
export interface LeaseRecord {
  readonly kind: 'lease';
  /** Wall time in milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly server: string;
  readonly bootId: string;
  /** Term of the assigner that sent the lease. */
  readonly term: number;
  /** Fence of `dispatcher`. */
  readonly fence: Fence;
  /** Id of the entry VM that sends requests to the server. */
  readonly dispatcher: string;
  readonly grants: readonly Grant[];
}

/** Any record of a backend server. */
export type ServerRecord = RunRecord | LeaseRecord;

/** Destination of a server's records. */
export interface RecordWriter {
  /**
   * Writes a record before it returns.
   *
   * @param record - The record.
   */
  write(record: ServerRecord): void;
  /** Releases the resources of the writer. */
  close(): void;
}

/** Keeps all records in memory. */
export class MemoryRecordWriter implements RecordWriter {
  readonly records: ServerRecord[] = [];

  write(record: ServerRecord): void {
    this.records.push(record);
  }

  close(): void {}
}

/**
 * Appends records to a file, one line of JSON each. Writes are synchronous, and
 * the kernel keeps written data when the process is killed, so SIGKILL loses no
 * record.
 */
export class FileRecordWriter implements RecordWriter {
  private readonly fileDescriptor: number;

  /**
   * @param path - File to append to; created when absent.
   */
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

/** Writes records to standard output, one line of JSON each. */
export class StdoutRecordWriter implements RecordWriter {
  write(record: ServerRecord): void {
    writeSync(1, `${JSON.stringify(record)}\n`);
  }

  close(): void {}
}

/**
 * Reads a file that a `FileRecordWriter` wrote.
 *
 * @param path - Path of the file.
 * @returns Its records; an incomplete last line, as a killed process leaves it,
 * is skipped.
 * @throws Error when the file cannot be read, SyntaxError when a complete line
 * is not JSON.
 */
export function readRecordFile(path: string): ServerRecord[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines.slice(0, -1).map(line => JSON.parse(line) as ServerRecord);
}
