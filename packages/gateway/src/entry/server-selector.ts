/** Selects the server of a request, or refuses it before it is sent. */
import {neededTimeMs} from '@wisteriarun/core';
import type {
  Admission,
  GatewayServer,
  GatewayService,
  ServerLoadView,
} from '@wisteriarun/core';
import type {LogFields} from '@wisteriarun/runtime';
import type {ServerDirectory} from '../store/server-directory.js';
import type {OwnerView} from '../ownership/owner-view.js';
import type {PooledServer, ServerPool} from './server-pool.js';

/**
 * Limit on the requests at a server, as a multiple of its slots, up to which it
 * still gets urgent requests.
 */
const MAX_URGENT_REQUESTS_PER_SLOT = 4;
/** The same limit for all other requests. */
const MAX_COMMON_REQUESTS_PER_SLOT = 3.2;
/** Shortest `retry-after` of a request that is refused for overload. */
const MIN_RETRY_AFTER_MS = 80;
/**
 * `retry-after` when the key has no owner or no server is available; there may
 * be one by then.
 */
const NO_SERVER_RETRY_AFTER_MS = 150;
/**
 * `retry-after` of a request that is shed because its owner is overloaded
 * (cause `thinned`); the load may be gone by then.
 */
const THINNED_RETRY_AFTER_MS = 200;
/** Longest wait for a key that is moving to another owner. */
const MAX_MOVE_WAIT_MS = 300;
/** Cost of sending a body to another zone, as waiting time per KiB. */
const REMOTE_MS_PER_KIB = 6;

/** Properties of a request that decide which server it is sent to. */
export interface SelectionInput {
  readonly service: GatewayService;
  /** Key of the request; null for services without keys. */
  readonly key: number | null;
  /** Whether the higher limits for urgent requests apply. */
  readonly isUrgent: boolean;
  readonly bodyBytes: number;
  /** Average time that the servers take to run such a request. */
  readonly workMs: number;
  /** Time left until the caller's deadline or, if sooner, the end of the process. */
  readonly remainingMs: number;
  /** Whether the end of the process comes first. */
  readonly isLimitedByStop: boolean;
  /** Ids of the servers that have refused or failed the request. */
  readonly triedServers: ReadonlySet<string>;
}

/** Decision for a request: send it, wait for its owner, or refuse it. */
export type Selection =
  | {
      readonly kind: 'server';
      readonly server: GatewayServer;
      readonly pooled: PooledServer;
    }
  | {readonly kind: 'wait'; readonly waitMs: number}
  | {
      readonly kind: 'refuse';
      readonly cause:
        | 'no-server'
        | 'no-owner'
        | 'overload'
        | 'too-late'
        | 'thinned'
        | 'paused';
      readonly retryAfterMs: number;
      /** Values that led to the refusal, for the log. */
      readonly decisionFields: LogFields;
    };

/** Selects servers by owner of the key, expected wait and zone. */
export class ServerSelector {
  /**
   * @param directory - Known servers.
   * @param owners - Owners of the keys.
   * @param pool - Connections to servers and their estimated load.
   * @param zone - Availability zone of this VM.
   * @param drainingOwnerMs - Time for which a draining owner still gets requests
   * while its keys move to other servers.
   * @param admission - Share of the requests that overloaded owners get.
   */
  constructor(
    private readonly directory: ServerDirectory,
    private readonly owners: OwnerView,
    private readonly pool: ServerPool,
    private readonly zone: string,
    private readonly drainingOwnerMs: number,
    private readonly admission: Admission,
  ) {}

  /**
   * Decides where a request is sent.
   *
   * @param input - Properties of the request.
   * @param nowMs - Monotonic time.
   * @returns A server, a wait for the owner, or a refusal.
   */
  choose(input: SelectionInput, nowMs: number): Selection {
    return input.key === null
      ? this.#selectCheapestServer(input, nowMs)
      : this.#selectOwner(input, input.key, nowMs);
  }

  /**
   * Tells whether a server may get no more requests, since it has been draining for too
   * long.
   *
   * @param id - Id of the server.
   * @returns True also for a request that was chosen for it earlier.
   */
  isWithdrawn(id: string): boolean {
    return this.directory.drainingMs(id) > this.drainingOwnerMs;
  }

  #selectOwner(input: SelectionInput, key: number, nowMs: number): Selection {
    const range = this.owners.find(input.service.name, key);
    if (range?.moving) {
      const spareMs = input.remainingMs - input.workMs;
      if (spareMs > 0) {
        return {kind: 'wait', waitMs: Math.min(spareMs, MAX_MOVE_WAIT_MS)};
      }
    }
    const owner =
      range?.server === null || range?.server === undefined
        ? null
        : this.directory.registry.find(range.server);
    if (owner === null || this.isWithdrawn(owner.id)) {
      return refuse('no-owner', NO_SERVER_RETRY_AFTER_MS, {
        server: range?.server,
        listed: owner !== null,
      });
    }
    const isPaused =
      this.pool.forServer(owner, nowMs).load.pause.leftMs(nowMs) > 0;
    if (
      !isPaused &&
      input.triedServers.has(owner.id) &&
      this.#isStillFull(owner, input, nowMs)
    ) {
      const {load} = this.pool.forServer(owner, nowMs);
      const decisionFields = loadDecisionFields(owner.id, load, nowMs);
      return refuse('overload', MIN_RETRY_AFTER_MS, decisionFields);
    }
    const selection = this.#selectOrRefuse(owner, input, nowMs);
    // A retry was admitted with its first attempt.
    const isFirstAttempt = input.triedServers.size === 0;
    if (selection.kind !== 'server' || !isFirstAttempt) return selection;
    return this.admission.admits(owner.id, input.isUrgent, nowMs)
      ? selection
      : refuse('thinned', THINNED_RETRY_AFTER_MS, {server: owner.id});
  }

  /** Whether a request would wait at the owner for longer than it runs. */
  #isStillFull(
    owner: GatewayServer,
    input: SelectionInput,
    nowMs: number,
  ): boolean {
    return this.pool.forServer(owner, nowMs).load.waitMs(nowMs) > input.workMs;
  }

  #selectCheapestServer(input: SelectionInput, nowMs: number): Selection {
    let cheapest: GatewayServer | null = null;
    let leastCostMs = Infinity;
    for (const server of this.directory.registry.ofService(
      input.service.name,
    )) {
      if (server.isDraining || input.triedServers.has(server.id)) continue;
      const costMs = this.#costMs(server, input, nowMs);
      if (costMs < leastCostMs) {
        cheapest = server;
        leastCostMs = costMs;
      }
    }
    if (cheapest === null) {
      const decisionFields = {service: input.service.name};
      return refuse('no-server', NO_SERVER_RETRY_AFTER_MS, decisionFields);
    }
    return this.#selectOrRefuse(cheapest, input, nowMs);
  }

  /**
   * Expected time until the answer, plus penalties for another zone, a suspect
   * server, and a server that would not be given the request.
   */
  #costMs(server: GatewayServer, input: SelectionInput, nowMs: number): number {
    const {load} = this.pool.forServer(server, nowMs);
    const waitMs = load.waitMs(nowMs);
    const remoteMs =
      server.zone === this.zone
        ? 0
        : 1 + (REMOTE_MS_PER_KIB * input.bodyBytes) / 1_024;
    const suspectMs = load.isSuspect(nowMs) ? input.remainingMs : 0;
    // Breaks ties between servers without a queue: fewer busy slots cost less.
    const busyMs = (load.requests(nowMs) / load.slots) * load.workMs * 0.5;
    const refusalMs =
      this.#refusalCause(load, input, nowMs) === null ? 0 : input.remainingMs;
    const pausedMs = load.pause.leftMs(nowMs);
    const pauseCostMs = pausedMs > 0 ? pausedMs + input.remainingMs : 0;
    return (
      waitMs +
      load.workMs +
      busyMs +
      remoteMs +
      suspectMs +
      refusalMs +
      pauseCostMs
    );
  }

  #selectOrRefuse(
    server: GatewayServer,
    input: SelectionInput,
    nowMs: number,
  ): Selection {
    const pooled = this.pool.forServer(server, nowMs);
    const {load} = pooled;
    const pausedMs = load.pause.leftMs(nowMs);
    if (pausedMs > 0) {
      const retryAfterMs = load.pause.retryAfterMs(nowMs, Math.random());
      const decisionFields = {
        server: server.id,
        paused_ms: Math.round(pausedMs),
      };
      return refuse('paused', retryAfterMs, decisionFields);
    }
    if (load.isSuspect(nowMs)) {
      const decisionFields = {server: server.id, suspect: true};
      return refuse('no-server', NO_SERVER_RETRY_AFTER_MS, decisionFields);
    }
    const cause = this.#refusalCause(load, input, nowMs);
    if (cause === null) return {kind: 'server', server, pooled};
    const waitMs = load.waitMs(nowMs);
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs / 2);
    return refuse(
      cause,
      retryAfterMs,
      loadDecisionFields(server.id, load, nowMs),
    );
  }

  /** Returns why the server must not get the request; null when it may. */
  #refusalCause(
    load: ServerLoadView,
    input: SelectionInput,
    nowMs: number,
  ): 'overload' | 'too-late' | null {
    const maxRequestsPerSlot = input.isUrgent
      ? MAX_URGENT_REQUESTS_PER_SLOT
      : MAX_COMMON_REQUESTS_PER_SLOT;
    if (load.requests(nowMs) >= maxRequestsPerSlot * load.slots)
      return 'overload';
    const {isLimitedByStop, remainingMs} = input;
    const expectedMs = neededTimeMs(
      load.waitMs(nowMs),
      load.workMs,
      isLimitedByStop,
    );
    return expectedMs > remainingMs ? 'too-late' : null;
  }
}

function refuse(
  cause: Extract<Selection, {kind: 'refuse'}>['cause'],
  retryAfterMs: number,
  decisionFields: LogFields,
): Selection {
  return {kind: 'refuse', cause, retryAfterMs, decisionFields};
}

function loadDecisionFields(
  server: string,
  load: ServerLoadView,
  nowMs: number,
): LogFields {
  return {
    server,
    requests: load.requests(nowMs).toFixed(1),
    slots: load.slots,
    wait_ms: Math.round(load.waitMs(nowMs)),
    report_age_ms: Math.round(load.reportAgeMs(nowMs)),
  };
}
