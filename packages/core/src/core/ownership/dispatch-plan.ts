/** Decides which entry VM dispatches for each server, and under which fence. */
import type {DispatchRow, Fence} from '../../types/index.js';
import type {AssignerCommand, PeerMessageOf} from './assigner-types.js';
import {chooseDispatcher, type EntryVm} from './dispatcher-choice.js';
import {
  dispatcherOf,
  isSameFenceOrBothNull,
  type TrackedServer,
} from './tracked-server.js';

/** Interval at which an unanswered request to stop is sent again. */
const STOP_RESEND_MS = 1_000;
/**
 * Time for which a VM must be live before it takes over servers from another
 * live VM that is not draining.
 */
const MIN_LIVE_TIME_MS = 10_000;

/** Dispatchers of the servers of one zone in one term. */
export class DispatchPlan {
  /** `EntryFencing` uses 0 for a fence that belongs to no dispatcher. */
  private nextFenceSeq = 1;
  private version = 0;
  /** Rows and recipients of the last published table, as JSON. */
  private publishedContent = '';
  /** Time since which each VM has been live without a gap. */
  private readonly liveSinceMs = new Map<string, number>();

  /**
   * Builds an empty plan.
   *
   * @param zone - Zone of the assigner.
   * @param term - Term of the assigner, the first part of new fences.
   */
  constructor(
    private readonly zone: string,
    private readonly term: number,
  ) {}

  /**
   * Records which entry VMs are live, and since when.
   *
   * @param entries - Live entry VMs.
   * @param nowMs - Time on this VM's monotonic clock.
   */
  updateLiveEntries(entries: readonly EntryVm[], nowMs: number): void {
    const live = new Set(entries.map(e => e.vm));
    for (const vm of this.liveSinceMs.keys()) {
      if (!live.has(vm)) this.liveSinceMs.delete(vm);
    }
    for (const vm of live) {
      if (!this.liveSinceMs.has(vm)) this.liveSinceMs.set(vm, nowMs);
    }
  }

  /**
   * Appoints or replaces the dispatcher of one server as needed.
   *
   * @param tracked - State of the server, which is changed.
   * @param entries - Live entry VMs.
   * @param nowMs - Time on this VM's monotonic clock.
   * @param permissionExpiresAtMs - For a server that does not check grants, the
   * time until which a lost dispatcher may still start requests.
   * @param mayRebalance - Whether a dispatcher may be replaced for balance:
   * true unless another planned replacement is in progress.
   * @returns Commands to the dispatcher.
   */
  *advance(
    tracked: TrackedServer,
    entries: readonly EntryVm[],
    nowMs: number,
    permissionExpiresAtMs: number,
    mayRebalance: boolean,
  ): Generator<AssignerCommand> {
    const chosen = chooseDispatcher(tracked.id, entries);
    const d = tracked.dispatch;
    switch (d.kind) {
      case 'none':
        this.adoptReported(tracked, entries, chosen);
        return;
      case 'waiting':
        if (nowMs >= d.untilMs && chosen !== null)
          this.appoint(tracked, chosen);
        return;
      case 'active':
      case 'stopping':
        break;
    }
    const current = entries.find(e => e.vm === d.vm);
    if (!current) {
      this.replaceLost(tracked, chosen, permissionExpiresAtMs);
      return;
    }
    if (chosen === null) return;
    if (d.kind === 'stopping') {
      const isNextUsable = entries.some(e => e.vm === d.next && !e.draining);
      const next = isNextUsable ? d.next : chosen;
      if (next === d.next && nowMs < d.sentAtMs + STOP_RESEND_MS) return;
      yield this.requestStop(tracked, d.vm, next, nowMs);
      return;
    }
    if (chosen === d.vm) return;
    if (!d.isAcked) {
      // The fence is not in force, so it is in no published table and no VM can
      // have sent requests under it. It can be replaced without a stop.
      if (current.draining && tracked.server.checksGrants) {
        this.appoint(tracked, chosen);
      }
      return;
    }
    const isChosenStable =
      nowMs - (this.liveSinceMs.get(chosen) ?? nowMs) >= MIN_LIVE_TIME_MS;
    if (current.draining || (mayRebalance && isChosenStable)) {
      yield this.requestStop(tracked, d.vm, chosen, nowMs);
    }
  }

  /**
   * Completes a planned replacement after the old dispatcher stopped.
   *
   * @param tracked - State of the server, which is changed.
   */
  handleDispatchStopped(tracked: TrackedServer): void {
    if (tracked.dispatch.kind === 'stopping') {
      this.appoint(tracked, tracked.dispatch.next);
    }
  }

  /**
   * Publishes the dispatch table if its rows or recipients changed.
   *
   * @param trackedServers - All servers of the zone.
   * @param entries - Live entry VMs.
   * @returns At most one command.
   */
  *publish(
    trackedServers: Iterable<TrackedServer>,
    entries: readonly EntryVm[],
  ): Generator<AssignerCommand> {
    const rows: DispatchRow[] = [];
    for (const tracked of trackedServers) {
      const dispatcher = dispatcherOf(tracked);
      tracked.publishedFence = dispatcher?.isAcked ? dispatcher.fence : null;
      if (!dispatcher?.isAcked) continue;
      // Until a lease confirms a fence that was adopted from the server's status,
      // the fence that it replaced is unknown.
      const isInForce = isSameFenceOrBothNull(
        dispatcher.fence,
        tracked.fenceInForce,
      );
      rows.push({
        server: tracked.id,
        dispatcher: dispatcher.vm,
        fence: dispatcher.fence,
        replaces: isInForce ? tracked.replacedFence : null,
      });
    }
    const recipients = entries.map(e => e.vm).sort();
    const content = JSON.stringify([rows, recipients]);
    if (content === this.publishedContent) return;
    if (rows.length === 0 && this.version === 0) return;
    this.publishedContent = content;
    const table: PeerMessageOf<'dispatch-table'> = {
      kind: 'dispatch-table',
      zone: this.zone,
      term: this.term,
      version: ++this.version,
      rows,
    };
    yield {kind: 'dispatch-table', table};
  }

  /**
   * Keeps the dispatcher that the server reports if that VM is live; otherwise
   * appoints the chosen one.
   */
  private adoptReported(
    tracked: TrackedServer,
    entries: readonly EntryVm[],
    chosen: string | null,
  ): void {
    if (!tracked.status) return;
    const {dispatcher, fence} = tracked.status;
    if (dispatcher && fence && entries.some(e => e.vm === dispatcher)) {
      tracked.dispatch = {kind: 'active', vm: dispatcher, fence, isAcked: true};
    } else if (chosen !== null) {
      this.appoint(tracked, chosen);
    }
  }

  private replaceLost(
    tracked: TrackedServer,
    chosen: string | null,
    permissionExpiresAtMs: number,
  ): void {
    if (!tracked.server.checksGrants) {
      tracked.dispatch = {kind: 'waiting', untilMs: permissionExpiresAtMs};
    } else if (chosen !== null) {
      this.appoint(tracked, chosen);
    }
  }

  private appoint(tracked: TrackedServer, vm: string): void {
    const fence: Fence = {term: this.term, seq: this.nextFenceSeq++};
    tracked.dispatch = {kind: 'active', vm, fence, isAcked: false};
  }

  private requestStop(
    tracked: TrackedServer,
    vm: string,
    next: string,
    nowMs: number,
  ): AssignerCommand {
    const dispatcher = dispatcherOf(tracked)!;
    tracked.dispatch = {
      kind: 'stopping',
      vm,
      fence: dispatcher.fence,
      isAcked: dispatcher.isAcked,
      next,
      sentAtMs: nowMs,
    };
    return {
      kind: 'dispatch-stop',
      to: vm,
      message: {
        kind: 'dispatch-stop',
        zone: this.zone,
        term: this.term,
        server: tracked.id,
        fence: dispatcher.fence,
        next,
      },
    };
  }
}
