/** Drains the shards of planned moves until their record can be appended. */
import type {LeaseRequest} from '../../../types/index.js';
import type {AssignerCommand, PeerMessageOf} from '../assigner-types.js';
import type {MoveInFlight} from '../move-table.js';
import {shardKey} from '../placement.js';
import {
  dispatcherOf,
  isSameFenceOrBothNull,
  type TrackedServer,
} from '../tracked-server.js';
import type {StopProofs} from './stop-proofs.js';
import type {ServerHealth} from './server-health.js';
import {isPastLeaveAt, type AssignerState, type StepView} from './state.js';

/** Cause of a move that was abandoned because its drain took too long. */
const DRAIN_TIMEOUT = 'drain-timeout';
/** Interval at which an unanswered drain is sent again. */
const DRAIN_RESEND_MS = 1_000;
/**
 * Longest time for which requests for a shard are held back for a planned move.
 * Without a limit, one upload would make the shard unavailable until it ends.
 */
const MAX_DRAIN_MS = 1_000;
/**
 * Length of a log outage after which drained shards go back to their owner: the
 * move cannot be recorded, and requests for the shard are held back meanwhile.
 */
const MAX_LOG_OUTAGE_MS = 1_000;

/** Drains shards at dispatchers and servers, and abandons moves that fail. */
export class Drains {
  /** Sequence number of the last message that started or cancelled a drain. */
  private lastDrainSeq = 0;

  /**
   * @param state - State of the term.
   * @param serverHealth - Health checks of the servers.
   * @param proofs - Checks that a former owner has stopped.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly serverHealth: ServerHealth,
    private readonly proofs: StopProofs,
  ) {}

  /**
   * Handles a dispatcher's confirmation that it has no requests in flight for
   * the shards of a drain.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it. The confirmation is ignored unless this is
   * the VM that was asked to drain.
   */
  handleShardDrained(
    message: PeerMessageOf<'shard-drained'>,
    from?: string,
  ): void {
    const tracked = this.state.trackedServers.get(message.server);
    if (!tracked || message.term !== this.state.term) return;
    const {service, server, seq} = message;
    const fence = dispatcherOf(tracked)?.fence ?? null;
    for (const shard of message.shards) {
      const move = this.state.moves.get({service, shard});
      if (move?.from !== server || move.stage !== 'dispatcher') continue;
      if (from !== undefined && from !== move.drainTo) continue;
      // A late answer to a drain that was cancelled must not confirm this one.
      if (
        seq < move.minDrainSeq ||
        !isSameFenceOrBothNull(move.drainFence, fence)
      )
        continue;
      move.isDispatcherDrained = true;
      endDispatcherStageWhenIdle(tracked, move);
    }
  }

  /**
   * Advances the moves of a server that acknowledged a lease. A move is ready
   * for its record once the server holds a lease without the shard and reports
   * no running request for it (proof a, see `StopProofs`).
   *
   * @param tracked - State of the server, with its latest status.
   * @param lease - Lease that the server acknowledged.
   */
  handleLeaseAck(tracked: TrackedServer, lease: LeaseRequest): void {
    const busy = new Set(tracked.status!.busy.map(shardKey));
    for (const move of this.state.moves.list()) {
      if (move.from !== tracked.id) continue;
      if (move.stage === 'dispatcher' && move.isDispatcherDrained) {
        endDispatcherStageWhenIdle(tracked, move);
        continue;
      }
      if (move.stage !== 'server') continue;
      if ((lease.seq ?? 0) < move.minLeaseSeq || busy.has(shardKey(move)))
        continue;
      move.stage = 'ready';
    }
  }

  /**
   * Sends the drains of planned moves and abandons moves that cannot finish.
   *
   * @param view - Inputs of the step.
   * @returns Drains that are due, and for each abandoned move an event and the
   * message that cancels its drain.
   */
  *advance(view: StepView): Generator<AssignerCommand> {
    const due = new Map<string, MoveInFlight[]>();
    for (const move of this.state.moves.list()) {
      if (!move.isPlanned || move.stage === 'append') continue;
      const cause = this.abandonCause(view, move);
      if (cause !== null) yield* this.abandon(view, move, cause);
      else if (move.stage === 'dispatcher') this.scheduleDrain(view, move, due);
    }
    for (const group of due.values()) {
      const command = this.drainCommand(view, group[0]!.drainTo!, group, true);
      // An answer to any drain sent under the current fence counts, so a resent
      // drain does not raise the number.
      for (const move of group) {
        move.minDrainSeq = Math.min(move.minDrainSeq, this.lastDrainSeq);
      }
      yield command;
    }
  }

  /**
   * Abandons a move and lets the dispatcher send requests for the shard again.
   *
   * @param view - Inputs of the step.
   * @param move - The move.
   * @param cause - Cause, for the timeline.
   * @returns The message that cancels the drain, if one was sent, and an event.
   */
  *abandon(
    view: StepView,
    move: MoveInFlight,
    cause: string,
  ): Generator<AssignerCommand> {
    const {moves} = this.state;
    moves.remove(move, view.nowMs);
    if (cause === DRAIN_TIMEOUT) moves.postponeDrain(move, view.nowMs);
    if (move.drainTo !== null) {
      yield this.drainCommand(view, move.drainTo, [move], false);
    }
    const {term} = this.state;
    const fields = moveFields(move);
    yield {kind: 'event', event: {kind: 'move-abandoned', term, cause, fields}};
  }

  /**
   * Adds a move to `due` if its drain must be sent now. `due` groups the moves
   * that one message covers. If the source has no dispatcher, no drain is needed:
   * the stage `dispatcher` ends once the source is quiescent.
   */
  private scheduleDrain(
    view: StepView,
    move: MoveInFlight,
    due: Map<string, MoveInFlight[]>,
  ): void {
    const tracked = this.state.trackedServers.get(move.from!)!;
    const dispatcher = dispatcherOf(tracked);
    if (dispatcher === null) {
      if (this.proofs.isQuiescent(view, tracked))
        endDispatcherStage(tracked, move);
      return;
    }
    // A VM that has not received the dispatch table with its own appointment
    // ignores the drain and confirms at once.
    if (!isSameFenceOrBothNull(tracked.publishedFence, dispatcher.fence))
      return;
    const isResendDue = view.nowMs >= move.drainSentAtMs + DRAIN_RESEND_MS;
    const isForCurrentFence = isSameFenceOrBothNull(
      move.drainFence,
      dispatcher.fence,
    );
    if (isForCurrentFence && (move.isDispatcherDrained || !isResendDue)) return;
    if (!isForCurrentFence) {
      move.minDrainSeq = Infinity;
      move.isDispatcherDrained = false;
    }
    move.drainStartedAtMs ??= view.nowMs;
    move.drainFence = dispatcher.fence;
    move.drainTo = dispatcher.vm;
    move.drainSentAtMs = view.nowMs;
    const group = `${dispatcher.vm} ${move.from} ${move.service} ${move.to}`;
    const list = due.get(group);
    if (list) list.push(move);
    else due.set(group, [move]);
  }

  /** Returns the cause for which a move must be abandoned, or null. */
  private abandonCause(view: StepView, move: MoveInFlight): string | null {
    const tracked = this.state.trackedServers.get(move.from!);
    if (!tracked || !this.serverHealth.isPresent(view, tracked.id))
      return 'source-gone';
    if (
      tracked.server.checksGrants &&
      !this.serverHealth.isAnswering(tracked)
    ) {
      return 'source-silent';
    }
    if (!this.proofs.isQuiescent(view, tracked)) return 'dispatcher-lost';
    if (!this.serverHealth.canReceiveShards(view, move.to))
      return 'target-lost';
    if (this.isDrainOverdue(view, tracked, move)) return DRAIN_TIMEOUT;
    const outageMs =
      view.nowMs - (this.state.logUnavailableSinceMs ?? view.nowMs);
    if (move.stage === 'ready' && outageMs >= MAX_LOG_OUTAGE_MS) {
      return 'log-unavailable';
    }
    return null;
  }

  /**
   * Whether requests in flight have held the move up for too long. Moves after
   * a server loss, and those of a batch past `leaveAtMs`, have no time limit.
   */
  private isDrainOverdue(
    view: StepView,
    tracked: TrackedServer,
    move: MoveInFlight,
  ): boolean {
    const {stage, reason, drainStartedAtMs} = move;
    if (reason !== 'balance' && reason !== 'leaving') return false;
    if (isPastLeaveAt(view, tracked.server)) return false;
    const waitedMs = view.nowMs - (drainStartedAtMs ?? view.nowMs);
    if (waitedMs < MAX_DRAIN_MS) return false;
    return (
      stage === 'dispatcher' || (stage === 'server' && isBusy(tracked, move))
    );
  }

  private drainCommand(
    view: StepView,
    to: string,
    moves: readonly MoveInFlight[],
    drain: boolean,
  ): AssignerCommand {
    const {service, from} = moves[0]!;
    return {
      kind: 'shard-drain',
      to,
      message: {
        kind: 'shard-drain',
        term: this.state.term,
        offset: view.state.offset,
        seq: ++this.lastDrainSeq,
        server: from!,
        service,
        shards: moves.map(m => m.shard),
        drain,
      },
    };
  }
}

/**
 * Returns the fields that describe a move in the timeline.
 *
 * @param move - The move.
 * @returns Service, shard and both servers.
 */
export function moveFields(
  move: MoveInFlight,
): Record<string, string | number> {
  const {service, shard, from, to} = move;
  return {service, shard, from: from ?? '', to};
}

function isBusy(tracked: TrackedServer, move: MoveInFlight): boolean {
  const busy = tracked.status?.busy ?? [];
  return busy.some(shard => shardKey(shard) === shardKey(move));
}

/**
 * Ends the stage `dispatcher` unless the server still runs requests for the
 * shard. These may come from a former dispatcher, of which the current one does
 * not know. Once the grant is withdrawn, the server refuses their effects.
 */
function endDispatcherStageWhenIdle(
  tracked: TrackedServer,
  move: MoveInFlight,
): void {
  if (tracked.server.checksGrants && isBusy(tracked, move)) return;
  endDispatcherStage(tracked, move);
}

/**
 * Ends the stage `dispatcher`. A server that checks grants must next
 * acknowledge a lease without the shard.
 */
function endDispatcherStage(tracked: TrackedServer, move: MoveInFlight): void {
  move.stage = tracked.server.checksGrants ? 'server' : 'ready';
  move.minLeaseSeq = tracked.seq + 1;
}
