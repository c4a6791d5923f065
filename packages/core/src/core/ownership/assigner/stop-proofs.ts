/** Proofs that an old owner runs nothing for its shards any more. */
import {TERM_CONFIRM_MS, certainExpiryMs} from '../../../types/index.js';
import type {AssignerOptions} from '../assigner-types.js';
import {dispatcherOf, type ServerSlot} from '../server-slot.js';
import type {ServerHealth} from './server-health.js';
import type {AssignerState, StepView} from './state.js';

/** Judges servers by the proofs of stopped owners. */
export class StopProofs {
  /**
   * @param state - State of the term.
   * @param servers - Condition of the servers.
   */
  constructor(
    private readonly state: AssignerState,
    private readonly servers: ServerHealth,
  ) {}

  /** Proofs b to e that a server runs nothing for its shards any more. */
  isProvenStopped(view: StepView, id: string): boolean {
    if (this.servers.isGone(view, id)) return true;
    const slot = this.state.slots.get(id);
    const listed = view.index.servers.has(id);
    const {consecutiveFailures} = this.state.leases.get(id);
    if (listed && consecutiveFailures === 0) return false;
    if (slot && !slot.server.checksGrants) {
      return !dispatcherOf(slot) && this.isQuiescent(view, slot);
    }
    return (
      this.state.leases.hasExpired(id, view.nowMs) &&
      this.hasFormerAuthorityEnded(view, id)
    );
  }

  /** Whether no request of a lost dispatcher can be running at the server. */
  isQuiescent(view: StepView, slot: ServerSlot): boolean {
    return slot.server.checksGrants || view.nowMs >= slot.quietFromMs;
  }

  /** A silent server that does not check, with a dispatcher that answers. */
  isLostWithActiveDispatcher(view: StepView, slot: ServerSlot): boolean {
    if (slot.server.checksGrants || this.servers.isGone(view, slot.id)) {
      return false;
    }
    const entry = this.state.leases.get(slot.id);
    const silentMs = view.nowMs - (entry.lastAnswerAtMs ?? -Infinity);
    return (
      dispatcherOf(slot) !== null &&
      entry.consecutiveFailures > 0 &&
      silentMs >= certainExpiryMs()
    );
  }

  /** Whether no former assigner can still renew the server's lease. */
  private hasFormerAuthorityEnded(view: StepView, id: string): boolean {
    const {options, slots} = this.state;
    const slot = slots.get(id);
    if (slot?.fenced || options.hasPredecessor === false) return true;
    const service = slot?.server.service;
    if (!service || !view.index.lapseServices.has(service)) return false;
    return view.nowMs >= formerAuthorityEndMs(options);
  }
}

/**
 * Proof e: a former assigner needed a log read to renew.
 *
 * @param options - Options of the assigner.
 * @returns Own time at which nothing that it granted is valid any more.
 */
export function formerAuthorityEndMs(options: AssignerOptions): number {
  return options.termAcknowledgedAtMs + TERM_CONFIRM_MS + certainExpiryMs();
}
