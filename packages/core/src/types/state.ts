/**
 * State of a deployment, computed by folding the records of its log in order.
 * It is equal on all VMs at the same offset.
 */
import type {Bundle, SignedBundle} from './bundle.js';
import type {ShardRow} from './records.js';

/** The bundle in force. */
export interface BundleInForce {
  /** Offset of the bundle record. */
  readonly offset: number;
  /** Author of the bundle record. */
  readonly author: string;
  readonly signed: SignedBundle;
  readonly body: Bundle;
}

/** The assigner of a zone. */
export interface TermState {
  readonly holder: string;
  /** Zone of the holder; a VM may become the assigner of another zone. */
  readonly holderZone: string;
  /** Offset of the term record. */
  readonly term: number;
}

/** Owners of the shards of one service. */
export interface ServiceState {
  /**
   * Rows by shard number: the hash shards, to which keys belong by their hash,
   * then the shards of isolated keys. A shard whose key is no longer isolated
   * keeps a row without an owner.
   */
  readonly rows: readonly ShardRow[];
  /** Shard number of each isolated key. */
  readonly isolated: ReadonlyMap<string, number>;
}

/** Result of folding the log up to and including `offset`. */
export interface RouterState {
  readonly offset: number;
  readonly bundle: BundleInForce | null;
  /** Current term of each zone. */
  readonly terms: ReadonlyMap<string, TermState>;
  /** Services by id, including those that were removed from the bundle. */
  readonly services: ReadonlyMap<string, ServiceState>;
}

/** Shard of a key and its owner, according to the folded state. */
export interface Route {
  readonly service: string;
  readonly shard: number;
  /** Offset of the record that last changed the shard's owner or keys. */
  readonly epoch: number;
  readonly zone: string;
  /** Null when the shard has no owner. */
  readonly server: string | null;
}
