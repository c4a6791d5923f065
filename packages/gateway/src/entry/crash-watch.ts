/** Stops requests that crash every server that runs them. */
import {CrashGuard, fingerprint} from '@wisteriarun/core';
import type {
  CrashRecord,
  FingerprintParts,
  GatewayServer,
} from '@wisteriarun/core';
import type {Logger} from '@wisteriarun/runtime';
import type {ServerChange} from '../store/server-directory.js';

/**
 * Crashes at which a request is refused. Other requests that were in flight at
 * a server count too; they are cleared by the next answer.
 */
const CRASH_LIMIT = 3;
/**
 * Time within which a crash is known from the log of servers: an entry is
 * removed after three heartbeats, and comes to this VM within the drain bound.
 */
const MAX_CRASH_DETECTION_MS = 6_000;

/** Lost requests that are remembered at a time; about 200 bytes each. */
const MAX_LOST_REQUESTS = 2_000;

interface LostRequest {
  readonly server: string;
  readonly bornMs: number;
  readonly requestFingerprint: string;
  readonly lostAtMs: number;
}

/** Counts the crashes of servers for the requests that ran there. */
export class CrashWatch {
  readonly #guard = new CrashGuard();
  #lostRequests: LostRequest[] = [];
  readonly #drainingServers = new Set<string>();

  /**
   * @param logger - Receives requests that are refused from now on.
   */
  constructor(private readonly logger: Logger) {}

  /**
   * Notes that the connection of a request was lost before its answer.
   *
   * @param server - The server.
   * @param parts - What identifies a repetition of the request.
   * @param nowMs - Monotonic time.
   */
  recordLostRequest(
    server: GatewayServer,
    parts: FingerprintParts,
    nowMs: number,
  ): void {
    this.#removeExpired(nowMs);
    const {id, bornMs} = server;
    const requestFingerprint = fingerprint(parts);
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
   * Counts a crash when a server restarted or vanished without leaving.
   *
   * @param change - Change of the registry.
   * @param nowMs - Monotonic time.
   * @returns Records for the other VMs.
   */
  handleServerChange(change: ServerChange, nowMs: number): CrashRecord[] {
    const id = change.kind === 'server' ? change.server.id : change.id;
    const bornMs = change.kind === 'server' ? change.server.bornMs : Infinity;
    // A server that leaves ends its connections without a crash.
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
   * Tells whether a request has crashed too many servers.
   *
   * @param parts - What identifies the request.
   * @param nowMs - Monotonic time.
   * @returns True when no server should get it.
   */
  isRefused(parts: () => FingerprintParts, nowMs: number): boolean {
    if (this.#guard.size === 0) return false;
    return this.#guard.count(fingerprint(parts()), nowMs) >= CRASH_LIMIT;
  }

  /**
   * Clears a request that was answered.
   *
   * @param parts - What identifies the request.
   * @returns The record that clears it at the other VMs; null when it was not
   * suspected.
   */
  answered(parts: () => FingerprintParts): CrashRecord | null {
    if (this.#guard.size === 0) return null;
    return this.#guard.clear(fingerprint(parts()));
  }

  /**
   * Adopts records of another VM.
   *
   * @param records - The records.
   * @param nowMs - Monotonic time.
   */
  merge(records: readonly CrashRecord[], nowMs: number): void {
    this.#guard.merge(records, nowMs);
  }

  /**
   * Lists all records, for a VM that has none.
   *
   * @param nowMs - Monotonic time.
   * @returns The records.
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
