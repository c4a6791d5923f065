/** Which servers are present, answer, and may take shards. */
import type {Server} from '../../../types/index.js';
import {computeCapacities, type ServerCapacity} from '../placement.js';
import type {ServerSlot} from '../server-slot.js';
import type {AssignerState, View} from './state.js';

/** Wait of a new assigner for the first answers, so that all servers count. */
const FIRST_ANSWERS_MS = 1_000;

/** Reads the servers' condition from the state of the term. */
export class Servers {
  /**
   * @param state - State of the term.
   */
  constructor(private readonly state: AssignerState) {}

  /** Proofs c and d: removed from the VM list, or listed as stopped. */
  isGone(view: View, id: string): boolean {
    return view.removedServers.has(id) || view.index.stopped.has(id);
  }

  /** Whether the server is listed in the zone and not known to be gone. */
  isPresent(view: View, id: string): boolean {
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
  isUp(view: View, id: string): boolean {
    const slot = this.state.slots.get(id);
    return (
      slot !== undefined && this.isPresent(view, id) && this.isAnswering(slot)
    );
  }

  /** Whether shards may be given to the server. */
  mayTakeShards(view: View, id: string): boolean {
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
  targets(view: View, service: string): ServerCapacity[] {
    return this.capacities(
      view,
      s => s.service === service && s.zone === this.state.zone,
    );
  }

  /** Servers of other zones, for a zone that has none left. */
  foreignTargets(view: View, service: string): ServerCapacity[] {
    return this.capacities(
      view,
      s => s.service === service && s.zone !== this.state.zone,
    );
  }

  /** Whether every server answered once or had the time to. */
  hasFirstAnswers(view: View): boolean {
    if (view.nowMs >= this.state.options.nowMs + FIRST_ANSWERS_MS) return true;
    return [...this.state.slots.values()].every(
      s => !this.isPresent(view, s.id) || this.isAnswering(s),
    );
  }

  private capacities(
    view: View,
    isWanted: (server: Server) => boolean,
  ): ServerCapacity[] {
    const wanted = [...view.index.servers.values()].filter(isWanted);
    return computeCapacities(wanted, this.state.loads).filter(t =>
      this.mayTakeShards(view, t.server),
    );
  }
}
