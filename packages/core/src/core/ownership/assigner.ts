/** Facade of the assigner: one instance serves one zone for one term. */
import type {LeaseRequest, ServerStatus} from '../../types/index.js';
import type {
  AssignerCommand,
  AssignerOptions,
  PeerMessageOf,
  StepInput,
} from './assigner-types.js';
import {Dispatchers} from './assigner/dispatchers.js';
import {Drains} from './assigner/drains.js';
import {FormerPermissions} from './assigner/former-permissions.js';
import {HotKeyIsolation} from './assigner/hot-key-isolation.js';
import {LeavingBatches} from './assigner/leaving.js';
import {Planner} from './assigner/planner.js';
import {StopProofs} from './assigner/stop-proofs.js';
import {RecordAppender} from './assigner/record-appender.js';
import {Renewals} from './assigner/renewals.js';
import {ServerHealth} from './assigner/server-health.js';
import {
  AssignerState,
  permissionHolderKey,
  type StepView,
} from './assigner/state.js';
import type {LeavingProgress} from './placement.js';
import {
  dispatcherOf,
  dropReplacedDispatcher,
  markFenceInForce,
  isSameFenceOrBothNull,
  type TrackedServer,
} from './tracked-server.js';
import {ShardIndex} from './shard-index.js';

/**
 * Decides the owners, leases and dispatchers of one zone. It performs no I/O:
 * the caller passes in the results of calls and executes the commands that
 * `step` yields.
 */
export class Assigner {
  private readonly state: AssignerState;
  private readonly formerPermissions: FormerPermissions;
  private readonly dispatchers: Dispatchers;
  private readonly drains: Drains;
  private readonly planner: Planner;
  private readonly leaving: LeavingBatches;
  private readonly hotKeyIsolation: HotKeyIsolation;
  private readonly records: RecordAppender;
  private readonly renewals: Renewals;
  private index: ShardIndex | null = null;
  private superseded = false;

  /**
   * Starts a term. The leases that former assigners granted are not known yet.
   *
   * @param options - Identity and term of the assigner, with times on this
   * VM's monotonic clock.
   */
  constructor(options: AssignerOptions) {
    const state = new AssignerState(options);
    const serverHealth = new ServerHealth(state);
    const proofs = new StopProofs(state, serverHealth);
    this.state = state;
    this.formerPermissions = new FormerPermissions(state);
    this.dispatchers = new Dispatchers(
      state,
      serverHealth,
      this.formerPermissions,
    );
    this.drains = new Drains(state, serverHealth, proofs);
    this.planner = new Planner(state, serverHealth, proofs);
    this.leaving = new LeavingBatches(state, serverHealth, this.planner);
    this.hotKeyIsolation = new HotKeyIsolation(state);
    this.records = new RecordAppender(state, this.drains, this.hotKeyIsolation);
    this.renewals = new Renewals(state, serverHealth);
  }

  /** True once a newer term is known; `step` then yields nothing. */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  /**
   * Progress of the leaving batches in this zone at the latest step that could
   * plan moves.
   */
  get progress(): readonly LeavingProgress[] {
    return this.leaving.progress;
  }

  /**
   * Handles a server's answer to a lease or status call.
   *
   * @param input - The answer, its time of arrival on this VM's monotonic
   * clock, and the lease that was sent (null for a status call).
   */
  onServerStatus(input: {
    readonly server: string;
    readonly receivedAtMs: number;
    readonly status: ServerStatus;
    readonly sentLease: LeaseRequest | null;
  }): void {
    const {server, receivedAtMs, status, sentLease} = input;
    const tracked = this.state.trackedServers.get(server);
    if (!tracked) return;
    tracked.isCallOutstanding = false;
    if (status.term > this.state.term) {
      this.superseded = true;
      return;
    }
    const {bootId, clockMs} = status;
    applyStatus(tracked, status, receivedAtMs);
    dropReplacedDispatcher(tracked);
    this.state.leases.recordAnswer(server, {bootId, clockMs, receivedAtMs});
    if (sentLease?.bootId === bootId) this.handleLeaseAck(tracked, sentLease);
  }

  /**
   * Handles a lease or status call that got no answer.
   *
   * @param input - Server; `nowMs` is not used.
   */
  onServerFailure(input: {
    readonly server: string;
    readonly nowMs: number;
  }): void {
    const tracked = this.state.trackedServers.get(input.server);
    if (tracked) tracked.isCallOutstanding = false;
    this.state.leases.recordFailure(input.server);
  }

  /**
   * Handles a lease call that the server refused. The next call to it is a
   * status call, and the next lease carries all its grants.
   *
   * @param input - Server, and the highest term that it has seen.
   */
  onLeaseRefused(input: {
    readonly server: string;
    readonly term: number;
  }): void {
    if (input.term > this.state.term) this.superseded = true;
    const tracked = this.state.trackedServers.get(input.server);
    if (!tracked) return;
    tracked.isCallOutstanding = false;
    tracked.needsProbe = true;
    tracked.sentContent = null;
    tracked.sentGrants = null;
  }

  /**
   * Handles a dispatcher's confirmation that it has no requests in flight for
   * the shards of a drain.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it. The confirmation is ignored unless this is
   * the VM that was asked to drain.
   */
  onShardDrained(message: PeerMessageOf<'shard-drained'>, from?: string): void {
    this.drains.handleShardDrained(message, from);
  }

  /**
   * Handles a dispatcher's confirmation that it stopped sending to a server.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it. The confirmation is ignored unless this is
   * the server's current dispatcher.
   */
  onDispatchStopped(
    message: PeerMessageOf<'dispatch-stopped'>,
    from?: string,
  ): void {
    this.dispatchers.handleDispatchStopped(message, from);
  }

  /**
   * Handles an entry VM's answer to a permission.
   *
   * @param input - The VM, its answer, and the answer's time of arrival on this
   * VM's monotonic clock.
   */
  onPermissionAck(input: {
    readonly vm: string;
    readonly receivedAtMs: number;
    readonly msg: PeerMessageOf<'permission-ack'>;
  }): void {
    const {vm, receivedAtMs, msg} = input;
    const {server, clockMs} = msg;
    const tracked = this.state.trackedServers.get(server);
    if (!tracked || msg.term !== this.state.term) return;
    const reading = {bootId: vm, clockMs, receivedAtMs};
    this.state.permissions.recordAnswer(
      permissionHolderKey(vm, server),
      reading,
    );
    this.formerPermissions.recordAck(server, vm);
    const d = tracked.dispatch;
    if (d.kind !== 'active' || d.vm !== vm || tracked.server.checksGrants)
      return;
    // The answer may belong to an earlier permission. Marking the fence as in
    // force is safe even then, because the VM refuses requests until the
    // permission with this fence arrives.
    markFenceInForce(tracked);
  }

  /**
   * Stores the loads that a dispatcher measured. Loads of servers for which
   * the VM is not the dispatcher are ignored.
   *
   * @param message - Load report.
   */
  onLoadReport(message: PeerMessageOf<'load-report'>): void {
    for (const load of message.servers) {
      const tracked = this.state.trackedServers.get(load.server);
      if (!tracked || dispatcherOf(tracked)?.vm !== message.vm) continue;
      this.state.loads.set(load.server, load);
      this.hotKeyIsolation.addReport(load);
    }
  }

  /**
   * Handles the result of the append in flight; there is at most one. An
   * accepted record takes effect only once `step` gets a state that includes
   * it.
   *
   * @param input - Whether the record was accepted when the log was folded;
   * `recordId` is not used.
   */
  onAppendResult(input: {
    readonly recordId: string;
    readonly accepted: boolean;
  }): void {
    this.records.handleResult(input.accepted);
  }

  /**
   * Decides what to do now. Does nothing unless this term is the zone's current
   * term in the folded state.
   *
   * @param input - Time, folded state, and the known VMs and servers.
   * @returns Commands, in the order in which to execute them.
   */
  *step(input: StepInput): Generator<AssignerCommand> {
    const view = this.createStepView(input);
    if (!view) return;
    this.state.sync(view);
    this.hotKeyIsolation.evaluateReports(view.nowMs);
    yield* this.dispatchers.advance(view);
    yield* this.records.finishMoves(view);
    yield* this.drains.advance(view);
    if (view.logAvailable && !this.records.isPending) yield* this.plan(view);
    yield* this.renewals.renew(view);
    yield* this.dispatchers.publish(view);
  }

  private *plan(view: StepView): Generator<AssignerCommand> {
    this.planner.planLosses(view);
    yield* this.leaving.plan(view);
    this.planner.planBalance(view);
    // Sends the drains of the moves that were just planned.
    yield* this.drains.advance(view);
    yield* this.records.append(view);
  }

  /**
   * Adds the shard index to the inputs of a step. Returns null when this term
   * is not the zone's current term.
   */
  private createStepView(input: StepInput): StepView | null {
    const {zone, term} = this.state;
    const foldedTerm = input.state.terms.get(zone)?.term ?? 0;
    if (foldedTerm > term) this.superseded = true;
    if (this.superseded || foldedTerm !== term) return null;
    if (this.index?.state !== input.state) {
      this.index = new ShardIndex(input.state, zone);
    }
    return {...input, index: this.index};
  }

  /** Handles a lease that was accepted by the incarnation it was meant for. */
  private handleLeaseAck(tracked: TrackedServer, lease: LeaseRequest): void {
    tracked.hasAckedTerm = true;
    if (
      isSameFenceOrBothNull(dispatcherOf(tracked)?.fence ?? null, lease.fence)
    ) {
      markFenceInForce(tracked);
    }
    this.drains.handleLeaseAck(tracked, lease);
  }
}

/**
 * Stores the status of a server, and since when a restarted server has known
 * no term.
 */
function applyStatus(
  tracked: TrackedServer,
  status: ServerStatus,
  receivedAtMs: number,
): void {
  const hasRestarted = tracked.status?.bootId !== status.bootId;
  tracked.status = status;
  tracked.needsProbe = false;
  if (hasRestarted) tracked.sentContent = null;
  if (status.term > 0) tracked.noTermSinceMs = null;
  else if (hasRestarted) tracked.noTermSinceMs = receivedAtMs;
}
