/** Which servers are present, answer, and may take shards. */
import type {Server} from '../../../types/index.js';
import {computeCapacities, type ServerCapacity} from '../placement.js';
import type {ServerSlot} from '../server-slot.js';
import type {AssignerState, StepView} from './state.js';

/** Wait of a new assigner for the first answers, so that all servers count. */
const MAX_STARTUP_WAIT_MS = 1_000;

/** Reads the servers' condition from the state of the term. */
export class ServerHealth {
  /**
   * @param state - State of the term.
   */
  constructor(private readonly state: AssignerState) {}

  /** Proofs c and d: removed from the VM list, or listed as stopped. */
  isGone(view: StepView, id: string): boolean {
    return view.removedServers.has(id) || view.index.stopped.has(id);
  }

  /** Whether the server is listed in the zone and not known to be gone. */
  isPresent(view: StepView, id: string): boolean {
    const listed = view.index.servers.get(id)?.zone === this.state.zone;
    return listed && !this.isGone(view, id);
  }

  /** Whether the last call was answered, and a checking server is fenced. */
  isAnswering(slot: ServerSlot): boolean {
    const entry = this.state.leases.get(slot.id);
    return (
      entry.lastAnswerAtMs !== null &&
      entry.consecutiveFailures === 0 &&
      (slot.fenced || !slot.server.checksGrants)
    );
  }

  /** Whether the owner of a shard can take part in a planned move. */
  isPresentAndAnswering(view: StepView, id: string): boolean {
    const slot = this.state.slots.get(id);
    return (
      slot !== undefined && this.isPresent(view, id) && this.isAnswering(slot)
    );
  }

  /** Whether shards may be given to the server. */
  canReceiveShards(view: StepView, id: string): boolean {
    const server = view.index.servers.get(id);
    if (!server || this.isGone(view, id)) return false;
    if (view.index.leaveAtMs.has(server.batch)) return false;
    if (server.zone !== this.state.zone) return true;
    const slot = this.state.slots.get(id);
    return (
      slot !== undefined && this.isAnswering(slot) && !slot.status?.draining
    );
  }

  /** Servers of the zone that may take shards of a service. */
  eligibleServers(view: StepView, service: string): ServerCapacity[] {
    return this.eligibleCapacities(
      view,
      s => s.service === service && s.zone === this.state.zone,
    );
  }

  /** Servers of other zones, for a zone that has none left. */
  eligibleServersOfOtherZones(
    view: StepView,
    service: string,
  ): ServerCapacity[] {
    return this.eligibleCapacities(
      view,
      s => s.service === service && s.zone !== this.state.zone,
    );
  }

  /** Whether every server answered once or had the time to. */
  isStartupWaitOver(view: StepView): boolean {
    if (view.nowMs >= this.state.options.nowMs + MAX_STARTUP_WAIT_MS)
      return true;
    return [...this.state.slots.values()].every(
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
