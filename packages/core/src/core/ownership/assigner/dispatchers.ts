/** Keeps a dispatcher for each server of the zone. */
import {certainExpiryMs} from '../../../types/index.js';
import type {AssignerCommand, PeerMessageOf} from '../assigner-types.js';
import {DispatchPlan} from '../dispatch-plan.js';
import {dispatcherOf, sameFence, type ServerSlot} from '../server-slot.js';
import type {FormerPermissions} from './former-permissions.js';
import type {Servers} from './servers.js';
import {permissionEndMs, type AssignerState, type View} from './state.js';

/** Appoints, replaces and publishes dispatchers. */
export class Dispatchers {
  private readonly plan: DispatchPlan;

  /**
   * @param state - State of the term.
   * @param servers - Condition of the servers.
   * @param former - Permissions of former terms.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: Servers,
    private readonly former: FormerPermissions,
  ) {
    this.plan = new DispatchPlan(state.zone, state.term);
  }

  /**
   * Notes that a dispatcher stopped sending to a server.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it; others than the stopping one are ignored.
   */
  noteStopped(message: PeerMessageOf<'dispatch-stopped'>, from?: string): void {
    const slot = this.state.slots.get(message.server);
    if (!slot || message.term !== this.state.term) return;
    const current = dispatcherOf(slot);
    if (from !== undefined && from !== current?.vm) return;
    if (!sameFence(message.fence, current?.fence ?? null)) return;
    this.plan.noteStopped(slot);
  }

  /**
   * Advances the dispatchers of all servers.
   *
   * @param view - Inputs of the step.
   * @returns Calls to entry VMs, and events.
   */
  *advance(view: View): Generator<AssignerCommand> {
    this.plan.observe(view.entries, view.nowMs);
    const slots = [...this.state.slots.values()];
    let changing = slots.some(s => s.dispatch.kind === 'stopping');
    for (const slot of slots) {
      const before = dispatcherOf(slot);
      yield* this.advanceSlot(view, slot, !changing);
      changing ||= slot.dispatch.kind === 'stopping';
      const after = dispatcherOf(slot);
      if (after && after.vm !== before?.vm) {
        yield this.chosenEvent(slot.id, after.vm, before?.vm ?? '');
      }
    }
  }

  /**
   * Publishes the table when it changed.
   *
   * @param view - Inputs of the step.
   * @returns At most one command.
   */
  publish(view: View): Generator<AssignerCommand> {
    return this.plan.publish(this.state.slots.values(), view.entries);
  }

  private *advanceSlot(
    view: View,
    slot: ServerSlot,
    mayRebalance: boolean,
  ): Generator<AssignerCommand> {
    const before = dispatcherOf(slot);
    const lostUntilMs = permissionEndMs(this.state, slot);
    if (!slot.server.checksGrants && slot.dispatch.kind === 'none') {
      slot.dispatch = {kind: 'waiting', untilMs: slot.quietFromMs};
    }
    yield* this.former.advance(view, slot);
    if (this.servers.isPresent(view, slot.id)) {
      const {entries, nowMs} = view;
      yield* this.plan.advance(slot, entries, nowMs, lostUntilMs, mayRebalance);
    } else {
      endDispatch(slot, lostUntilMs);
    }
    if (before && slot.dispatch.kind === 'waiting') {
      noteLeftRequests(slot, lostUntilMs);
    }
  }

  private chosenEvent(
    server: string,
    dispatcher: string,
    former: string,
  ): AssignerCommand {
    return {
      kind: 'event',
      event: {
        kind: 'dispatcher-chosen',
        term: this.state.term,
        fields: {server, dispatcher, former},
      },
    };
  }
}

/** Ends the dispatching for a server that is gone or not listed. */
function endDispatch(slot: ServerSlot, lostUntilMs: number): void {
  if (slot.server.checksGrants) slot.dispatch = {kind: 'none'};
  else if (dispatcherOf(slot)) {
    slot.dispatch = {kind: 'waiting', untilMs: lostUntilMs};
  }
}

/** A lost dispatcher's requests may run until their deadlines. */
function noteLeftRequests(slot: ServerSlot, lostUntilMs: number): void {
  slot.quietFromMs = Math.max(
    slot.quietFromMs,
    lostUntilMs + certainExpiryMs(slot.longestDeadlineMs),
  );
}
