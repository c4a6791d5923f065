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
  readonly sinceMs: number;
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
   * @param print - Fingerprint.
   * @param nowMs - Monotonic time.
   * @returns The count; 0 for a request that is not suspected.
   */
  count(print: string, nowMs: number): number {
    const entry = this.entries.get(print);
    if (!entry) return 0;
    if (nowMs - entry.sinceMs < RECORD_TTL_MS) return entry.count;
    this.entries.delete(print);
    return 0;
  }

  /**
   * Applies a count that came with a forwarded request.
   *
   * @param print - Fingerprint.
   * @param count - Count that the sender knows.
   * @param server - Server of the sender's record, for display.
   * @param nowMs - Monotonic time.
   */
  raise(print: string, count: number, server: string, nowMs: number): void {
    if (count > this.count(print, nowMs)) {
      this.put(print, {server, count, sinceMs: nowMs});
    }
  }

  /**
   * Counts the crash of a server.
   *
   * @param server - The server.
   * @param prints - Fingerprints that were in flight there.
   * @param nowMs - Monotonic time.
   * @returns New records for the other entry VMs.
   */
  recordCrash(
    server: string,
    prints: Iterable<string>,
    nowMs: number,
  ): CrashRecord[] {
    return [...new Set(prints)].map(print => {
      const count = this.count(print, nowMs) + 1;
      this.put(print, {server, count, sinceMs: nowMs});
      return {fingerprint: print, count, server, ageMs: 0};
    });
  }

  /**
   * Clears a request that was answered.
   *
   * @param print - Fingerprint.
   * @returns The record that clears it elsewhere, or null when not suspected.
   */
  clear(print: string): CrashRecord | null {
    const entry = this.entries.get(print);
    if (!entry) return null;
    this.entries.delete(print);
    return {fingerprint: print, count: 0, server: entry.server, ageMs: 0};
  }

  /**
   * Takes records of another VM over; a count of 0 clears.
   *
   * @param records - The records.
   * @param nowMs - Monotonic time.
   */
  merge(records: readonly CrashRecord[], nowMs: number): void {
    for (const record of records) {
      const {fingerprint: print, count, server} = record;
      if (count === 0) this.entries.delete(print);
      else if (count >= this.count(print, nowMs)) {
        this.put(print, {server, count, sinceMs: nowMs - record.ageMs});
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
    return [...this.entries].map(([print, entry]) => ({
      fingerprint: print,
      count: entry.count,
      server: entry.server,
      ageMs: nowMs - entry.sinceMs,
    }));
  }

  private put(print: string, entry: Entry): void {
    this.entries.delete(print);
    this.entries.set(print, entry);
    if (this.entries.size <= MAX_RECORDS) return;
    const oldest = this.entries.keys().next().value;
    if (oldest !== undefined) this.entries.delete(oldest);
  }
}
