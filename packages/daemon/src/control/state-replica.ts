/** The VM's copy of the folded state, fed by the log or by a peer. */
import {
  emptyState,
  fold,
  fromImage,
  toImage,
  type AssignReason,
  type ChangeRecord,
  type RouterState,
  type Signer,
  type StateImage,
  type StoredRecord,
  type Verdict,
} from '@wisteriarun/core';

/** A folded record with the verdict of the fold. */
export interface FoldedRecord {
  readonly offset: number;
  readonly record: unknown;
  readonly verdict: Verdict;
}

/**
 * Called after each record, or with null after a state from a peer. The former
 * state is passed as well.
 */
export type StateListener = (
  state: RouterState,
  folded: FoldedRecord | null,
  before: RouterState,
) => void;

/** Why a shard has its present owner and epoch. */
export interface ShardOrigin {
  /** Offset of the record, which is the shard's epoch. */
  readonly epoch: number;
  readonly author: string;
  /** Reason of the assign record, or the kind of another record. */
  readonly reason: AssignReason | 'isolate' | 'merge';
}

/** Shards whose origin is kept; bounds the memory. */
const MAX_ORIGINS = 65_536;

/** Folds records in order; its offset never goes back. */
export class StateReplica {
  private current: RouterState = emptyState();
  private readonly listeners = new Set<StateListener>();
  /** By `service/shard`; the oldest come first. */
  private readonly origins = new Map<string, ShardOrigin>();

  /**
   * @param trust - Root signers from the settings.
   */
  constructor(private readonly trust: readonly Signer[]) {}

  /** Latest folded state. */
  get state(): RouterState {
    return this.current;
  }

  /** The state in the form that snapshots and peers carry. */
  image(): StateImage {
    return toImage(this.current);
  }

  /**
   * Folds records that follow the current offset; earlier ones are skipped.
   *
   * @param records - Records in the order of their offsets.
   */
  apply(records: readonly StoredRecord[]): void {
    for (const stored of records) {
      if (stored.offset <= this.current.offset) continue;
      const before = this.current;
      const {state, verdict} = fold(before, stored, this.trust);
      this.current = state;
      if (verdict.kind === 'accepted') this.addOrigins(verdict.record, state);
      this.notify({...stored, verdict}, before);
    }
  }

  /**
   * Tells why a shard has its owner.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param epoch - Present epoch of the shard.
   * @returns The record, or null when this VM did not fold it itself.
   */
  originOf(service: string, shard: number, epoch: number): ShardOrigin | null {
    const origin = this.origins.get(`${service}/${shard}`);
    return origin?.epoch === epoch ? origin : null;
  }

  /**
   * Takes over a state image when it is newer than the current state.
   *
   * @param image - Image from a snapshot or a peer.
   * @returns True when the image was newer and well formed.
   */
  adopt(image: StateImage): boolean {
    if (image.offset <= this.current.offset) return false;
    return fromImage(image, this.trust).match({
      Ok: state => this.restore(state),
      Err: () => false,
    });
  }

  /**
   * Takes over a complete state when it is newer than the current one.
   *
   * @param state - State from a snapshot.
   * @returns True when the state was newer.
   */
  restore(state: RouterState): boolean {
    if (state.offset <= this.current.offset) return false;
    const before = this.current;
    this.current = state;
    this.notify(null, before);
    return true;
  }

  /**
   * Adds a listener.
   *
   * @param listener - Called after each change, in the same turn.
   * @returns Removes the listener.
   */
  subscribe(listener: StateListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private addOrigins(record: ChangeRecord, state: RouterState): void {
    const {offset: epoch} = state;
    const {kind, author} = record;
    if (kind === 'assign') {
      for (const {service, shard, reason} of record.changes) {
        this.addOrigin(service, shard, {epoch, author, reason});
      }
    } else if (kind === 'isolate' || kind === 'merge') {
      const rows = state.services.get(record.service)?.rows ?? [];
      for (const [shard, row] of rows.entries()) {
        if (row.epoch !== epoch) continue;
        this.addOrigin(record.service, shard, {epoch, author, reason: kind});
      }
    }
  }

  private addOrigin(service: string, shard: number, origin: ShardOrigin) {
    const id = `${service}/${shard}`;
    this.origins.delete(id);
    this.origins.set(id, origin);
    if (this.origins.size <= MAX_ORIGINS) return;
    const [oldest] = this.origins.keys();
    if (oldest !== undefined) this.origins.delete(oldest);
  }

  private notify(folded: FoldedRecord | null, before: RouterState): void {
    for (const listener of this.listeners) {
      listener(this.current, folded, before);
    }
  }
}
