/**
 * In-memory state that the assigner keeps about one server. A permission lets a
 * dispatcher send to a server that does not check grants.
 */
import {
  isOlderFence,
  isSameFence,
  type Fence,
  type Grant,
  type Server,
  type ServerStatus,
} from '../../types/index.js';
import type {ShardIndex} from './shard-index.js';

/** Which entry VM dispatches for a server. */
export type DispatchState =
  | {readonly kind: 'none'}
  /**
   * For a server that does not check grants: no new dispatcher may be appointed
   * before `untilMs`, a time on this VM's monotonic clock. It is Infinity while
   * a former assigner may still grant permissions.
   */
  | {readonly kind: 'waiting'; readonly untilMs: number}
  | {
      readonly kind: 'active';
      readonly vm: string;
      readonly fence: Fence;
      /**
       * Whether the fence is in force: acknowledged by the server, or by the
       * dispatcher if the server does not check grants.
       */
      readonly isAcked: boolean;
    }
  | {
      readonly kind: 'stopping';
      readonly vm: string;
      readonly fence: Fence;
      readonly isAcked: boolean;
      /** VM to appoint once the current dispatcher has stopped. */
      readonly next: string;
      /** When the latest `dispatch-stop` was sent, on this VM's clock. */
      readonly sentAtMs: number;
    };

/** Cached grants of a server. */
export interface GrantList {
  readonly index: ShardIndex;
  /** `MoveTable.withheldKey` when the list was built. */
  readonly withheldShardsKey: string;
  readonly list: readonly Grant[];
  /** `list` as JSON, with which changes are detected. */
  readonly content: string;
}

/** A lease call that carried grants. */
export interface SentGrants {
  readonly seq: number;
  readonly bootId: string;
  /** `GrantList.content` of the grants. */
  readonly content: string;
}

/** In-memory state about one server in one term. */
export interface TrackedServer {
  readonly id: string;
  /** The server as described by the latest bundle that listed it. */
  server: Server;
  /** Whether a lease or status call is still without a result. */
  isCallOutstanding: boolean;
  lastCallAtMs: number;
  /** Sequence number of the last lease call. */
  seq: number;
  /**
   * Content of the last lease or permission that was sent; null if none was
   * sent since a restart or refusal of the server.
   */
  sentContent: string | null;
  /** Last lease call that carried grants; null if none since a refusal. */
  sentGrants: SentGrants | null;
  /** Grants as last computed; a cache. */
  grants: GrantList | null;
  /** Whether the server acknowledged a lease of this term. */
  hasAckedTerm: boolean;
  status: ServerStatus | null;
  /**
   * Time since which the current incarnation of the server has reported that it
   * knows no term; null once it knows one. Until this term is confirmed by a
   * later log read, the server gets no lease.
   */
  noTermSinceMs: number | null;
  /** Whether a status call must precede the next lease, after a refusal. */
  needsProbe: boolean;
  dispatch: DispatchState;
  permissionSentAtMs: number;
  /**
   * For a server that does not check grants: time on this VM's monotonic clock
   * from which the server runs no request of an earlier dispatcher. Infinity
   * while a former assigner may still grant permissions.
   */
  quiescentFromMs: number;
  /** Longest request deadline that the service had during this term. */
  longestDeadlineMs: number;
  /** Latest fence known to have been in force in this term, else null. */
  fenceInForce: Fence | null;
  /** Fence that `fenceInForce` replaced; null when unknown. */
  replacedFence: Fence | null;
  /** Fence in the latest published table, null when there is none. */
  publishedFence: Fence | null;
}

/**
 * Builds the state of a server that has not been called yet.
 *
 * @param server - Server of the bundle.
 * @param quiescentFromMs - Time on this VM's monotonic clock from which no
 * request of a former term's dispatcher can be running; Infinity while unknown.
 * @returns Fresh state.
 */
export function createTrackedServer(
  server: Server,
  quiescentFromMs: number,
): TrackedServer {
  return {
    id: server.id,
    server,
    isCallOutstanding: false,
    lastCallAtMs: -Infinity,
    seq: 0,
    sentContent: null,
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
 * Tells whether two fences are equal. Unlike for `isSameFence`, two missing
 * fences are equal.
 *
 * @param a - First fence, or null.
 * @param b - Second fence, or null.
 * @returns True when both are equal or both are null.
 */
export function isSameFenceOrBothNull(
  a: Fence | null,
  b: Fence | null,
): boolean {
  return a === b || isSameFence(a, b);
}

/**
 * Marks the fence of the current dispatcher as in force. `replacedFence` skips
 * fences that were replaced before they came into force: they were in no
 * published table, so no requests were sent under them.
 *
 * @param tracked - State of the server, which is changed.
 */
export function markFenceInForce(tracked: TrackedServer): void {
  const dispatch = tracked.dispatch;
  if (dispatch.kind !== 'active' && dispatch.kind !== 'stopping') return;
  tracked.dispatch = {...dispatch, isAcked: true};
  if (isSameFenceOrBothNull(tracked.fenceInForce, dispatch.fence)) return;
  tracked.replacedFence = tracked.fenceInForce;
  tracked.fenceInForce = dispatch.fence;
}

/**
 * Drops a dispatcher that a former assigner replaced after this assigner had
 * read the server's status. The next step adopts the reported one.
 *
 * @param tracked - State of the server, which is changed.
 */
export function dropReplacedDispatcher(tracked: TrackedServer): void {
  const reported = tracked.status?.fence;
  const dispatcher = dispatcherOf(tracked);
  if (!tracked.server.checksGrants || !reported || !dispatcher) return;
  if (isOlderFence(dispatcher.fence, reported))
    tracked.dispatch = {kind: 'none'};
}

/**
 * Returns the dispatcher of a server, even while it is being replaced.
 *
 * @param tracked - State of the server.
 * @returns VM and fence, or null.
 */
export function dispatcherOf(tracked: TrackedServer): {
  readonly vm: string;
  readonly fence: Fence;
  readonly isAcked: boolean;
} | null {
  const dispatch = tracked.dispatch;
  return dispatch.kind === 'active' || dispatch.kind === 'stopping'
    ? dispatch
    : null;
}
