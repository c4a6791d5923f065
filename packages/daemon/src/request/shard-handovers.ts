/**
 * Handovers of attempt records between the dispatchers of a shard.
 *
 * An attempt record states the outcome of a non-idempotent request under its
 * idempotency key. The dispatcher of a shard knows all attempts since a certain
 * time: at first since it took the shard over, and with the records of the
 * previous dispatcher since an earlier time. A request without a record that
 * was created before that time may have run elsewhere, so it is not run.
 */
import {
  isOlderFence,
  isSameFence,
  uuidV7WallMs,
  type AttemptTable,
  type DispatchRow,
  type Fence,
  type PeerMessage,
} from '@wisteriarun/core';
import type {Clock, EventSink, RouteSource} from './types.js';

/**
 * Longest time for which a received handover is kept while it matches no
 * dispatch table or log record yet.
 */
const HANDOVER_RETENTION_MS = 10_000;
/** Largest number of received handovers that are kept until they match. */
const MAX_PENDING_HANDOVERS = 64;

/** Message with the attempt records of shards for their next dispatcher. */
export type Handover = Extract<PeerMessage, {kind: 'handover'}>;

/** Change of a shard's owner in an accepted assign record. */
export interface ShardMove {
  readonly service: string;
  readonly shard: number;
  /** Previous owner, its epoch and the fence of its last dispatcher. */
  readonly from: {
    readonly server: string;
    readonly epoch: number;
    readonly fence: Fence | null;
  };
  /** New owner, or null when there is none. */
  readonly to: string | null;
}

/** A handover to send to the dispatcher of the server `to`. */
export interface OutgoingHandover {
  readonly to: string;
  readonly handover: Handover;
}

/** Assignment of this VM as the dispatcher of a server. */
export interface DispatchAssignment extends Pick<
  DispatchRow,
  'fence' | 'replaces'
> {
  /** Monotonic time at which this VM received the fence. */
  readonly sinceMs: number;
}

/** Dependencies of `ShardHandovers`. */
export interface ShardHandoversOptions {
  readonly attempts: AttemptTable;
  readonly routes: RouteSource;
  readonly clock: Clock;
  readonly events: EventSink;
  /**
   * Monotonic time at which the latest read of the log began that returned no
   * records newer than the folded state.
   */
  readonly logConfirmedAtMs: () => number;
}

/**
 * The handover that would complete this VM's attempt records of a shard: from
 * the dispatcher of the previous owner (`move`), or from the previous
 * dispatcher of the same owner (`fence`).
 */
type ExpectedHandover =
  | {readonly kind: 'move'; readonly from: ShardMove['from']}
  | {readonly kind: 'fence'; readonly fence: Fence; readonly term: number};

/** A shard that this VM dispatches. */
interface HeldShard {
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
  readonly server: string;
  /** Null when no handover is expected, or when it was imported. */
  expected: ExpectedHandover | null;
}

/** Received handover that may match a later dispatch table or log record. */
interface PendingHandover {
  readonly handover: Handover;
  readonly receivedMs: number;
}

/**
 * Tracks the shards that this VM dispatches, exports their attempt records when
 * they leave, and imports records when they arrive.
 *
 * Records are accepted only from the dispatcher immediately before this VM. A
 * dispatcher that was paused and replaced sends them under an older fence; they
 * lack the attempts at its replacement and are dropped.
 */
export class ShardHandovers {
  /** Shards that this VM dispatches, by `service/shard`. */
  private held = new Map<string, HeldShard>();
  private pending: PendingHandover[] = [];
  /**
   * Shards whose next epoch change isolates a hot key or merges it back. Their
   * owner stays, and their attempt records stay as complete as they are.
   */
  private readonly localEpochChanges = new Set<string>();
  private readonly waiters = new Set<() => void>();

  /**
   * @param options - Dependencies.
   */
  constructor(private readonly options: ShardHandoversOptions) {}

  /**
   * Announces that a hot key is isolated or merged back, which gives its shards
   * a new epoch on the same server.
   *
   * @param service - Service id.
   * @param shards - Shards that get a new epoch.
   */
  markLocalEpochChange(service: string, ...shards: number[]): void {
    for (const shard of shards)
      this.localEpochChanges.add(shardId(service, shard));
  }

  /**
   * Stops treating this VM's attempt records of a server's shards as complete.
   *
   * @param server - Server id.
   */
  release(server: string): void {
    for (const [id, held] of this.held) {
      if (held.server !== server) continue;
      this.options.attempts.release(held.service, held.shard);
      this.held.delete(id);
    }
  }

  /**
   * Applies a change of shard owners or of this VM's dispatch assignments.
   *
   * @param assignments - Assignments of this VM, by server id.
   * @param moves - Changes of owners in the record that was folded last.
   * @returns Handovers of the shards that this VM no longer dispatches.
   */
  update(
    assignments: ReadonlyMap<string, DispatchAssignment>,
    moves: readonly ShardMove[],
  ): OutgoingHandover[] {
    const moved = new Map(
      moves.map(move => [shardId(move.service, move.shard), move]),
    );
    const next = new Map<string, HeldShard>();
    for (const [server, assignment] of assignments) {
      for (const owned of this.options.routes.shardsOf(server)) {
        const id = shardId(owned.service, owned.shard);
        const move = moved.get(id);
        // The shard of an isolated key inherits the attempt records of its hash
        // shard and the time since which they are complete.
        const isLocalChange = this.localEpochChanges.has(id);
        const expected = isLocalChange
          ? null
          : this.expectedHandover(assignment, move);
        next.set(id, {...owned, server, expected});
      }
    }
    const leaving: {held: HeldShard; move: ShardMove}[] = [];
    const released: HeldShard[] = [];
    for (const [id, previous] of this.held) {
      const current = next.get(id);
      const move = moved.get(id);
      if (current && this.isUninterrupted(id, previous, current))
        current.expected = previous.expected;
      else if (current && isLocalMove(previous, current, assignments))
        current.expected = null;
      else {
        released.push(previous);
        if (move && isMoveFrom(move, previous))
          leaving.push({held: previous, move});
      }
    }
    const outgoing = this.exportMoved(leaving, assignments);
    const {attempts, clock} = this.options;
    for (const {service, shard} of released) attempts.release(service, shard);
    for (const {service, shard} of next.values()) {
      if (attempts.knownSinceWallMsOf(service, shard) !== null) continue;
      attempts.takeOver(service, shard, clock.wallMs());
    }
    this.held = next;
    this.localEpochChanges.clear();
    this.retryPending(assignments);
    return outgoing;
  }

  /**
   * Exports the attempt records of a server that this VM stops dispatching for,
   * and removes its shards from those that this VM dispatches.
   *
   * @param server - Server id.
   * @param fence - Fence under which this VM dispatched.
   * @param term - Term of the assigner that ordered the stop.
   * @returns Handovers, each for shards of one service.
   */
  exportStopped(server: string, fence: Fence, term: number): Handover[] {
    const held = [...this.held.values()].filter(h => h.server === server);
    const handovers = this.exportShards({server, fence, term}, held);
    this.release(server);
    return handovers;
  }

  /**
   * Imports attempt records of the previous dispatcher, now or once the
   * matching dispatch table or log record has arrived.
   *
   * @param handover - The message.
   * @param assignments - Assignments of this VM, by server id.
   */
  receive(
    handover: Handover,
    assignments: ReadonlyMap<string, DispatchAssignment>,
  ): void {
    const receivedMs = this.options.clock.monotonicMs();
    const unmatched = this.importMatching(handover, assignments);
    if (unmatched) this.pending.push({handover: unmatched, receivedMs});
    this.discardPending();
  }

  /**
   * Waits for the expected handover of a shard.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param timeoutMs - Longest wait in milliseconds.
   * @param signal - Ends the wait early.
   * @returns False at once when no handover is expected; otherwise true after
   * the wait, whether the handover was imported or not.
   */
  async whenReceived(
    service: string,
    shard: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const id = shardId(service, shard);
    if (!this.held.get(id)?.expected) return false;
    const {clock} = this.options;
    const endMs = clock.monotonicMs() + timeoutMs;
    while (this.held.get(id)?.expected && !signal.aborted) {
      const leftMs = endMs - clock.monotonicMs();
      if (leftMs <= 0) break;
      await this.whenNextImport(leftMs, signal);
    }
    return true;
  }

  private whenNextImport(
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', done);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, timeoutMs);
      signal.addEventListener('abort', done, {once: true});
      this.waiters.add(done);
    });
  }

  /**
   * Determines which handover a newly held shard needs.
   *
   * If this VM's fence was in force before the record that moved the shard, the
   * shard needs the handover of the previous owner's dispatcher. A read of the
   * log proves this if it began after the fence arrived and reached the end of
   * the log without that record. Otherwise another dispatcher of the new owner
   * may have run requests between the move and this fence, so its handover is
   * needed instead.
   */
  private expectedHandover(
    {fence, replaces, sinceMs}: DispatchAssignment,
    move: ShardMove | undefined,
  ): ExpectedHandover | null {
    if (move && this.options.logConfirmedAtMs() >= sinceMs) {
      return move.from.fence ? {kind: 'move', from: move.from} : null;
    }
    if (!replaces) return null;
    return {kind: 'fence', fence: replaces, term: fence.term};
  }

  /** Whether no other server owned the shard between the two states. */
  private isUninterrupted(
    id: string,
    previous: HeldShard,
    current: HeldShard,
  ): boolean {
    if (previous.server !== current.server) return false;
    return previous.epoch === current.epoch || this.localEpochChanges.has(id);
  }

  private exportMoved(
    leaving: readonly {held: HeldShard; move: ShardMove}[],
    assignments: ReadonlyMap<string, DispatchAssignment>,
  ): OutgoingHandover[] {
    const groups = new Map<
      string,
      {from: string; to: string; heldShards: HeldShard[]}
    >();
    for (const {held, move} of leaving) {
      if (move.to === null) continue;
      const id = JSON.stringify([held.server, move.to]);
      const group = groups.get(id) ?? {
        from: held.server,
        to: move.to,
        heldShards: [],
      };
      group.heldShards.push(held);
      groups.set(id, group);
    }
    return [...groups.values()].flatMap(({from, to, heldShards}) => {
      const fence = assignments.get(from)?.fence;
      if (!fence) return [];
      const sender = {server: from, fence, term: null};
      return this.exportShards(sender, heldShards).map(handover => ({
        to,
        handover,
      }));
    });
  }

  private exportShards(
    sender: Pick<Handover, 'server' | 'fence' | 'term'>,
    heldShards: readonly HeldShard[],
  ): Handover[] {
    const {attempts, clock} = this.options;
    const services = new Map<string, Map<number, number>>();
    for (const {service, shard, epoch} of heldShards) {
      const epochs = services.get(service) ?? new Map<number, number>();
      services.set(service, epochs.set(shard, epoch));
    }
    return [...services].flatMap(([service, epochs]) =>
      attempts
        .export(service, [...epochs.keys()], clock.wallMs())
        .map(part => ({
          kind: 'handover' as const,
          ...sender,
          service,
          shards: part.shards.map(known => ({
            ...known,
            epoch: epochs.get(known.shard)!,
          })),
          attempts: part.attempts,
        })),
    );
  }

  private retryPending(
    assignments: ReadonlyMap<string, DispatchAssignment>,
  ): void {
    this.pending = this.pending.flatMap(({handover, receivedMs}) => {
      const unmatched = this.importMatching(handover, assignments);
      return unmatched ? [{handover: unmatched, receivedMs}] : [];
    });
    this.discardPending();
  }

  private discardPending(): void {
    const oldestKeptMs =
      this.options.clock.monotonicMs() - HANDOVER_RETENTION_MS;
    const excess = this.pending.length - MAX_PENDING_HANDOVERS;
    this.pending = this.pending.filter(({handover, receivedMs}, index) => {
      if (index >= excess && receivedMs >= oldestKeptMs) return true;
      this.reportDropped(handover, handover.shards.length, 'not-expected');
      return false;
    });
  }

  /**
   * Imports the records of the shards for which this handover is expected.
   * Returns a handover with the shards that may match later, or null when there
   * are none; the other shards are dropped with an event.
   */
  private importMatching(
    handover: Handover,
    assignments: ReadonlyMap<string, DispatchAssignment>,
  ): Handover | null {
    // Wall time since which the sender knows all attempts, by shard.
    const accepted = new Map<number, number>();
    const later: Handover['shards'] = [];
    let dropCount = 0;
    for (const row of handover.shards) {
      const held = this.held.get(shardId(handover.service, row.shard));
      const assignment = held && assignments.get(held.server);
      if (held && matchesExpected(handover, row.epoch, held)) {
        accepted.set(row.shard, row.knownSinceWallMs);
        held.expected = null;
      } else if (mayMatchLater(handover, row.epoch, held, assignment))
        later.push(row);
      else dropCount += 1;
    }
    if (accepted.size > 0) this.importRecords(handover, accepted);
    if (dropCount > 0) this.reportDropped(handover, dropCount, 'wrong-fence');
    return later.length > 0 ? {...handover, shards: later} : null;
  }

  private importRecords(
    {service, attempts: records}: Handover,
    accepted: ReadonlyMap<number, number>,
  ): void {
    const {attempts, routes} = this.options;
    for (const {key, idempotencyKey, state} of records) {
      const createdWallMs = uuidV7WallMs(idempotencyKey);
      const shard = routes.route(service, key)?.shard;
      if (createdWallMs === null || shard === undefined) continue;
      if (!accepted.has(shard)) continue;
      attempts.import(
        {service, shard, key, idempotencyKey, createdWallMs},
        state.kind === 'unknown'
          ? state
          : {...state, body: state.body && new Uint8Array(state.body)},
      );
    }
    for (const [shard, sinceWallMs] of accepted) {
      const ownSinceWallMs = attempts.knownSinceWallMsOf(service, shard);
      if (ownSinceWallMs === null || sinceWallMs < ownSinceWallMs) {
        attempts.takeOver(service, shard, sinceWallMs);
      }
    }
    for (const wake of [...this.waiters]) wake();
  }

  private reportDropped(handover: Handover, count: number, cause: string) {
    const {server, fence, service} = handover;
    this.options.events({
      kind: 'handover-dropped',
      cause,
      fields: {
        server,
        fence: `${fence.term}.${fence.seq}`,
        service,
        shards: count,
      },
    });
  }
}

/** Whether a move took the shard from the server this VM dispatched it for. */
function isMoveFrom({from}: ShardMove, held: HeldShard): boolean {
  return from.server === held.server && from.epoch === held.epoch;
}

/** Whether this VM was also the last dispatcher of the previous owner. */
function isLocalMove(
  previous: HeldShard,
  {expected}: HeldShard,
  assignments: ReadonlyMap<string, DispatchAssignment>,
): boolean {
  if (expected?.kind !== 'move') return false;
  const {server, epoch, fence} = expected.from;
  if (server !== previous.server || epoch !== previous.epoch) return false;
  return isSameFence(fence, assignments.get(server)?.fence ?? null);
}

function matchesExpected(
  {server, fence, term}: Handover,
  epoch: number,
  held: HeldShard,
): boolean {
  const {expected} = held;
  if (expected?.kind === 'move') {
    const {from} = expected;
    if (term !== null || from.server !== server) return false;
    return from.epoch === epoch && isSameFence(from.fence, fence);
  }
  // A new assigner may keep the fence of a dispatcher that an earlier term
  // stopped, and more requests then run under it. The records of a stop are
  // therefore complete only for the next fence of the same term.
  if (expected?.kind !== 'fence' || term !== expected.term) return false;
  if (held.server !== server || held.epoch !== epoch) return false;
  return isSameFence(expected.fence, fence);
}

/**
 * Whether this VM's dispatch table or folded state may lag behind the sender.
 */
function mayMatchLater(
  {server, fence}: Handover,
  epoch: number,
  held: HeldShard | undefined,
  assignment: DispatchAssignment | undefined,
): boolean {
  if (!held || !assignment || epoch > held.epoch) return true;
  if (epoch < held.epoch || server !== held.server) return false;
  return isOlderFence(assignment.fence, fence);
}

function shardId(service: string, shard: number): string {
  return `${service}/${shard}`;
}
