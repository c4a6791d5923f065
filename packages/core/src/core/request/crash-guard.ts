/** Detects requests that crash every server that executes them. */
import type {CrashRecord} from '../../types/index.js';

/**
 * A dispatcher of the daemon refuses a request that was in flight during this
 * many server crashes. After the first crash it runs the suspected requests one
 * at a time, so that a second crash identifies the request that causes it.
 */
export const CRASH_REFUSE_COUNT = 2;
/** Time since its last update after which a record expires. */
const RECORD_TTL_MS = 600_000;
const MAX_RECORDS = 10_000;

/** Properties of a request that its retries have in common. */
export interface FingerprintFields {
  readonly idempotencyKey: string | null;
  readonly service: string;
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly lengthBytes: number | null;
}

/**
 * Computes an identifier that a request shares with its retries: from service,
 * key and idempotency key, or from all other fields without an idempotency key.
 *
 * @param fields - Properties of the request.
 * @returns The fingerprint.
 */
export function fingerprint(fields: FingerprintFields): string {
  const {idempotencyKey, service, key, method, path, lengthBytes} = fields;
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

/**
 * Counts the server crashes during which a request was in flight, by
 * fingerprint. A record expires 10 min after its last update. Above 10,000
 * records, the least recently updated one is dropped.
 */
export class CrashGuard {
  private readonly entries = new Map<string, Entry>();

  /** Number of records. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Returns the number of crashes during which a request was in flight.
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
   * Applies the crash count that a forwarded request carries, if it is higher
   * than the known one.
   *
   * @param fingerprint - Fingerprint.
   * @param count - Count of the sender.
   * @param server - Server to name in the record; it affects no decision.
   * @param nowMs - Monotonic time.
   */
  raiseCount(
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
   * Counts a server crash for all requests that were in flight at the server.
   *
   * @param server - The server.
   * @param fingerprints - Fingerprints of these requests.
   * @param nowMs - Monotonic time.
   * @returns New records to send to the other entry VMs.
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
   * Removes the record of a request that a server answered.
   *
   * @param fingerprint - Fingerprint.
   * @returns The record that removes it on other VMs, or null when the request
   * was not suspected.
   */
  clear(fingerprint: string): CrashRecord | null {
    const entry = this.entries.get(fingerprint);
    if (!entry) return null;
    this.entries.delete(fingerprint);
    return {fingerprint, count: 0, server: entry.server, ageMs: 0};
  }

  /**
   * Applies records of another VM; a count of 0 removes the record.
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
   * Exports all records, for a VM that has none.
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
