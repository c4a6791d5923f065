/** Attempt records of non-repeatable requests at the dispatcher of a shard. */
import type {AttemptRecord} from '../../types/index.js';

/** Time for which a request may be repeated under its key. */
export const ATTEMPT_WINDOW_MS = 600_000;
/** Greatest lead of a caller's clock that entries accept. */
export const CALLER_SKEW_MS = 1_000;
/** Greatest difference between two VMs' wall clocks. */
export const VM_SKEW_MS = 250;
/** Largest answer body that is kept for a replay. */
export const MAX_REPLAY_BYTES = 16 * 1024;
const MAX_RECORDS = 20_000;
const MAX_BYTES = 32 * 1024 * 1024;
const RECORD_OVERHEAD_BYTES = 512;
/** Half of the largest frame of the control link. */
const MAX_PART_BYTES = 512 * 1024;

/** Identity of a non-repeatable request. */
export interface AttemptId {
  readonly service: string;
  readonly shard: number;
  readonly key: string;
  readonly idempotencyKey: string;
  /** Creation time from the idempotency key. */
  readonly createdWallMs: number;
}

/** A kept answer. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  /** Null when the body was too large to keep. */
  readonly body: Uint8Array<ArrayBuffer> | null;
}

/** What the dispatcher does with a request. */
export type AttemptDecision =
  | {readonly kind: 'run'}
  | {readonly kind: 'wait'}
  | {readonly kind: 'replay'; readonly answer: KeptAnswer}
  | {
      readonly kind: 'unknown';
      readonly reason: 'attempt-unknown' | 'attempt-expired';
      /** Whether a handover of earlier attempts may lead to another decision. */
      readonly untracked?: boolean;
    };

/** Records of some shards, all since the given time. */
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

/** Bounds of the table. */
export interface AttemptLimits {
  readonly maxRecords?: number;
  readonly maxBytes?: number;
}

/** Decides which non-repeatable requests may run. */
export class AttemptTable {
  /** In order of the last state change. */
  private readonly entries = new Map<string, Entry>();
  /** Per shard the wall time since which all attempts are known here. */
  private readonly knownSince = new Map<string, number>();
  /** Per shard the creation time of the newest record that was dropped. */
  private readonly newestDroppedWallMs = new Map<string, number>();
  private readonly maxRecords: number;
  private readonly maxBytes: number;
  private bytes = 0;

  /**
   * @param limits - Bounds; defaults are 20,000 records and 32 MiB.
   */
  constructor(limits: AttemptLimits = {}) {
    this.maxRecords = limits.maxRecords ?? MAX_RECORDS;
    this.maxBytes = limits.maxBytes ?? MAX_BYTES;
  }

  /** Number of records. */
  get size(): number {
    return this.entries.size;
  }

  /** Bytes that the records hold. */
  get sizeBytes(): number {
    return this.bytes;
  }

  /**
   * Notes that this VM became the dispatcher of a shard.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param sinceWallMs - Time since which all attempts are known here.
   */
  takeOver(service: string, shard: number, sinceWallMs: number): void {
    const id = shardId(service, shard);
    const newestDroppedMs = this.newestDroppedWallMs.get(id) ?? -Infinity;
    this.knownSince.set(id, Math.max(sinceWallMs, newestDroppedMs));
  }

  /**
   * Notes that this VM is no longer the dispatcher of a shard. Records stay,
   * because what they say remains true.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   */
  release(service: string, shard: number): void {
    this.knownSince.delete(shardId(service, shard));
  }

  /**
   * Time since which all attempts of a shard are known here.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @returns Wall time, or null when this VM does not dispatch the shard.
   */
  knownSinceMs(service: string, shard: number): number | null {
    return this.knownSince.get(shardId(service, shard)) ?? null;
  }

  /**
   * Decides about a request; `run` creates its record in state running.
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
    const since = this.knownSinceMs(id.service, id.shard);
    const mayHaveRunUntilMs = (since ?? Infinity) + CALLER_SKEW_MS + VM_SKEW_MS;
    if (id.createdWallMs <= mayHaveRunUntilMs) {
      return {kind: 'unknown', reason: 'attempt-unknown', untracked: true};
    }
    this.put(name, {id, state: {kind: 'running'}, sizeBytes: 0});
    this.evict();
    return {kind: 'run'};
  }

  /**
   * Removes the record of a running request that is proven not run.
   *
   * @param id - Identity of the request.
   */
  endNotRun(id: AttemptId): void {
    const name = entryName(id);
    if (this.entries.get(name)?.state.kind === 'running') this.drop(name);
  }

  /**
   * Keeps the answer of a running request.
   *
   * @param id - Identity of the request.
   * @param answer - The whole answer.
   */
  endAnswered(id: AttemptId, answer: KeptAnswer): void {
    const kept = (answer.body?.byteLength ?? Infinity) <= MAX_REPLAY_BYTES;
    const body = kept ? answer.body : null;
    this.finishRunning(id, {kind: 'answered', ...answer, body});
  }

  /**
   * Notes that the outcome of a running request is not known.
   *
   * @param id - Identity of the request.
   */
  endUnknown(id: AttemptId): void {
    this.finishRunning(id, {kind: 'unknown'});
  }

  /**
   * Moves a hot key's records to its own shard, which inherits the knowledge
   * of the former shard.
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
    const since = this.knownSinceMs(service, from);
    if (since !== null) this.takeOver(service, to, since);
  }

  /**
   * Moves the records of an ending shard to the shard that takes its key,
   * whose knowledge becomes the lesser of both.
   *
   * @param service - Service id.
   * @param from - Shard that ends.
   * @param into - Shard that takes its key.
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
    const endingKnownSinceMs = this.knownSinceMs(service, from);
    const remainingKnownSinceMs = this.knownSinceMs(service, into);
    this.release(service, from);
    if (remainingKnownSinceMs === null) return;
    if (endingKnownSinceMs === null) this.release(service, into);
    else this.raiseKnownSince(service, into, endingKnownSinceMs);
  }

  /**
   * Records of shards for their next dispatcher. Running requests are handed
   * over as unknown.
   *
   * @param service - Service id.
   * @param shards - Shard numbers.
   * @param wallMs - Wall time.
   * @param maxPartBytes - Bound of a part. Of a shard that exceeds it, answer
   * bodies are left out, and then the oldest records.
   * @returns Contents of handover messages, each with whole shards.
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
      const since = this.knownSinceMs(service, shard);
      if (since === null) continue;
      const trimmed = trimToSize(entries, since, wallMs, maxPartBytes);
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
   * Adds a record that a former dispatcher handed over. A record of this VM
   * with a definite state is kept.
   *
   * @param id - Identity of the request.
   * @param state - State that the former dispatcher saw.
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

  /** Raises the takeover time, so that the request cannot run again. */
  private dropFinished(name: string, id: AttemptId): void {
    this.drop(name);
    this.raiseKnownSince(id.service, id.shard, id.createdWallMs);
    this.raiseNewestDropped(shardId(id.service, id.shard), id.createdWallMs);
  }

  private raiseNewestDropped(shard: string, wallMs: number): void {
    const newestMs = this.newestDroppedWallMs.get(shard) ?? -Infinity;
    if (wallMs > newestMs) this.newestDroppedWallMs.set(shard, wallMs);
  }

  private raiseKnownSince(
    service: string,
    shard: number,
    wallMs: number,
  ): void {
    const since = this.knownSinceMs(service, shard);
    if (since !== null && wallMs > since) {
      this.knownSince.set(shardId(service, shard), wallMs);
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

/** Records of one shard within a bound, and since when they are complete. */
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
  const newestOmittedMs = newestFirst[firstOmitted]!.id.createdWallMs;
  return {
    knownSinceWallMs: Math.max(knownSinceWallMs, newestOmittedMs),
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
