/** Decides who dispatches for each server and with which fence. */
import type {DispatchRow, Fence} from '../../types/index.js';
import type {AssignerCommand, PeerMessageOf} from './assigner-types.js';
import {chooseDispatcher, type EntryVm} from './dispatcher-choice.js';
import {dispatcherOf, sameFence, type ServerSlot} from './server-slot.js';

/** Interval at which an unanswered stop is sent again. */
const STOP_RESEND_MS = 1_000;
/** Presence of a VM before servers are moved back to it. */
const REBALANCE_AFTER_MS = 10_000;

/** Dispatchers of the servers of one zone in one term. */
export class DispatchPlan {
  private nextSeq = 1;
  private version = 0;
  private published = '';
  private readonly seenSinceMs = new Map<string, number>();

  /**
   * Builds an empty plan.
   *
   * @param zone - Zone of the assigner.
   * @param term - Its term, the first part of new fences.
   */
  constructor(
    private readonly zone: string,
    private readonly term: number,
  ) {}

  /**
   * Notes which entry VMs are live.
   *
   * @param entries - Live entry VMs.
   * @param nowMs - Own monotonic time.
   */
  observe(entries: readonly EntryVm[], nowMs: number): void {
    const live = new Set(entries.map(e => e.vm));
    for (const vm of this.seenSinceMs.keys()) {
      if (!live.has(vm)) this.seenSinceMs.delete(vm);
    }
    for (const vm of live) {
      if (!this.seenSinceMs.has(vm)) this.seenSinceMs.set(vm, nowMs);
    }
  }

  /**
   * Advances the dispatcher of one server.
   *
   * @param slot - State of the server, which is changed.
   * @param entries - Live entry VMs.
   * @param nowMs - Own monotonic time.
   * @param lostWaitUntilMs - For a server that does not check: time until
   * which a lost dispatcher may still start requests.
   * @param mayRebalance - Whether no other planned change is in progress.
   * @returns Commands to the dispatcher.
   */
  *advance(
    slot: ServerSlot,
    entries: readonly EntryVm[],
    nowMs: number,
    lostWaitUntilMs: number,
    mayRebalance: boolean,
  ): Generator<AssignerCommand> {
    const chosen = chooseDispatcher(slot.id, entries);
    const d = slot.dispatch;
    switch (d.kind) {
      case 'none':
        this.adopt(slot, entries, chosen);
        return;
      case 'waiting':
        if (nowMs >= d.untilMs && chosen !== null) this.appoint(slot, chosen);
        return;
      case 'active':
      case 'stopping':
        break;
    }
    const current = entries.find(e => e.vm === d.vm);
    if (!current) {
      this.replaceLost(slot, chosen, lostWaitUntilMs);
      return;
    }
    if (chosen === null) return;
    if (d.kind === 'stopping') {
      const nextLive = entries.some(e => e.vm === d.next && !e.draining);
      const next = nextLive ? d.next : chosen;
      if (next === d.next && nowMs < d.sentAtMs + STOP_RESEND_MS) return;
      yield this.stop(slot, d.vm, next, nowMs);
      return;
    }
    if (chosen === d.vm) return;
    if (!d.acked) {
      // Nobody can have used a fence that is in no table.
      if (current.draining && slot.server.checksGrants) {
        this.appoint(slot, chosen);
      }
      return;
    }
    const settled =
      nowMs - (this.seenSinceMs.get(chosen) ?? nowMs) >= REBALANCE_AFTER_MS;
    if (current.draining || (mayRebalance && settled)) {
      yield this.stop(slot, d.vm, chosen, nowMs);
    }
  }

  /**
   * Ends a planned change after the old dispatcher stopped.
   *
   * @param slot - State of the server, which is changed.
   */
  handleDispatchStopped(slot: ServerSlot): void {
    if (slot.dispatch.kind === 'stopping') {
      this.appoint(slot, slot.dispatch.next);
    }
  }

  /**
   * Publishes the table when its rows or readers changed.
   *
   * @param slots - All servers of the zone.
   * @param entries - Live entry VMs.
   * @returns At most one command.
   */
  *publish(
    slots: Iterable<ServerSlot>,
    entries: readonly EntryVm[],
  ): Generator<AssignerCommand> {
    const rows: DispatchRow[] = [];
    for (const slot of slots) {
      const d = dispatcherOf(slot);
      slot.publishedFence = d?.acked ? d.fence : null;
      if (!d?.acked) continue;
      const inForce = sameFence(d.fence, slot.fenceInForce);
      rows.push({
        server: slot.id,
        dispatcher: d.vm,
        fence: d.fence,
        replaces: inForce ? slot.replacedFence : null,
      });
    }
    const readers = entries.map(e => e.vm).sort();
    const signature = JSON.stringify([rows, readers]);
    if (signature === this.published) return;
    if (rows.length === 0 && this.version === 0) return;
    this.published = signature;
    const table: PeerMessageOf<'dispatch-table'> = {
      kind: 'dispatch-table',
      zone: this.zone,
      term: this.term,
      version: ++this.version,
      rows,
    };
    yield {kind: 'dispatch-table', table};
  }

  /** Keeps the dispatcher that the server reports, if that VM is live. */
  private adopt(
    slot: ServerSlot,
    entries: readonly EntryVm[],
    chosen: string | null,
  ): void {
    if (!slot.status) return;
    const {dispatcher, fence} = slot.status;
    if (dispatcher && fence && entries.some(e => e.vm === dispatcher)) {
      slot.dispatch = {kind: 'active', vm: dispatcher, fence, acked: true};
    } else if (chosen !== null) {
      this.appoint(slot, chosen);
    }
  }

  private replaceLost(
    slot: ServerSlot,
    chosen: string | null,
    lostWaitUntilMs: number,
  ): void {
    if (!slot.server.checksGrants) {
      slot.dispatch = {kind: 'waiting', untilMs: lostWaitUntilMs};
    } else if (chosen !== null) {
      this.appoint(slot, chosen);
    }
  }

  private appoint(slot: ServerSlot, vm: string): void {
    const fence: Fence = {term: this.term, seq: this.nextSeq++};
    slot.dispatch = {kind: 'active', vm, fence, acked: false};
  }

  private stop(
    slot: ServerSlot,
    vm: string,
    next: string,
    nowMs: number,
  ): AssignerCommand {
    const d = dispatcherOf(slot)!;
    slot.dispatch = {
      kind: 'stopping',
      vm,
      fence: d.fence,
      acked: d.acked,
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
        server: slot.id,
        fence: d.fence,
        next,
      },
    };
  }
}
