/** Moves shards off the servers of leaving batches before `leaveAtMs`. */
import type {AssignerCommand} from '../assigner-types.js';
import {planLeaving, type LeavingProgress} from '../placement.js';
import type {ZoneShard} from '../shard-index.js';
import type {Planner} from './planner.js';
import type {ServerHealth} from './server-health.js';
import type {AssignerState, StepView} from './state.js';

/** Largest number of moves in flight per leaving batch before `leaveAtMs`. */
const MAX_LEAVING_MOVES = 32;

/** What is known of a leaving batch since this assigner first saw it leave. */
interface TrackedBatch {
  readonly startedAtWallMs: number;
  /** Most shards that the batch was seen to own while leaving. */
  totalShards: number;
  /**
   * Whether the batch was late at the last step. The event is sent only when it
   * becomes late.
   */
  wasLate: boolean;
}

/** Spreads the moves of leaving batches over the time until `leaveAtMs`. */
export class LeavingBatches {
  private readonly trackedBatches = new Map<string, TrackedBatch>();
  private latestProgress: LeavingProgress[] = [];

  /**
   * @param state - State of the term.
   * @param serverHealth - Health checks of the servers.
   * @param planner - Planner that adds the moves.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly serverHealth: ServerHealth,
    private readonly planner: Planner,
  ) {}

  /** Progress of each batch at the latest step that could plan moves. */
  get progress(): readonly LeavingProgress[] {
    return this.latestProgress;
  }

  /**
   * Plans the moves of leaving batches that are due.
   *
   * @param view - Inputs of the step.
   * @returns An event for each batch that has become late.
   */
  *plan(view: StepView): Generator<AssignerCommand> {
    this.latestProgress = [];
    for (const batch of this.trackedBatches.keys()) {
      if (!view.index.leaveAtMs.has(batch)) this.trackedBatches.delete(batch);
    }
    for (const [batch, leaveAtMs] of view.index.leaveAtMs) {
      const shards = shardsOfBatch(view, batch);
      const tracked = this.trackBatch(batch, shards.length, view.wallMs);
      const progress = planLeaving({
        batch,
        leaveAtMs,
        startedAtWallMs: tracked.startedAtWallMs,
        totalShards: tracked.totalShards,
        shardsLeft: shards.length,
        wallMs: view.wallMs,
      });
      this.latestProgress.push(progress);
      if (progress.isLate && !tracked.wasLate) yield this.lateEvent(progress);
      tracked.wasLate = progress.isLate;
      this.startMoves(view, shards, progress);
    }
  }

  private trackBatch(
    batch: string,
    shardCount: number,
    wallMs: number,
  ): TrackedBatch {
    const tracked = this.trackedBatches.get(batch) ?? {
      startedAtWallMs: wallMs,
      totalShards: shardCount,
      wasLate: false,
    };
    tracked.totalShards = Math.max(tracked.totalShards, shardCount);
    this.trackedBatches.set(batch, tracked);
    return tracked;
  }

  private lateEvent(progress: LeavingProgress): AssignerCommand {
    const {batch, shardsLeft, leaveAtMs, expectedFinishWallMs} = progress;
    return {
      kind: 'event',
      event: {
        kind: 'leaving-late',
        term: this.state.term,
        cause: 'expected finish is after leaveAtMs',
        fields: {
          batch,
          shardsLeft,
          leaveAtMs,
          expectedFinishWallMs: expectedFinishWallMs ?? 'unknown',
        },
      },
    };
  }

  private startMoves(
    view: StepView,
    shards: readonly ZoneShard[],
    progress: LeavingProgress,
  ): void {
    const inFlight = shards.filter(s => this.state.moves.get(s)).length;
    const isPastLeaveAt = view.wallMs >= progress.leaveAtMs;
    const maxNewMoves = isPastLeaveAt ? Infinity : MAX_LEAVING_MOVES - inFlight;
    const count = Math.min(progress.dueMoves - inFlight, maxNewMoves);
    if (count <= 0) return;
    const movable = shards.filter(
      s =>
        this.planner.mayDrain(view, s) &&
        this.serverHealth.isPresentAndAnswering(view, s.server!),
    );
    for (const service of new Set(movable.map(s => s.service))) {
      const list = movable.filter(s => s.service === service).slice(0, count);
      this.planner.planDrains(view, list, 'leaving');
    }
  }
}

function shardsOfBatch(view: StepView, batch: string): ZoneShard[] {
  return [...view.index.byServer.entries()]
    .filter(([id]) => view.index.servers.get(id)?.batch === batch)
    .flatMap(([, owned]) => owned);
}
