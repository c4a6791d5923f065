/** Detects requests that crash the servers they run on, and refuses them. */
import {CrashGuard, fingerprint} from '@wisteriarun/core';
import type {
  CrashRecord,
  FingerprintFields,
  GatewayServer,
} from '@wisteriarun/core';
import type {Logger} from '@wisteriarun/runtime';
import type {ServerChange} from '../store/server-directory.js';

/**
 * Number of crashes after which the gateway refuses a request. A crash also
 * counts for the other requests that were in flight at the server; their counts
 * are cleared by their next answer. The daemon refuses a request after fewer
 * crashes (`CRASH_REFUSE_COUNT`), because it lets a server run only one suspected
 * request at a time, so that the next crash identifies it. The gateway lets a
 * server run several of them at once.
 */
const CRASH_LIMIT = 3;
/**
 * Time for which a lost request is kept, so that a crash of its server can still
 * be counted. A crashed server's description is removed from the log of servers
 * after three missed heartbeats, and VMs read the removal within the time of the
 * `drain` setting: by default 3 s and 2 s.
 */
const MAX_CRASH_DETECTION_MS = 6_000;

/** Limit on the lost requests kept in memory; each takes about 200 bytes. */
const MAX_LOST_REQUESTS = 2_000;

/** A request whose connection was lost before its answer. */
interface LostRequest {
  readonly server: string;
  readonly bornMs: number;
  readonly requestFingerprint: string;
  readonly lostAtMs: number;
}

/** Counts server crashes for each request that was in flight at the server. */
export class CrashWatch {
  readonly #guard = new CrashGuard();
  #lostRequests: LostRequest[] = [];
  readonly #drainingServers = new Set<string>();

  /**
   * @param logger - Logs each request that reaches the crash limit.
   */
  constructor(private readonly logger: Logger) {}

  /**
   * Records that the connection of a request was lost before its answer.
   *
   * @param server - Server that had the request.
   * @param fields - Properties that identify the request and its retries.
   * @param nowMs - Monotonic time.
   */
  recordLostRequest(
    server: GatewayServer,
    fields: FingerprintFields,
    nowMs: number,
  ): void {
    this.#removeExpired(nowMs);
    const {id, bornMs} = server;
    const requestFingerprint = fingerprint(fields);
    if (this.#lostRequests.length >= MAX_LOST_REQUESTS)
      this.#lostRequests.shift();
    this.#lostRequests.push({
      server: id,
      bornMs,
      requestFingerprint,
      lostAtMs: nowMs,
    });
  }

  /**
   * Counts a crash for the lost requests of a server that restarted or
   * disappeared without draining first.
   *
   * @param change - Change in the server directory, which follows the log of
   * servers.
   * @param nowMs - Monotonic time.
   * @returns Updated crash counts, to be sent to the other VMs.
   */
  handleServerChange(change: ServerChange, nowMs: number): CrashRecord[] {
    const id = change.kind === 'server' ? change.server.id : change.id;
    const bornMs = change.kind === 'server' ? change.server.bornMs : Infinity;
    // A draining server closes its connections without a crash.
    const wasDraining = this.#drainingServers.has(id);
    if (change.kind === 'server' && change.server.isDraining) {
      this.#drainingServers.add(id);
    } else {
      this.#drainingServers.delete(id);
    }
    if (wasDraining || this.#lostRequests.length === 0) return [];
    this.#removeExpired(nowMs);
    const wasLostAtServer = (lostRequest: LostRequest) =>
      lostRequest.server === id && lostRequest.bornMs < bornMs;
    const fingerprints = this.#lostRequests
      .filter(wasLostAtServer)
      .map(({requestFingerprint}) => requestFingerprint);
    if (fingerprints.length === 0) return [];
    this.#lostRequests = this.#lostRequests.filter(
      lostRequest => !wasLostAtServer(lostRequest),
    );
    const records = this.#guard.recordCrash(id, fingerprints, nowMs);
    for (const {fingerprint: requestFingerprint, count} of records) {
      if (count === CRASH_LIMIT) {
        this.logger.warn('crashing-request', {
          request: requestFingerprint,
          crashes: count,
        });
      }
    }
    return records;
  }

  /**
   * Whether a request has reached the crash limit.
   *
   * @param fields - Returns the properties that identify the request.
   * @param nowMs - Monotonic time.
   * @returns True when the request must not be sent to any server.
   */
  isRefused(fields: () => FingerprintFields, nowMs: number): boolean {
    if (this.#guard.size === 0) return false;
    return this.#guard.count(fingerprint(fields()), nowMs) >= CRASH_LIMIT;
  }

  /**
   * Clears the crash count of a request that was answered.
   *
   * @param fields - Returns the properties that identify the request.
   * @returns The record that clears the count at the other VMs; null when the
   * request had no crashes.
   */
  answered(fields: () => FingerprintFields): CrashRecord | null {
    if (this.#guard.size === 0) return null;
    return this.#guard.clear(fingerprint(fields()));
  }

  /**
   * Merges crash counts of another VM.
   *
   * @param records - Crash counts of the other VM.
   * @param nowMs - Monotonic time.
   */
  merge(records: readonly CrashRecord[], nowMs: number): void {
    this.#guard.merge(records, nowMs);
  }

  /**
   * Exports all crash counts, for a VM that has just connected to this one.
   *
   * @param nowMs - Monotonic time.
   * @returns All crash counts.
   */
  export(nowMs: number): CrashRecord[] {
    return this.#guard.export(nowMs);
  }

  #removeExpired(nowMs: number): void {
    const [oldest] = this.#lostRequests;
    if (
      oldest === undefined ||
      nowMs - oldest.lostAtMs <= MAX_CRASH_DETECTION_MS
    )
      return;
    this.#lostRequests = this.#lostRequests.filter(
      ({lostAtMs}) => nowMs - lostAtMs <= MAX_CRASH_DETECTION_MS,
    );
  }
}
