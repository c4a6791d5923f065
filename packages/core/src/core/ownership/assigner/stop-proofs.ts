/**
 * Proofs that a former owner runs nothing for its shards any more. A shard may
 * get a new owner only with one of them:
 *
 * - a: the owner holds a lease without the shard and reports no running request
 *   for it. If it does not check grants: its dispatcher has confirmed that no
 *   request for the shard is in flight, and no request of an earlier dispatcher
 *   can be running (see `Drains`);
 * - b: the owner does not answer or is not listed in the bundle, the last lease
 *   of this term has expired, and no former assigner can renew it: there was
 *   none, or the owner has acknowledged this term and refuses calls of former
 *   ones. A server that does not check grants has no lease; instead it must have
 *   no dispatcher and run no request of an earlier one (see `isQuiescent`);
 * - c: the VM list has removed the owner;
 * - d: the bundle lists the owner as stopped;
 * - e: as b, for a server that has not acknowledged this term: its service has
 *   policy `lapse`, and the authority of all former assigners has ended.
 */
import {TERM_CONFIRM_MS, certainExpiryMs} from '../../../types/index.js';
import type {AssignerOptions} from '../assigner-types.js';
import {dispatcherOf, type TrackedServer} from '../tracked-server.js';
import type {ServerHealth} from './server-health.js';
import type {AssignerState, StepView} from './state.js';

/** Checks which servers are proven to have stopped. */
export class StopProofs {
  /**
   * @param state - State of the term.
   * @param serverHealth - Health checks of the servers.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly serverHealth: ServerHealth,
  ) {}

  /** Whether proof b, c, d or e holds for a server. */
  isProvenStopped(view: StepView, id: string): boolean {
    if (this.serverHealth.isGone(view, id)) return true;
    const tracked = this.state.trackedServers.get(id);
    const isListed = view.index.servers.has(id);
    const {consecutiveFailures} = this.state.leases.get(id);
    if (isListed && consecutiveFailures === 0) return false;
    if (tracked && !tracked.server.checksGrants) {
      return !dispatcherOf(tracked) && this.isQuiescent(view, tracked);
    }
    return (
      this.state.leases.hasExpired(id, view.nowMs) &&
      this.hasFormerAuthorityEnded(view, id)
    );
  }

  /**
   * Whether no request of a lost dispatcher can be running at the server. For
   * a server that checks grants this does not matter: it refuses the effects of
   * requests without a grant.
   */
  isQuiescent(view: StepView, tracked: TrackedServer): boolean {
    return tracked.server.checksGrants || view.nowMs >= tracked.quiescentFromMs;
  }

  /**
   * Whether a server that does not check grants is lost while it still has a
   * dispatcher. Its shards can then be drained at the dispatcher.
   */
  isLostWithActiveDispatcher(view: StepView, tracked: TrackedServer): boolean {
    if (
      tracked.server.checksGrants ||
      this.serverHealth.isGone(view, tracked.id)
    ) {
      return false;
    }
    const entry = this.state.leases.get(tracked.id);
    const silentMs = view.nowMs - (entry.lastAnswerAtMs ?? -Infinity);
    return (
      dispatcherOf(tracked) !== null &&
      entry.consecutiveFailures > 0 &&
      silentMs >= certainExpiryMs()
    );
  }

  /** Whether no former assigner can renew the server's lease any more. */
  private hasFormerAuthorityEnded(view: StepView, id: string): boolean {
    const {options, trackedServers} = this.state;
    const tracked = trackedServers.get(id);
    if (tracked?.hasAckedTerm || options.hasPredecessor === false) return true;
    const service = tracked?.server.service;
    if (!service || !view.index.lapseServices.has(service)) return false;
    return view.nowMs >= formerAuthorityEndMs(options);
  }
}

/**
 * Computes when the authority of all former assigners has ended (proof e). With
 * policy `lapse` they could renew only after a recent log read, which would
 * have shown them this term.
 *
 * @param options - Options of the assigner.
 * @returns Time on this VM's monotonic clock from which nothing that a former
 * assigner granted is valid.
 */
export function formerAuthorityEndMs(options: AssignerOptions): number {
  return options.termAcknowledgedAtMs + TERM_CONFIRM_MS + certainExpiryMs();
}
