/** Finds the request that crashes every server that runs it. */
import type {CrashRecord} from '../../types/index.js';

/** Crashes at which a request is refused. */
export const CRASH_REFUSE_COUNT = 2;
const RECORD_TTL_MS = 600_000;
const MAX_RECORDS = 10_000;

/** Parts of a request that identify a repetition of it. */
export interface FingerprintParts {
  readonly idempotencyKey: string | null;
  readonly service: string;
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly lengthBytes: number | null;
}

/**
 * Identifies a request and its repetitions.
 *
 * @param parts - Parts of the request.
 * @returns The fingerprint.
 */
export function fingerprint(parts: FingerprintParts): string {
  const {idempotencyKey, service, key, method, path, lengthBytes} = parts;
  if (idempotencyKey !== null) {
    return JSON.stringify([service, key, idempotencyKey]);
  }
  return JSON.stringify([service, key, method, path, lengthBytes ?? -1]);
}

interface Entry {
  readonly server: string;
  readonly count: number;
  readonly recordedMs: number;
}

/** Counts of crashes for each fingerprint, kept for 10 min. */
export class CrashGuard {
  private readonly entries = new Map<string, Entry>();

  /** Number of records. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Crashes that a request was part of.
   *
   * @param fingerprint - Fingerprint.
   * @param nowMs - Monotonic time.
   * @returns The count; 0 for a request that is not suspected.
   */
  count(fingerprint: string, nowMs: number): number {
    const entry = this.entries.get(fingerprint);
    if (!entry) return 0;
    if (nowMs - entry.recordedMs < RECORD_TTL_MS) return entry.count;
    this.entries.delete(fingerprint);
    return 0;
  }

  /**
   * Applies a count that came with a forwarded request.
   *
   * @param fingerprint - Fingerprint.
   * @param count - Count that the sender knows.
   * @param server - Server of the sender's record, for display.
   * @param nowMs - Monotonic time.
   */
  raise(
    fingerprint: string,
    count: number,
    server: string,
    nowMs: number,
  ): void {
    if (count > this.count(fingerprint, nowMs)) {
      this.put(fingerprint, {server, count, recordedMs: nowMs});
    }
  }

  /**
   * Counts the crash of a server.
   *
   * @param server - The server.
   * @param fingerprints - Fingerprints that were in flight there.
   * @param nowMs - Monotonic time.
   * @returns New records for the other entry VMs.
   */
  recordCrash(
    server: string,
    fingerprints: Iterable<string>,
    nowMs: number,
  ): CrashRecord[] {
    return [...new Set(fingerprints)].map(fingerprint => {
      const count = this.count(fingerprint, nowMs) + 1;
      this.put(fingerprint, {server, count, recordedMs: nowMs});
      return {fingerprint, count, server, ageMs: 0};
    });
  }

  /**
   * Clears a request that was answered.
   *
   * @param fingerprint - Fingerprint.
   * @returns The record that clears it elsewhere, or null when not suspected.
   */
  clear(fingerprint: string): CrashRecord | null {
    const entry = this.entries.get(fingerprint);
    if (!entry) return null;
    this.entries.delete(fingerprint);
    return {fingerprint, count: 0, server: entry.server, ageMs: 0};
  }

  /**
   * Takes records of another VM over; a count of 0 clears.
   *
   * @param records - The records.
   * @param nowMs - Monotonic time.
   */
  merge(records: readonly CrashRecord[], nowMs: number): void {
    for (const record of records) {
      const {fingerprint, count, server} = record;
      if (count === 0) this.entries.delete(fingerprint);
      else if (count >= this.count(fingerprint, nowMs)) {
        this.put(fingerprint, {
          server,
          count,
          recordedMs: nowMs - record.ageMs,
        });
      }
    }
  }

  /**
   * All records, for a VM that has none.
   *
   * @param nowMs - Monotonic time.
   * @returns The records with their ages.
   */
  export(nowMs: number): CrashRecord[] {
    return [...this.entries].map(([fingerprint, entry]) => ({
      fingerprint,
      count: entry.count,
      server: entry.server,
      ageMs: nowMs - entry.recordedMs,
    }));
  }

  private put(fingerprint: string, entry: Entry): void {
    this.entries.delete(fingerprint);
    this.entries.set(fingerprint, entry);
    if (this.entries.size <= MAX_RECORDS) return;
    const oldest = this.entries.keys().next().value;
    if (oldest !== undefined) this.entries.delete(oldest);
  }
}
