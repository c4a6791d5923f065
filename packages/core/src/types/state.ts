/** The folded state of a deployment, equal on all VMs at the same offset. */
import type {Bundle, SignedBundle} from './bundle.js';
import type {ShardRow} from './records.js';

/** The bundle in force. */
export interface BundleInForce {
  readonly offset: number;
  readonly author: string;
  readonly signed: SignedBundle;
  readonly body: Bundle;
}

/** The assigner of a zone. */
export interface TermState {
  readonly holder: string;
  readonly holderZone: string;
  /** Offset of the term record. */
  readonly term: number;
}

/** Owners of the shards of one service. */
export interface ServiceState {
  /** Hash shards first, then one row for each isolated key's shard. */
  readonly rows: readonly ShardRow[];
  readonly isolated: ReadonlyMap<string, number>;
}

/** Result of folding the stream up to `offset`. */
export interface RouterState {
  readonly offset: number;
  readonly bundle: BundleInForce | null;
  readonly terms: ReadonlyMap<string, TermState>;
  readonly services: ReadonlyMap<string, ServiceState>;
}

/** Shard of a key and its owner, according to the folded state. */
export interface Route {
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
  readonly zone: string;
  /** Null when the shard has no owner. */
  readonly server: string | null;
}
