/**
 * Decides whether a non-repeatable request may run, so that it runs at most
 * once: the dispatcher of a shard records every attempt under the request's
 * idempotency key.
 */
import type {AttemptRecord} from '../../types/index.js';

/** How long after its creation a request may be retried with the same key. */
export const ATTEMPT_WINDOW_MS = 600_000;
/**
 * How far a caller's clock may be ahead of an entry VM's. Entry VMs refuse
 * idempotency keys whose creation time is further in the future.
 */
export const CALLER_SKEW_MS = 1_000;
/** Largest assumed difference between the wall clocks of two VMs. */
export const VM_SKEW_MS = 250;
/** Largest answer body that is stored so that a retry can receive it. */
export const MAX_REPLAY_BYTES = 16 * 1024;
const MAX_RECORDS = 20_000;
const MAX_BYTES = 32 * 1024 * 1024;
/**
 * Estimated size of a record without the headers and body of its answer, and of
 * a shard in a handover without its records.
 */
const RECORD_OVERHEAD_BYTES = 512;
/** Largest part of a handover: half of the control link's largest frame. */
const MAX_PART_BYTES = 512 * 1024;

/** Identity of a non-repeatable request, shared by all attempts of it. */
export interface AttemptId {
  readonly service: string;
  readonly shard: number;
  readonly key: string;
  readonly idempotencyKey: string;
  /** Creation time from the idempotency key. */
  readonly createdWallMs: number;
}

/** A server's answer, stored for retries of its request. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  /** Null when the body was too large to keep. */
  readonly body: Uint8Array<ArrayBuffer> | null;
}

/**
 * What the dispatcher does with a request: run it, wait for a running attempt,
 * replay the stored answer, or report that its outcome is unknown. The outcome
 * also counts as unknown when the body of the answer was not kept.
 */
export type AttemptDecision =
  | {readonly kind: 'run'}
  | {readonly kind: 'wait'}
  | {readonly kind: 'replay'; readonly answer: StoredAnswer}
  | {
      readonly kind: 'unknown';
      readonly reason: 'attempt-unknown' | 'attempt-expired';
      /**
       * True when a record may exist that a former dispatcher has not handed
       * over yet; after the handover the decision may differ.
       */
      readonly mayChangeAfterHandover?: boolean;
    };

/**
 * Attempt records of some shards. For each shard, `attempts` contains all
 * attempts since `knownSinceWallMs`.
 */
export interface AttemptExport {
  readonly shards: {shard: number; knownSinceWallMs: number}[];
  readonly attempts: AttemptRecord[];
}

type AttemptState = {readonly kind: 'running'} | AttemptRecord['state'];

interface Entry {
  id: AttemptId;
  state: AttemptState;
  sizeBytes: number;
}

/** Limits of the table, above which the oldest finished records are evicted. */
export interface AttemptLimits {
  readonly maxRecords?: number;
  readonly maxBytes?: number;
}

/** Records attempts and decides which non-repeatable requests may run. */
export class AttemptTable {
  /** Records by `entryName`, in order of their last state change. */
  private readonly entries = new Map<string, Entry>();
  /** Wall time, per shard, since which this table has all attempts. */
  private readonly knownSinceWallMs = new Map<string, number>();
  /**
   * Creation time, per shard, of the newest record that expired or was evicted.
   * It is kept after `release`, so that a later `takeOver` does not claim to
   * know that request.
   */
  private readonly newestDroppedWallMs = new Map<string, number>();
  private readonly maxRecords: number;
  private readonly maxBytes: number;
  private bytes = 0;

  /**
   * @param limits - Limits; the defaults are 20,000 records and 32 MiB.
   */
  constructor(limits: AttemptLimits = {}) {
    this.maxRecords = limits.maxRecords ?? MAX_RECORDS;
    this.maxBytes = limits.maxBytes ?? MAX_BYTES;
  }

  /** Number of records. */
  get size(): number {
    return this.entries.size;
  }

  /** Estimated memory of all records in bytes. */
  get sizeBytes(): number {
    return this.bytes;
  }

  /**
   * Marks this VM as the dispatcher of a shard, or updates the time since which
   * the shard's attempts are known.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param sinceWallMs - Wall time since which this table has all attempts.
   */
  takeOver(service: string, shard: number, sinceWallMs: number): void {
    const id = shardId(service, shard);
    const newestDroppedWallMs = this.newestDroppedWallMs.get(id) ?? -Infinity;
    this.knownSinceWallMs.set(id, Math.max(sinceWallMs, newestDroppedWallMs));
  }

  /**
   * Marks this VM as no longer the dispatcher of a shard. The records are kept,
   * because what they state about past attempts stays correct.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   */
  release(service: string, shard: number): void {
    this.knownSinceWallMs.delete(shardId(service, shard));
  }

  /**
   * Returns the time since which this table has all attempts of a shard.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @returns Wall time, or null when this VM does not dispatch the shard.
   */
  knownSinceWallMsOf(service: string, shard: number): number | null {
    return this.knownSinceWallMs.get(shardId(service, shard)) ?? null;
  }

  /**
   * Decides what to do with a request. The decision `run` also creates a record
   * in state `running`. Without a record, a request runs only when it was
   * created after the time of `knownSinceWallMsOf`, by more than the clocks may
   * differ: an earlier one may have run at a former dispatcher.
   *
   * @param id - Identity of the request.
   * @param wallMs - Wall time.
   * @returns The decision.
   */
  begin(id: AttemptId, wallMs: number): AttemptDecision {
    this.expire(wallMs);
    const name = entryName(id);
    const entry = this.entries.get(name);
    if (entry) return decisionFor(entry.state);
    if (id.createdWallMs < wallMs - ATTEMPT_WINDOW_MS) {
      return {kind: 'unknown', reason: 'attempt-expired'};
    }
    const sinceWallMs = this.knownSinceWallMsOf(id.service, id.shard);
    const mayHaveRunUntilWallMs =
      (sinceWallMs ?? Infinity) + CALLER_SKEW_MS + VM_SKEW_MS;
    if (id.createdWallMs <= mayHaveRunUntilWallMs) {
      return {
        kind: 'unknown',
        reason: 'attempt-unknown',
        mayChangeAfterHandover: true,
      };
    }
    this.put(name, {id, state: {kind: 'running'}, sizeBytes: 0});
    this.evict();
    return {kind: 'run'};
  }

  /**
   * Removes the record of a running request after a proof that no server
   * executed it, so that a retry may run.
   *
   * @param id - Identity of the request.
   */
  endNotRun(id: AttemptId): void {
    const name = entryName(id);
    if (this.entries.get(name)?.state.kind === 'running') this.drop(name);
  }

  /**
   * Stores the answer of a running request; a body above `MAX_REPLAY_BYTES` is
   * left out.
   *
   * @param id - Identity of the request.
   * @param answer - The complete answer.
   */
  endAnswered(id: AttemptId, answer: StoredAnswer): void {
    const isReplayable =
      (answer.body?.byteLength ?? Infinity) <= MAX_REPLAY_BYTES;
    const body = isReplayable ? answer.body : null;
    this.finishRunning(id, {kind: 'answered', ...answer, body});
  }

  /**
   * Records that a running request ended with an unknown outcome.
   *
   * @param id - Identity of the request.
   */
  endUnknown(id: AttemptId): void {
    this.finishRunning(id, {kind: 'unknown'});
  }

  /**
   * Moves the records of an isolated key to its own shard. The time since which
   * all attempts are known is copied from the shard that the key leaves.
   *
   * @param service - Service id.
   * @param key - The key.
   * @param from - Shard that the key leaves.
   * @param to - Shard that the key joins.
   */
  isolate(service: string, key: string, from: number, to: number): void {
    for (const entry of this.entries.values()) {
      if (entry.id.service === service && entry.id.key === key) {
        entry.id = {...entry.id, shard: to};
      }
    }
    const sinceWallMs = this.knownSinceWallMsOf(service, from);
    if (sinceWallMs !== null) this.takeOver(service, to, sinceWallMs);
  }

  /**
   * Moves the records of an isolated key's shard back to the key's hash shard
   * (`shardOf`). All attempts of the hash shard are then known since the later
   * of the two shards' times; if that of the ending shard is unknown, the hash
   * shard is released.
   *
   * @param service - Service id.
   * @param from - Shard of the isolated key, which ends.
   * @param into - Hash shard of the key.
   */
  merge(service: string, from: number, into: number): void {
    for (const entry of this.entries.values()) {
      if (entry.id.service === service && entry.id.shard === from) {
        entry.id = {...entry.id, shard: into};
      }
    }
    this.raiseNewestDropped(
      shardId(service, into),
      this.newestDroppedWallMs.get(shardId(service, from)) ?? -Infinity,
    );
    const endingKnownSinceWallMs = this.knownSinceWallMsOf(service, from);
    const remainingKnownSinceWallMs = this.knownSinceWallMsOf(service, into);
    this.release(service, from);
    if (remainingKnownSinceWallMs === null) return;
    if (endingKnownSinceWallMs === null) this.release(service, into);
    else this.raiseKnownSince(service, into, endingKnownSinceWallMs);
  }

  /**
   * Exports the records of shards for their next dispatcher. Running requests
   * are exported with an unknown outcome.
   *
   * @param service - Service id.
   * @param shards - Shard numbers.
   * @param wallMs - Wall time.
   * @param maxPartBytes - Largest size of one part. A shard that exceeds it is
   * exported without the headers and bodies of answers, and if that is not
   * enough, without its oldest records.
   * @returns Contents of handover messages; no shard is split between two.
   */
  export(
    service: string,
    shards: readonly number[],
    wallMs: number,
    maxPartBytes: number = MAX_PART_BYTES,
  ): AttemptExport[] {
    this.expire(wallMs);
    const byShard = new Map<number, Entry[]>(shards.map(id => [id, []]));
    for (const entry of this.entries.values()) {
      if (entry.id.service !== service) continue;
      byShard.get(entry.id.shard)?.push(entry);
    }
    const parts: AttemptExport[] = [];
    let partBytesLeft = 0;
    for (const [shard, entries] of byShard) {
      const sinceWallMs = this.knownSinceWallMsOf(service, shard);
      if (sinceWallMs === null) continue;
      const trimmed = trimToSize(entries, sinceWallMs, wallMs, maxPartBytes);
      const sizeBytes = sumBytes(trimmed.attempts) + RECORD_OVERHEAD_BYTES;
      if (parts.length === 0 || sizeBytes > partBytesLeft) {
        parts.push({shards: [], attempts: []});
        partBytesLeft = maxPartBytes;
      }
      partBytesLeft -= sizeBytes;
      const part = parts[parts.length - 1]!;
      part.shards.push({shard, knownSinceWallMs: trimmed.knownSinceWallMs});
      part.attempts.push(...trimmed.attempts);
    }
    return parts;
  }

  /**
   * Adds a record that a former dispatcher handed over, unless this table has
   * the request as running or answered.
   *
   * @param id - Identity of the request.
   * @param state - State at the former dispatcher.
   */
  import(id: AttemptId, state: AttemptRecord['state']): void {
    const name = entryName(id);
    const ownKind = this.entries.get(name)?.state.kind;
    if (ownKind === 'running' || ownKind === 'answered') return;
    this.put(name, {id, state, sizeBytes: 0});
    this.evict();
  }

  private finishRunning(id: AttemptId, state: AttemptRecord['state']): void {
    const name = entryName(id);
    if (this.entries.get(name)?.state.kind !== 'running') return;
    this.put(name, {id, state, sizeBytes: 0});
    this.evict();
  }

  private put(name: string, entry: Entry): void {
    this.drop(name);
    entry.sizeBytes = RECORD_OVERHEAD_BYTES + contentBytes(entry.state);
    this.bytes += entry.sizeBytes;
    this.entries.set(name, entry);
  }

  private drop(name: string): void {
    const entry = this.entries.get(name);
    if (!entry) return;
    this.entries.delete(name);
    this.bytes -= entry.sizeBytes;
  }

  private expire(wallMs: number): void {
    for (const [name, {id, state}] of this.entries) {
      if (state.kind === 'running') continue;
      // The records are not ordered by creation time, so an expired one may
      // stay behind this one for a while. That is harmless: a request that has
      // a record does not run again.
      if (id.createdWallMs >= wallMs - ATTEMPT_WINDOW_MS) break;
      this.dropFinished(name, id);
    }
  }

  private evict(): void {
    if (this.entries.size <= this.maxRecords && this.bytes <= this.maxBytes) {
      return;
    }
    for (const [name, {id, state}] of this.entries) {
      if (state.kind === 'running') continue;
      this.dropFinished(name, id);
      if (this.entries.size <= this.maxRecords && this.bytes <= this.maxBytes) {
        return;
      }
    }
  }

  /**
   * Drops a finished record and raises the time since which all attempts are
   * known to its creation time, so that the request cannot run again.
   */
  private dropFinished(name: string, id: AttemptId): void {
    this.drop(name);
    this.raiseKnownSince(id.service, id.shard, id.createdWallMs);
    this.raiseNewestDropped(shardId(id.service, id.shard), id.createdWallMs);
  }

  private raiseNewestDropped(id: string, wallMs: number): void {
    const newestWallMs = this.newestDroppedWallMs.get(id) ?? -Infinity;
    if (wallMs > newestWallMs) this.newestDroppedWallMs.set(id, wallMs);
  }

  private raiseKnownSince(
    service: string,
    shard: number,
    wallMs: number,
  ): void {
    const sinceWallMs = this.knownSinceWallMsOf(service, shard);
    if (sinceWallMs !== null && wallMs > sinceWallMs) {
      this.knownSinceWallMs.set(shardId(service, shard), wallMs);
    }
  }
}

function decisionFor(state: AttemptState): AttemptDecision {
  if (state.kind === 'running') return {kind: 'wait'};
  if (state.kind === 'unknown' || state.body === null) {
    return {kind: 'unknown', reason: 'attempt-unknown'};
  }
  const {status, headers, body} = state;
  return {kind: 'replay', answer: {status, headers, body}};
}

/**
 * Reduces the records of one shard to `maxBytes`: first by the headers and
 * bodies of their answers, then by the oldest records, which raises the time
 * since which they are complete.
 */
function trimToSize(
  entries: readonly Entry[],
  knownSinceWallMs: number,
  wallMs: number,
  maxBytes: number,
): {knownSinceWallMs: number; attempts: AttemptRecord[]} {
  const newestFirst = [...entries].sort(
    (a, b) => b.id.createdWallMs - a.id.createdWallMs,
  );
  let attempts = newestFirst.map(entry => toRecord(entry, wallMs));
  if (sumBytes(attempts) <= maxBytes) return {knownSinceWallMs, attempts};
  attempts = attempts.map(withoutBody);
  let sizeBytes = 0;
  const firstOmitted = attempts.findIndex(record => {
    sizeBytes += recordBytes(record);
    return sizeBytes > maxBytes;
  });
  if (firstOmitted < 0) return {knownSinceWallMs, attempts};
  const newestOmittedWallMs = newestFirst[firstOmitted]!.id.createdWallMs;
  return {
    knownSinceWallMs: Math.max(knownSinceWallMs, newestOmittedWallMs),
    attempts: attempts.slice(0, firstOmitted),
  };
}

function toRecord({id, state}: Entry, wallMs: number): AttemptRecord {
  const {service, key, idempotencyKey, createdWallMs} = id;
  return {
    service,
    key,
    idempotencyKey,
    state: state.kind === 'running' ? {kind: 'unknown'} : state,
    ageMs: wallMs - createdWallMs,
  };
}

function withoutBody(record: AttemptRecord): AttemptRecord {
  const {state} = record;
  if (state.kind === 'unknown') return record;
  return {...record, state: {...state, headers: {}, body: null}};
}

function sumBytes(records: readonly AttemptRecord[]): number {
  return records.reduce((sum, record) => sum + recordBytes(record), 0);
}

function recordBytes({key, state}: AttemptRecord): number {
  return RECORD_OVERHEAD_BYTES + Buffer.byteLength(key) + contentBytes(state);
}

function contentBytes(state: AttemptState): number {
  if (state.kind !== 'answered') return 0;
  const headers = JSON.stringify(state.headers).length;
  return headers + (state.body?.byteLength ?? 0);
}

function shardId(service: string, shard: number): string {
  return `${service}/${shard}`;
}

function entryName(id: AttemptId): string {
  return JSON.stringify([id.service, id.key, id.idempotencyKey]);
}
