/** Tells which servers are present, answer calls, and can receive shards. */
import type {Server} from '../../../types/index.js';
import {computeCapacities, type ServerCapacity} from '../placement.js';
import type {TrackedServer} from '../tracked-server.js';
import type {AssignerState, StepView} from './state.js';

/**
 * Longest time for which a new assigner waits for the first answers before it
 * places shards, so that the placement considers all servers.
 */
const STARTUP_WAIT_MS = 1_000;

/** Derives health and eligibility of servers from the state of the term. */
export class ServerHealth {
  /**
   * @param state - State of the term.
   */
  constructor(private readonly state: AssignerState) {}

  /**
   * Whether the server was removed from the VM list (proof c, see `StopProofs`)
   * or the operator listed it as stopped in the bundle (proof d).
   */
  isGone(view: StepView, id: string): boolean {
    return view.removedServers.has(id) || view.index.stopped.has(id);
  }

  /** Whether the server is listed in the zone and not known to be gone. */
  isPresent(view: StepView, id: string): boolean {
    const isListed = view.index.servers.get(id)?.zone === this.state.zone;
    return isListed && !this.isGone(view, id);
  }

  /**
   * Whether the server answered the last call. A server that checks grants must
   * also have acknowledged a lease of this term.
   */
  isAnswering(tracked: TrackedServer): boolean {
    const entry = this.state.leases.get(tracked.id);
    return (
      entry.lastAnswerAtMs !== null &&
      entry.consecutiveFailures === 0 &&
      (tracked.hasAckedTerm || !tracked.server.checksGrants)
    );
  }

  /** Whether shards can be drained from it: it is present and answers. */
  isPresentAndAnswering(view: StepView, id: string): boolean {
    const tracked = this.state.trackedServers.get(id);
    return (
      tracked !== undefined &&
      this.isPresent(view, id) &&
      this.isAnswering(tracked)
    );
  }

  /**
   * Whether shards may be placed on the server. For a server of another zone
   * this assigner knows only what the bundle and the VM list say.
   */
  canReceiveShards(view: StepView, id: string): boolean {
    const server = view.index.servers.get(id);
    if (!server || this.isGone(view, id)) return false;
    if (view.index.leaveAtMs.has(server.batch)) return false;
    if (server.zone !== this.state.zone) return true;
    const tracked = this.state.trackedServers.get(id);
    return (
      tracked !== undefined &&
      this.isAnswering(tracked) &&
      !tracked.status?.draining
    );
  }

  /** Servers of the zone that can receive shards of a service. */
  eligibleServers(view: StepView, service: string): ServerCapacity[] {
    return this.eligibleCapacities(
      view,
      s => s.service === service && s.zone === this.state.zone,
    );
  }

  /**
   * Servers of other zones that can receive shards of a service; used when the
   * own zone has none left.
   */
  eligibleServersOfOtherZones(
    view: StepView,
    service: string,
  ): ServerCapacity[] {
    return this.eligibleCapacities(
      view,
      s => s.service === service && s.zone !== this.state.zone,
    );
  }

  /** Whether every present server answers, or the startup wait has passed. */
  isStartupWaitOver(view: StepView): boolean {
    if (view.nowMs >= this.state.options.nowMs + STARTUP_WAIT_MS) return true;
    return [...this.state.trackedServers.values()].every(
      s => !this.isPresent(view, s.id) || this.isAnswering(s),
    );
  }

  private eligibleCapacities(
    view: StepView,
    matches: (server: Server) => boolean,
  ): ServerCapacity[] {
    const matching = [...view.index.servers.values()].filter(matches);
    return computeCapacities(matching, this.state.loads).filter(t =>
      this.canReceiveShards(view, t.server),
    );
  }
}
