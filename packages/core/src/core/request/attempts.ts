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
  /** Not run before; the next dispatcher of the shard has its records. */
  | {readonly kind: 'moved'}
  | {
      readonly kind: 'unknown';
      readonly reason: 'attempt-unknown' | 'attempt-expired';
    };

type State = {readonly kind: 'running'} | AttemptRecord['state'];

interface Entry {
  readonly id: AttemptId;
  state: State;
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
  /** Former `knownSince` of shards whose records were handed over. */
  private readonly handedOver = new Map<string, number>();
  /** Per shard the creation time of the newest record that was dropped. */
  private readonly forgotten = new Map<string, number>();
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
    const floor = this.forgotten.get(id) ?? -Infinity;
    this.handedOver.delete(id);
    this.knownSince.set(id, Math.max(sinceWallMs, floor));
  }

  /**
   * Notes that this VM is no longer the dispatcher of a shard. Records stay,
   * because what they say remains true.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   */
  release(service: string, shard: number): void {
    const id = shardId(service, shard);
    this.knownSince.delete(id);
    this.handedOver.delete(id);
  }

  /**
   * Notes that the records of a shard went to its next dispatcher. Until the
   * shard is released or taken over, a request that cannot have run before is
   * `moved` instead of unknown.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   */
  handOver(service: string, shard: number): void {
    const id = shardId(service, shard);
    const since = this.knownSince.get(id);
    if (since !== undefined) this.handedOver.set(id, since);
    this.knownSince.delete(id);
  }

  /**
   * Notes that a shard stays here after its records were handed over. No other
   * VM has dispatched it, so what was known before is still complete.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   */
  takeBack(service: string, shard: number): void {
    const since = this.handedOver.get(shardId(service, shard));
    if (since !== undefined) this.takeOver(service, shard, since);
  }

  /**
   * Tells whether the records of a shard went to its next dispatcher.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @returns True until the shard is released or taken over.
   */
  isHandedOver(service: string, shard: number): boolean {
    return this.handedOver.has(shardId(service, shard));
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
    if (entry) return decide(entry.state);
    if (id.createdWallMs < wallMs - ATTEMPT_WINDOW_MS) {
      return {kind: 'unknown', reason: 'attempt-expired'};
    }
    const handedOver = this.handedOver.get(shardId(id.service, id.shard));
    const since = this.knownSinceMs(id.service, id.shard) ?? handedOver;
    const safeFrom = (since ?? Infinity) + CALLER_SKEW_MS + VM_SKEW_MS;
    if (id.createdWallMs <= safeFrom) {
      return {kind: 'unknown', reason: 'attempt-unknown'};
    }
    if (handedOver !== undefined) return {kind: 'moved'};
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
    this.end(id, {kind: 'answered', ...answer, body});
  }

  /**
   * Notes that the outcome of a running request is not known.
   *
   * @param id - Identity of the request.
   */
  endUnknown(id: AttemptId): void {
    this.end(id, {kind: 'unknown'});
  }

  /**
   * Gives a hot key's new shard the knowledge of its former shard.
   *
   * @param service - Service id.
   * @param from - Shard that the key leaves.
   * @param to - Shard that the key joins.
   */
  copyKnowledge(service: string, from: number, to: number): void {
    const since = this.knownSinceMs(service, from);
    if (since !== null) this.takeOver(service, to, since);
  }

  /**
   * Limits the knowledge of a shard that another shard's key returns to.
   *
   * @param service - Service id.
   * @param from - Shard that ends.
   * @param into - Shard that takes its key.
   */
  mergeKnowledge(service: string, from: number, into: number): void {
    this.noteForgotten(
      shardId(service, into),
      this.forgotten.get(shardId(service, from)) ?? -Infinity,
    );
    const ending = this.knownSinceMs(service, from);
    const remaining = this.knownSinceMs(service, into);
    if (remaining === null) return;
    if (ending === null) this.release(service, into);
    else this.raise(service, into, ending);
  }

  /**
   * Records of shards for their next dispatcher. Running requests are handed
   * over as unknown.
   *
   * @param service - Service id.
   * @param shards - Shard numbers.
   * @param wallMs - Wall time.
   * @returns Contents of a handover message.
   */
  export(
    service: string,
    shards: readonly number[],
    wallMs: number,
  ): {
    shards: {shard: number; knownSinceWallMs: number}[];
    attempts: AttemptRecord[];
  } {
    this.expire(wallMs);
    const wanted = new Set(shards);
    const attempts: AttemptRecord[] = [];
    for (const {id, state} of this.entries.values()) {
      if (id.service !== service || !wanted.has(id.shard)) continue;
      attempts.push({
        service,
        key: id.key,
        idempotencyKey: id.idempotencyKey,
        state: state.kind === 'running' ? {kind: 'unknown'} : state,
        ageMs: wallMs - id.createdWallMs,
      });
    }
    const known = shards.flatMap(shard => {
      const since = this.knownSinceMs(service, shard);
      return since === null ? [] : [{shard, knownSinceWallMs: since}];
    });
    return {shards: known, attempts};
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
    const own = this.entries.get(name)?.state.kind;
    if (own === 'running' || own === 'answered') return;
    this.put(name, {id, state, sizeBytes: 0});
    this.evict();
  }

  private end(id: AttemptId, state: AttemptRecord['state']): void {
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
      this.forget(name, id);
    }
  }

  private evict(): void {
    if (this.entries.size <= this.maxRecords && this.bytes <= this.maxBytes) {
      return;
    }
    for (const [name, {id, state}] of this.entries) {
      if (state.kind === 'running') continue;
      this.forget(name, id);
      if (this.entries.size <= this.maxRecords && this.bytes <= this.maxBytes) {
        return;
      }
    }
  }

  /** Raises the takeover time, so that the request cannot run again. */
  private forget(name: string, id: AttemptId): void {
    this.drop(name);
    this.raise(id.service, id.shard, id.createdWallMs);
    this.noteForgotten(shardId(id.service, id.shard), id.createdWallMs);
  }

  private noteForgotten(shard: string, wallMs: number): void {
    const floor = this.forgotten.get(shard) ?? -Infinity;
    if (wallMs > floor) this.forgotten.set(shard, wallMs);
  }

  private raise(service: string, shard: number, wallMs: number): void {
    const since = this.knownSinceMs(service, shard);
    if (since !== null && wallMs > since) {
      this.knownSince.set(shardId(service, shard), wallMs);
    }
  }
}

function decide(state: State): AttemptDecision {
  if (state.kind === 'running') return {kind: 'wait'};
  if (state.kind === 'unknown' || state.body === null) {
    return {kind: 'unknown', reason: 'attempt-unknown'};
  }
  const {status, headers, body} = state;
  return {kind: 'replay', answer: {status, headers, body}};
}

function contentBytes(state: State): number {
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
