/** State shared by the components of one assigner. */
import type {Server, ServerLoad} from '../../../types/index.js';
import type {AssignerOptions, StepInput} from '../assigner-types.js';
import {LeaseLedger} from '../lease-ledger.js';
import {MoveTable} from '../move-table.js';
import {
  createTrackedServer,
  dispatcherOf,
  type TrackedServer,
} from '../tracked-server.js';
import type {ShardIndex} from '../shard-index.js';

/** Longest request deadline that any service may have. */
const MAX_DEADLINE_MS = 600_000;

/** Inputs of one step, with an index of the folded state. */
export interface StepView extends StepInput {
  readonly index: ShardIndex;
}

/** In-memory state of one term; it is not persisted. */
export class AssignerState {
  /** State of each server that a bundle listed in the zone in this term. */
  readonly trackedServers = new Map<string, TrackedServer>();
  /** Leases, by server. */
  readonly leases = new LeaseLedger();
  /** Permissions of dispatchers, by `permissionHolderKey`. */
  readonly permissions = new LeaseLedger();
  readonly moves = new MoveTable();
  /** Latest load report of each server, from its dispatcher. */
  readonly loads = new Map<string, ServerLoad>();
  /** Time since which the log has been unavailable; null while available. */
  logUnavailableSinceMs: number | null = null;
  private readonly longestDeadlineMs: (service: string) => number;

  /**
   * Builds the state of a new term.
   *
   * @param options - Identity and term of the assigner, with times on this
   * VM's monotonic clock.
   */
  constructor(readonly options: AssignerOptions) {
    this.longestDeadlineMs =
      options.longestDeadlineMs ?? (() => MAX_DEADLINE_MS);
  }

  get zone(): string {
    return this.options.zone;
  }

  get term(): number {
    return this.options.term;
  }

  /**
   * Updates the servers from the bundle, and the time of a log outage.
   *
   * @param view - Inputs of the step.
   */
  sync(view: StepView): void {
    this.logUnavailableSinceMs = view.logAvailable
      ? null
      : (this.logUnavailableSinceMs ?? view.nowMs);
    for (const server of view.index.servers.values()) {
      if (server.zone !== this.zone) continue;
      const tracked =
        this.trackedServers.get(server.id) ?? this.addTrackedServer(server);
      tracked.server = server;
      // Requests that started under an earlier bundle keep their deadline, so
      // a shorter limit in a newer bundle must not lower this.
      tracked.longestDeadlineMs = Math.max(
        tracked.longestDeadlineMs,
        this.longestDeadlineMs(server.service),
      );
    }
  }

  private addTrackedServer(server: Server): TrackedServer {
    const isFirstTerm = this.options.hasPredecessor === false;
    const tracked = createTrackedServer(
      server,
      isFirstTerm ? -Infinity : Infinity,
    );
    this.trackedServers.set(server.id, tracked);
    return tracked;
  }
}

/**
 * Tells whether `leaveAtMs` of a server's leaving batch has passed.
 *
 * @param view - Inputs of the step.
 * @param server - Server.
 * @returns False also when the batch is not leaving.
 */
export function isPastLeaveAt(view: StepView, {batch}: Server): boolean {
  return view.wallMs >= (view.index.leaveAtMs.get(batch) ?? Infinity);
}

/**
 * Builds the key under which the ledger keeps a permission.
 *
 * @param vm - Dispatcher that holds the permission.
 * @param server - Server that it may send to.
 * @returns Key for `AssignerState.permissions`.
 */
export function permissionHolderKey(vm: string, server: string): string {
  return `${vm}>${server}`;
}

/**
 * Computes when the permission of a server's dispatcher has certainly expired.
 *
 * @param state - State of the term.
 * @param tracked - State of the server.
 * @returns Time on this VM's monotonic clock; -Infinity without a dispatcher
 * or permission.
 */
export function permissionExpiryMs(
  state: AssignerState,
  tracked: TrackedServer,
): number {
  const dispatcher = dispatcherOf(tracked);
  if (!dispatcher) return -Infinity;
  const holder = permissionHolderKey(dispatcher.vm, tracked.id);
  return state.permissions.get(holder).certainlyExpiredAtMs ?? -Infinity;
}
