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
const URGENT_DEPTH = 4;
/** The same for all other requests. */
const COMMON_DEPTH = 3.2;
/** Shortest time after which a refused caller should come back. */
const MIN_RETRY_AFTER_MS = 80;
/** Time after which a refused caller may find another owner. */
const OWNERLESS_RETRY_AFTER_MS = 150;
/** Time after which a request that was thinned out may find the load gone. */
const THINNED_RETRY_AFTER_MS = 200;
/** Longest wait for keys that change hands. */
const MAX_MOVE_WAIT_MS = 300;
/** Wait that a transfer to another zone is worth, for each KiB of the body. */
const REMOTE_MS_PER_KIB = 6;

/** What matters about a request for the choice. */
export interface ChoiceInput {
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
  readonly tried: ReadonlySet<string>;
}

/** Where a request goes. */
export type Choice =
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
      readonly inputs: LogFields;
    };

/** Chooses servers by owner, expected wait and zone. */
export class ServerChoice {
  /**
   * @param directory - Known servers.
   * @param owners - Owners of keys.
   * @param pool - Connections and load of servers.
   * @param zone - Zone of this VM.
   * @param leaveMs - Time for which a leaving owner still gets requests while
   * its keys are moved.
   * @param admission - How much of the load on overloaded owners may pass.
   */
  constructor(
    private readonly directory: ServerDirectory,
    private readonly owners: OwnerView,
    private readonly pool: ServerPool,
    private readonly zone: string,
    private readonly leaveMs: number,
    private readonly admission: Admission,
  ) {}

  /**
   * Chooses.
   *
   * @param input - The request.
   * @param nowMs - Monotonic time.
   * @returns Where the request goes.
   */
  choose(input: ChoiceInput, nowMs: number): Choice {
    return input.key === null
      ? this.#anyServer(input, nowMs)
      : this.#owner(input, input.key, nowMs);
  }

  #owner(input: ChoiceInput, key: number, nowMs: number): Choice {
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
    const isLeft =
      owner !== null && this.directory.leavingMs(owner.id) > this.leaveMs;
    if (owner === null || isLeft) {
      return refuse('no-owner', OWNERLESS_RETRY_AFTER_MS, {
        server: range?.server,
        listed: owner !== null,
      });
    }
    if (input.tried.has(owner.id) && this.#justRefused(owner, input, nowMs)) {
      const {load} = this.pool.of(owner, nowMs);
      const inputs = loadInputs(owner.id, load, nowMs);
      return refuse('overload', MIN_RETRY_AFTER_MS, inputs);
    }
    const choice = this.#admit(owner, input, nowMs);
    const isFirst = input.tried.size === 0;
    if (choice.kind !== 'server' || !isFirst) return choice;
    return this.admission.admits(owner.id, input.isUrgent, nowMs)
      ? choice
      : refuse('thinned', THINNED_RETRY_AFTER_MS, {server: owner.id});
  }

  #justRefused(
    owner: GatewayServer,
    input: ChoiceInput,
    nowMs: number,
  ): boolean {
    return this.pool.of(owner, nowMs).load.waitMs(nowMs) > input.workMs;
  }

  #anyServer(input: ChoiceInput, nowMs: number): Choice {
    let best: GatewayServer | null = null;
    let leastMs = Infinity;
    for (const server of this.directory.registry.ofService(
      input.service.name,
    )) {
      if (server.isDraining || input.tried.has(server.id)) continue;
      const costMs = this.#costMs(server, input, nowMs);
      if (costMs < leastMs) {
        best = server;
        leastMs = costMs;
      }
    }
    if (best === null) {
      const inputs = {service: input.service.name};
      return refuse('no-server', OWNERLESS_RETRY_AFTER_MS, inputs);
    }
    return this.#admit(best, input, nowMs);
  }

  /** Expected time until the answer, with a surcharge for other zones. */
  #costMs(server: GatewayServer, input: ChoiceInput, nowMs: number): number {
    const {load} = this.pool.of(server, nowMs);
    const waitMs = load.waitMs(nowMs);
    const remoteMs =
      server.zone === this.zone
        ? 0
        : 1 + (REMOTE_MS_PER_KIB * input.bodyBytes) / 1_024;
    const suspectMs = load.isSuspect(nowMs) ? input.remainingMs : 0;
    // The share of busy slots breaks ties between servers without a queue.
    const shareMs = (load.requests(nowMs) / load.slots) * load.workMs * 0.5;
    const lateMs =
      this.#refusal(load, input, nowMs) === null ? 0 : input.remainingMs;
    return waitMs + load.workMs + shareMs + remoteMs + suspectMs + lateMs;
  }

  #admit(server: GatewayServer, input: ChoiceInput, nowMs: number): Choice {
    const pooled = this.pool.of(server, nowMs);
    const {load} = pooled;
    if (load.isSuspect(nowMs)) {
      const inputs = {server: server.id, suspect: true};
      return refuse('no-server', OWNERLESS_RETRY_AFTER_MS, inputs);
    }
    const cause = this.#refusal(load, input, nowMs);
    if (cause === null) return {kind: 'server', server, pooled};
    const waitMs = load.waitMs(nowMs);
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs / 2);
    return refuse(cause, retryAfterMs, loadInputs(server.id, load, nowMs));
  }

  /** Why a server should not get the request now; null when it should. */
  #refusal(
    load: ServerLoadView,
    input: ChoiceInput,
    nowMs: number,
  ): 'overload' | 'too-late' | null {
    const depth = input.isUrgent ? URGENT_DEPTH : COMMON_DEPTH;
    if (load.requests(nowMs) >= depth * load.slots) return 'overload';
    const needsMs = load.waitMs(nowMs) + load.workMs / 2;
    return needsMs > input.remainingMs ? 'too-late' : null;
  }
}

function refuse(
  cause: Extract<Choice, {kind: 'refuse'}>['cause'],
  retryAfterMs: number,
  inputs: LogFields,
): Choice {
  return {kind: 'refuse', cause, retryAfterMs, inputs};
}

function loadInputs(
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
