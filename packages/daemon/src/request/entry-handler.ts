/** Entry role of this VM: routes callers' requests and retries failed tries. */
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
  uuidV7WallMs,
  type Reason,
  type RequestFailure,
  type Service,
} from '@wisteriarun/core';
import type {RelayClient, RelayHandler, RelayResult} from '@wisteriarun/peer';
import {BodyTooLargeError, ReplayBody} from './replay-body.js';
import {
  NOOP_METER,
  type Clock,
  type DispatcherAddress,
  type EntryMeter,
  type RouteSource,
} from './types.js';

/**
 * Longest wait for a route change before the route is looked up again. If a try
 * began with less time left than this and fails at the deadline, the refusal
 * before it is returned instead.
 */
const ROUTE_CHANGE_WAIT_MS = 100;
/** Time within which a lost server or dispatcher is expected to be replaced. */
const REROUTE_WAIT_MS = 3_000;

/** Reasons that mean that no owner was serving the shard. */
const UNSERVED_REASONS: ReadonlySet<Reason> = new Set<Reason>([
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

/** Dependencies of the entry role. */
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

/** State of a caller's request across its tries. */
interface CallState {
  readonly request: CallerRequest;
  readonly body: ReplayBody;
  /** Monotonic time at which the caller's timeout expires. */
  readonly deadlineMs: number;
  /** Whether the method is idempotent: a try that may have run is repeated. */
  readonly isIdempotent: boolean;
  /** Largest number of server crashes that a failed try has reported. */
  crashCount: number;
  /** First failure after which the request may have run; null before one. */
  unknownFailure: RequestFailure | null;
  /** Latest refusal that a try on another route may avoid. */
  lastRefusal: RequestFailure | null;
}

type Answered = Extract<RelayResult, {kind: 'answered'}>;

/** Where a try is sent: the owner of the shard and the owner's dispatcher. */
interface Target {
  readonly server: string;
  readonly shard: number;
  readonly epoch: number;
  readonly dispatcher: DispatcherAddress;
}

/** Sends each caller's request to its dispatcher and returns the outcome. */
export class EntryHandler implements CallerHandler {
  private readonly retryBudget = new RetryBudget();
  private readonly meter: EntryMeter;

  /**
   * @param options - Dependencies.
   */
  constructor(private readonly options: EntryHandlerOptions) {
    this.meter = options.meter ?? NOOP_METER;
  }

  /**
   * Executes a caller's request.
   *
   * @param request - The request.
   * @returns The answer, or the failure after the last try.
   */
  async handle(request: CallerRequest): Promise<CallerAnswer | RequestFailure> {
    const {clock, routes} = this.options;
    const startMs = clock.monotonicMs();
    const service = routes.service(request.service);
    const result = await this.execute(request, service, startMs);
    const id = service?.id ?? null;
    const durationMs = clock.monotonicMs() - startMs;
    if (result.kind === 'answered') {
      this.meter.recordRequest(id, null, durationMs, result.serverMs ?? null);
    } else {
      this.meter.recordRequest(id, result.reason, durationMs, null);
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
    const isIdempotent = methodClass(request.method) === 'idempotent';
    const refusal = isIdempotent ? null : this.checkIdempotencyKey(request);
    if (refusal) return refusal;
    const timeoutMs = Math.min(request.timeoutMs, service.longestDeadlineMs);
    const deadlineMs = startMs + timeoutMs;
    const body = await this.readBody(request, service, timeoutMs);
    if ('kind' in body) return body;
    this.retryBudget.recordRequest(clock.monotonicMs());
    const call: CallState = {
      request,
      body,
      deadlineMs,
      isIdempotent,
      crashCount: 0,
      unknownFailure: null,
      lastRefusal: null,
    };
    return this.sendWithRetries(call);
  }

  private checkIdempotencyKey(request: CallerRequest): RequestFailure | null {
    if (request.idempotencyKey === null) {
      return requestFailure('idempotency-key-required');
    }
    const createdWallMs = uuidV7WallMs(request.idempotencyKey);
    const latestWallMs = this.options.clock.wallMs() + CALLER_SKEW_MS;
    return createdWallMs === null || createdWallMs > latestWallMs
      ? requestFailure('idempotency-key-invalid')
      : null;
  }

  private async readBody(
    request: CallerRequest,
    service: Service,
    timeoutMs: number,
  ): Promise<ReplayBody | RequestFailure> {
    let timer: NodeJS.Timeout | undefined;
    const expired = new Promise<RequestFailure>(resolve => {
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
    const result = await Promise.race([read, expired]);
    clearTimeout(timer);
    return result;
  }

  private async sendWithRetries(
    call: CallState,
  ): Promise<Answered | RequestFailure> {
    const {service} = call.request;
    for (let tryNumber = 1; ; tryNumber++) {
      const target = this.findTarget(call);
      const leftMs = this.remainingMs(call);
      const result = isTarget(target)
        ? await this.send(call, target)
        : failedWith(target);
      if (result.kind === 'answered') {
        if (isTarget(target)) this.meter.recordServed(service, target.shard);
        return result;
      }
      const failure = underlyingFailure(
        result.failure,
        call.lastRefusal,
        leftMs,
      );
      if (UNSERVED_REASONS.has(failure.reason)) this.countUnserved(call);
      call.crashCount = Math.max(call.crashCount, result.crashCount);
      if (REASONS[failure.reason].outcome === 'unknown')
        call.unknownFailure ??= failure;
      else if (REASONS[failure.reason].mayReroute) call.lastRefusal = failure;
      if (!this.mayRetry(call, failure.reason)) {
        return this.finalFailure(call, failure);
      }
      await sleep(
        this.clampToDeadlineMs(call, retryDelayMs(tryNumber, this.random())),
      );
      const retryAllowed = await this.waitForRetry(
        call,
        target,
        failure.reason,
      );
      if (call.request.gone.aborted) {
        return this.finalFailure(call, requestFailure('caller-gone'));
      }
      if (!retryAllowed) {
        // Extends the shard's unavailable time to the end of the wait.
        if (UNSERVED_REASONS.has(failure.reason)) this.countUnserved(call);
        return this.finalFailure(call, failure);
      }
    }
  }

  /** Counts a failed try toward the unavailable time of the key's shard. */
  private countUnserved({request: {service, key}}: CallState): void {
    const route = this.options.routes.route(service, key);
    if (route) this.meter.recordUnserved(service, route.shard);
  }

  /**
   * Waits until another try is allowed. A try at the same target takes from the
   * retry budget; a try at a new target does not, because routes change rarely.
   *
   * The wait lasts at most until the deadline, and at most `REROUTE_WAIT_MS` if
   * the previous try had a target. After a failure that a new route cannot
   * avoid, there is no wait. Returns false if no other try is allowed.
   */
  private async waitForRetry(
    call: CallState,
    previous: Target | Reason,
    reason: Reason,
  ): Promise<boolean> {
    const {clock, routes} = this.options;
    const {mayReroute} = REASONS[reason];
    const endMs = isTarget(previous)
      ? Math.min(call.deadlineMs, clock.monotonicMs() + REROUTE_WAIT_MS)
      : call.deadlineMs;
    for (;;) {
      if (this.remainingMs(call) <= 0 || call.request.gone.aborted)
        return false;
      const next = this.findTarget(call);
      if (isTarget(next)) {
        if (!isTarget(previous) || !isSameTarget(previous, next)) return true;
        if (this.retryBudget.tryRetry(clock.monotonicMs())) return true;
      }
      const leftMs = endMs - clock.monotonicMs();
      if (!mayReroute || leftMs <= 0) return false;
      await routes.whenChanged(Math.min(ROUTE_CHANGE_WAIT_MS, leftMs));
    }
  }

  private findTarget(call: CallState): Target | Reason {
    const {routes} = this.options;
    const {service, key} = call.request;
    const route = routes.route(service, key);
    if (!route?.server) return 'no-owner';
    const dispatcher = routes.dispatcherOf(route.server);
    if (!dispatcher) return 'no-dispatcher';
    const {server, shard, epoch} = route;
    return {server, shard, epoch, dispatcher};
  }

  private send(call: CallState, target: Target): Promise<RelayResult> {
    const {request, body} = call;
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
      remainingMs: Math.max(0, this.remainingMs(call)),
      crashCount: call.crashCount,
      lengthBytes: body.lengthBytes,
      body: body.open(),
      signal: request.gone,
    };
    if (dispatcher.isSelf) return local.dispatch(forwarded);
    const {relayHost: host, relayPort: port} = dispatcher;
    return relay.send({host, port}, forwarded);
  }

  private mayRetry(call: CallState, reason: Reason): boolean {
    const info = REASONS[reason];
    if (this.remainingMs(call) <= 0 || call.request.gone.aborted) return false;
    if (!call.body.isReplayable) return false;
    return info.outcome === 'not-run'
      ? info.mayReroute
      : call.isIdempotent && reason !== 'answer-timeout';
  }

  /**
   * Selects the failure to return. When any try may have run, the outcome is
   * unknown, even if a later try is proven not to have run.
   */
  private finalFailure(
    call: CallState,
    failure: RequestFailure,
  ): RequestFailure {
    // A streamed body that exceeds the limit has made its try fail.
    if (call.body.isTooLarge && !call.unknownFailure) {
      return REASONS[failure.reason].outcome === 'not-run'
        ? requestFailure('body-too-large')
        : failure;
    }
    return call.unknownFailure ?? failure;
  }

  private clampToDeadlineMs(call: CallState, delayMs: number): number {
    return Math.min(delayMs, Math.max(0, this.remainingMs(call)));
  }

  private random(): number {
    return this.options.random();
  }

  private remainingMs(call: CallState): number {
    return call.deadlineMs - this.options.clock.monotonicMs();
  }
}

/**
 * Replaces a deadline failure of a try that had little time left by the refusal
 * before it, which is what used the time up.
 */
function underlyingFailure(
  failure: RequestFailure,
  lastRefusal: RequestFailure | null,
  leftMs: number,
): RequestFailure {
  const isOutOfTime =
    failure.reason === 'deadline-expired' ||
    failure.reason === 'deadline-unreachable';
  return isOutOfTime && lastRefusal && leftMs < ROUTE_CHANGE_WAIT_MS
    ? lastRefusal
    : failure;
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
