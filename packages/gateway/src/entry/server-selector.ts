/** Chooses the server of a request, or refuses it early. */
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

/** Requests at a server, as a multiple of its slots, that urgent ones may reach. */
const MAX_URGENT_REQUESTS_PER_SLOT = 4;
/** The same for all other requests. */
const MAX_COMMON_REQUESTS_PER_SLOT = 3.2;
/** Shortest time after which a refused caller should come back. */
const MIN_RETRY_AFTER_MS = 80;
/** Time after which a refused caller may find another owner. */
const NO_SERVER_RETRY_AFTER_MS = 150;
/** Time after which a request that was thinned out may find the load gone. */
const THINNED_RETRY_AFTER_MS = 200;
/** Longest wait for keys that change hands. */
const MAX_MOVE_WAIT_MS = 300;
/** Wait that a transfer to another zone is worth, for each KiB of the body. */
const REMOTE_MS_PER_KIB = 6;

/** What matters about a request for the choice. */
export interface SelectionInput {
  readonly service: GatewayService;
  /** Null for services that are not divided by key. */
  readonly key: number | null;
  readonly isUrgent: boolean;
  readonly bodyBytes: number;
  /** Time that the request takes on a common server. */
  readonly workMs: number;
  /** Time that the caller still waits. */
  readonly remainingMs: number;
  /** Servers that have refused or failed the request. */
  readonly triedServers: ReadonlySet<string>;
}

/** Where a request goes. */
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
        'no-server' | 'no-owner' | 'overload' | 'too-late' | 'thinned';
      readonly retryAfterMs: number;
      /** What decided it, for the log. */
      readonly decisionFields: LogFields;
    };

/** Chooses servers by owner, expected wait and zone. */
export class ServerSelector {
  /**
   * @param directory - Known servers.
   * @param owners - Owners of keys.
   * @param pool - Connections and load of servers.
   * @param zone - Zone of this VM.
   * @param drainingOwnerMs - Time for which a leaving owner still gets requests while
   * its keys are moved.
   * @param admission - How much of the load on overloaded owners may pass.
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
   * Chooses.
   *
   * @param input - The request.
   * @param nowMs - Monotonic time.
   * @returns Where the request goes.
   */
  choose(input: SelectionInput, nowMs: number): Selection {
    return input.key === null
      ? this.#selectCheapestServer(input, nowMs)
      : this.#selectOwner(input, input.key, nowMs);
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
    const hasDrained =
      owner !== null &&
      this.directory.leavingMs(owner.id) > this.drainingOwnerMs;
    if (owner === null || hasDrained) {
      return refuse('no-owner', NO_SERVER_RETRY_AFTER_MS, {
        server: range?.server,
        listed: owner !== null,
      });
    }
    if (
      input.triedServers.has(owner.id) &&
      this.#isStillFull(owner, input, nowMs)
    ) {
      const {load} = this.pool.forServer(owner, nowMs);
      const decisionFields = loadDecisionFields(owner.id, load, nowMs);
      return refuse('overload', MIN_RETRY_AFTER_MS, decisionFields);
    }
    const selection = this.#selectOrRefuse(owner, input, nowMs);
    const isFirstAttempt = input.triedServers.size === 0;
    if (selection.kind !== 'server' || !isFirstAttempt) return selection;
    return this.admission.admits(owner.id, input.isUrgent, nowMs)
      ? selection
      : refuse('thinned', THINNED_RETRY_AFTER_MS, {server: owner.id});
  }

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

  /** Expected time until the answer, with a surcharge for other zones. */
  #costMs(server: GatewayServer, input: SelectionInput, nowMs: number): number {
    const {load} = this.pool.forServer(server, nowMs);
    const waitMs = load.waitMs(nowMs);
    const remoteMs =
      server.zone === this.zone
        ? 0
        : 1 + (REMOTE_MS_PER_KIB * input.bodyBytes) / 1_024;
    const suspectMs = load.isSuspect(nowMs) ? input.remainingMs : 0;
    // The share of busy slots breaks ties between servers without a queue.
    const busyMs = (load.requests(nowMs) / load.slots) * load.workMs * 0.5;
    const refusalMs =
      this.#refusalCause(load, input, nowMs) === null ? 0 : input.remainingMs;
    return waitMs + load.workMs + busyMs + remoteMs + suspectMs + refusalMs;
  }

  #selectOrRefuse(
    server: GatewayServer,
    input: SelectionInput,
    nowMs: number,
  ): Selection {
    const pooled = this.pool.forServer(server, nowMs);
    const {load} = pooled;
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

  /** Why a server should not get the request now; null when it should. */
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
    const neededMs = load.waitMs(nowMs) + load.workMs / 2;
    return neededMs > input.remainingMs ? 'too-late' : null;
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
