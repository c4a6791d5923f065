/** State that the parts of one assigner share. */
import type {Server, ServerLoad} from '../../../types/index.js';
import type {AssignerOptions, StepInput} from '../assigner-types.js';
import {LeaseLedger} from '../lease-ledger.js';
import {MoveTable} from '../move-table.js';
import {createSlot, dispatcherOf, type ServerSlot} from '../server-slot.js';
import type {ShardIndex} from '../shard-index.js';

/** Longest request deadline that callers may ask for. */
const MAX_DEADLINE_MS = 600_000;

/** Inputs of one step with the index of their folded state. */
export interface StepView extends StepInput {
  readonly index: ShardIndex;
}

/** Soft state of one term. */
export class AssignerState {
  /** Servers that a bundle of this term listed in the zone. */
  readonly slots = new Map<string, ServerSlot>();
  /** Leases, by server. */
  readonly leases = new LeaseLedger();
  /** Permissions of dispatchers, by `permissionHolder`. */
  readonly permissions = new LeaseLedger();
  readonly moves = new MoveTable();
  /** Loads that the present dispatchers reported, by server. */
  readonly loads = new Map<string, ServerLoad>();
  /** Since when the log has been unavailable, or null. */
  logUnavailableSinceMs: number | null = null;
  private readonly longestDeadlineMs: (service: string) => number;

  /**
   * Builds the state of a new term.
   *
   * @param options - Identity, term and times on the own monotonic clock.
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
   * Follows the servers of the bundle and the availability of the log.
   *
   * @param view - Inputs of the step.
   */
  sync(view: StepView): void {
    this.logUnavailableSinceMs = view.logAvailable
      ? null
      : (this.logUnavailableSinceMs ?? view.nowMs);
    for (const server of view.index.servers.values()) {
      if (server.zone !== this.zone) continue;
      const slot = this.slots.get(server.id) ?? this.addSlot(server);
      slot.server = server;
      // Requests that started under an earlier bundle keep their deadline.
      slot.longestDeadlineMs = Math.max(
        slot.longestDeadlineMs,
        this.longestDeadlineMs(server.service),
      );
    }
  }

  private addSlot(server: Server): ServerSlot {
    const isFirstTerm = this.options.hasPredecessor === false;
    const slot = createSlot(server, isFirstTerm ? -Infinity : Infinity);
    this.slots.set(server.id, slot);
    return slot;
  }
}

/**
 * Tells whether the date of a server's leaving batch has passed.
 *
 * @param view - Inputs of the step.
 * @param server - Server.
 * @returns False also when its batch does not leave.
 */
export function isPastLeaveAt(view: StepView, {batch}: Server): boolean {
  return view.wallMs >= (view.index.leaveAtMs.get(batch) ?? Infinity);
}

/**
 * Names the holder of a permission in its ledger.
 *
 * @param vm - Dispatcher.
 * @param server - Server that it sends to.
 * @returns Key of the ledger.
 */
export function permissionHolderKey(vm: string, server: string): string {
  return `${vm}>${server}`;
}

/**
 * Time at which a dispatcher's permission has certainly expired.
 *
 * @param state - State of the term.
 * @param slot - Server.
 * @returns Own monotonic time; -Infinity without a dispatcher or permission.
 */
export function permissionExpiryMs(
  state: AssignerState,
  slot: ServerSlot,
): number {
  const dispatcher = dispatcherOf(slot);
  if (!dispatcher) return -Infinity;
  const holder = permissionHolderKey(dispatcher.vm, slot.id);
  return state.permissions.get(holder).certainlyExpiredAtMs ?? -Infinity;
}
