/** Which shards this VM dispatches, and since when it knows their attempts. */
import {
  isOlderFence,
  isSameFence,
  uuidV7TimeMs,
  type AttemptTable,
  type DispatchRow,
  type Fence,
  type PeerMessage,
} from '@wisteriarun/core';
import type {Clock, EventSink, RouteSource} from './types.js';

/** Longest time for which a handover waits for its takeover. */
const MAX_PENDING_MS = 10_000;
/** Largest number of handovers that wait for their takeovers. */
const MAX_PENDING_HANDOVERS = 64;

/** Message that hands attempt records over. */
export type Handover = Extract<PeerMessage, {kind: 'handover'}>;

/** A change of a shard's owner by an accepted assign record. */
export interface ShardMove {
  readonly service: string;
  readonly shard: number;
  /** Former owner, its epoch and the fence of its last dispatcher. */
  readonly from: {
    readonly server: string;
    readonly epoch: number;
    readonly fence: Fence | null;
  };
  /** New owner, or null when there is none. */
  readonly to: string | null;
}

/** A handover for the dispatcher of a server. */
export interface OutgoingHandover {
  readonly to: string;
  readonly handover: Handover;
}

/** Appointment of this VM as the dispatcher of a server. */
export interface DispatchAssignment extends Pick<
  DispatchRow,
  'fence' | 'replaces'
> {
  /** Monotonic time at which this VM learned the fence. */
  readonly sinceMs: number;
}

/** Parts that the custody uses. */
export interface ShardHandoversOptions {
  readonly attempts: AttemptTable;
  readonly routes: RouteSource;
  readonly clock: Clock;
  readonly events: EventSink;
  /**
   * Monotonic time at which the latest read of the log started that found no
   * record beyond the folded state.
   */
  readonly logConfirmedAtMs: () => number;
}

/** Who has to hand a shard's records over. */
type ExpectedHandover =
  | {readonly kind: 'move'; readonly from: ShardMove['from']}
  | {readonly kind: 'fence'; readonly fence: Fence; readonly term: number};

interface HeldShard {
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
  readonly server: string;
  /** Null when no handover is expected any more. */
  expected: ExpectedHandover | null;
}

interface PendingHandover {
  readonly handover: Handover;
  readonly receivedMs: number;
}

/**
 * Takes attempt records only from the dispatcher that held a shard just before
 * this one. A dispatcher that was paused and replaced hands over under a fence
 * that is no longer the last one, so its incomplete records are dropped.
 */
export class ShardHandovers {
  private held = new Map<string, HeldShard>();
  private pending: PendingHandover[] = [];
  /** Shards whose next change of epoch is an isolation or its end. */
  private readonly localEpochChanges = new Set<string>();
  private readonly waiters = new Set<() => void>();

  /**
   * @param options - Parts to use.
   */
  constructor(private readonly options: ShardHandoversOptions) {}

  /**
   * Notes that a hot key is isolated or put back, which gives a shard a new
   * epoch on the same server.
   *
   * @param service - Service id.
   * @param shards - Shards that take part.
   */
  markLocalEpochChange(service: string, ...shards: number[]): void {
    for (const shard of shards)
      this.localEpochChanges.add(shardId(service, shard));
  }

  /**
   * Forgets that this VM knows the attempts of a server's shards.
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
   * Applies a change of owners or appointments.
   *
   * @param assignments - Servers that this VM dispatches for.
   * @param moves - Changes by the record that was folded last, if any.
   * @returns Handovers of shards that have left.
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
        // An isolated key's shard inherits what is known of its hash shard.
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
      if (attempts.knownSinceMs(service, shard) !== null) continue;
      attempts.takeOver(service, shard, clock.wallMs());
    }
    this.held = next;
    this.localEpochChanges.clear();
    this.retryPending(assignments);
    return outgoing;
  }

  /**
   * Attempt records of a server that this VM stops dispatching for. The VM then
   * no longer counts as the dispatcher of the shards.
   *
   * @param server - Server id.
   * @param fence - Fence that ends.
   * @param term - Term of the order to stop.
   * @returns Handovers, one for each service.
   */
  exportStopped(server: string, fence: Fence, term: number): Handover[] {
    const held = [...this.held.values()].filter(h => h.server === server);
    const handovers = this.exportShards({server, fence, term}, held);
    this.release(server);
    return handovers;
  }

  /**
   * Takes attempt records of the former dispatcher, now or at the takeover.
   *
   * @param handover - The message.
   * @param assignments - Servers that this VM dispatches for.
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
   * Waits for the handover of a shard.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param timeoutMs - Longest wait in milliseconds.
   * @param signal - Ends the wait.
   * @returns False at once when no handover is expected; else true after it
   * has arrived or after the wait.
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
   * A shard that moved here comes from its former owner's dispatcher only if
   * the present fence was in force before the record. Else another dispatcher
   * of the new owner may have run requests in between, and that one's handover
   * is needed.
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
      {from: string; to: string; list: HeldShard[]}
    >();
    for (const {held, move} of leaving) {
      if (move.to === null) continue;
      const id = JSON.stringify([held.server, move.to]);
      const group = groups.get(id) ?? {
        from: held.server,
        to: move.to,
        list: [],
      };
      group.list.push(held);
      groups.set(id, group);
    }
    return [...groups.values()].flatMap(({from, to, list}) => {
      const fence = assignments.get(from)?.fence;
      if (!fence) return [];
      const sender = {server: from, fence, term: null};
      return this.exportShards(sender, list).map(handover => ({to, handover}));
    });
  }

  private exportShards(
    sender: Pick<Handover, 'server' | 'fence' | 'term'>,
    list: readonly HeldShard[],
  ): Handover[] {
    const {attempts, clock} = this.options;
    const services = new Map<string, Map<number, number>>();
    for (const {service, shard, epoch} of list) {
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
    const sinceMs = this.options.clock.monotonicMs() - MAX_PENDING_MS;
    const excess = this.pending.length - MAX_PENDING_HANDOVERS;
    this.pending = this.pending.filter(({handover, receivedMs}, index) => {
      if (index >= excess && receivedMs >= sinceMs) return true;
      this.reportDropped(handover, handover.shards.length, 'not-expected');
      return false;
    });
  }

  /** Takes what fits now and returns what may fit later. */
  private importMatching(
    handover: Handover,
    assignments: ReadonlyMap<string, DispatchAssignment>,
  ): Handover | null {
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
      const createdWallMs = uuidV7TimeMs(idempotencyKey);
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
    for (const [shard, sinceMs] of accepted) {
      const own = attempts.knownSinceMs(service, shard);
      if (own === null || sinceMs < own) {
        attempts.takeOver(service, shard, sinceMs);
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

/** Whether a move took a shard from the owner for which this VM dispatched. */
function isMoveFrom({from}: ShardMove, held: HeldShard): boolean {
  return from.server === held.server && from.epoch === held.epoch;
}

/** Whether this VM was the last dispatcher of the former owner, too. */
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
  // A stopped fence may be used again in a later term, so that the records of
  // a stop are complete only for the fence that the same term gave out next.
  if (expected?.kind !== 'fence' || term !== expected.term) return false;
  if (held.server !== server || held.epoch !== epoch) return false;
  return isSameFence(expected.fence, fence);
}

/** Whether this VM's table or state may be behind the handover. */
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
