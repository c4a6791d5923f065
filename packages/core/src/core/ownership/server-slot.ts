/** Soft state of the assigner about one server. */
import {
  isOlderFence,
  isSameFence,
  type Fence,
  type Grant,
  type Server,
  type ServerStatus,
} from '../../types/index.js';
import type {ShardIndex} from './shard-index.js';

/** Who dispatches for a server. */
export type DispatchState =
  | {readonly kind: 'none'}
  /**
   * A server that does not check: nobody may send before `untilMs`, which is
   * Infinity while a former assigner may still grant.
   */
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

/** Grants of a server, with a text that is equal for equal grants. */
export interface GrantList {
  readonly index: ShardIndex;
  /** Shards that were withheld when the list was built. */
  readonly withheldShards: string;
  readonly list: readonly Grant[];
  readonly signature: string;
}

/** A lease call that carried grants. */
export interface SentGrants {
  readonly seq: number;
  readonly bootId: string;
  readonly signature: string;
}

/** Soft state about one server. */
export interface ServerSlot {
  readonly id: string;
  /** As the latest bundle that listed it. */
  server: Server;
  /** Whether a lease or status call has no result yet. */
  isCallOutstanding: boolean;
  lastCallAtMs: number;
  /** Sequence of the last lease call or permission. */
  seq: number;
  /** Content of the last lease or permission that was sent. */
  sentSignature: string | null;
  /** Last lease call of this term with grants, null before the first. */
  sentGrants: SentGrants | null;
  /** Grants as computed last. */
  grants: GrantList | null;
  /** Whether it acknowledged a lease of this term. */
  hasAckedTerm: boolean;
  status: ServerStatus | null;
  /** Set while a boot has seen no term; see `mayGrant`. */
  noTermSinceMs: number | null;
  needsProbe: boolean;
  dispatch: DispatchState;
  permissionSentAtMs: number;
  /**
   * For a server that does not check: own time from which it runs no request
   * of an earlier dispatcher. Infinity while a former assigner may still grant.
   */
  quiescentFromMs: number;
  /** Longest deadline of the service that this term has seen. */
  longestDeadlineMs: number;
  /** Fence of the last dispatcher that this term saw in force, else null. */
  fenceInForce: Fence | null;
  /** Fence before `fenceInForce`, null when unknown. */
  replacedFence: Fence | null;
  /** Fence in the latest published table, null when there is none. */
  publishedFence: Fence | null;
}

/**
 * Builds the state of a server that was not called yet.
 *
 * @param server - Server of the bundle.
 * @param quiescentFromMs - Own time from which no request of a dispatcher of a
 * former term can be running, Infinity when not known yet.
 * @returns Fresh state.
 */
export function createSlot(
  server: Server,
  quiescentFromMs: number,
): ServerSlot {
  return {
    id: server.id,
    server,
    isCallOutstanding: false,
    lastCallAtMs: -Infinity,
    seq: 0,
    sentSignature: null,
    sentGrants: null,
    grants: null,
    hasAckedTerm: false,
    status: null,
    noTermSinceMs: null,
    needsProbe: false,
    dispatch: {kind: 'none'},
    permissionSentAtMs: -Infinity,
    quiescentFromMs,
    longestDeadlineMs: 0,
    fenceInForce: null,
    replacedFence: null,
    publishedFence: null,
  };
}

/**
 * Compares two fences.
 *
 * @param a - First fence.
 * @param b - Second fence.
 * @returns True when both are the same.
 */
export function sameFence(a: Fence | null, b: Fence | null): boolean {
  return a === b || isSameFence(a, b);
}

/**
 * Notes that the present dispatcher's fence is in force. A fence that was
 * replaced before this is in no table, so nobody has sent requests under it
 * and it does not count as one in between.
 *
 * @param slot - State of the server, which is changed.
 */
export function markFenceInForce(slot: ServerSlot): void {
  const dispatch = slot.dispatch;
  if (dispatch.kind !== 'active' && dispatch.kind !== 'stopping') return;
  slot.dispatch = {...dispatch, acked: true};
  if (sameFence(slot.fenceInForce, dispatch.fence)) return;
  slot.replacedFence = slot.fenceInForce;
  slot.fenceInForce = dispatch.fence;
}

/**
 * Gives up a dispatcher that the former assigner replaced after this one had
 * read the server's status. The next step adopts the one that is reported.
 *
 * @param slot - State of the server, which is changed.
 */
export function dropReplacedDispatcher(slot: ServerSlot): void {
  const reported = slot.status?.fence;
  const dispatcher = dispatcherOf(slot);
  if (!slot.server.checksGrants || !reported || !dispatcher) return;
  if (isOlderFence(dispatcher.fence, reported)) slot.dispatch = {kind: 'none'};
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
  const dispatch = slot.dispatch;
  return dispatch.kind === 'active' || dispatch.kind === 'stopping'
    ? dispatch
    : null;
}
