/** Routes callers' requests and retries them within the rules. */
import type {
  CallerAnswer,
  CallerHandler,
  CallerRequest,
} from '@wisteriarun/caller';
import {
  CALLER_SKEW_MS,
  REASONS,
  RetryBudget,
  methodClass,
  requestFailure,
  retryDelayMs,
  uuidV7TimeMs,
  type Reason,
  type RequestFailure,
  type Service,
} from '@wisteriarun/core';
import type {RelayClient, RelayHandler, RelayResult} from '@wisteriarun/peer';
import {BodyTooLargeError, ReplayBody} from './replay-body.js';
import {
  NO_METER,
  type Clock,
  type DispatcherAddress,
  type EntryMeter,
  type RouteSource,
} from './types.js';

/** Longest wait for a table change before routing is tried again. */
const TABLE_WAIT_MS = 100;
/** Time in which a lost server's or dispatcher's successor is expected. */
const REROUTE_WAIT_MS = 3_000;

/** Reasons that show that a shard has no owner that serves it. */
const UNSERVED: ReadonlySet<Reason> = new Set<Reason>([
  'no-owner',
  'no-dispatcher',
  'dispatcher-unreachable',
  'wrong-dispatcher',
  'shard-moving',
  'server-unreachable',
  'server-draining',
  'batch-left',
  'stale-epoch',
  'stale-fence',
  'lease-expired',
  'no-permission',
]);

/** Parts that the entry role uses. */
export interface EntryHandlerOptions {
  readonly routes: RouteSource;
  readonly clock: Clock;
  /** Dispatcher role of this VM. */
  readonly local: RelayHandler;
  readonly relay: RelayClient;
  /** @returns Random number in [0, 1). */
  readonly random: () => number;
  readonly meter?: EntryMeter;
}

/** A caller's request on its way, with what earlier tries left behind. */
interface Trip {
  readonly request: CallerRequest;
  readonly body: ReplayBody;
  readonly deadlineMs: number;
  readonly repeatable: boolean;
  crashCount: number;
  /** Set once a try may have run. */
  doubt: RequestFailure | null;
  /** Latest refusal after which another route may help. */
  refusal: RequestFailure | null;
}

type Answered = Extract<RelayResult, {kind: 'answered'}>;

interface Target {
  readonly server: string;
  readonly shard: number;
  readonly epoch: number;
  readonly dispatcher: DispatcherAddress;
}

/** Entry role: finds the dispatcher of a request and returns its outcome. */
export class EntryHandler implements CallerHandler {
  private readonly budget = new RetryBudget();
  private readonly meter: EntryMeter;

  /**
   * @param options - Parts to use.
   */
  constructor(private readonly options: EntryHandlerOptions) {
    this.meter = options.meter ?? NO_METER;
  }

  /**
   * Executes a caller's request.
   *
   * @param request - The request.
   * @returns The answer or the failure.
   */
  async handle(request: CallerRequest): Promise<CallerAnswer | RequestFailure> {
    const {clock, routes} = this.options;
    const startMs = clock.monotonicMs();
    const service = routes.service(request.service);
    const result = await this.execute(request, service, startMs);
    const id = service?.id ?? null;
    const durationMs = clock.monotonicMs() - startMs;
    if (result.kind === 'answered') {
      this.meter.ended(id, null, durationMs, result.serverMs ?? null);
    } else {
      this.meter.ended(id, result.reason, durationMs, null);
    }
    return result;
  }

  private async execute(
    request: CallerRequest,
    service: Service | null,
    startMs: number,
  ): Promise<Answered | RequestFailure> {
    const {clock, routes} = this.options;
    if (!routes.hasBundle()) return requestFailure('no-bundle');
    if (!service) return requestFailure('unknown-service');
    const repeatable = methodClass(request.method) === 'idempotent';
    const refusal = repeatable ? null : this.checkKey(request);
    if (refusal) return refusal;
    const timeoutMs = Math.min(request.timeoutMs, service.longestDeadlineMs);
    const deadlineMs = startMs + timeoutMs;
    const body = await this.readBody(request, service, timeoutMs);
    if ('kind' in body) return body;
    this.budget.recordRequest(clock.monotonicMs());
    const trip: Trip = {
      request,
      body,
      deadlineMs,
      repeatable,
      crashCount: 0,
      doubt: null,
      refusal: null,
    };
    return this.travel(trip);
  }

  private checkKey(request: CallerRequest): RequestFailure | null {
    if (request.idempotencyKey === null) {
      return requestFailure('idempotency-key-required');
    }
    const createdMs = uuidV7TimeMs(request.idempotencyKey);
    const latestMs = this.options.clock.wallMs() + CALLER_SKEW_MS;
    return createdMs === null || createdMs > latestMs
      ? requestFailure('idempotency-key-invalid')
      : null;
  }

  private async readBody(
    request: CallerRequest,
    service: Service,
    timeoutMs: number,
  ): Promise<ReplayBody | RequestFailure> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<RequestFailure>(resolve => {
      timer = setTimeout(
        () => resolve(requestFailure('deadline-expired')),
        timeoutMs,
      );
    });
    const read = ReplayBody.read(
      request.body,
      request.lengthBytes,
      service.maxBodyBytes,
    ).catch((error: unknown) =>
      requestFailure(
        error instanceof BodyTooLargeError ? 'body-too-large' : 'caller-gone',
      ),
    );
    const result = await Promise.race([read, late]);
    clearTimeout(timer);
    return result;
  }

  private async travel(trip: Trip): Promise<Answered | RequestFailure> {
    const {service} = trip.request;
    for (let attempt = 1; ; attempt++) {
      const target = this.findTarget(trip);
      const leftMs = this.remainingMs(trip);
      const result = isTarget(target)
        ? await this.send(trip, target)
        : failedWith(target);
      if (result.kind === 'answered') {
        if (isTarget(target)) this.meter.served(service, target.shard);
        return result;
      }
      const failure = explain(result.failure, trip.refusal, leftMs);
      if (UNSERVED.has(failure.reason)) this.noteUnserved(trip);
      trip.crashCount = Math.max(trip.crashCount, result.crashCount);
      if (REASONS[failure.reason].outcome === 'unknown') trip.doubt ??= failure;
      else if (REASONS[failure.reason].reroute) trip.refusal = failure;
      if (!this.mayRetry(trip, failure.reason)) {
        return this.conclude(trip, failure);
      }
      await sleep(this.boundedMs(trip, retryDelayMs(attempt, this.random())));
      const again = await this.awaitTry(trip, target, failure.reason);
      if (trip.request.gone.aborted) {
        return this.conclude(trip, requestFailure('caller-gone'));
      }
      if (!again) {
        if (UNSERVED.has(failure.reason)) this.noteUnserved(trip);
        return this.conclude(trip, failure);
      }
    }
  }

  private noteUnserved({request: {service, key}}: Trip): void {
    const route = this.options.routes.route(service, key);
    if (route) this.meter.unserved(service, route.shard);
  }

  /**
   * Waits until another try is allowed. A try at a new target costs no budget,
   * because table changes are few; one at the same target does.
   */
  private async awaitTry(
    trip: Trip,
    former: Target | Reason,
    reason: Reason,
  ): Promise<boolean> {
    const {clock, routes} = this.options;
    const {reroute} = REASONS[reason];
    const endMs = isTarget(former)
      ? Math.min(trip.deadlineMs, clock.monotonicMs() + REROUTE_WAIT_MS)
      : trip.deadlineMs;
    for (;;) {
      if (this.remainingMs(trip) <= 0 || trip.request.gone.aborted)
        return false;
      const next = this.findTarget(trip);
      if (isTarget(next)) {
        if (!isTarget(former) || !isSameTarget(former, next)) return true;
        if (this.budget.tryRetry(clock.monotonicMs())) return true;
      }
      const leftMs = endMs - clock.monotonicMs();
      if (!reroute || leftMs <= 0) return false;
      await routes.whenChanged(Math.min(TABLE_WAIT_MS, leftMs));
    }
  }

  private findTarget(trip: Trip): Target | Reason {
    const {routes} = this.options;
    const {service, key} = trip.request;
    const route = routes.route(service, key);
    if (!route?.server) return 'no-owner';
    const dispatcher = routes.dispatcherOf(route.server);
    if (!dispatcher) return 'no-dispatcher';
    const {server, shard, epoch} = route;
    return {server, shard, epoch, dispatcher};
  }

  private send(trip: Trip, target: Target): Promise<RelayResult> {
    const {request, body} = trip;
    const {server, shard, epoch, dispatcher} = target;
    const {local, relay} = this.options;
    const forwarded = {
      id: request.id,
      method: request.method,
      path: request.path,
      headers: request.headers,
      service: request.service,
      key: request.key,
      server,
      shard,
      epoch,
      fence: dispatcher.fence,
      idempotencyKey: request.idempotencyKey,
      remainingMs: Math.max(0, this.remainingMs(trip)),
      crashCount: trip.crashCount,
      lengthBytes: body.lengthBytes,
      body: body.open(),
      signal: request.gone,
    };
    if (dispatcher.isSelf) return local.dispatch(forwarded);
    const {relayHost: host, relayPort: port} = dispatcher;
    return relay.send({host, port}, forwarded);
  }

  private mayRetry(trip: Trip, reason: Reason): boolean {
    const info = REASONS[reason];
    if (this.remainingMs(trip) <= 0 || trip.request.gone.aborted) return false;
    if (!trip.body.replayable) return false;
    return info.outcome === 'not-run'
      ? info.reroute
      : trip.repeatable && reason !== 'answer-timeout';
  }

  /** A try that may have run outweighs a later proof of another try. */
  private conclude(trip: Trip, failure: RequestFailure): RequestFailure {
    if (trip.body.tooLarge && !trip.doubt) {
      return REASONS[failure.reason].outcome === 'not-run'
        ? requestFailure('body-too-large')
        : failure;
    }
    return trip.doubt ?? failure;
  }

  private boundedMs(trip: Trip, delayMs: number): number {
    return Math.min(delayMs, Math.max(0, this.remainingMs(trip)));
  }

  private random(): number {
    return this.options.random();
  }

  private remainingMs(trip: Trip): number {
    return trip.deadlineMs - this.options.clock.monotonicMs();
  }
}

/**
 * A last try with little time left fails for lack of time, but the refusal
 * before it is why the time has run out.
 */
function explain(
  failure: RequestFailure,
  refusal: RequestFailure | null,
  leftMs: number,
): RequestFailure {
  const isLate =
    failure.reason === 'deadline-expired' ||
    failure.reason === 'deadline-unreachable';
  return isLate && refusal && leftMs < TABLE_WAIT_MS ? refusal : failure;
}

function isTarget(target: Target | Reason): target is Target {
  return typeof target !== 'string';
}

function isSameTarget(a: Target, b: Target): boolean {
  const {fence: x} = a.dispatcher;
  const {fence: y} = b.dispatcher;
  return (
    a.server === b.server &&
    a.epoch === b.epoch &&
    a.dispatcher.vm === b.dispatcher.vm &&
    x.term === y.term &&
    x.seq === y.seq
  );
}

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

function failedWith(reason: Reason): RelayResult {
  return {kind: 'failed', failure: requestFailure(reason), crashCount: 0};
}
