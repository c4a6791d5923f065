/** Soft state of the assigner about one server. */
import type {Fence, Server, ServerStatus} from '../../types/index.js';

/** Who dispatches for a server. */
export type DispatchState =
  | {readonly kind: 'none'}
  /** A server that does not check: nobody may send before `untilMs`. */
  | {readonly kind: 'waiting'; readonly untilMs: number}
  | {
      readonly kind: 'active';
      readonly vm: string;
      readonly fence: Fence;
      /** Whether the fence is in force at its holder. */
      readonly acked: boolean;
    }
  | {
      readonly kind: 'stopping';
      readonly vm: string;
      readonly fence: Fence;
      readonly acked: boolean;
      readonly next: string;
      readonly sentAtMs: number;
    };

/** Soft state about one server. */
export interface ServerSlot {
  readonly id: string;
  /** As the latest bundle that listed it. */
  server: Server;
  /** Whether a lease or status call has no result yet. */
  outstanding: boolean;
  lastCallAtMs: number;
  /** Sequence of the last lease call or permission. */
  seq: number;
  /** Content of the last lease or permission that was sent. */
  sentSignature: string | null;
  /** Whether it acknowledged a lease of this term. */
  fenced: boolean;
  status: ServerStatus | null;
  /** Set while a boot has seen no term; see `mayGrant`. */
  unseenTermSinceMs: number | null;
  needsProbe: boolean;
  dispatch: DispatchState;
  permissionSentAtMs: number;
}

/**
 * Builds the state of a server that was not called yet.
 *
 * @param server - Server of the bundle.
 * @returns Fresh state.
 */
export function createSlot(server: Server): ServerSlot {
  return {
    id: server.id,
    server,
    outstanding: false,
    lastCallAtMs: -Infinity,
    seq: 0,
    sentSignature: null,
    fenced: false,
    status: null,
    unseenTermSinceMs: null,
    needsProbe: false,
    dispatch: {kind: 'none'},
    permissionSentAtMs: -Infinity,
  };
}

/**
 * Dispatcher of a server, whether or not it is being replaced.
 *
 * @param slot - State of the server.
 * @returns VM and fence, or null.
 */
export function dispatcherOf(slot: ServerSlot): {
  readonly vm: string;
  readonly fence: Fence;
  readonly acked: boolean;
} | null {
  const d = slot.dispatch;
  return d.kind === 'active' || d.kind === 'stopping' ? d : null;
}
