/** Maintains a dispatcher for each server of the zone. */
import {certainExpiryMs} from '../../../types/index.js';
import type {AssignerCommand, PeerMessageOf} from '../assigner-types.js';
import {DispatchPlan} from '../dispatch-plan.js';
import {
  dispatcherOf,
  isSameFenceOrBothNull,
  type ServerSlot,
} from '../server-slot.js';
import type {FormerPermissions} from './former-permissions.js';
import type {ServerHealth} from './server-health.js';
import {
  permissionExpiryMs,
  type AssignerState,
  type StepView,
} from './state.js';

/** Appoints, replaces and publishes dispatchers. */
export class Dispatchers {
  private readonly plan: DispatchPlan;

  /**
   * @param state - State of the term.
   * @param servers - Health checks of the servers.
   * @param formerPermissions - Ends the permissions of former terms.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: ServerHealth,
    private readonly formerPermissions: FormerPermissions,
  ) {
    this.plan = new DispatchPlan(state.zone, state.term);
  }

  /**
   * Handles a dispatcher's confirmation that it stopped sending to a server.
   *
   * @param message - Confirmation.
   * @param from - VM that sent it. The confirmation is ignored unless this is
   * the server's current dispatcher.
   */
  handleDispatchStopped(
    message: PeerMessageOf<'dispatch-stopped'>,
    from?: string,
  ): void {
    const slot = this.state.slots.get(message.server);
    if (!slot || message.term !== this.state.term) return;
    const current = dispatcherOf(slot);
    if (from !== undefined && from !== current?.vm) return;
    if (!isSameFenceOrBothNull(message.fence, current?.fence ?? null)) return;
    this.plan.handleDispatchStopped(slot);
  }

  /**
   * Appoints and replaces the dispatchers of all servers as needed.
   *
   * @param view - Inputs of the step.
   * @returns Calls to entry VMs, and events.
   */
  *advance(view: StepView): Generator<AssignerCommand> {
    this.plan.updateLiveEntries(view.entries, view.nowMs);
    const slots = [...this.state.slots.values()];
    let isChangeInProgress = slots.some(s => s.dispatch.kind === 'stopping');
    for (const slot of slots) {
      const before = dispatcherOf(slot);
      yield* this.advanceSlot(view, slot, !isChangeInProgress);
      isChangeInProgress ||= slot.dispatch.kind === 'stopping';
      const after = dispatcherOf(slot);
      if (after && after.vm !== before?.vm) {
        yield this.chosenEvent(slot.id, after.vm, before?.vm ?? '');
      }
    }
  }

  /**
   * Publishes the dispatch table if it changed.
   *
   * @param view - Inputs of the step.
   * @returns At most one command.
   */
  publish(view: StepView): Generator<AssignerCommand> {
    return this.plan.publish(this.state.slots.values(), view.entries);
  }

  private *advanceSlot(
    view: StepView,
    slot: ServerSlot,
    mayRebalance: boolean,
  ): Generator<AssignerCommand> {
    const before = dispatcherOf(slot);
    const permissionExpiresAtMs = permissionExpiryMs(this.state, slot);
    if (!slot.server.checksGrants && slot.dispatch.kind === 'none') {
      slot.dispatch = {kind: 'waiting', untilMs: slot.quiescentFromMs};
    }
    yield* this.formerPermissions.advance(view, slot);
    if (this.servers.isPresent(view, slot.id)) {
      const {entries, nowMs} = view;
      yield* this.plan.advance(
        slot,
        entries,
        nowMs,
        permissionExpiresAtMs,
        mayRebalance,
      );
    } else {
      endDispatch(slot, permissionExpiresAtMs);
    }
    if (before && slot.dispatch.kind === 'waiting') {
      deferQuiescence(slot, permissionExpiresAtMs);
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

/**
 * Removes the dispatcher of a server that is gone or not listed. A server that
 * does not check grants waits until the dispatcher's permission has expired.
 */
function endDispatch(slot: ServerSlot, permissionExpiresAtMs: number): void {
  if (slot.server.checksGrants) slot.dispatch = {kind: 'none'};
  else if (dispatcherOf(slot)) {
    slot.dispatch = {kind: 'waiting', untilMs: permissionExpiresAtMs};
  }
}

/**
 * Postpones the time from which the server counts as quiescent: the requests of
 * a lost dispatcher may run until their deadlines.
 */
function deferQuiescence(
  slot: ServerSlot,
  permissionExpiresAtMs: number,
): void {
  slot.quiescentFromMs = Math.max(
    slot.quiescentFromMs,
    permissionExpiresAtMs + certainExpiryMs(slot.longestDeadlineMs),
  );
}
