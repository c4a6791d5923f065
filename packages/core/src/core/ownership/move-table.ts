/** Table of the moves in flight of one assigner. */
import type {Fence} from '../../types/index.js';
import {
  SHARD_MOVE_COOLDOWN_MS,
  shardKey,
  type Move,
  type ShardId,
} from './placement.js';

/** Wait before a shard is drained again after its first failed drain. */
const MIN_DRAIN_RETRY_MS = 10_000;
/** Longest wait after failed drains; the wait doubles with each failure. */
const MAX_DRAIN_RETRY_MS = 300_000;

/**
 * Stage of a move:
 *
 * - `dispatcher`: the dispatcher finishes its requests for the shard;
 * - `server`: the old owner must acknowledge a lease without the shard;
 * - `ready`: the old owner is proven to run nothing for the shard;
 * - `append`: the record of the move is being appended.
 */
export type MoveStage = 'dispatcher' | 'server' | 'ready' | 'append';

/** A move in flight. */
export interface MoveInFlight extends Move {
  stage: MoveStage;
  /** Epoch of the shard when the move was decided. */
  readonly baseEpoch: number;
  /** Whether the move began with a drain at the dispatcher. */
  readonly isPlanned: boolean;
  /** Dispatcher that was asked to drain. */
  drainTo: string | null;
  /** Fence of that dispatcher. */
  drainFence: Fence | null;
  /** When the latest drain was sent. */
  drainSentAtMs: number;
  /** When the first drain of the move was sent. */
  drainStartedAtMs: number | null;
  /** Whether the dispatcher under `drainFence` has confirmed. */
  isDispatcherDrained: boolean;
  /**
   * Sequence number of the first drain sent under `drainFence`; confirmations of
   * earlier drains are ignored.
   */
  minDrainSeq: number;
  /** Sequence number of the first lease call without the shard. */
  minLeaseSeq: number;
}

/** Moves in flight, cooldowns of moved shards and waits after failed drains. */
export class MoveTable {
  private readonly moves = new Map<string, MoveInFlight>();
  private readonly moveEndedAtMs = new Map<string, number>();
  private readonly failedDrains = new Map<
    string,
    {readonly retryMs: number; readonly untilMs: number}
  >();

  /**
   * Adds a move.
   *
   * @param move - The decided move.
   * @param baseEpoch - Current epoch of the shard.
   * @param stage - First stage; `dispatcher` makes it a planned move.
   * @returns The stored move.
   */
  add(
    move: Move,
    baseEpoch: number,
    stage: 'dispatcher' | 'ready',
  ): MoveInFlight {
    const inFlight: MoveInFlight = {
      ...move,
      stage,
      baseEpoch,
      isPlanned: stage === 'dispatcher',
      drainTo: null,
      drainFence: null,
      drainSentAtMs: -Infinity,
      drainStartedAtMs: null,
      isDispatcherDrained: false,
      minDrainSeq: Infinity,
      minLeaseSeq: Infinity,
    };
    this.moves.set(shardKey(move), inFlight);
    return inFlight;
  }

  /**
   * Finds the move of a shard.
   *
   * @param id - Shard.
   * @returns The move, or undefined.
   */
  get(id: ShardId): MoveInFlight | undefined {
    return this.moves.get(shardKey(id));
  }

  /**
   * Lists the moves.
   *
   * @returns A copy, so that the table may change during an iteration.
   */
  list(): MoveInFlight[] {
    return [...this.moves.values()];
  }

  /**
   * Tells whether a shard must be left out of its owner's lease.
   *
   * @param id - Shard.
   * @returns True once its move has passed the stage `dispatcher`.
   */
  isWithheld(id: ShardId): boolean {
    const move = this.get(id);
    return move !== undefined && move.stage !== 'dispatcher';
  }

  /**
   * Builds a cache key of the shards that must be left out of leases.
   *
   * @returns Text that changes whenever the set of withheld shards changes.
   */
  withheldKey(): string {
    const keys = [];
    for (const [key, {stage}] of this.moves) {
      if (stage !== 'dispatcher') keys.push(key);
    }
    return keys.join(' ');
  }

  /**
   * Removes a move that was recorded or abandoned and starts the cooldown of
   * its shard.
   *
   * @param id - Shard.
   * @param nowMs - Time on this VM's monotonic clock.
   */
  remove(id: ShardId, nowMs: number): void {
    this.moves.delete(shardKey(id));
    this.moveEndedAtMs.set(shardKey(id), nowMs);
  }

  /**
   * Postpones the next drain of a shard that could not be drained in time.
   *
   * @param id - Shard.
   * @param nowMs - Time on this VM's monotonic clock.
   */
  postponeDrain(id: ShardId, nowMs: number): void {
    const previous = this.failedDrains.get(shardKey(id));
    const retryMs = previous
      ? Math.min(previous.retryMs * 2, MAX_DRAIN_RETRY_MS)
      : MIN_DRAIN_RETRY_MS;
    const untilMs = nowMs + retryMs;
    this.failedDrains.set(shardKey(id), {retryMs, untilMs});
  }

  /**
   * Clears the failed drains of a shard that has moved.
   *
   * @param id - Shard.
   */
  clearFailedDrains(id: ShardId): void {
    this.failedDrains.delete(shardKey(id));
  }

  /**
   * Tells whether a shard must not be drained yet because a drain failed.
   *
   * @param id - Shard.
   * @param nowMs - Time on this VM's monotonic clock.
   * @returns True during the wait, which grows with each failed drain.
   */
  isDrainPostponed(id: ShardId, nowMs: number): boolean {
    const failed = this.failedDrains.get(shardKey(id));
    return failed !== undefined && nowMs < failed.untilMs;
  }

  /**
   * Tells whether a shard may move for balance, or off a server of a leaving
   * batch that does not check grants.
   *
   * @param id - Shard.
   * @param nowMs - Time on this VM's monotonic clock.
   * @returns False while the shard is moving, in the cooldown after a recorded
   * or abandoned move, or waiting after a failed drain.
   */
  mayMove(id: ShardId, nowMs: number): boolean {
    if (this.get(id) || this.isDrainPostponed(id, nowMs)) return false;
    const endMs = this.moveEndedAtMs.get(shardKey(id));
    return endMs === undefined || nowMs - endMs >= SHARD_MOVE_COOLDOWN_MS;
  }
}
