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
const REFUSE_COUNT = 3;
/**
 * Time within which a crash is known from the log of servers: an entry is
 * removed after three heartbeats, and comes to this VM within the drain bound.
 */
const CONFIRM_MS = 6_000;

/** Lost requests that are remembered at a time; about 200 bytes each. */
const MAX_SUSPECTS = 2_000;

interface Suspect {
  readonly server: string;
  readonly bornMs: number;
  readonly print: string;
  readonly lostAtMs: number;
}

/** Counts the crashes of servers for the requests that ran there. */
export class CrashWatch {
  readonly #guard = new CrashGuard();
  #suspects: Suspect[] = [];
  readonly #leaving = new Set<string>();

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
  lost(server: GatewayServer, parts: FingerprintParts, nowMs: number): void {
    this.#expire(nowMs);
    const {id, bornMs} = server;
    const print = fingerprint(parts);
    if (this.#suspects.length >= MAX_SUSPECTS) this.#suspects.shift();
    this.#suspects.push({server: id, bornMs, print, lostAtMs: nowMs});
  }

  /**
   * Counts a crash when a server restarted or vanished without leaving.
   *
   * @param change - Change of the registry.
   * @param nowMs - Monotonic time.
   * @returns Records for the other VMs.
   */
  serverChanged(change: ServerChange, nowMs: number): CrashRecord[] {
    const id = change.kind === 'server' ? change.server.id : change.id;
    const bornMs = change.kind === 'server' ? change.server.bornMs : Infinity;
    // A server that leaves ends its connections without a crash.
    const isLeft = this.#leaving.has(id);
    if (change.kind === 'server' && change.server.isDraining) {
      this.#leaving.add(id);
    } else {
      this.#leaving.delete(id);
    }
    if (isLeft || this.#suspects.length === 0) return [];
    this.#expire(nowMs);
    const isOf = (suspect: Suspect) =>
      suspect.server === id && suspect.bornMs < bornMs;
    const prints = this.#suspects.filter(isOf).map(({print}) => print);
    if (prints.length === 0) return [];
    this.#suspects = this.#suspects.filter(suspect => !isOf(suspect));
    const records = this.#guard.recordCrash(id, prints, nowMs);
    for (const {fingerprint: print, count} of records) {
      if (count === REFUSE_COUNT) {
        this.logger.warn('crashing-request', {request: print, crashes: count});
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
    return this.#guard.count(fingerprint(parts()), nowMs) >= REFUSE_COUNT;
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

  #expire(nowMs: number): void {
    const [oldest] = this.#suspects;
    if (oldest === undefined || nowMs - oldest.lostAtMs <= CONFIRM_MS) return;
    this.#suspects = this.#suspects.filter(
      ({lostAtMs}) => nowMs - lostAtMs <= CONFIRM_MS,
    );
  }
}
