/** Moves in flight of one assigner. */
import type {Fence} from '../../types/index.js';
import {SHARD_REST_MS, shardKey, type Move, type ShardId} from './placement.js';

/** First time for which a shard is left where it is after a failed drain. */
const MIN_DRAIN_RETRY_MS = 10_000;
/** Longest such time; it doubles with each failed drain. */
const MAX_DRAIN_RETRY_MS = 300_000;

/**
 * Stage of a move: the dispatcher drains, the source acknowledges a lease
 * without the shard, the old owner is proven stopped, the record is appended.
 */
export type MoveStage = 'dispatcher' | 'server' | 'ready' | 'append';

/** A move in flight. */
export interface MoveInFlight extends Move {
  stage: MoveStage;
  /** Epoch of the shard when the move was decided. */
  readonly baseEpoch: number;
  readonly isPlanned: boolean;
  /** Dispatcher that was told to drain, its fence, and when. */
  drainTo: string | null;
  drainFence: Fence | null;
  drainSentAtMs: number;
  /** When the first drain of the move was sent. */
  drainStartedAtMs: number | null;
  /** Whether the dispatcher under `drainFence` has confirmed. */
  isDispatcherDrained: boolean;
  /** First order to drain under that fence. */
  firstDrainSeq: number;
  /** First lease call without the shard. */
  firstLeaseSeqWithoutShard: number;
}

/** Moves in flight, and when shards were last moved. */
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
   * @param move - Decision.
   * @param baseEpoch - Present epoch of the shard.
   * @param stage - First stage.
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
      firstDrainSeq: Infinity,
      firstLeaseSeqWithoutShard: Infinity,
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
   * Lists the moves; the table may be changed meanwhile.
   *
   * @returns All moves in flight.
   */
  list(): MoveInFlight[] {
    return [...this.moves.values()];
  }

  /**
   * Tells whether a shard is to be left out of its owner's lease.
   *
   * @param id - Shard.
   * @returns True from the stage `server` on.
   */
  isWithheld(id: ShardId): boolean {
    const move = this.get(id);
    return move !== undefined && move.stage !== 'dispatcher';
  }

  /**
   * Names the shards that are to be left out of leases.
   *
   * @returns A text that is equal for equal sets in the same order.
   */
  withheldKey(): string {
    const keys = [];
    for (const [key, {stage}] of this.moves) {
      if (stage !== 'dispatcher') keys.push(key);
    }
    return keys.join(' ');
  }

  /**
   * Removes a move that was folded or given up.
   *
   * @param id - Shard.
   * @param nowMs - Own monotonic time, from which the shard rests.
   */
  remove(id: ShardId, nowMs: number): void {
    this.moves.delete(shardKey(id));
    this.moveEndedAtMs.set(shardKey(id), nowMs);
  }

  /**
   * Notes that a shard could not be drained in time.
   *
   * @param id - Shard.
   * @param nowMs - Own monotonic time.
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
   * Forgets the failed drains of a shard that has moved.
   *
   * @param id - Shard.
   */
  clearFailedDrains(id: ShardId): void {
    this.failedDrains.delete(shardKey(id));
  }

  /**
   * Tells whether a drain of a shard is not to be tried again yet.
   *
   * @param id - Shard.
   * @param nowMs - Own monotonic time.
   * @returns True for a growing time after each failed drain.
   */
  isDrainPostponed(id: ShardId, nowMs: number): boolean {
    const failed = this.failedDrains.get(shardKey(id));
    return failed !== undefined && nowMs < failed.untilMs;
  }

  /**
   * Tells whether a balance move of a shard may start.
   *
   * @param id - Shard.
   * @param nowMs - Own monotonic time.
   * @returns False while it moves or rests.
   */
  mayMove(id: ShardId, nowMs: number): boolean {
    if (this.get(id) || this.isDrainPostponed(id, nowMs)) return false;
    const endedAtMs = this.moveEndedAtMs.get(shardKey(id));
    return endedAtMs === undefined || nowMs - endedAtMs >= SHARD_REST_MS;
  }
}
