/** Serves callers' requests: selects servers, retries and answers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {isIdempotent, parseCount, singleHeader} from '@wisteriarun/core';
import type {
  CrashRecord,
  FingerprintFields,
  GatewayHeaders,
  GatewayRoute,
  GatewayServer,
  StopSchedule,
} from '@wisteriarun/core';
import {waitForPendingEvents} from '@wisteriarun/runtime';
import type {Clock, StallWatch} from '@wisteriarun/runtime';
import type {OwnerView} from '../ownership/owner-view.js';
import type {BundleHolder} from '../store/bundle-holder.js';
import {Attempt} from './attempt.js';
import type {AttemptOutcome} from './attempt.js';
import {readBody} from './caller-body.js';
import type {CrashWatch} from './crash-watch.js';
import {Exchange} from './exchange.js';
import type {LoadMeter} from './load-meter.js';
import type {RequestLog} from './request-log.js';
import type {RequestMeter} from './request-meter.js';
import {parseKey, requestHeaders} from './request-headers.js';
import {RetryBudgets} from './retry-budgets.js';
import type {ServerSelector} from './server-selector.js';

/** With less time left, no server can answer before the deadline. */
const MIN_REMAINING_MS = 5;
/**
 * Longest wait for a new owner after the known one answered `misdirected`. Also
 * the `retry-after` when there is none by then, or the owner cannot be reached.
 */
const OWNER_CHANGE_WAIT_MS = 200;
/**
 * Longest delay before a request for a key is sent again after its owner refused
 * it. Also the `retry-after` of a request that did not run and may not be sent
 * again, whatever the cause.
 */
const NOT_RUN_RETRY_MS = 25;

/**
 * Wait before a request whose connection was lost is sent to the same server again,
 * as a share of its objective or of the time left, whichever is shorter.
 */
const RESEND_WAIT_RATIO = 0.15;

/** Dependencies of the request handler. */
export interface HandlerDependencies {
  readonly bundles: BundleHolder;
  readonly owners: OwnerView;
  readonly serverSelector: ServerSelector;
  readonly loadMeter: LoadMeter;
  readonly meter: RequestMeter;
  readonly headerNames: GatewayHeaders;
  readonly stallWatch: StallWatch;
  readonly stopSchedule: StopSchedule;
  readonly clock: Clock;
  readonly log: RequestLog;
  readonly crashes: CrashWatch;
  /** Takes note that a server has said that it is leaving. */
  reportLeaving(server: GatewayServer): void;
  /** Sends changed crash counts to the other VMs. */
  shareCrashes(records: readonly CrashRecord[]): void;
}

/** State of one request while it is served. */
interface RequestContext {
  readonly exchange: Exchange;
  readonly route: GatewayRoute;
  readonly serviceName: string;
  readonly key: number | null;
  readonly deadlineAtMs: number;
  /** Ids of the servers that have refused or failed the request. */
  readonly triedServers: Set<string>;
  /** Attempts that may have reached a server. */
  sendCount: number;
  /** The last attempt; null before the first. */
  lastAttempt: Attempt | null;
}

/** Sends each request to a server, retries it if allowed, and answers it. */
export class RequestHandler {
  /** Retry budgets; the gateway sets their limits. */
  readonly budgets = new RetryBudgets();
  /** Attempts that have not ended, with the ids of their servers. */
  readonly #runningAttempts = new Map<Attempt, string>();

  /**
   * @param dependencies - Dependencies of the handler.
   */
  constructor(private readonly dependencies: HandlerDependencies) {}

  /**
   * Serves one request.
   *
   * @param request - Request of a caller.
   * @param response - Response to the caller.
   * @returns Resolves when the request has been answered or abandoned.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {bundles, owners, headerNames, clock, log, meter, stallWatch} =
      this.dependencies;
    const exchange = new Exchange(request, response, headerNames, {
      startedAtMs: clock.monotonicMs(),
      unreadMs: stallWatch.maxEventWaitMs,
      clock,
      log,
      meter,
      versions: () => ({
        bundle: bundles.bundle?.version,
        term: owners.term,
        revision: owners.revision,
      }),
    });
    if (bundles.bundle === null) {
      exchange.refuse('no-bundle', null);
      return;
    }
    const route = bundles.route(request.headers.host ?? '', request.url ?? '');
    if (route === null) {
      exchange.reject(404, 'no-route');
      return;
    }
    if (await this.#abandonIfCallerGone(exchange)) return;
    const context = this.#createContext(exchange, route);
    if (context === null) return;
    const {maxBodyBytes} = bundles.bundle.limits;
    const body = await readBody(request, maxBodyBytes);
    if (body.kind === 'too-large') {
      exchange.reject(413, 'body-too-large');
    } else if (body.kind === 'gone') {
      exchange.abandon('caller-gone');
    } else {
      exchange.body = body;
      // The caller may have left since the head of the request was read.
      if (await this.#abandonIfCallerGone(exchange)) return;
      await this.#serve(context);
    }
  }

  /**
   * Ends all attempts in flight, as their timeouts do: their callers are answered, except
   * those that have got a part of the answer.
   *
   * @returns Number of the attempts.
   */
  breakOffAll(): number {
    const attempts = [...this.#runningAttempts.keys()];
    for (const attempt of attempts) attempt.cancel('timeout');
    return attempts.length;
  }

  /**
   * Chooses other servers for the requests that wait for a connection to a server that
   * may get no more of them.
   */
  withdrawUnsent(): void {
    const {serverSelector} = this.dependencies;
    for (const [attempt, server] of this.#runningAttempts) {
      if (!attempt.isSent && serverSelector.isWithdrawn(server)) {
        attempt.withdraw();
      }
    }
  }

  /**
   * Abandons a request whose caller has left. After a stall of the event loop,
   * the closing of a connection is seen only in a later turn of the loop.
   */
  async #abandonIfCallerGone(exchange: Exchange): Promise<boolean> {
    if (this.dependencies.stallWatch.isStalled) await waitForPendingEvents();
    if (!exchange.isCallerGone) return false;
    exchange.abandon('caller-gone');
    return true;
  }

  /**
   * Chooses the service, checks the key and counts the arrival of a keyed request.
   * Returns null after answering a request that has no service or no valid key. A
   * malformed deadline is ignored.
   */
  #createContext(
    exchange: Exchange,
    route: GatewayRoute,
  ): RequestContext | null {
    const {bundles, headerNames, loadMeter} = this.dependencies;
    const {headers} = exchange.request;
    const serviceName = bundles.nextService(route);
    const service = serviceName === null ? null : bundles.service(serviceName);
    if (serviceName === null || service === null) {
      exchange.refuse('no-service', null);
      return null;
    }
    let key: number | null = null;
    if (service.isKeyed) {
      key = parseKey(singleHeader(headers, headerNames.key));
      if (key === null) {
        exchange.reject(400, 'invalid-key');
        return null;
      }
      loadMeter.recordArrival(serviceName, route.kind, key);
    }
    const callerTimeoutMs = parseCount(
      singleHeader(headers, headerNames.deadline),
    );
    const timeoutMs = Math.min(callerTimeoutMs ?? Infinity, route.timeoutMs);
    exchange.route = route;
    exchange.service = serviceName;
    return {
      exchange,
      route,
      serviceName,
      key,
      deadlineAtMs: exchange.startedAtMs + timeoutMs,
      triedServers: new Set(),
      sendCount: 0,
      lastAttempt: null,
    };
  }

  async #serve(context: RequestContext): Promise<void> {
    const {clock, bundles, serverSelector, owners, loadMeter, crashes} =
      this.dependencies;
    const {stopSchedule} = this.dependencies;
    const {exchange, route, serviceName, key, deadlineAtMs} = context;
    const isUrgent = this.#isUrgent(route);
    if (
      crashes.isRefused(() => fingerprintFields(context), clock.monotonicMs())
    ) {
      return exchange.refuse('crashes-servers', null);
    }
    for (;;) {
      if (exchange.isCallerGone) return exchange.abandon('caller-gone');
      const nowMs = clock.monotonicMs();
      const remainingMs = stopSchedule.remainingMs(deadlineAtMs, nowMs);
      const isLimitedByStop = stopSchedule.limits(deadlineAtMs);
      const service = bundles.service(serviceName);
      if (service === null) return exchange.refuse('no-service', null);
      if (remainingMs < MIN_REMAINING_MS) {
        return isLimitedByStop
          ? exchange.refuse('stopping', NOT_RUN_RETRY_MS)
          : exchange.refuse('too-late', null);
      }
      const selection = serverSelector.choose(
        {
          service,
          key,
          isUrgent,
          bodyBytes: exchange.bodyBytes,
          workMs: loadMeter.workMs(serviceName, route.kind),
          remainingMs,
          isLimitedByStop,
          triedServers: context.triedServers,
        },
        nowMs,
      );
      if (selection.kind === 'refuse') {
        const {cause, retryAfterMs, decisionFields} = selection;
        return exchange.refuse(cause, retryAfterMs, decisionFields);
      }
      if (selection.kind === 'wait') {
        await owners.nextChange(selection.waitMs);
        const waitedMs = clock.monotonicMs() - nowMs;
        if (waitedMs < selection.waitMs) continue;
        return exchange.refuse('moving', selection.waitMs / 2);
      }
      const outcome = await this.#send(context, selection, remainingMs);
      if (!(await this.#settleOrRetry(context, selection.server.id, outcome)))
        return;
    }
  }

  async #send(
    context: RequestContext,
    {
      server,
      pooled,
    }: Extract<ReturnType<ServerSelector['choose']>, {kind: 'server'}>,
    remainingMs: number,
  ): Promise<AttemptOutcome> {
    const {headerNames, clock, loadMeter, crashes, shareCrashes} =
      this.dependencies;
    const {reportLeaving} = this.dependencies;
    const {exchange, route, serviceName} = context;
    const {request} = exchange;
    const startedAtMs = clock.monotonicMs();
    const {load} = pooled;
    if (context.sendCount === 0) {
      this.budgets.forService(serviceName).recordRequest(startedAtMs);
    }
    context.sendCount += 1;
    load.inFlight += 1;
    const attempt = new Attempt(
      pooled.pool,
      {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: requestHeaders(request, headerNames, server.id, remainingMs),
        body: exchange.consumeBody(),
        id: singleHeader(request.headers, headerNames.requestId),
        timeoutMs: remainingMs,
      },
      headerNames,
      exchange,
      () => reportLeaving(server),
      () => !this.dependencies.serverSelector.isWithdrawn(server.id),
    );
    context.lastAttempt = attempt;
    this.#runningAttempts.set(attempt, server.id);
    exchange.onCallerGone = () => {
      // A request that is not safe to repeat runs to its end once it is sent.
      if (isIdempotent(route.kind) || !attempt.isSent) {
        attempt.cancel('caller-gone');
      }
    };
    const outcome = await attempt.outcome;
    this.#runningAttempts.delete(attempt);
    exchange.onCallerGone = null;
    load.inFlight -= 1;
    exchange.recordAttempt(server.id, outcome);
    const nowMs = clock.monotonicMs();
    const tookMs = nowMs - startedAtMs;
    if (outcome.kind === 'answered' || outcome.kind === 'streamed') {
      // Only a request that did not wait for a slot measures the run time.
      if (load.answered(outcome.load, tookMs, nowMs)) {
        loadMeter.recordRun(serviceName, route.kind, server.id, tookMs);
      }
      const clearingRecord = crashes.answered(() => fingerprintFields(context));
      if (clearingRecord !== null) shareCrashes([clearingRecord]);
    } else if (outcome.kind === 'not-run') {
      if (outcome.cause === 'not-sent') load.failed(nowMs);
      else if (outcome.load !== null) load.reported(outcome.load, nowMs);
      if (outcome.pauseMs !== null) load.pause.start(outcome.pauseMs, nowMs);
    } else if (outcome.cause === 'timeout') {
      load.failed(nowMs);
    } else if (outcome.cause === 'connection-lost') {
      load.connectionLost(tookMs, nowMs);
      crashes.recordLostRequest(server, fingerprintFields(context), nowMs);
    }
    return outcome;
  }

  /** Answers the caller, or returns true to retry the request. */
  async #settleOrRetry(
    context: RequestContext,
    server: string,
    outcome: AttemptOutcome,
  ): Promise<boolean> {
    const {exchange, route} = context;
    switch (outcome.kind) {
      case 'streamed':
        exchange.logStreamedAnswer();
        return false;
      case 'answered':
        if (
          outcome.status >= 500 &&
          isIdempotent(route.kind) &&
          this.#mayRetry(context)
        ) {
          context.triedServers.add(server);
          exchange.fallbackAnswer = outcome;
          return true;
        }
        exchange.sendAnswer(outcome);
        return false;
      case 'not-run':
        return await this.#settleOrRetryNotRun(context, server, outcome.cause);
      case 'unknown':
        if (outcome.cause === 'caller-gone') {
          exchange.abandon('caller-gone');
          return false;
        }
        if (outcome.cause === 'timeout') {
          exchange.fail(504, outcome.cause);
          return false;
        }
        if (isIdempotent(route.kind) && this.#mayRetry(context)) {
          context.triedServers.add(server);
          // Only the owner of a key can run the request, and it may be full.
          if (context.key !== null) await this.#waitBeforeResending(context);
          return true;
        }
        exchange.fail(502, outcome.cause);
        return false;
    }
  }

  /** Waits for room at the server that lost the request, or for another owner. */
  async #waitBeforeResending({
    route,
    deadlineAtMs,
  }: RequestContext): Promise<void> {
    const {owners, clock, stopSchedule} = this.dependencies;
    const remainingMs = stopSchedule.remainingMs(
      deadlineAtMs,
      clock.monotonicMs(),
    );
    const waitMs = Math.min(route.objectiveMs, remainingMs) * RESEND_WAIT_RATIO;
    await owners.nextChange(waitMs);
  }

  /** Answers a request that did not run, or returns true to retry it. */
  async #settleOrRetryNotRun(
    context: RequestContext,
    server: string,
    cause: Extract<AttemptOutcome, {kind: 'not-run'}>['cause'],
  ): Promise<boolean> {
    const {owners} = this.dependencies;
    const {exchange} = context;
    if (cause === 'invalid') {
      exchange.reject(400, 'refused-by-server');
      return false;
    }
    context.triedServers.add(server);
    // A request that was never sent counts neither as an attempt nor against the
    // retry budget.
    const wasNeverSent = cause === 'not-sent' || cause === 'withdrawn';
    if (wasNeverSent) context.sendCount -= 1;
    if (!exchange.canSendAgain || !(wasNeverSent || this.#mayRetry(context))) {
      exchange.refuse(cause, NOT_RUN_RETRY_MS);
      return false;
    }
    // Keys of a server that is withdrawn get another owner.
    if (context.key === null || cause === 'withdrawn') return true;
    context.lastAttempt?.closeConnection();
    if (cause === 'misdirected') {
      const range = owners.find(context.serviceName, context.key);
      if (range?.server === server && !range.moving) {
        await owners.nextChange(OWNER_CHANGE_WAIT_MS);
        const currentRange = owners.find(context.serviceName, context.key);
        if (currentRange?.server === server && !currentRange.moving) {
          exchange.refuse('misdirected', OWNER_CHANGE_WAIT_MS);
          return false;
        }
      }
      return true;
    }
    if (wasNeverSent) {
      // Only the owner of the key may run the request, and it was not reached.
      exchange.refuse('not-sent', OWNER_CHANGE_WAIT_MS);
      return false;
    }
    await owners.nextChange(NOT_RUN_RETRY_MS);
    return true;
  }

  #mayRetry(context: RequestContext): boolean {
    const {clock, stopSchedule} = this.dependencies;
    if (!context.exchange.canSendAgain || context.exchange.isCallerGone)
      return false;
    if (context.sendCount >= context.route.maxAttempts) return false;
    const nowMs = clock.monotonicMs();
    const remainingMs = stopSchedule.remainingMs(context.deadlineAtMs, nowMs);
    if (remainingMs < MIN_REMAINING_MS) return false;
    return this.budgets.forService(context.serviceName).tryRetry(nowMs);
  }

  /**
   * Whether a request of the route may not be repeated or has priority 0.
   */
  #isUrgent(route: GatewayRoute): boolean {
    return !isIdempotent(route.kind) || route.priority === 0;
  }
}

/**
 * Properties that a request shares with its retries. The gateway reads no
 * idempotency key from the request; instead, the address of the caller
 * distinguishes equal requests of different callers.
 */
function fingerprintFields({
  exchange,
  serviceName,
  key,
}: RequestContext): FingerprintFields {
  const {method = '', url = ''} = exchange.request;
  return {
    idempotencyKey: null,
    service: serviceName,
    key: `${key ?? ''} ${exchange.socket.remoteAddress ?? ''}`,
    method,
    path: url,
    lengthBytes: exchange.bodyBytes,
  };
}
