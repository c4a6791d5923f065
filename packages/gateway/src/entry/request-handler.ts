/** Serves the requests of callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseCount, RetryBudget, singleHeader} from '@wisteriarun/core';
import type {
  CrashRecord,
  FingerprintParts,
  GatewayHeaders,
  GatewayRoute,
} from '@wisteriarun/core';
import {pendingEvents} from '@wisteriarun/runtime';
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
import type {ServerChoice} from './server-choice.js';

/** Below this rest no server can answer in time. */
const MIN_REMAINING_MS = 5;
/** Wait for another owner after a server refused a key. */
const OWNER_CHANGE_WAIT_MS = 200;
/** Pause before a server that was full is asked again. */
const FULL_RETRY_MS = 25;

/** Parts that the handler works with. */
export interface HandlerParts {
  readonly bundles: BundleHolder;
  readonly owners: OwnerView;
  readonly choice: ServerChoice;
  readonly loads: LoadMeter;
  readonly meter: RequestMeter;
  readonly names: GatewayHeaders;
  readonly stalls: StallWatch;
  readonly clock: Clock;
  readonly log: RequestLog;
  readonly crashes: CrashWatch;
  /** Tells the other VMs about requests that crashed servers. */
  shareCrashes(records: readonly CrashRecord[]): void;
}

/** Budgets of repeated requests, by service. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();
  #limits = {ratio: 0, floor: 0};

  /**
   * Sets this VM's share of the common budget.
   *
   * @param ratio - Repeated requests as a share of first ones.
   * @param floor - Repeated requests besides.
   */
  setLimits(ratio: number, floor: number): void {
    this.#limits = {ratio, floor};
    for (const budget of this.#budgets.values()) budget.setLimits(this.#limits);
  }

  /**
   * Finds the budget of a service.
   *
   * @param service - Name of the service.
   * @returns Its budget.
   */
  of(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.#limits);
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}

/** What one request needs on its way. */
interface Job {
  readonly exchange: Exchange;
  readonly route: GatewayRoute;
  readonly serviceName: string;
  readonly key: number | null;
  readonly deadlineAtMs: number;
  readonly tried: Set<string>;
  sends: number;
}

/** Sends requests to servers and answers callers. */
export class RequestHandler {
  readonly budgets = new RetryBudgets();

  /**
   * @param parts - Parts that the handler works with.
   */
  constructor(private readonly parts: HandlerParts) {}

  /**
   * Serves one request.
   *
   * @param request - Request of a caller.
   * @param response - Its answer.
   * @returns Resolves when the request is settled.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {bundles, owners, names, clock, log, meter, stalls} = this.parts;
    const exchange = new Exchange(request, response, names, {
      startedAtMs: clock.monotonicMs(),
      unreadMs: stalls.unhandledMs,
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
    if (await this.#isAbandoned(exchange)) return;
    const job = this.#admit(exchange, route);
    if (job === null) return;
    const {maxBodyBytes} = bundles.bundle.limits;
    const body = await readBody(request, maxBodyBytes);
    if (body.kind === 'too-large') {
      exchange.reject(413, 'body-too-large');
    } else if (body.kind === 'gone') {
      exchange.abandon('caller-gone');
    } else {
      exchange.body = body;
      // The end of a body may be read long after its head.
      if (await this.#isAbandoned(exchange)) return;
      await this.#serve(job);
    }
  }

  /** After a stall, callers that have left are known only turns later. */
  async #isAbandoned(exchange: Exchange): Promise<boolean> {
    if (this.parts.stalls.isStalled) await pendingEvents();
    if (!exchange.isGone) return false;
    exchange.abandon('caller-gone');
    return true;
  }

  /** Checks what the request states about itself. */
  #admit(exchange: Exchange, route: GatewayRoute): Job | null {
    const {bundles, names, loads} = this.parts;
    const {headers} = exchange.request;
    const serviceName = bundles.nextService(route);
    const service = serviceName === null ? null : bundles.service(serviceName);
    if (serviceName === null || service === null) {
      exchange.refuse('no-service', null);
      return null;
    }
    let key: number | null = null;
    if (service.isKeyed) {
      key = parseKey(singleHeader(headers, names.key));
      if (key === null) {
        exchange.reject(400, 'invalid-key');
        return null;
      }
      loads.arrived(serviceName, route.kind, key);
    }
    const statedMs = parseCount(singleHeader(headers, names.deadline));
    const waitMs = Math.min(statedMs ?? Infinity, route.timeoutMs);
    exchange.route = route;
    exchange.service = serviceName;
    return {
      exchange,
      route,
      serviceName,
      key,
      deadlineAtMs: exchange.startedAtMs + waitMs,
      tried: new Set(),
      sends: 0,
    };
  }

  async #serve(job: Job): Promise<void> {
    const {clock, bundles, choice, owners, loads, crashes} = this.parts;
    const {exchange, route, serviceName, key} = job;
    const isUrgent = this.#isUrgent(route);
    if (crashes.isRefused(() => crashParts(job), clock.monotonicMs())) {
      return exchange.refuse('crashes-servers', null);
    }
    for (;;) {
      if (exchange.isGone) return exchange.abandon('caller-gone');
      const nowMs = clock.monotonicMs();
      const remainingMs = job.deadlineAtMs - nowMs;
      const service = bundles.service(serviceName);
      if (service === null) return exchange.refuse('no-service', null);
      if (remainingMs < MIN_REMAINING_MS) {
        return exchange.refuse('too-late', null);
      }
      const chosen = choice.choose(
        {
          service,
          key,
          isUrgent,
          bodyBytes: exchange.bodyBytes,
          workMs: loads.workMs(serviceName, route.kind),
          remainingMs,
          tried: job.tried,
        },
        nowMs,
      );
      if (chosen.kind === 'refuse') {
        const {cause, retryAfterMs, inputs} = chosen;
        return exchange.refuse(cause, retryAfterMs, inputs);
      }
      if (chosen.kind === 'wait') {
        await owners.nextChange(chosen.waitMs);
        const waitedMs = clock.monotonicMs() - nowMs;
        if (waitedMs < chosen.waitMs) continue;
        return exchange.refuse('moving', chosen.waitMs / 2);
      }
      const outcome = await this.#send(job, chosen, remainingMs);
      if (!(await this.#goesOn(job, chosen.server.id, outcome))) return;
    }
  }

  async #send(
    job: Job,
    {
      server,
      pooled,
    }: Extract<ReturnType<ServerChoice['choose']>, {kind: 'server'}>,
    remainingMs: number,
  ): Promise<AttemptOutcome> {
    const {names, clock, loads, crashes, shareCrashes} = this.parts;
    const {exchange, route, serviceName} = job;
    const {request} = exchange;
    const startedAtMs = clock.monotonicMs();
    const {load} = pooled;
    if (job.sends === 0) {
      this.budgets.of(serviceName).recordRequest(startedAtMs);
    }
    job.sends += 1;
    load.inFlight += 1;
    const attempt = new Attempt(
      pooled.pool,
      {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: requestHeaders(request, names, server.id, remainingMs),
        body: exchange.bodyToSend(),
        id: singleHeader(request.headers, names.requestId),
        timeoutMs: remainingMs,
      },
      names,
      exchange,
    );
    exchange.onGone = () => {
      // Work that may not be repeated is left to end.
      if (route.kind === 'safe' || !attempt.isSent) {
        attempt.cancel('caller-gone');
      }
    };
    const outcome = await attempt.outcome;
    exchange.onGone = null;
    load.inFlight -= 1;
    exchange.triedServer(server.id, outcome);
    const nowMs = clock.monotonicMs();
    const tookMs = nowMs - startedAtMs;
    if (outcome.kind === 'answered' || outcome.kind === 'streamed') {
      if (load.answered(outcome.load, tookMs, nowMs)) {
        loads.ran(serviceName, route.kind, server.id, tookMs);
      }
      const cleared = crashes.answered(() => crashParts(job));
      if (cleared !== null) shareCrashes([cleared]);
    } else if (outcome.kind === 'not-run') {
      if (outcome.cause === 'not-sent') load.failed(nowMs);
      else if (outcome.load !== null) load.reported(outcome.load, nowMs);
    } else if (outcome.cause === 'timeout') {
      load.failed(nowMs);
    } else if (outcome.cause === 'connection-lost') {
      crashes.lost(server, crashParts(job), nowMs);
    }
    return outcome;
  }

  /** Settles the request, or decides that another attempt is made. */
  async #goesOn(
    job: Job,
    server: string,
    outcome: AttemptOutcome,
  ): Promise<boolean> {
    const {exchange, route} = job;
    switch (outcome.kind) {
      case 'streamed':
        exchange.finished();
        return false;
      case 'answered':
        if (
          outcome.status >= 500 &&
          route.kind === 'safe' &&
          this.#mayRepeat(job)
        ) {
          job.tried.add(server);
          exchange.fallback = outcome;
          return true;
        }
        exchange.answer(outcome);
        return false;
      case 'not-run':
        return await this.#afterRefusal(job, server, outcome.cause);
      case 'unknown':
        if (outcome.cause === 'caller-gone') {
          exchange.abandon('caller-gone');
          return false;
        }
        if (outcome.cause === 'timeout') {
          exchange.fail(504, outcome.cause);
          return false;
        }
        if (route.kind === 'safe' && this.#mayRepeat(job)) {
          job.tried.add(server);
          return true;
        }
        exchange.fail(502, outcome.cause);
        return false;
    }
  }

  async #afterRefusal(
    job: Job,
    server: string,
    cause: Extract<AttemptOutcome, {kind: 'not-run'}>['cause'],
  ): Promise<boolean> {
    const {owners} = this.parts;
    const {exchange} = job;
    if (cause === 'invalid') {
      exchange.reject(400, 'refused-by-server');
      return false;
    }
    job.tried.add(server);
    // A request that was never sent is no repetition when it is sent again.
    const isFree = cause === 'not-sent';
    if (isFree) job.sends -= 1;
    if (!exchange.canSendAgain || !(isFree || this.#mayRepeat(job))) {
      exchange.refuse(cause, FULL_RETRY_MS);
      return false;
    }
    if (job.key === null) return true;
    if (cause === 'misdirected') {
      const range = owners.find(job.serviceName, job.key);
      if (range?.server === server && !range.moving) {
        await owners.nextChange(OWNER_CHANGE_WAIT_MS);
        const after = owners.find(job.serviceName, job.key);
        if (after?.server === server && !after.moving) {
          exchange.refuse('misdirected', OWNER_CHANGE_WAIT_MS);
          return false;
        }
      }
      return true;
    }
    if (isFree) {
      exchange.refuse('not-sent', OWNER_CHANGE_WAIT_MS);
      return false;
    }
    await owners.nextChange(FULL_RETRY_MS);
    return true;
  }

  #mayRepeat(job: Job): boolean {
    const {clock} = this.parts;
    if (!job.exchange.canSendAgain || job.exchange.isGone) return false;
    if (job.sends >= job.route.maxAttempts) return false;
    const nowMs = clock.monotonicMs();
    if (job.deadlineAtMs - nowMs < MIN_REMAINING_MS) return false;
    return this.budgets.of(job.serviceName).tryRetry(nowMs);
  }

  #isUrgent(route: GatewayRoute): boolean {
    return route.kind !== 'safe' || route.priority === 0;
  }
}

/** What a repetition of a request by its caller has in common with it. */
function crashParts({exchange, serviceName, key}: Job): FingerprintParts {
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
