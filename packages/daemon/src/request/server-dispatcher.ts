/** Dispatcher of one server: the only sender of requests to it. */
import type {BackendClient, BackendResult} from '@wisteriarun/backend';
import {
  CRASH_REFUSE_COUNT,
  DispatchQueue,
  ServerLoadMeter,
  fingerprint as fingerprintOf,
  isSameFence,
  methodClass,
  requestFailure,
  uuidV7WallMs,
  type AttemptId,
  type AttemptTable,
  type CrashGuard,
  type CrashRecord,
  type Fence,
  type StoredAnswer,
  type QueueEntry,
  type Reason,
  type RequestFailure,
  type Server,
  type ServerLoad,
  type SlotResult,
} from '@wisteriarun/core';
import type {RelayRequest, RelayResult} from '@wisteriarun/peer';
import {Readable} from 'node:stream';
import {tapAnswer} from './answer-tap.js';
import type {ShardHandovers} from './shard-handovers.js';
import type {
  Clock,
  DispatchMeter,
  EventSink,
  PermissionCheck,
  RouteSource,
} from './types.js';

/**
 * Estimated memory of a queued request without its body. Counts toward the
 * memory limit of the queue.
 */
const REQUEST_OVERHEAD_BYTES = 2_048;
/** Retry delay stated in refusals for a server whose batch has left. */
const BATCH_LEFT_RETRY_MS = 1_000;
/**
 * Longest wait of a request for the handover of its shard's attempt records.
 * After the wait, the outcome of an earlier attempt counts as unknown.
 */
const HANDOVER_WAIT_MS = 250;

/** Dependencies that all server dispatchers of the VM share. */
export interface SharedDependencies {
  readonly routes: RouteSource;
  readonly clock: Clock;
  readonly attempts: AttemptTable;
  readonly handovers: Pick<ShardHandovers, 'whenReceived'>;
  readonly crashes: CrashGuard;
  readonly permissions: PermissionCheck;
  readonly events: EventSink;
  readonly onCrash: (records: CrashRecord[]) => void;
  readonly meter: DispatchMeter;
}

/** Current queue and slots of a server, as its dispatcher sees them. */
export interface ServerUsage {
  readonly server: string;
  readonly inFlight: number;
  readonly queued: number;
  /** Slots that may be used now. */
  readonly limit: number;
}

/** A queued or running request. */
interface Job {
  readonly request: RelayRequest;
  /** Identifies the request and its retries in crash records. */
  readonly fingerprint: string;
  /** Id in the attempt table; null when the method is idempotent. */
  readonly attempt: AttemptId | null;
  /** Monotonic time at which the request entered the queue. */
  readonly arrivedMs: number;
  /** Monotonic time at which the request left the queue and got a slot. */
  startedMs: number;
  /** Id of the server's incarnation at the request's start, if known. */
  bootId: string | null;
  /**
   * Ends the wait in the queue: null starts the request, a failure fails it.
   */
  readonly wake: (failure: RequestFailure | null) => void;
}

type Entry = QueueEntry<Job>;

/** Queues the requests of one server, sends them, and tracks their outcomes. */
export class ServerDispatcher {
  private readonly queue: DispatchQueue<Job>;
  private readonly loadMeter: ServerLoadMeter;
  /** Callbacks for the end of a running attempt, by `attemptKey`. */
  private readonly attemptWaiters = new Map<string, Set<() => void>>();
  /** Callbacks for the time when no request is queued or running. */
  private readonly idleWaiters = new Set<() => void>();
  /** Callbacks for the end of a shard's last request in flight, by `shardId`. */
  private readonly drainWaiters = new Map<string, Set<() => void>>();
  private fence: Fence | null = null;
  /** Id of the server's incarnation; null while unknown. */
  private bootId: string | null = null;
  /** Status call in progress that checks for a crash. */
  private crashCheck: Promise<void> | null = null;
  /**
   * Calls `startQueuedRequests` when the deadline of a queued request passes or
   * a reduction of the slot limit ends.
   */
  private queueTimer: NodeJS.Timeout | null = null;
  /** Number of calls of `dispatch` that have not finished yet. */
  private activeDispatchCount = 0;

  /**
   * @param server - The server as the bundle describes it.
   * @param backend - Client of the server; this dispatcher closes it.
   * @param shared - Shared dependencies.
   */
  constructor(
    private server: Server,
    private backend: BackendClient,
    private readonly shared: SharedDependencies,
  ) {
    this.queue = new DispatchQueue({slots: server.slots});
    this.loadMeter = new ServerLoadMeter(server.id, shared.clock.monotonicMs());
  }

  /** Fence under which this VM dispatches; null when it does not. */
  get currentFence(): Fence | null {
    return this.fence;
  }

  /** True when no request is queued or running. */
  get isIdle(): boolean {
    return this.queue.inFlight === 0 && this.activeDispatchCount === 0;
  }

  /**
   * Sets the fence. Without a fence, queued requests are refused.
   *
   * @param fence - New fence, or null to stop dispatching.
   */
  setFence(fence: Fence | null): void {
    this.fence = fence;
    if (fence === null) this.refuseWaiting(() => 'wrong-dispatcher');
    this.startQueuedRequests();
  }

  /**
   * Applies a changed description of the server. Requests in flight finish on
   * the old connections.
   *
   * @param server - The server as the bundle in force describes it.
   * @param createClient - Creates a client when the address or the number of
   * connections has changed.
   */
  update(server: Server, createClient: (server: Server) => BackendClient) {
    const {host, port, connections} = this.server;
    const hasChanged =
      server.host !== host ||
      server.port !== port ||
      server.connections !== connections;
    this.server = server;
    this.queue.setSlots(server.slots);
    if (!hasChanged) return;
    const previousBackend = this.backend;
    this.backend = createClient(server);
    void previousBackend.drain().catch(() => {});
  }

  /**
   * Sets the incarnation as a lease or status call returned it. A change means
   * that the server has restarted, and the requests that were running on it
   * get a crash record each, as they may have caused the crash.
   *
   * @param bootId - Id of the incarnation.
   */
  onBootId(bootId: string): void {
    if (this.bootId === bootId) return;
    const hasRestarted = this.bootId !== null;
    const previousBootId = this.bootId;
    this.bootId = bootId;
    this.queue.resetLimit();
    if (hasRestarted) this.recordCrash(job => job.bootId === previousBootId);
  }

  /** Refuses queued requests whose route has changed. */
  recheckRoutes(): void {
    this.refuseWaiting(job => this.refusalReason(job.request));
    this.startQueuedRequests();
  }

  /**
   * Stops or resumes starting queued requests of a shard.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param isDraining - True to keep requests in the queue, false to resume.
   * @returns Resolves when no request of the shard is in flight; at once when
   * resuming.
   */
  setDrain(service: string, shard: number, isDraining: boolean): Promise<void> {
    const id = shardId(service, shard);
    this.queue.setDrain(id, isDraining);
    if (!isDraining) {
      this.startQueuedRequests();
      return Promise.resolve();
    }
    if (this.queue.inFlightOf(id) === 0) return Promise.resolve();
    return new Promise(resolve => addWaiter(this.drainWaiters, id, resolve));
  }

  /** Id of the server. */
  get serverId(): string {
    return this.server.id;
  }

  /** Whether the server itself checks the fence and the shard of a request. */
  get checksGrants(): boolean {
    return this.server.checksGrants;
  }

  /**
   * Waits until no request is queued or running.
   *
   * @param timeoutMs - Longest wait in milliseconds; unlimited when omitted.
   * @returns Resolves when idle or after the wait.
   */
  whenIdle(timeoutMs?: number): Promise<void> {
    if (this.isIdle) return Promise.resolve();
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.idleWaiters.delete(done);
        resolve();
      };
      const timer =
        timeoutMs === undefined ? undefined : setTimeout(done, timeoutMs);
      this.idleWaiters.add(done);
    });
  }

  /**
   * Reports the load of the server as seen by this dispatcher.
   *
   * @returns The report.
   */
  load(): ServerLoad {
    return this.loadMeter.report(this.queue.queued, this.now());
  }

  /**
   * Reads the current queue and slots.
   *
   * @returns Values for the metrics.
   */
  usage(): ServerUsage {
    const {queue} = this;
    return {
      server: this.server.id,
      inFlight: queue.inFlight,
      queued: queue.queued,
      limit: queue.limit(this.now()),
    };
  }

  /**
   * Refuses queued requests and closes the connections to the server.
   *
   * @returns Resolves when the connections are closed.
   */
  async close(): Promise<void> {
    if (this.queueTimer) clearTimeout(this.queueTimer);
    this.queueTimer = null;
    this.fence = null;
    this.refuseWaiting(() => 'wrong-dispatcher');
    await this.backend.close();
  }

  /**
   * Executes a request.
   *
   * @param request - The request.
   * @returns The answer or the failure.
   */
  async dispatch(request: RelayRequest): Promise<RelayResult> {
    this.activeDispatchCount += 1;
    try {
      return await this.admit(request, this.now());
    } finally {
      this.activeDispatchCount -= 1;
      this.notifyIfIdle();
    }
  }

  /**
   * Refuses the request, returns the result of an earlier attempt, or queues
   * the request and runs it.
   */
  private async admit(
    request: RelayRequest,
    arrivedMs: number,
  ): Promise<RelayResult> {
    const {crashes} = this.shared;
    const fingerprint = fingerprintOf(request);
    crashes.raiseCount(
      fingerprint,
      request.crashCount,
      this.server.id,
      arrivedMs,
    );
    const refusal =
      this.refusalReason(request) ?? this.crashRefusalReason(fingerprint);
    if (refusal) return this.failedResult(requestFailure(refusal), fingerprint);
    const attempt = attemptOf(request);
    if (attempt === undefined) {
      return this.failedResult(
        requestFailure('idempotency-key-invalid'),
        fingerprint,
      );
    }
    const deadlineMs = arrivedMs + request.remainingMs;
    if (attempt) {
      const earlierResult = await this.resultOfEarlierAttempt(
        attempt,
        request,
        deadlineMs,
      );
      if (earlierResult) return earlierResult;
    }
    // This VM may have stopped dispatching while an earlier attempt ran.
    if (!this.fence) {
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failedResult(requestFailure('wrong-dispatcher'), fingerprint);
    }
    return this.enqueue(request, fingerprint, attempt, deadlineMs);
  }

  /**
   * Looks the request up in the attempt table, waiting for a running attempt
   * with the same idempotency key. Returns null when the request may run.
   */
  private async resultOfEarlierAttempt(
    attempt: AttemptId,
    request: RelayRequest,
    deadlineMs: number,
  ): Promise<RelayResult | null> {
    const {attempts, clock} = this.shared;
    let mayWait = true;
    for (;;) {
      const decision = attempts.begin(attempt, clock.wallMs());
      if (decision.kind === 'run') return null;
      if (decision.kind === 'replay') return replayed(decision.answer);
      if (decision.kind === 'unknown') {
        const shouldWait = mayWait && decision.mayChangeAfterHandover;
        mayWait = false;
        if (shouldWait && (await this.awaitHandover(request, deadlineMs)))
          continue;
        return failedWith(decision.reason);
      }
      // The earlier attempt may have run, so ending the wait must not report
      // the request as not run.
      if (request.signal.aborted) return failedWith('attempt-unknown');
      if (this.now() >= deadlineMs) return failedWith('answer-timeout');
      await this.whenAttemptEnds(attempt, request.signal, deadlineMs);
    }
  }

  /** Waits for the attempt records of the shard's previous dispatcher. */
  private awaitHandover(
    {service, shard, signal}: RelayRequest,
    deadlineMs: number,
  ): Promise<boolean> {
    const waitMs = Math.min(HANDOVER_WAIT_MS, deadlineMs - this.now());
    const {handovers} = this.shared;
    return handovers.whenReceived(service, shard, waitMs, signal);
  }

  private whenAttemptEnds(
    attempt: AttemptId,
    signal: AbortSignal,
    deadlineMs: number,
  ): Promise<void> {
    return new Promise(resolve => {
      const key = attemptKey(attempt);
      const done = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', done);
        this.attemptWaiters.get(key)?.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.max(0, deadlineMs - this.now()));
      signal.addEventListener('abort', done, {once: true});
      addWaiter(this.attemptWaiters, key, done);
    });
  }

  private async enqueue(
    request: RelayRequest,
    fingerprint: string,
    attempt: AttemptId | null,
    deadlineMs: number,
  ): Promise<RelayResult> {
    const {crashes, clock} = this.shared;
    const nowMs = this.now();
    let wake: Job['wake'] = () => {};
    const waitEnd = new Promise<RequestFailure | null>(resolve => {
      wake = failure => {
        // Ends the attempt in the same turn of the event loop: a handover right
        // after it must not list a request that never started.
        if (failure) this.endAttempt(attempt, {kind: 'not-run'});
        resolve(failure);
      };
    });
    const bodyBytes = Buffer.isBuffer(request.body) ? request.body.length : 0;
    const entry: Entry = {
      value: {
        request,
        fingerprint,
        attempt,
        arrivedMs: nowMs,
        startedMs: nowMs,
        bootId: null,
        wake,
      },
      shardId: shardId(request.service, request.shard),
      deadlineMs,
      sizeBytes: REQUEST_OVERHEAD_BYTES + bodyBytes,
      // Evaluated late because a crash may be recorded while the request waits.
      get isSuspect() {
        return crashes.count(fingerprint, clock.monotonicMs()) > 0;
      },
    };
    const rejection = this.queue.offer(
      entry,
      this.loadMeter.serviceTimeMs,
      nowMs,
    );
    if (rejection) {
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failedResult(rejection, fingerprint);
    }
    const onCallerGone = () => {
      if (this.queue.remove(entry)) wake(requestFailure('caller-gone'));
    };
    request.signal.addEventListener('abort', onCallerGone, {once: true});
    if (request.signal.aborted) onCallerGone();
    this.startQueuedRequests();
    const failure = await waitEnd;
    request.signal.removeEventListener('abort', onCallerGone);
    return failure ? this.failedResult(failure, fingerprint) : this.run(entry);
  }

  /** Fails expired requests and starts queued ones while slots are free. */
  private startQueuedRequests(): void {
    const nowMs = this.now();
    for (const entry of this.queue.expire(nowMs)) {
      // The drain before the shard's move has kept the request waiting.
      const isDraining = this.queue.isDraining(entry.shardId);
      entry.value.wake(
        isDraining
          ? requestFailure('shard-moving')
          : requestFailure('deadline-expired', 0),
      );
    }
    while (this.fence) {
      const entry = this.queue.next(nowMs);
      if (!entry) break;
      const {request} = entry.value;
      entry.value.startedMs = nowMs;
      this.shared.meter.recordQueueWait(
        request.service,
        nowMs - entry.value.arrivedMs,
      );
      entry.value.bootId = this.bootId;
      this.loadMeter.start(request.service, request.shard, nowMs);
      entry.value.wake(null);
    }
    this.armTimer(nowMs);
  }

  private armTimer(nowMs: number): void {
    if (this.queueTimer) clearTimeout(this.queueTimer);
    this.queueTimer = null;
    const wakeMs = this.queue.nextWakeMs(nowMs);
    if (wakeMs === null) return;
    const delayMs = Math.max(1, Math.ceil(wakeMs - nowMs));
    this.queueTimer = setTimeout(() => this.startQueuedRequests(), delayMs);
  }

  /**
   * Sends a request that has a slot. Repeats the checks made on arrival, since
   * routes, crash records and the fence may have changed in the meantime.
   */
  private async run(entry: Entry): Promise<RelayResult> {
    const {request, fingerprint, attempt} = entry.value;
    const {fence} = this;
    const refusal =
      this.refusalReason(request) ??
      this.crashRefusalReason(fingerprint) ??
      this.callerGoneReason(request);
    if (refusal || !fence) {
      this.freeSlot(entry, 'failure', false);
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failedResult(
        requestFailure(refusal ?? 'wrong-dispatcher'),
        fingerprint,
      );
    }
    request.onAdmitted?.();
    let result: BackendResult;
    try {
      result = await this.send(entry, fence);
    } catch {
      result = {
        kind: 'unknown',
        reason: 'internal-error',
        isConnectionLost: false,
      };
    }
    if (result.kind === 'answered') return this.answer(entry, result);
    if (result.kind === 'not-run') {
      const wasShed = result.reason === 'server-shed';
      this.freeSlot(entry, wasShed ? 'shed' : 'failure', false);
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failedResult(
        requestFailure(result.reason, result.retryAfterMs),
        fingerprint,
      );
    }
    if (result.isConnectionLost) await this.detectCrash(entry);
    this.freeSlot(entry, 'failure', true);
    this.endAttempt(attempt, {kind: 'unknown'});
    return this.failedResult(requestFailure(result.reason), fingerprint);
  }

  private send(entry: Entry, fence: Fence): Promise<BackendResult> {
    const {request} = entry.value;
    return this.backend.send({
      id: request.id,
      method: request.method,
      path: request.path,
      headers: request.headers,
      service: request.service,
      shard: request.shard,
      epoch: request.epoch,
      fence,
      remainingMs: entry.deadlineMs - this.now(),
      body: request.body,
      signal: request.signal,
      beforeWrite: () => this.writeRefusalReason(request, fence),
    });
  }

  /**
   * Returns an answer whose body is still being streamed. The request keeps its
   * slot until the end of the body.
   */
  private answer(
    entry: Entry,
    result: Extract<BackendResult, {kind: 'answered'}>,
  ): RelayResult {
    const {attempt, fingerprint} = entry.value;
    const {status, headers} = result;
    const serverMs = this.now() - entry.value.startedMs;
    const body = tapAnswer(result.body, attempt !== null, end => {
      if (!end.isComplete) {
        void this.endBrokenAnswer(entry);
        return;
      }
      this.freeSlot(entry, 'success', true);
      const storedAnswer = {
        status,
        headers: flattenHeaders(headers),
        body: end.body,
      };
      this.endAttempt(attempt, {kind: 'answered', answer: storedAnswer});
      const clearedRecord = this.shared.crashes.clear(fingerprint);
      if (clearedRecord) this.shared.onCrash([clearedRecord]);
    });
    return {kind: 'answered', status, headers, serverMs, body};
  }

  private async endBrokenAnswer(entry: Entry): Promise<void> {
    const {request, attempt} = entry.value;
    if (!request.signal.aborted) await this.detectCrash(entry);
    this.freeSlot(entry, 'failure', true);
    this.endAttempt(attempt, {kind: 'unknown'});
  }

  /**
   * Frees the slot of a started request.
   *
   * @param entry - The request.
   * @param result - Effect on the slot limit of the queue.
   * @param isSample - Whether the duration counts as a service time.
   */
  private freeSlot(entry: Entry, result: SlotResult, isSample: boolean): void {
    const {request, startedMs} = entry.value;
    const nowMs = this.now();
    const {service, shard, key} = request;
    const durationMs = nowMs - startedMs;
    this.queue.finish(entry, result, nowMs);
    this.loadMeter.finish(service, shard, key, durationMs, nowMs, isSample);
    if (this.queue.inFlightOf(entry.shardId) === 0) {
      notifyWaiters(this.drainWaiters, entry.shardId);
    }
    this.notifyIfIdle();
    this.startQueuedRequests();
  }

  /**
   * Checks after a lost connection whether the server has crashed. A status
   * call that fails or returns another incarnation counts as a crash. If the
   * incarnation at the request's start is unknown, only a failed call counts.
   */
  private async detectCrash(entry: Entry): Promise<void> {
    // The status call in progress covers every request that ran when it began.
    if (this.crashCheck) {
      await this.crashCheck;
      return;
    }
    this.crashCheck = this.runCrashCheck(entry);
    try {
      await this.crashCheck;
    } finally {
      this.crashCheck = null;
    }
  }

  private async runCrashCheck(lost: Entry): Promise<void> {
    const suspects = new Set([...this.queue.runningEntries(), lost]);
    const startBootId = lost.value.bootId;
    const status = await this.backend.status();
    const bootId = status.isOk ? status.value.bootId : null;
    // Since the request started, `onBootId` or an earlier status call has
    // changed the incarnation and has recorded the crash, if there was one.
    if (startBootId !== this.bootId) return;
    if (bootId !== null && (startBootId === null || bootId === startBootId)) {
      if (this.bootId === null) this.bootId = bootId;
      return;
    }
    this.bootId = bootId;
    this.queue.resetLimit();
    this.recordCrash(
      job => [...suspects].some(entry => entry.value === job),
      [lost.value],
    );
  }

  private recordCrash(
    wasAffected: (job: Job) => boolean,
    alsoAffected: readonly Job[] = [],
  ): void {
    const {crashes, events, onCrash} = this.shared;
    const running = [...this.queue.runningEntries()].map(entry => entry.value);
    const jobs = new Set([...running.filter(wasAffected), ...alsoAffected]);
    if (jobs.size === 0) return;
    const fingerprints = [...jobs].map(job => job.fingerprint);
    const records = crashes.recordCrash(
      this.server.id,
      fingerprints,
      this.now(),
    );
    events({
      kind: 'server-crash',
      cause: 'connection-lost',
      fields: {
        server: this.server.id,
        service: this.server.service,
        zone: this.server.zone,
        suspects: records.length,
        refused: records.filter(r => r.count >= CRASH_REFUSE_COUNT).length,
      },
    });
    onCrash(records);
  }

  private refuseWaiting(reasonOf: (job: Job) => Reason | null): void {
    for (const entry of [...this.queue.waitingEntries()]) {
      const reason = reasonOf(entry.value);
      if (reason === null || !this.queue.remove(entry)) continue;
      entry.value.wake(requestFailure(reason));
    }
  }

  /** Returns why a request may not be started here now; null when it may. */
  private refusalReason(request: RelayRequest): Reason | null {
    const {routes, clock} = this.shared;
    if (!this.fence) return 'wrong-dispatcher';
    const route = routes.route(request.service, request.key);
    if (
      route?.server !== this.server.id ||
      route.shard !== request.shard ||
      route.epoch !== request.epoch
    ) {
      return 'stale-epoch';
    }
    const leaveAtMs = routes.leaveAtMs(this.server.id);
    return leaveAtMs !== null && clock.wallMs() >= leaveAtMs
      ? 'batch-left'
      : null;
  }

  /**
   * Returns why a request must not be written to the connection; null when it
   * may. Called immediately before the write.
   */
  private writeRefusalReason(
    request: RelayRequest,
    fence: Fence,
  ): Reason | null {
    if (!isSameFence(this.fence, fence)) return 'stale-fence';
    const refusal = this.refusalReason(request);
    if (refusal || this.server.checksGrants) return refusal;
    const {service, shard, epoch} = request;
    const owned = {service, shard, epoch};
    return this.shared.permissions.check(this.server.id, fence, owned);
  }

  private crashRefusalReason(fingerprint: string): Reason | null {
    const count = this.shared.crashes.count(fingerprint, this.now());
    return count >= CRASH_REFUSE_COUNT ? 'crash-suspect' : null;
  }

  private callerGoneReason(request: RelayRequest): Reason | null {
    return request.signal.aborted ? 'caller-gone' : null;
  }

  private endAttempt(
    attempt: AttemptId | null,
    end:
      | {kind: 'not-run'}
      | {kind: 'unknown'}
      | {kind: 'answered'; answer: StoredAnswer},
  ): void {
    if (!attempt) return;
    const {attempts} = this.shared;
    if (end.kind === 'not-run') attempts.endNotRun(attempt);
    else if (end.kind === 'unknown') attempts.endUnknown(attempt);
    else attempts.endAnswered(attempt, end.answer);
    notifyWaiters(this.attemptWaiters, attemptKey(attempt));
  }

  private failedResult(
    failure: RequestFailure,
    fingerprint: string,
  ): RelayResult {
    const crashCount = this.shared.crashes.count(fingerprint, this.now());
    const retryAfterMs =
      failure.reason === 'batch-left'
        ? BATCH_LEFT_RETRY_MS
        : failure.retryAfterMs;
    return {kind: 'failed', failure: {...failure, retryAfterMs}, crashCount};
  }

  private notifyIfIdle(): void {
    if (!this.isIdle) return;
    for (const resolve of [...this.idleWaiters]) resolve();
  }

  private now(): number {
    return this.shared.clock.monotonicMs();
  }
}

/**
 * Returns the attempt id of a request: null when its method is idempotent,
 * undefined when its idempotency key is missing or malformed.
 */
function attemptOf(request: RelayRequest): AttemptId | null | undefined {
  if (methodClass(request.method) === 'idempotent') return null;
  const {service, shard, key, idempotencyKey} = request;
  if (idempotencyKey === null) return undefined;
  const createdWallMs = uuidV7WallMs(idempotencyKey);
  if (createdWallMs === null) return undefined;
  return {service, shard, key, idempotencyKey, createdWallMs};
}

function attemptKey(attempt: AttemptId): string {
  const {service, key, idempotencyKey} = attempt;
  return JSON.stringify([service, key, idempotencyKey]);
}

function shardId(service: string, shard: number): string {
  return `${service}/${shard}`;
}

function replayed(answer: StoredAnswer): RelayResult {
  const content = Buffer.from(answer.body ?? new Uint8Array());
  const body = Readable.from(content.length > 0 ? [content] : [], {
    objectMode: false,
  });
  return {
    kind: 'answered',
    status: answer.status,
    headers: answer.headers,
    body,
  };
}

function failedWith(reason: Reason): RelayResult {
  return {kind: 'failed', failure: requestFailure(reason), crashCount: 0};
}

/** Joins the values of a repeated header by commas, as stored answers need. */
function flattenHeaders(headers: Record<string, string | string[]>) {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, String(value)]),
  );
}

function addWaiter(
  waiters: Map<string, Set<() => void>>,
  id: string,
  resolve: () => void,
): void {
  const set = waiters.get(id) ?? new Set();
  set.add(resolve);
  waiters.set(id, set);
}

function notifyWaiters(
  waiters: Map<string, Set<() => void>>,
  id: string,
): void {
  const set = waiters.get(id);
  waiters.delete(id);
  for (const resolve of [...(set ?? [])]) resolve();
}
