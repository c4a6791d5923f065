/** Takes planned moves to the point where a record is due. */
import type {LeaseRequest} from '../../../types/index.js';
import type {AssignerCommand, PeerMessageOf} from '../assigner-types.js';
import type {MoveInFlight} from '../move-table.js';
import {shardKey} from '../placement.js';
import {dispatcherOf, sameFence, type ServerSlot} from '../server-slot.js';
import type {StopProofs} from './stop-proofs.js';
import type {ServerHealth} from './server-health.js';
import {isPastLeaveAt, type AssignerState, type StepView} from './state.js';

/** Cause of a move that is given up because its drain takes too long. */
const DRAIN_TIMEOUT = 'drain-timeout';
/** Interval at which an unanswered drain is sent again. */
const DRAIN_RESEND_MS = 1_000;
/**
 * Longest time for which a shard is held back for a planned move. A longer
 * drain would make it unavailable for the length of an upload.
 */
const MAX_DRAIN_MS = 1_000;
/** Log outage after which drained shards go back to their owner. */
const MAX_LOG_OUTAGE_MS = 1_000;

/** Drains shards at dispatchers and servers, and gives moves up. */
export class Drains {
  private lastSeq = 0;

  /**
   * @param state - State of the term.
   * @param servers - Condition of the servers.
   * @param proofs - Proofs of stopped owners.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: ServerHealth,
    private readonly proofs: StopProofs,
  ) {}

  /**
   * Notes that a dispatcher has nothing in flight for drained shards.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it; others than the drained one are ignored.
   */
  handleShardDrained(
    message: PeerMessageOf<'shard-drained'>,
    from?: string,
  ): void {
    const slot = this.state.slots.get(message.server);
    if (!slot || message.term !== this.state.term) return;
    const {service, server, seq} = message;
    const fence = dispatcherOf(slot)?.fence ?? null;
    for (const shard of message.shards) {
      const move = this.state.moves.get({service, shard});
      if (move?.from !== server || move.stage !== 'dispatcher') continue;
      if (from !== undefined && from !== move.drainTo) continue;
      // The answer to a drain that was taken back must not count for this one.
      if (seq < move.drainSeq || !sameFence(move.drainFence, fence)) continue;
      move.drained = true;
      finishDispatcherStageWhenIdle(slot, move);
    }
  }

  /**
   * Proof a: the server holds a lease without the shard and is idle for it.
   *
   * @param slot - Server with its latest status.
   * @param lease - Lease that it acknowledged.
   */
  handleLeaseAck(slot: ServerSlot, lease: LeaseRequest): void {
    const busy = new Set(slot.status!.busy.map(shardKey));
    for (const move of this.state.moves.list()) {
      if (move.from !== slot.id) continue;
      if (move.stage === 'dispatcher' && move.drained) {
        finishDispatcherStageWhenIdle(slot, move);
        continue;
      }
      if (move.stage !== 'server') continue;
      if ((lease.seq ?? 0) < move.minSeq || busy.has(shardKey(move))) continue;
      move.stage = 'ready';
    }
  }

  /**
   * Advances planned moves up to the point where a record is due.
   *
   * @param view - Inputs of the step.
   * @returns Drains that are due, and the ends of moves that were given up.
   */
  *advance(view: StepView): Generator<AssignerCommand> {
    const dueDrains = new Map<string, MoveInFlight[]>();
    for (const move of this.state.moves.list()) {
      if (!move.planned || move.stage === 'append') continue;
      const cause = this.abandonCause(view, move);
      if (cause !== null) yield* this.abandon(view, move, cause);
      else if (move.stage === 'dispatcher')
        this.scheduleDrain(view, move, dueDrains);
    }
    for (const group of dueDrains.values()) {
      const command = this.drainCommand(view, group[0]!.drainTo!, group, true);
      for (const move of group) {
        move.drainSeq = Math.min(move.drainSeq, this.lastSeq);
      }
      yield command;
    }
  }

  /**
   * Gives a move up and lets its dispatcher resume.
   *
   * @param view - Inputs of the step.
   * @param move - The move.
   * @param cause - Cause for the timeline.
   * @returns The end of the drain, and an event.
   */
  *abandon(
    view: StepView,
    move: MoveInFlight,
    cause: string,
  ): Generator<AssignerCommand> {
    const {moves} = this.state;
    moves.remove(move, view.nowMs);
    if (cause === DRAIN_TIMEOUT) moves.noteFailedDrain(move, view.nowMs);
    if (move.drainTo !== null) {
      yield this.drainCommand(view, move.drainTo, [move], false);
    }
    const {term} = this.state;
    const fields = moveFields(move);
    yield {kind: 'event', event: {kind: 'move-abandoned', term, cause, fields}};
  }

  private scheduleDrain(
    view: StepView,
    move: MoveInFlight,
    dueDrains: Map<string, MoveInFlight[]>,
  ): void {
    const slot = this.state.slots.get(move.from!)!;
    const dispatcher = dispatcherOf(slot);
    if (dispatcher === null) {
      if (this.proofs.isQuiescent(view, slot))
        finishDispatcherStage(slot, move);
      return;
    }
    // A VM that does not know yet that it dispatches would confirm at once.
    if (!sameFence(slot.publishedFence, dispatcher.fence)) return;
    const isResendDue = view.nowMs >= move.drainSentAtMs + DRAIN_RESEND_MS;
    const isForCurrentFence = sameFence(move.drainFence, dispatcher.fence);
    if (isForCurrentFence && (move.drained || !isResendDue)) return;
    if (!isForCurrentFence) {
      move.drainSeq = Infinity;
      move.drained = false;
    }
    move.drainStartedAtMs ??= view.nowMs;
    move.drainFence = dispatcher.fence;
    move.drainTo = dispatcher.vm;
    move.drainSentAtMs = view.nowMs;
    const group = `${dispatcher.vm} ${move.from} ${move.service} ${move.to}`;
    const list = dueDrains.get(group);
    if (list) list.push(move);
    else dueDrains.set(group, [move]);
  }

  private abandonCause(view: StepView, move: MoveInFlight): string | null {
    const slot = this.state.slots.get(move.from!);
    if (!slot || !this.servers.isPresent(view, slot.id)) return 'source-gone';
    if (slot.server.checksGrants && !this.servers.isAnswering(slot)) {
      return 'source-silent';
    }
    if (!this.proofs.isQuiescent(view, slot)) return 'dispatcher-lost';
    if (!this.servers.canReceiveShards(view, move.to)) return 'target-lost';
    if (this.isDrainOverdue(view, slot, move)) return DRAIN_TIMEOUT;
    const outageMs =
      view.nowMs - (this.state.logUnavailableSinceMs ?? view.nowMs);
    if (move.stage === 'ready' && outageMs >= MAX_LOG_OUTAGE_MS) {
      return 'log-unavailable';
    }
    return null;
  }

  /** Whether requests in flight keep the shard from moving for too long. */
  private isDrainOverdue(
    view: StepView,
    slot: ServerSlot,
    move: MoveInFlight,
  ): boolean {
    const {stage, reason, drainStartedAtMs} = move;
    if (reason !== 'balance' && reason !== 'leaving') return false;
    if (isPastLeaveAt(view, slot.server)) return false;
    const waitedMs = view.nowMs - (drainStartedAtMs ?? view.nowMs);
    if (waitedMs < MAX_DRAIN_MS) return false;
    return stage === 'dispatcher' || (stage === 'server' && isBusy(slot, move));
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
        seq: ++this.lastSeq,
        server: from!,
        service,
        shards: moves.map(m => m.shard),
        drain,
      },
    };
  }
}

/**
 * Fields of a move for the timeline.
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

function isBusy(slot: ServerSlot, move: MoveInFlight): boolean {
  const busy = slot.status?.busy ?? [];
  return busy.some(shard => shardKey(shard) === shardKey(move));
}

/**
 * The server may still run requests of a former dispatcher, which its present
 * one does not know. It would refuse their effects without the grant.
 */
function finishDispatcherStageWhenIdle(
  slot: ServerSlot,
  move: MoveInFlight,
): void {
  if (slot.server.checksGrants && isBusy(slot, move)) return;
  finishDispatcherStage(slot, move);
}

/** The dispatcher is drained; the server's own check follows. */
function finishDispatcherStage(slot: ServerSlot, move: MoveInFlight): void {
  move.stage = slot.server.checksGrants ? 'server' : 'ready';
  move.minSeq = slot.seq + 1;
}
