/** Appends the assigner's records one at a time and handles their results. */
import type {ShardChange} from '../../../types/index.js';
import type {AppendDraft, AssignerCommand} from '../assigner-types.js';
import type {MoveInFlight} from '../move-table.js';
import type {Drains} from './drains.js';
import type {HotKeyIsolation} from './hot-key-isolation.js';
import type {AssignerState, StepView} from './state.js';

/** Shards that a record changes, with their epochs before it. */
type PendingAppend = readonly {
  readonly service: string;
  readonly shard: number;
  readonly baseEpoch: number;
}[];

/** Appends the records of one term, at most one at a time. */
export class RecordAppender {
  private pending: PendingAppend | null = null;
  private rejected: PendingAppend | null = null;

  /**
   * @param state - State of the term.
   * @param drains - Abandons the moves of rejected records.
   * @param hotKeyIsolation - Finds keys to isolate.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly drains: Drains,
    private readonly hotKeyIsolation: HotKeyIsolation,
  ) {}

  /**
   * Whether a record was appended that is neither part of the folded state nor
   * rejected yet. No other record may be appended then.
   */
  get isPending(): boolean {
    return this.pending !== null;
  }

  /**
   * Handles the result of the append in flight. An accepted record takes effect
   * only once it is part of the folded state.
   *
   * @param accepted - Whether the record was accepted when the log was folded.
   */
  handleResult(accepted: boolean): void {
    if (accepted || !this.pending) return;
    this.rejected = this.pending;
    this.pending = null;
  }

  /**
   * Removes the moves whose records are in the folded state, and abandons those
   * whose records were rejected.
   *
   * @param view - Inputs of the step.
   * @returns For each abandoned move, an event and the message that cancels its
   * drain.
   */
  *finishMoves(view: StepView): Generator<AssignerCommand> {
    for (const shard of this.rejected ?? []) {
      const move = this.state.moves.get(shard);
      if (move) yield* this.drains.abandon(view, move, 'append-rejected');
    }
    this.rejected = null;
    const isFolded = (s: PendingAppend[number]) =>
      view.index.epochOf(s) !== s.baseEpoch;
    for (const move of this.state.moves.list()) {
      if (!isFolded(move)) continue;
      this.state.moves.remove(move, view.nowMs);
      this.state.moves.clearFailedDrains(move);
    }
    if (this.pending?.every(isFolded)) this.pending = null;
  }

  /**
   * Appends at most one record: the moves that are ready, or else an isolation.
   *
   * @param view - Inputs of the step.
   * @returns At most one command.
   */
  *append(view: StepView): Generator<AssignerCommand> {
    const ready = this.state.moves.list().filter(m => m.stage === 'ready');
    if (ready.length > 0) {
      for (const move of ready) move.stage = 'append';
      this.pending = ready;
      yield {kind: 'append', record: this.assignRecord(view, ready)};
      return;
    }
    const isolation = this.hotKeyIsolation.nextIsolation(view);
    if (!isolation) return;
    const {service, shard} = isolation.hot;
    const baseEpoch = view.index.epochOf({service, shard})!;
    this.pending = [{service, shard, baseEpoch}];
    yield {kind: 'append', record: isolation.record};
  }

  private assignRecord(
    view: StepView,
    moves: readonly MoveInFlight[],
  ): AppendDraft {
    const {vm, zone, term} = this.state.options;
    const changes: ShardChange[] = moves.map(m => ({
      service: m.service,
      shard: m.shard,
      server: m.to,
      reason: m.reason,
      formerFence:
        this.state.trackedServers.get(m.from ?? '')?.fenceInForce ?? null,
    }));
    const baseOffset = view.state.offset;
    return {kind: 'assign', author: vm, zone, term, baseOffset, changes};
  }
}
