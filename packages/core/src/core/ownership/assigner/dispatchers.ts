/** Maintains a dispatcher for each server of the zone. */
import {certainExpiryMs} from '../../../types/index.js';
import type {AssignerCommand, PeerMessageOf} from '../assigner-types.js';
import {DispatchPlan} from '../dispatch-plan.js';
import {
  dispatcherOf,
  isSameFenceOrBothNull,
  type TrackedServer,
} from '../tracked-server.js';
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
   * @param serverHealth - Health checks of the servers.
   * @param formerPermissions - Ends the permissions of former terms.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly serverHealth: ServerHealth,
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
    const tracked = this.state.trackedServers.get(message.server);
    if (!tracked || message.term !== this.state.term) return;
    const current = dispatcherOf(tracked);
    if (from !== undefined && from !== current?.vm) return;
    if (!isSameFenceOrBothNull(message.fence, current?.fence ?? null)) return;
    this.plan.handleDispatchStopped(tracked);
  }

  /**
   * Appoints and replaces the dispatchers of all servers as needed.
   *
   * @param view - Inputs of the step.
   * @returns Calls to entry VMs, and events.
   */
  *advance(view: StepView): Generator<AssignerCommand> {
    this.plan.updateLiveEntries(view.entries, view.nowMs);
    const trackedServers = [...this.state.trackedServers.values()];
    let isChangeInProgress = trackedServers.some(
      s => s.dispatch.kind === 'stopping',
    );
    for (const tracked of trackedServers) {
      const before = dispatcherOf(tracked);
      yield* this.advanceServer(view, tracked, !isChangeInProgress);
      isChangeInProgress ||= tracked.dispatch.kind === 'stopping';
      const after = dispatcherOf(tracked);
      if (after && after.vm !== before?.vm) {
        yield this.chosenEvent(tracked.id, after.vm, before?.vm ?? '');
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
    return this.plan.publish(this.state.trackedServers.values(), view.entries);
  }

  private *advanceServer(
    view: StepView,
    tracked: TrackedServer,
    mayRebalance: boolean,
  ): Generator<AssignerCommand> {
    const before = dispatcherOf(tracked);
    const permissionExpiresAtMs = permissionExpiryMs(this.state, tracked);
    if (!tracked.server.checksGrants && tracked.dispatch.kind === 'none') {
      tracked.dispatch = {kind: 'waiting', untilMs: tracked.quiescentFromMs};
    }
    yield* this.formerPermissions.advance(view, tracked);
    if (this.serverHealth.isPresent(view, tracked.id)) {
      const {entries, nowMs} = view;
      yield* this.plan.advance(
        tracked,
        entries,
        nowMs,
        permissionExpiresAtMs,
        mayRebalance,
      );
    } else {
      endDispatch(tracked, permissionExpiresAtMs);
    }
    if (before && tracked.dispatch.kind === 'waiting') {
      deferQuiescence(tracked, permissionExpiresAtMs);
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
function endDispatch(
  tracked: TrackedServer,
  permissionExpiresAtMs: number,
): void {
  if (tracked.server.checksGrants) tracked.dispatch = {kind: 'none'};
  else if (dispatcherOf(tracked)) {
    tracked.dispatch = {kind: 'waiting', untilMs: permissionExpiresAtMs};
  }
}

/**
 * Postpones the time from which the server counts as quiescent: the requests of
 * a lost dispatcher may run until their deadlines.
 */
function deferQuiescence(
  tracked: TrackedServer,
  permissionExpiresAtMs: number,
): void {
  tracked.quiescentFromMs = Math.max(
    tracked.quiescentFromMs,
    permissionExpiresAtMs + certainExpiryMs(tracked.longestDeadlineMs),
  );
}
