/** The assigner of one zone during one term. */
import type {
  Grant,
  LeaseRequest,
  Server,
  ServerLoad,
  ServerStatus,
  ShardChange,
} from '../../types/index.js';
import {
  LEASE_RENEW_INTERVAL_MS,
  LEASE_TTL_MS,
  TERM_CONFIRM_MS,
  certainExpiryMs,
} from '../../types/index.js';
import type {
  AppendDraft,
  AssignerCommand,
  AssignerOptions,
  PeerMessageOf,
  StepInput,
} from './assigner-types.js';
import {DispatchPlan} from './dispatch-plan.js';
import {LeaseLedger} from './lease-ledger.js';
import {MoveTable, type MoveInFlight} from './move-table.js';
import {
  HotKeyWatch,
  type HotKey,
  MAX_BALANCE_MOVES,
  computeCapacities,
  placeShards,
  planBalanceMove,
  planLeaving,
  shardKey,
  type LeavingProgress,
  type Move,
  type PlacedShard,
  type ServerCapacity,
  type ShardId,
} from './placement.js';
import {EntryFence} from './entry-fence.js';
import {
  createSlot,
  dispatcherOf,
  noteFenceInForce,
  sameFence,
  type ServerSlot,
} from './server-slot.js';
import {ShardIndex, type OwnedShard} from './shard-index.js';

/** Interval between lease calls while a server finishes a shard's requests. */
const DRAIN_POLL_MS = 50;
/** Interval at which an unanswered drain is sent again. */
const DRAIN_RESEND_MS = 1_000;
/** Time after which an unanswered permission is sent again. */
const PERMISSION_RESEND_MS = LEASE_RENEW_INTERVAL_MS;
/** Log outage after which drained shards go back to their owner. */
const LOG_OUTAGE_GIVE_BACK_MS = 1_000;
/** Most moves of leaving batches in flight before `leaveAtMs`. */
const MAX_LEAVING_MOVES = 32;
/** Most isolated keys per service. */
const MAX_ISOLATED_KEYS = 256;
/** Wait of a new assigner for the first answers, so that all servers count. */
const FIRST_ANSWERS_MS = 1_000;
/** Longest request deadline that callers may ask for. */
const MAX_DEADLINE_MS = 600_000;

interface View extends StepInput {
  readonly index: ShardIndex;
}

interface PendingAppend {
  /** Shards of the record with their epochs before it. */
  readonly shards: readonly {
    readonly service: string;
    readonly shard: number;
    readonly baseEpoch: number;
  }[];
}

interface LeavingSight {
  readonly startedAtWallMs: number;
  totalShards: number;
  warned: boolean;
}

/**
 * Decides owners, leases and dispatchers of one zone. It performs no I/O:
 * callers pass results in and carry out the commands that `step` yields.
 */
export class Assigner {
  private readonly zone: string;
  private readonly term: number;
  private readonly slots = new Map<string, ServerSlot>();
  private readonly ledger = new LeaseLedger();
  /** Permissions of dispatchers, by `permissionHolder`. */
  private readonly permissions = new LeaseLedger();
  private readonly moves = new MoveTable();
  private readonly dispatch: DispatchPlan;
  private readonly entryFence: EntryFence;
  private readonly hotKeys = new HotKeyWatch();
  private readonly loads = new Map<string, ServerLoad>();
  private freshLoads = new Map<string, ServerLoad>();
  private readonly hot = new Map<string, HotKey[]>();
  private readonly leaving = new Map<string, LeavingSight>();
  private leavingProgress: LeavingProgress[] = [];
  private pending: PendingAppend | null = null;
  private rejected: PendingAppend | null = null;
  private logLostAtMs: number | null = null;
  private index: ShardIndex | null = null;
  private deposed = false;
  private readonly longestDeadlineMs: (service: string) => number;

  /**
   * Starts a term without any knowledge of leases.
   *
   * @param options - Identity, term and times on the own monotonic clock.
   */
  constructor(private readonly options: AssignerOptions) {
    this.zone = options.zone;
    this.term = options.term;
    this.dispatch = new DispatchPlan(options.zone, options.term);
    this.entryFence = new EntryFence(options.term);
    this.longestDeadlineMs =
      options.longestDeadlineMs ?? (() => MAX_DEADLINE_MS);
  }

  /** True once a newer term of the zone is known; no more commands follow. */
  get isDeposed(): boolean {
    return this.deposed;
  }

  /** Progress of the leaving batches in this zone at the latest step. */
  get progress(): readonly LeavingProgress[] {
    return this.leavingProgress;
  }

  /**
   * Notes an answer to a lease or status call.
   *
   * @param input - Answer, its arrival on the own clock, and the lease that
   * was sent, null for a status call.
   */
  onServerStatus(input: {
    readonly server: string;
    readonly receivedAtMs: number;
    readonly status: ServerStatus;
    readonly sentLease: LeaseRequest | null;
  }): void {
    const {server, receivedAtMs, status, sentLease} = input;
    const slot = this.slots.get(server);
    if (!slot) return;
    slot.outstanding = false;
    if (status.term > this.term) {
      this.deposed = true;
      return;
    }
    const {bootId, clockMs} = status;
    const restarted = slot.status?.bootId !== bootId;
    slot.status = status;
    slot.needsProbe = false;
    if (restarted) slot.sentSignature = null;
    if (status.term > 0) slot.unseenTermSinceMs = null;
    else if (restarted) slot.unseenTermSinceMs = receivedAtMs;
    this.ledger.noteAnswer(server, {bootId, clockMs, receivedAtMs});
    if (sentLease?.bootId === bootId) this.noteLeaseAck(slot, sentLease);
  }

  /**
   * Notes a lease or status call that got no answer.
   *
   * @param input - Server and own monotonic time.
   */
  onServerFailure(input: {
    readonly server: string;
    readonly nowMs: number;
  }): void {
    const slot = this.slots.get(input.server);
    if (slot) slot.outstanding = false;
    this.ledger.noteFailure(input.server);
  }

  /**
   * Notes that a server refused a lease call.
   *
   * @param input - Server, and the highest term that it has seen.
   */
  onLeaseRefused(input: {
    readonly server: string;
    readonly term: number;
  }): void {
    if (input.term > this.term) this.deposed = true;
    const slot = this.slots.get(input.server);
    if (!slot) return;
    slot.outstanding = false;
    slot.needsProbe = true;
    slot.sentSignature = null;
  }

  /**
   * Notes that a dispatcher has nothing in flight for drained shards.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it; others than the drained one are ignored.
   */
  onShardDrained(message: PeerMessageOf<'shard-drained'>, from?: string): void {
    const slot = this.slots.get(message.server);
    if (!slot || message.term !== this.term) return;
    for (const shard of message.shards) {
      const move = this.moves.get({service: message.service, shard});
      if (move?.from !== message.server || move.stage !== 'dispatcher')
        continue;
      if (from !== undefined && from !== move.drainTo) continue;
      if (move.drainTo === dispatcherOf(slot)?.vm)
        this.leaveDispatcher(slot, move);
    }
  }

  /**
   * Notes that a dispatcher stopped sending to a server.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it; others than the stopping one are ignored.
   */
  onDispatchStopped(
    message: PeerMessageOf<'dispatch-stopped'>,
    from?: string,
  ): void {
    const slot = this.slots.get(message.server);
    if (!slot || message.term !== this.term) return;
    if (from !== undefined && from !== dispatcherOf(slot)?.vm) return;
    this.dispatch.noteStopped(slot);
  }

  /**
   * Notes a dispatcher's answer to a permission.
   *
   * @param input - Dispatcher, arrival on the own clock, answer.
   */
  onPermissionAck(input: {
    readonly vm: string;
    readonly receivedAtMs: number;
    readonly msg: PeerMessageOf<'permission-ack'>;
  }): void {
    const {vm, receivedAtMs, msg} = input;
    const slot = this.slots.get(msg.server);
    if (!slot || msg.term !== this.term) return;
    this.permissions.noteAnswer(permissionHolder(vm, msg.server), {
      bootId: vm,
      clockMs: msg.clockMs,
      receivedAtMs,
    });
    this.entryFence.noteAck(msg.server, vm);
    const d = slot.dispatch;
    if (d.kind !== 'active' || d.vm !== vm || slot.server.checksGrants) return;
    // The answer may be to an earlier call. The VM then refuses requests until
    // the permission with this fence arrives.
    noteFenceInForce(slot);
  }

  /**
   * Notes the loads that a dispatcher saw.
   *
   * @param message - Report.
   */
  onLoadReport(message: PeerMessageOf<'load-report'>): void {
    for (const load of message.servers) {
      const slot = this.slots.get(load.server);
      if (!slot || dispatcherOf(slot)?.vm !== message.vm) continue;
      this.loads.set(load.server, load);
      this.freshLoads.set(load.server, load);
    }
  }

  /**
   * Notes the fate of the one append that is in flight. An accepted record
   * takes effect only when it is folded.
   *
   * @param input - Whether the fold accepted the record.
   */
  onAppendResult(input: {
    readonly recordId: string;
    readonly accepted: boolean;
  }): void {
    if (input.accepted || !this.pending) return;
    this.rejected = this.pending;
    this.pending = null;
  }

  /**
   * Decides what to do now. Does nothing unless the folded state shows this
   * term as current.
   *
   * @param input - Time, folded state and membership.
   * @returns Commands in the order in which they are to be carried out.
   */
  *step(input: StepInput): Generator<AssignerCommand> {
    const folded = input.state.terms.get(this.zone)?.term ?? 0;
    if (folded > this.term) this.deposed = true;
    if (this.deposed || folded !== this.term) return;
    if (this.index?.state !== input.state) {
      this.index = new ShardIndex(input.state, this.zone);
    }
    const view: View = {...input, index: this.index};
    this.syncSlots(view);
    this.noteHotKeys(view.nowMs);
    yield* this.advanceDispatch(view);
    yield* this.settleMoves(view);
    yield* this.advanceDrains(view);
    if (view.logAvailable && !this.pending) {
      this.planLosses(view);
      yield* this.planLeavingMoves(view);
      this.planBalance(view);
      yield* this.advanceDrains(view);
      yield* this.append(view);
    }
    for (const slot of this.slots.values()) {
      if (slot.server.checksGrants) yield* this.renew(view, slot);
      else yield* this.watch(view, slot);
    }
    yield* this.dispatch.publish(this.slots.values(), view.entries);
  }

  // Servers and their state.

  private syncSlots(view: View): void {
    this.logLostAtMs = view.logAvailable
      ? null
      : (this.logLostAtMs ?? view.nowMs);
    for (const server of view.index.servers.values()) {
      if (server.zone !== this.zone) continue;
      const slot = this.slots.get(server.id) ?? this.createSlot(server);
      slot.server = server;
      // Requests that started under an earlier bundle keep their deadline.
      slot.longestDeadlineMs = Math.max(
        slot.longestDeadlineMs,
        this.longestDeadlineMs(server.service),
      );
    }
  }

  private createSlot(server: Server): ServerSlot {
    const first = this.options.hasPredecessor === false;
    const slot = createSlot(server, first ? -Infinity : Infinity);
    this.slots.set(server.id, slot);
    return slot;
  }

  /** Whether the server is listed and not known to be gone. */
  private isPresent(view: View, id: string): boolean {
    return (
      view.index.servers.get(id)?.zone === this.zone && !this.isGone(view, id)
    );
  }

  /** Proofs c and d. */
  private isGone(view: View, id: string): boolean {
    return view.removedServers.has(id) || view.index.stopped.has(id);
  }

  private isAnswering(slot: ServerSlot): boolean {
    const entry = this.ledger.get(slot.id);
    return (
      entry.lastAnswerAtMs !== null &&
      entry.consecutiveFailures === 0 &&
      (slot.fenced || !slot.server.checksGrants)
    );
  }

  private mayTakeShards(view: View, id: string): boolean {
    const server = view.index.servers.get(id);
    if (!server || this.isGone(view, id)) return false;
    if (view.index.leaveAtMs.has(server.batch)) return false;
    if (server.zone !== this.zone) return true;
    const slot = this.slots.get(id);
    return (
      slot !== undefined && this.isAnswering(slot) && !slot.status?.draining
    );
  }

  private targets(view: View, service: string): ServerCapacity[] {
    const own = [...view.index.servers.values()].filter(
      s => s.service === service && s.zone === this.zone,
    );
    return computeCapacities(own, this.loads).filter(t =>
      this.mayTakeShards(view, t.server),
    );
  }

  /** Servers of other zones, for a zone that has none left. */
  private foreignTargets(view: View, service: string): ServerCapacity[] {
    const others = [...view.index.servers.values()].filter(
      s => s.service === service && s.zone !== this.zone,
    );
    return computeCapacities(others, this.loads).filter(t =>
      this.mayTakeShards(view, t.server),
    );
  }

  /** Proofs b to e that a server runs nothing for its shards any more. */
  private isProvenStopped(view: View, id: string): boolean {
    if (this.isGone(view, id)) return true;
    const slot = this.slots.get(id);
    const listed = view.index.servers.has(id);
    if (listed && this.ledger.get(id).consecutiveFailures === 0) return false;
    if (slot && !slot.server.checksGrants) {
      return !dispatcherOf(slot) && view.nowMs >= slot.quietFromMs;
    }
    return (
      this.ledger.hasExpired(id, view.nowMs) &&
      this.isFormerAssignerGone(view, id)
    );
  }

  /** Whether no former assigner can still renew the server's lease. */
  private isFormerAssignerGone(view: View, id: string): boolean {
    const slot = this.slots.get(id);
    if (slot?.fenced || this.options.hasPredecessor === false) return true;
    const service = slot?.server.service;
    if (!service || !view.index.lapseServices.has(service)) return false;
    return view.nowMs >= this.formerAuthorityEndMs();
  }

  /** Proof e: a former assigner needed a log read to renew. */
  private formerAuthorityEndMs(): number {
    return (
      this.options.termAcknowledgedAtMs + TERM_CONFIRM_MS + certainExpiryMs()
    );
  }

  /**
   * Finds out when no former assigner can let a dispatcher send to a server
   * that does not check, and calls the entry VMs as far as this needs them.
   */
  private *fenceFormer(
    view: View,
    slot: ServerSlot,
  ): Generator<AssignerCommand> {
    if (slot.server.checksGrants || slot.quietFromMs < Infinity) return;
    const leftoverMs = certainExpiryMs(slot.longestDeadlineMs);
    if (view.index.lapseServices.has(slot.server.service)) {
      if (view.nowMs < this.formerAuthorityEndMs()) return;
      slot.quietFromMs = this.formerAuthorityEndMs() + leftoverMs;
    } else {
      const holders = this.possibleHolders(view);
      if (holders) yield* this.entryFence.send(slot.id, holders, view.nowMs);
      if (!holders || !this.entryFence.isComplete(slot.id, holders)) return;
      if (view.nowMs < this.foreignAuthorityEndMs()) return;
      slot.quietFromMs = view.nowMs + leftoverMs;
    }
    slot.dispatch = {kind: 'waiting', untilMs: view.nowMs};
  }

  /** Entry VMs that may hold a permission; null while they are not known. */
  private possibleHolders(view: View): string[] | null {
    if (!view.knownEntries) return null;
    const all = new Set([...view.knownEntries, ...view.entries.map(e => e.vm)]);
    return [...all].filter(vm => !view.removedEntries.has(vm));
  }

  /**
   * A VM of another zone that held the term gave permissions to entry VMs that
   * this one does not call, but needed a log read for them.
   */
  private foreignAuthorityEndMs(): number {
    const {foreignTermEndedAtMs, termAcknowledgedAtMs} = this.options;
    const endedAtMs = foreignTermEndedAtMs ?? termAcknowledgedAtMs;
    return endedAtMs + TERM_CONFIRM_MS + certainExpiryMs();
  }

  // Dispatchers.

  private *advanceDispatch(view: View): Generator<AssignerCommand> {
    this.dispatch.observe(view.entries, view.nowMs);
    let changing = [...this.slots.values()].some(
      s => s.dispatch.kind === 'stopping',
    );
    for (const slot of this.slots.values()) {
      const before = dispatcherOf(slot);
      const lostUntilMs = this.permissionEndMs(slot);
      if (!slot.server.checksGrants && slot.dispatch.kind === 'none') {
        slot.dispatch = {kind: 'waiting', untilMs: slot.quietFromMs};
      }
      yield* this.fenceFormer(view, slot);
      if (!this.isPresent(view, slot.id)) {
        this.endDispatch(slot, lostUntilMs);
        continue;
      }
      yield* this.dispatch.advance(
        slot,
        view.entries,
        view.nowMs,
        lostUntilMs,
        !changing,
      );
      if (before && slot.dispatch.kind === 'waiting') {
        this.noteLeftRequests(slot, lostUntilMs);
      }
      changing ||= slot.dispatch.kind === 'stopping';
      const after = dispatcherOf(slot);
      if (after && after.vm !== before?.vm) {
        yield this.dispatcherEvent(slot.id, after.vm, before?.vm ?? '');
      }
    }
  }

  private dispatcherEvent(
    server: string,
    dispatcher: string,
    former: string,
  ): AssignerCommand {
    return {
      kind: 'event',
      event: {
        kind: 'dispatcher-chosen',
        term: this.term,
        fields: {server, dispatcher, former},
      },
    };
  }

  /** Ends the dispatching for a server that is gone or not listed. */
  private endDispatch(slot: ServerSlot, lostUntilMs: number): void {
    if (slot.server.checksGrants) slot.dispatch = {kind: 'none'};
    if (slot.server.checksGrants || !dispatcherOf(slot)) return;
    slot.dispatch = {kind: 'waiting', untilMs: lostUntilMs};
    this.noteLeftRequests(slot, lostUntilMs);
  }

  /** Time from which the present dispatcher's permission has expired. */
  private permissionEndMs(slot: ServerSlot): number {
    const d = dispatcherOf(slot);
    if (!d) return -Infinity;
    const holder = permissionHolder(d.vm, slot.id);
    return this.permissions.get(holder).certainlyExpiredAtMs ?? -Infinity;
  }

  /** A lost dispatcher's requests may run until their deadlines. */
  private noteLeftRequests(slot: ServerSlot, lostUntilMs: number): void {
    slot.quietFromMs = Math.max(
      slot.quietFromMs,
      lostUntilMs + certainExpiryMs(slot.longestDeadlineMs),
    );
  }

  // Moves.

  private *settleMoves(view: View): Generator<AssignerCommand> {
    for (const shard of this.rejected?.shards ?? []) {
      const move = this.moves.get(shard);
      if (move) yield* this.abandon(view, move, 'append-rejected');
    }
    this.rejected = null;
    const folded = (s: PendingAppend['shards'][number]) =>
      view.index.epochOf(s) !== s.baseEpoch;
    for (const move of this.moves.list()) {
      if (!folded(move)) continue;
      this.moves.remove(move, view.nowMs);
      yield {
        kind: 'event',
        event: {
          kind: 'shard-moved',
          term: this.term,
          epoch: view.index.epochOf(move),
          cause: move.reason,
          fields: moveFields(move),
        },
      };
    }
    if (this.pending?.shards.every(folded)) this.pending = null;
  }

  private *abandon(
    view: View,
    move: MoveInFlight,
    cause: string,
  ): Generator<AssignerCommand> {
    this.moves.remove(move, view.nowMs);
    if (move.drainTo !== null) {
      yield this.drainCommand(view, move.drainTo, [move], false);
    }
    yield {
      kind: 'event',
      event: {
        kind: 'move-abandoned',
        term: this.term,
        cause,
        fields: moveFields(move),
      },
    };
  }

  /** Advances planned moves up to the point where a record is due. */
  private *advanceDrains(view: View): Generator<AssignerCommand> {
    const drains = new Map<string, MoveInFlight[]>();
    for (const move of this.moves.list()) {
      if (!move.planned || move.stage === 'append') continue;
      const cause = this.abandonCause(view, move);
      if (cause !== null) {
        yield* this.abandon(view, move, cause);
        continue;
      }
      if (move.stage !== 'dispatcher') continue;
      const slot = this.slots.get(move.from!)!;
      const d = dispatcherOf(slot);
      if (d === null) {
        if (this.maySkipDispatcher(view, slot))
          this.leaveDispatcher(slot, move);
        continue;
      }
      // A VM that does not know yet that it dispatches would confirm at once.
      if (!sameFence(slot.publishedFence, d.fence)) continue;
      const to = d.vm;
      const due = view.nowMs >= move.drainSentAtMs + DRAIN_RESEND_MS;
      if (to === move.drainTo && !due) continue;
      move.drainTo = to;
      move.drainSentAtMs = view.nowMs;
      const group = `${to} ${move.from} ${move.service} ${move.to}`;
      const list = drains.get(group);
      if (list) list.push(move);
      else drains.set(group, [move]);
    }
    for (const group of drains.values()) {
      yield this.drainCommand(view, group[0]!.drainTo!, group, true);
    }
  }

  private maySkipDispatcher(view: View, slot: ServerSlot): boolean {
    return slot.server.checksGrants || view.nowMs >= slot.quietFromMs;
  }

  private abandonCause(view: View, move: MoveInFlight): string | null {
    const slot = this.slots.get(move.from!);
    if (!slot || !this.isPresent(view, slot.id)) return 'source-gone';
    if (slot.server.checksGrants && !this.isAnswering(slot)) {
      return 'source-silent';
    }
    if (!this.isQuiet(view, slot)) return 'dispatcher-lost';
    if (!this.mayTakeShards(view, move.to)) return 'target-lost';
    const outageMs = view.nowMs - (this.logLostAtMs ?? view.nowMs);
    if (move.stage === 'ready' && outageMs >= LOG_OUTAGE_GIVE_BACK_MS) {
      return 'log-unavailable';
    }
    return null;
  }

  /** The dispatcher is drained; the server's own check follows. */
  private leaveDispatcher(slot: ServerSlot, move: MoveInFlight): void {
    move.stage = slot.server.checksGrants ? 'server' : 'ready';
    move.minSeq = slot.seq + 1;
  }

  /** Proof a: the server holds a lease without the shard and is idle for it. */
  private noteLeaseAck(slot: ServerSlot, lease: LeaseRequest): void {
    slot.fenced = true;
    if (sameFence(dispatcherOf(slot)?.fence ?? null, lease.fence)) {
      noteFenceInForce(slot);
    }
    const busy = new Set(slot.status!.busy.map(shardKey));
    for (const move of this.moves.list()) {
      if (move.from !== slot.id || move.stage !== 'server') continue;
      if ((lease.seq ?? 0) < move.minSeq || busy.has(shardKey(move))) continue;
      move.stage = 'ready';
    }
  }

  private drainCommand(
    view: View,
    to: string,
    moves: readonly MoveInFlight[],
    drain: boolean,
  ): AssignerCommand {
    const {service, from, to: target} = moves[0]!;
    const next = this.slots.get(target);
    return {
      kind: 'shard-drain',
      to,
      message: {
        kind: 'shard-drain',
        term: this.term,
        server: from!,
        service,
        shards: moves.map(m => m.shard),
        next: (next && dispatcherOf(next)?.vm) ?? null,
        drain,
      },
    };
  }

  // Planning.

  private loadOf(owned: OwnedShard): number {
    const report = owned.server ? this.loads.get(owned.server) : undefined;
    const load = report?.shards.find(
      s => s.service === owned.service && s.shard === owned.shard,
    );
    return load?.busySlots ?? 0;
  }

  /** Shards of a service on their owners, moves in flight counted as done. */
  private placed(view: View, service: string): PlacedShard[] {
    const result: PlacedShard[] = [];
    for (const [server, shards] of view.index.byServer) {
      const loads = new Map(
        this.loads.get(server)?.shards.map(s => [shardKey(s), s.busySlots]),
      );
      for (const s of shards) {
        if (s.service !== service) continue;
        result.push({
          service,
          shard: s.shard,
          server: this.moves.get(s)?.to ?? server,
          load: loads.get(shardKey(s)) ?? 0,
        });
      }
    }
    return result;
  }

  /** Places unowned shards and those of servers that are proven stopped. */
  private planLosses(view: View): void {
    this.placeFree(view, view.index.unowned, 'initial');
    for (const [server, shards] of view.index.byServer) {
      const slot = this.slots.get(server);
      if (slot && this.isLostBehindDispatcher(view, slot)) {
        if (this.isQuiet(view, slot)) this.planDrainOfLost(view, shards);
      } else if (this.isProvenStopped(view, server)) {
        const stopped = view.index.stopped.has(server);
        this.placeFree(view, shards, stopped ? 'stopped' : 'server-lost');
      }
    }
  }

  private placeFree(
    view: View,
    shards: readonly OwnedShard[],
    reason: 'initial' | 'server-lost' | 'stopped',
  ): void {
    const free = shards.filter(s => !this.moves.get(s));
    if (free.length === 0 || !this.hasFirstAnswers(view)) return;
    for (const service of new Set(free.map(s => s.service))) {
      const own = this.targets(view, service);
      const targets =
        own.length > 0 || reason === 'initial'
          ? own
          : this.foreignTargets(view, service);
      const list = free
        .filter(s => s.service === service)
        .map(s => ({...s, from: s.server, load: this.loadOf(s)}));
      const placed = this.placed(view, service);
      for (const move of placeShards(list, targets, placed, reason)) {
        this.moves.add(move, view.index.epochOf(move)!, 'ready');
      }
    }
  }

  /** Whether every server answered once or had the time to. */
  private hasFirstAnswers(view: View): boolean {
    if (view.nowMs >= this.options.nowMs + FIRST_ANSWERS_MS) return true;
    return [...this.slots.values()].every(
      s => !this.isPresent(view, s.id) || this.isAnswering(s),
    );
  }

  /** A silent server that does not check, with a dispatcher that answers. */
  private isLostBehindDispatcher(view: View, slot: ServerSlot): boolean {
    if (slot.server.checksGrants || this.isGone(view, slot.id)) return false;
    const entry = this.ledger.get(slot.id);
    const silentMs = view.nowMs - (entry.lastAnswerAtMs ?? -Infinity);
    return (
      dispatcherOf(slot) !== null &&
      entry.consecutiveFailures > 0 &&
      silentMs >= certainExpiryMs()
    );
  }

  private planDrainOfLost(view: View, shards: readonly OwnedShard[]): void {
    const service = shards[0]!.service;
    const list = shards
      .filter(s => !this.moves.get(s))
      .map(s => ({...s, from: s.server, load: this.loadOf(s)}));
    const targets = this.targets(view, service);
    const placed = this.placed(view, service);
    for (const move of placeShards(list, targets, placed, 'server-lost')) {
      this.moves.add(move, view.index.epochOf(move)!, 'dispatcher');
    }
  }

  private *planLeavingMoves(view: View): Generator<AssignerCommand> {
    this.leavingProgress = [];
    for (const batch of this.leaving.keys()) {
      if (!view.index.leaveAtMs.has(batch)) this.leaving.delete(batch);
    }
    for (const [batch, leaveAtMs] of view.index.leaveAtMs) {
      const shards = [...view.index.byServer.entries()]
        .filter(([id]) => view.index.servers.get(id)?.batch === batch)
        .flatMap(([, owned]) => owned);
      const sight = this.leavingSight(batch, shards.length, view.wallMs);
      const progress = planLeaving({
        batch,
        leaveAtMs,
        startedAtWallMs: sight.startedAtWallMs,
        totalShards: sight.totalShards,
        shardsLeft: shards.length,
        wallMs: view.wallMs,
      });
      this.leavingProgress.push(progress);
      if (progress.late && !sight.warned) yield this.leavingWarning(progress);
      sight.warned = progress.late;
      this.startLeaving(view, shards, progress);
    }
  }

  private leavingSight(
    batch: string,
    shards: number,
    wallMs: number,
  ): LeavingSight {
    const sight = this.leaving.get(batch) ?? {
      startedAtWallMs: wallMs,
      totalShards: shards,
      warned: false,
    };
    sight.totalShards = Math.max(sight.totalShards, shards);
    this.leaving.set(batch, sight);
    return sight;
  }

  private leavingWarning(progress: LeavingProgress): AssignerCommand {
    return {
      kind: 'event',
      event: {
        kind: 'leaving-late',
        term: this.term,
        cause: 'expected finish is after leaveAtMs',
        fields: {
          batch: progress.batch,
          shardsLeft: progress.shardsLeft,
          leaveAtMs: progress.leaveAtMs,
          expectedFinishWallMs: progress.expectedFinishWallMs ?? 'unknown',
        },
      },
    };
  }

  private startLeaving(
    view: View,
    shards: readonly OwnedShard[],
    progress: LeavingProgress,
  ): void {
    const inFlight = shards.filter(s => this.moves.get(s)).length;
    const past = view.wallMs >= progress.leaveAtMs;
    const room = past ? Infinity : MAX_LEAVING_MOVES - inFlight;
    const count = Math.min(progress.due - inFlight, room);
    if (count <= 0) return;
    const movable = shards.filter(
      s => this.mayDrain(view, s) && this.isUp(view, s),
    );
    for (const service of new Set(movable.map(s => s.service))) {
      const list = movable
        .filter(s => s.service === service)
        .slice(0, count)
        .map(s => ({...s, from: s.server, load: this.loadOf(s)}));
      const targets = this.targets(view, service);
      const placed = this.placed(view, service);
      for (const move of placeShards(list, targets, placed, 'leaving')) {
        this.moves.add(move, view.index.epochOf(move)!, 'dispatcher');
      }
    }
  }

  /**
   * Whether a drain may start. At a server that does not check, the
   * dispatcher's answer to an abandoned drain must not count for a later one.
   */
  private mayDrain(view: View, owned: OwnedShard): boolean {
    const slot = this.slots.get(owned.server!);
    if (slot?.server.checksGrants) return this.moves.get(owned) === undefined;
    return (
      slot !== undefined &&
      this.isQuiet(view, slot) &&
      this.moves.mayMove(owned, view.nowMs)
    );
  }

  /** Whether no request of a lost dispatcher can be running at the server. */
  private isQuiet(view: View, slot: ServerSlot): boolean {
    return slot.server.checksGrants || view.nowMs >= slot.quietFromMs;
  }

  private mayBalance(view: View, id: ShardId): boolean {
    const row = view.state.services.get(id.service)?.rows[id.shard];
    const slot = this.slots.get(row?.server ?? '');
    return (
      slot !== undefined &&
      this.isQuiet(view, slot) &&
      this.moves.mayMove(id, view.nowMs)
    );
  }

  /** Whether the owner of a shard can take part in a planned move. */
  private isUp(view: View, owned: OwnedShard): boolean {
    const slot = this.slots.get(owned.server!);
    return (
      slot !== undefined &&
      this.isPresent(view, slot.id) &&
      this.isAnswering(slot)
    );
  }

  private planBalance(view: View): void {
    const services = view.state.bundle?.body.services ?? [];
    for (const {id: service} of services) {
      const inFlight = this.moves
        .list()
        .filter(m => m.reason === 'balance').length;
      if (inFlight >= MAX_BALANCE_MOVES) return;
      const move: Move | null = planBalanceMove(
        this.placed(view, service),
        this.targets(view, service),
        id => this.mayBalance(view, id),
      );
      if (move) this.moves.add(move, view.index.epochOf(move)!, 'dispatcher');
    }
  }

  // Appends.

  /** Appends at most one record; further ones wait for its fate. */
  private *append(view: View): Generator<AssignerCommand> {
    const ready = this.moves.list().filter(m => m.stage === 'ready');
    if (ready.length > 0) {
      for (const move of ready) move.stage = 'append';
      this.pending = {shards: ready};
      yield {kind: 'append', record: this.assignRecord(view, ready)};
      return;
    }
    yield* this.isolate(view);
  }

  private assignRecord(
    view: View,
    moves: readonly MoveInFlight[],
  ): AppendDraft {
    const changes: ShardChange[] = moves.map(m => ({
      service: m.service,
      shard: m.shard,
      server: m.to,
      reason: m.reason,
      formerFence: this.slots.get(m.from ?? '')?.fenceInForce ?? null,
    }));
    return {
      kind: 'assign',
      author: this.options.vm,
      zone: this.zone,
      term: this.term,
      baseOffset: view.state.offset,
      changes,
    };
  }

  private *isolate(view: View): Generator<AssignerCommand> {
    for (const {service, shard, key} of [...this.hot.values()].flat()) {
      if (!this.mayIsolate(view, service, shard, key)) continue;
      const baseEpoch = view.index.epochOf({service, shard})!;
      this.pending = {shards: [{service, shard, baseEpoch}]};
      yield {
        kind: 'append',
        record: {
          kind: 'isolate',
          author: this.options.vm,
          zone: this.zone,
          term: this.term,
          baseOffset: view.state.offset,
          service,
          key,
        },
      };
      return;
    }
  }

  private noteHotKeys(nowMs: number): void {
    for (const [id, load] of this.freshLoads) {
      const slot = this.slots.get(id);
      if (!slot) continue;
      this.hot.set(id, this.hotKeys.note(load, slot.server.slots, nowMs));
    }
    this.freshLoads.clear();
  }

  private mayIsolate(
    view: View,
    service: string,
    shard: number,
    key: string,
  ): boolean {
    const state = view.state.services.get(service);
    const body = view.state.bundle?.body.services.find(s => s.id === service);
    if (!state || !body || shard >= body.shards) return false;
    if (state.rows[shard]?.zone !== this.zone) return false;
    if (this.moves.get({service, shard})) return false;
    return !state.isolated.has(key) && state.isolated.size < MAX_ISOLATED_KEYS;
  }

  // Leases and permissions.

  /** Whether the term's authority suffices for a lease of the server now. */
  private mayGrant(view: View, slot: ServerSlot): boolean {
    const {termConfirmedAtMs, nowMs} = view;
    const foreign = view.state.terms.get(this.zone)?.holderZone !== this.zone;
    const limited =
      view.index.lapseServices.has(slot.server.service) ||
      // The next assigner does not call the entry VMs of other zones.
      (foreign && !slot.server.checksGrants);
    if (limited && nowMs - termConfirmedAtMs > TERM_CONFIRM_MS) return false;
    // A restarted server has forgotten a newer term that may have moved its
    // shards, so this term must be confirmed after the restart was seen.
    return (
      slot.unseenTermSinceMs === null ||
      !slot.server.checksGrants ||
      termConfirmedAtMs >= slot.unseenTermSinceMs
    );
  }

  private *renew(view: View, slot: ServerSlot): Generator<AssignerCommand> {
    if (slot.outstanding || !this.isPresent(view, slot.id)) return;
    const entry = this.ledger.get(slot.id);
    const due = view.nowMs >= slot.lastCallAtMs + LEASE_RENEW_INTERVAL_MS;
    const d = dispatcherOf(slot);
    if (!entry.reading || !d || slot.needsProbe || !this.mayGrant(view, slot)) {
      if (due || slot.needsProbe) yield this.probe(view, slot);
      return;
    }
    const grants = this.grants(view, slot);
    const signature = JSON.stringify([d.vm, d.fence, grants]);
    const leftMs = (entry.lastExpirySentMs ?? 0) - entry.reading.clockMs;
    const urgent =
      entry.consecutiveFailures === 0 &&
      (signature !== slot.sentSignature ||
        leftMs < LEASE_TTL_MS / 2 ||
        this.isDraining(view, slot));
    if (!due && !urgent) return;
    const expiresAtMs = this.ledger.nextExpiryMs(slot.id)!;
    slot.outstanding = true;
    slot.lastCallAtMs = view.nowMs;
    slot.sentSignature = signature;
    slot.seq++;
    yield {
      kind: 'lease',
      server: slot.id,
      request: {
        zone: this.zone,
        term: this.term,
        fence: d.fence,
        dispatcher: d.vm,
        expiresAtMs,
        grants,
        bootId: entry.reading.bootId,
        seq: slot.seq,
      },
    };
  }

  private grants(view: View, slot: ServerSlot): Grant[] {
    return view.index.grantsOf(slot.id, id => this.moves.isWithheld(id));
  }

  private isDraining(view: View, slot: ServerSlot): boolean {
    return (
      view.nowMs >= slot.lastCallAtMs + DRAIN_POLL_MS &&
      this.moves.list().some(m => m.from === slot.id && m.stage === 'server')
    );
  }

  private probe(view: View, slot: ServerSlot): AssignerCommand {
    slot.outstanding = true;
    slot.lastCallAtMs = view.nowMs;
    return {kind: 'probe', server: slot.id};
  }

  /** Probes a server that does not check and renews its permission. */
  private *watch(view: View, slot: ServerSlot): Generator<AssignerCommand> {
    if (!this.isPresent(view, slot.id)) return;
    const due = view.nowMs >= slot.lastCallAtMs + LEASE_RENEW_INTERVAL_MS;
    if (!slot.outstanding && due) yield this.probe(view, slot);
    const d = slot.dispatch;
    if (d.kind !== 'active' && d.kind !== 'stopping') return;
    const holder = permissionHolder(d.vm, slot.id);
    const known = this.permissions.get(holder).reading !== null;
    const allowed = known && this.mayGrant(view, slot);
    const grants = allowed ? this.grants(view, slot) : [];
    const signature = JSON.stringify([d.vm, d.fence, grants, allowed]);
    const resend = view.nowMs >= slot.permissionSentAtMs + PERMISSION_RESEND_MS;
    if (signature === slot.sentSignature && !resend) return;
    slot.sentSignature = signature;
    slot.permissionSentAtMs = view.nowMs;
    // Without a reading or authority the call only reads the clock.
    const expiresAtMs = allowed ? this.permissions.nextExpiryMs(holder)! : 0;
    yield {
      kind: 'permission',
      to: d.vm,
      message: {
        kind: 'permission',
        server: slot.id,
        term: this.term,
        fence: d.fence,
        expiresAtMs,
        grants,
      },
    };
  }
}

function permissionHolder(vm: string, server: string): string {
  return `${vm}>${server}`;
}

function moveFields(move: MoveInFlight): Record<string, string | number> {
  return {
    service: move.service,
    shard: move.shard,
    from: move.from ?? '',
    to: move.to,
  };
}
