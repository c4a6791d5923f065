/** This VM's replica of the router state, updated from the log or a peer. */
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

/**
 * A record of the log that was folded, with the verdict on it. A record that is
 * not accepted changes at most the offset of the state.
 */
export interface FoldedRecord {
  readonly offset: number;
  readonly record: unknown;
  readonly verdict: Verdict;
}

/**
 * Called after each folded record, or with null instead of a record after the
 * whole state was replaced. `before` is the state before the change.
 */
export type StateListener = (
  state: RouterState,
  folded: FoldedRecord | null,
  before: RouterState,
) => void;

/** Record that last changed a shard's ownership and set its epoch. */
export interface ShardOrigin {
  /** Offset of the record, which is the shard's epoch. */
  readonly epoch: number;
  readonly author: string;
  /**
   * Reason of the shard's change in an assign record, or the kind of an isolate
   * or merge record.
   */
  readonly reason: AssignReason | 'isolate' | 'merge';
}

/** Largest number of shards whose origin is kept, to bound the memory. */
const MAX_ORIGINS = 65_536;

/** Folds records in the order of the log; its offset never decreases. */
export class StateReplica {
  private current: RouterState = emptyState();
  private readonly listeners = new Set<StateListener>();
  /** Origins by `service/shard`, the least recently recorded first. */
  private readonly origins = new Map<string, ShardOrigin>();

  /**
   * @param rootSigners - Signers from the settings, who may sign the first
   * bundle.
   */
  constructor(private readonly rootSigners: readonly Signer[]) {}

  /** Latest folded state. */
  get state(): RouterState {
    return this.current;
  }

  /** The state in the form that is written to snapshots and sent to peers. */
  image(): StateImage {
    return toImage(this.current);
  }

  /**
   * Folds the records after the current offset and skips earlier ones.
   *
   * @param records - Records in the order of their offsets.
   */
  apply(records: readonly StoredRecord[]): void {
    for (const stored of records) {
      if (stored.offset <= this.current.offset) continue;
      const before = this.current;
      const {state, verdict} = fold(before, stored, this.rootSigners);
      this.current = state;
      if (verdict.kind === 'accepted') this.addOrigins(verdict.record, state);
      this.notify({...stored, verdict}, before);
    }
  }

  /**
   * Finds the record that last changed a shard's ownership.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param epoch - Present epoch of the shard.
   * @returns The origin, or null when this VM did not fold the record itself or
   * no longer keeps its origin, or when the epoch is the offset of the bundle
   * record that added the service.
   */
  originOf(service: string, shard: number, epoch: number): ShardOrigin | null {
    const origin = this.origins.get(`${service}/${shard}`);
    return origin?.epoch === epoch ? origin : null;
  }

  /**
   * Replaces the state by an image when the image is newer.
   *
   * @param image - Image that a peer sent.
   * @returns True when the image was newer and valid.
   */
  adopt(image: StateImage): boolean {
    if (image.offset <= this.current.offset) return false;
    return fromImage(image, this.rootSigners).match({
      Ok: state => this.restore(state),
      Err: () => false,
    });
  }

  /**
   * Replaces the state when the given one is newer.
   *
   * @param state - State recovered from the log or restored from an image.
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
   * @param listener - Called synchronously after each change.
   * @returns Function that removes the listener.
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
