/** Moves shards off the servers of leaving batches in time. */
import type {AssignerCommand} from '../assigner-types.js';
import {planLeaving, type LeavingProgress} from '../placement.js';
import type {OwnedShard} from '../shard-index.js';
import type {Planner} from './planner.js';
import type {Servers} from './servers.js';
import type {AssignerState, View} from './state.js';

/** Most moves of leaving batches in flight before `leaveAtMs`. */
const MAX_LEAVING_MOVES = 32;

interface LeavingSight {
  readonly startedAtWallMs: number;
  totalShards: number;
  warned: boolean;
}

/** Paces the moves of leaving batches. */
export class LeavingBatches {
  private readonly sights = new Map<string, LeavingSight>();
  private latest: LeavingProgress[] = [];

  /**
   * @param state - State of the term.
   * @param servers - Condition of the servers.
   * @param planner - Plans the moves.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: Servers,
    private readonly planner: Planner,
  ) {}

  /** Progress at the latest step that could plan moves. */
  get progress(): readonly LeavingProgress[] {
    return this.latest;
  }

  /**
   * Plans the moves that are due.
   *
   * @param view - Inputs of the step.
   * @returns A warning for each batch that has become late.
   */
  *plan(view: View): Generator<AssignerCommand> {
    this.latest = [];
    for (const batch of this.sights.keys()) {
      if (!view.index.leaveAtMs.has(batch)) this.sights.delete(batch);
    }
    for (const [batch, leaveAtMs] of view.index.leaveAtMs) {
      const shards = shardsOf(view, batch);
      const sight = this.sight(batch, shards.length, view.wallMs);
      const progress = planLeaving({
        batch,
        leaveAtMs,
        startedAtWallMs: sight.startedAtWallMs,
        totalShards: sight.totalShards,
        shardsLeft: shards.length,
        wallMs: view.wallMs,
      });
      this.latest.push(progress);
      if (progress.late && !sight.warned) yield this.warning(progress);
      sight.warned = progress.late;
      this.startMoves(view, shards, progress);
    }
  }

  private sight(batch: string, shards: number, wallMs: number): LeavingSight {
    const sight = this.sights.get(batch) ?? {
      startedAtWallMs: wallMs,
      totalShards: shards,
      warned: false,
    };
    sight.totalShards = Math.max(sight.totalShards, shards);
    this.sights.set(batch, sight);
    return sight;
  }

  private warning(progress: LeavingProgress): AssignerCommand {
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
    view: View,
    shards: readonly OwnedShard[],
    progress: LeavingProgress,
  ): void {
    const inFlight = shards.filter(s => this.state.moves.get(s)).length;
    const past = view.wallMs >= progress.leaveAtMs;
    const room = past ? Infinity : MAX_LEAVING_MOVES - inFlight;
    const count = Math.min(progress.due - inFlight, room);
    if (count <= 0) return;
    const movable = shards.filter(
      s => this.planner.mayDrain(view, s) && this.servers.isUp(view, s.server!),
    );
    for (const service of new Set(movable.map(s => s.service))) {
      const list = movable.filter(s => s.service === service).slice(0, count);
      this.planner.planDrains(view, list, 'leaving');
    }
  }
}

function shardsOf(view: View, batch: string): OwnedShard[] {
  return [...view.index.byServer.entries()]
    .filter(([id]) => view.index.servers.get(id)?.batch === batch)
    .flatMap(([, owned]) => owned);
}
