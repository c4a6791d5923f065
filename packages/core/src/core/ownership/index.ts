/** Ownership of shards: election, leases, placement and moves. */
export {Assigner} from './assigner.js';
export type {
  AppendDraft,
  AssignerCommand,
  AssignerOptions,
  PeerMessageOf,
  StepInput,
} from './assigner-types.js';
export {placeByModulo, placeByRendezvous} from './baselines.js';
export {chooseDispatcher, type EntryVm} from './dispatcher-choice.js';
export {
  decideElection,
  type ElectionInput,
  type ElectionPeer,
  type TermDraft,
} from './election.js';
export {
  LeaseLedger,
  type ClockReading,
  type LedgerEntry,
} from './lease-ledger.js';
export {
  HotKeyDetector,
  IMBALANCE_THRESHOLD,
  MAX_BALANCE_MOVES,
  SHARD_MOVE_COOLDOWN_MS,
  computeCapacities,
  computeImbalance,
  placeShards,
  planBalanceMove,
  planLeaving,
  shardKey,
  type HotKey,
  type LeavingProgress,
  type Move,
  type PlacedShard,
  type ServerCapacity,
  type ShardId,
} from './placement.js';
