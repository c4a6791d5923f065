/** The only sender to one server. */
import type {BackendClient, BackendResult} from '@wisteriarun/backend';
import {
  CRASH_REFUSE_COUNT,
  DispatchQueue,
  ServiceTimes,
  fingerprint,
  isSameFence,
  methodClass,
  requestFailure,
  uuidV7TimeMs,
  type AttemptId,
  type AttemptTable,
  type CrashGuard,
  type CrashRecord,
  type Fence,
  type KeptAnswer,
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
import type {ShardCustody} from './shard-custody.js';
import type {
  Clock,
  DispatchMeter,
  EventSink,
  PermissionCheck,
  RouteSource,
} from './types.js';

/** Memory of a waiting request besides its body. */
const REQUEST_OVERHEAD_BYTES = 2_048;
const BATCH_LEFT_RETRY_MS = 1_000;
/** Longest wait of a request for the handover of its shard. */
const HANDOVER_WAIT_MS = 250;

/** Parts that one server's dispatcher shares with the others of the VM. */
export interface DispatcherParts {
  readonly routes: RouteSource;
  readonly clock: Clock;
  readonly attempts: AttemptTable;
  readonly custody: Pick<ShardCustody, 'whenReceived'>;
  readonly crashes: CrashGuard;
  readonly permissions: PermissionCheck;
  readonly events: EventSink;
  readonly onCrash: (records: CrashRecord[]) => void;
  readonly meter: DispatchMeter;
}

/** Present use of a server, as its dispatcher sees it. */
export interface ServerUse {
  readonly server: string;
  readonly inFlight: number;
  readonly queued: number;
  /** Slots that may be used now. */
  readonly limit: number;
}

interface Job {
  readonly request: RelayRequest;
  readonly print: string;
  readonly attempt: AttemptId | null;
  readonly arrivedMs: number;
  startedMs: number;
  /** Boot id of the server when the request started. */
  bootId: string | null;
  /** Starts the job with null, or ends its wait with a failure. */
  readonly wake: (failure: RequestFailure | null) => void;
}

type Entry = QueueEntry<Job>;

/** Queue, slots and outcome of the requests of one server. */
export class ServerDispatcher {
  private readonly queue: DispatchQueue<Job>;
  private readonly times: ServiceTimes;
  private readonly attemptWaiters = new Map<string, Set<() => void>>();
  private readonly idleWaiters = new Set<() => void>();
  private readonly drainWaiters = new Map<string, Set<() => void>>();
  private fence: Fence | null = null;
  private bootId: string | null = null;
  private probing: Promise<void> | null = null;
  private wakeTimer: NodeJS.Timeout | null = null;
  private admitted = 0;

  /**
   * @param server - The server as the bundle describes it.
   * @param backend - Its client; owned by this dispatcher.
   * @param parts - Shared parts.
   */
  constructor(
    private server: Server,
    private backend: BackendClient,
    private readonly parts: DispatcherParts,
  ) {
    this.queue = new DispatchQueue({slots: server.slots});
    this.times = new ServiceTimes(server.id, parts.clock.monotonicMs());
  }

  /** Fence under which this VM dispatches; null when it does not. */
  get currentFence(): Fence | null {
    return this.fence;
  }

  /** True when nothing waits or runs. */
  get idle(): boolean {
    return this.queue.inFlight === 0 && this.admitted === 0;
  }

  /**
   * Sets the fence. Without one, waiting requests are refused.
   *
   * @param fence - New fence, or null.
   */
  setFence(fence: Fence | null): void {
    this.fence = fence;
    if (fence === null) this.refuseWaiting(() => 'wrong-dispatcher');
    this.pump();
  }

  /**
   * Applies a new description of the server. Requests in flight finish on
   * their connections.
   *
   * @param server - The server as the bundle in force describes it.
   * @param createClient - Creates the client for a new address.
   */
  update(server: Server, createClient: (server: Server) => BackendClient) {
    const {host, port, connections} = this.server;
    const moved =
      server.host !== host ||
      server.port !== port ||
      server.connections !== connections;
    this.server = server;
    this.queue.setSlots(server.slots);
    if (!moved) return;
    const former = this.backend;
    this.backend = createClient(server);
    void former.drain().catch(() => {});
  }

  /**
   * Notes the boot id that a lease call showed.
   *
   * @param bootId - Boot id.
   */
  onBoot(bootId: string): void {
    if (this.bootId === bootId) return;
    const restarted = this.bootId !== null;
    const former = this.bootId;
    this.bootId = bootId;
    this.queue.resetLimit();
    if (restarted) this.recordCrash(job => job.bootId === former);
  }

  /** Refuses waiting requests whose route has changed. */
  recheckRoutes(): void {
    this.refuseWaiting(job => this.refusal(job.request));
    this.pump();
  }

  /**
   * Holds back or releases requests of a shard.
   *
   * @param service - Service id.
   * @param shard - Shard number.
   * @param on - True to hold back.
   * @returns Resolves when nothing of the shard is in flight.
   */
  setDrain(service: string, shard: number, on: boolean): Promise<void> {
    const id = shardId(service, shard);
    this.queue.setDrain(id, on);
    if (!on) {
      this.pump();
      return Promise.resolve();
    }
    if (this.queue.inFlightOf(id) === 0) return Promise.resolve();
    return new Promise(resolve => addWaiter(this.drainWaiters, id, resolve));
  }

  /** Id of the server. */
  get serverId(): string {
    return this.server.id;
  }

  /** Whether the server itself checks who sends it a request. */
  get checksGrants(): boolean {
    return this.server.checksGrants;
  }

  /**
   * Waits until nothing is in flight.
   *
   * @param timeoutMs - Longest wait in milliseconds; unlimited when left out.
   * @returns Resolves when idle or after the wait.
   */
  whenIdle(timeoutMs?: number): Promise<void> {
    if (this.idle) return Promise.resolve();
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
   * Load of the server as seen here.
   *
   * @returns The report.
   */
  load(): ServerLoad {
    return this.times.report(this.queue.queued, this.now());
  }

  /**
   * Use of the server at this moment.
   *
   * @returns Numbers for the metrics.
   */
  use(): ServerUse {
    const {queue} = this;
    return {
      server: this.server.id,
      inFlight: queue.inFlight,
      queued: queue.queued,
      limit: queue.limit(this.now()),
    };
  }

  /**
   * Closes the connections to the server.
   *
   * @returns Resolves when they are closed.
   */
  async close(): Promise<void> {
    if (this.wakeTimer) clearTimeout(this.wakeTimer);
    this.wakeTimer = null;
    this.fence = null;
    this.refuseWaiting(() => 'wrong-dispatcher');
    await this.backend.close();
  }

  /**
   * Executes a request.
   *
   * @param request - The request.
   * @returns What became of it.
   */
  async dispatch(request: RelayRequest): Promise<RelayResult> {
    this.admitted += 1;
    try {
      return await this.admit(request, this.now());
    } finally {
      this.admitted -= 1;
      this.settleIdle();
    }
  }

  private async admit(
    request: RelayRequest,
    arrivedMs: number,
  ): Promise<RelayResult> {
    const {crashes} = this.parts;
    const print = fingerprint(request);
    crashes.raise(print, request.crashCount, this.server.id, arrivedMs);
    const refusal = this.refusal(request) ?? this.crashRefusal(print);
    if (refusal) return this.failed(requestFailure(refusal), print);
    const attempt = attemptOf(request);
    if (attempt === undefined) {
      return this.failed(requestFailure('idempotency-key-invalid'), print);
    }
    const deadlineMs = arrivedMs + request.remainingMs;
    if (attempt) {
      const earlier = await this.earlierAttempt(attempt, request, deadlineMs);
      if (earlier) return earlier;
    }
    // Dispatching may have ended while an earlier attempt ran.
    if (!this.fence) {
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failed(requestFailure('wrong-dispatcher'), print);
    }
    return this.enqueue(request, print, attempt, deadlineMs);
  }

  /** Applies the attempt rules until the request may run or is decided. */
  private async earlierAttempt(
    attempt: AttemptId,
    request: RelayRequest,
    deadlineMs: number,
  ): Promise<RelayResult | null> {
    const {attempts, clock} = this.parts;
    let mayWait = true;
    for (;;) {
      const decision = attempts.begin(attempt, clock.wallMs());
      if (decision.kind === 'run') return null;
      if (decision.kind === 'replay') return replayed(decision.answer);
      if (decision.kind === 'unknown') {
        const again = mayWait && decision.untracked;
        mayWait = false;
        if (again && (await this.handover(request, deadlineMs))) continue;
        return failedWith(decision.reason);
      }
      // The first attempt may have run, so neither end of the wait is a proof.
      if (request.signal.aborted) return failedWith('attempt-unknown');
      if (this.now() >= deadlineMs) return failedWith('answer-timeout');
      await this.attemptEnd(attempt, request.signal, deadlineMs);
    }
  }

  /** Waits for records that the shard's former dispatcher hands over. */
  private handover(
    {service, shard, signal}: RelayRequest,
    deadlineMs: number,
  ): Promise<boolean> {
    const waitMs = Math.min(HANDOVER_WAIT_MS, deadlineMs - this.now());
    const {custody} = this.parts;
    return custody.whenReceived(service, shard, waitMs, signal);
  }

  private attemptEnd(
    attempt: AttemptId,
    signal: AbortSignal,
    deadlineMs: number,
  ): Promise<void> {
    return new Promise(resolve => {
      const name = attemptName(attempt);
      const done = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', done);
        this.attemptWaiters.get(name)?.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.max(0, deadlineMs - this.now()));
      signal.addEventListener('abort', done, {once: true});
      addWaiter(this.attemptWaiters, name, done);
    });
  }

  private async enqueue(
    request: RelayRequest,
    print: string,
    attempt: AttemptId | null,
    deadlineMs: number,
  ): Promise<RelayResult> {
    const {crashes, clock} = this.parts;
    const nowMs = this.now();
    let wake: Job['wake'] = () => {};
    const woken = new Promise<RequestFailure | null>(resolve => {
      wake = failure => {
        // In the same turn, so that a handover right after it does not list a
        // request that never started.
        if (failure) this.endAttempt(attempt, {kind: 'not-run'});
        resolve(failure);
      };
    });
    const held = Buffer.isBuffer(request.body) ? request.body.length : 0;
    const entry: Entry = {
      value: {
        request,
        print,
        attempt,
        arrivedMs: nowMs,
        startedMs: nowMs,
        bootId: null,
        wake,
      },
      shardId: shardId(request.service, request.shard),
      deadlineMs,
      sizeBytes: REQUEST_OVERHEAD_BYTES + held,
      // A crash may be found while the request waits.
      get suspect() {
        return crashes.count(print, clock.monotonicMs()) > 0;
      },
    };
    const full = this.queue.offer(entry, this.times.serviceTimeMs, nowMs);
    if (full) {
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failed(full, print);
    }
    const onGone = () => {
      if (this.queue.remove(entry)) wake(requestFailure('caller-gone'));
    };
    request.signal.addEventListener('abort', onGone, {once: true});
    if (request.signal.aborted) onGone();
    this.pump();
    const failure = await woken;
    request.signal.removeEventListener('abort', onGone);
    return failure ? this.failed(failure, print) : this.run(entry);
  }

  /** Starts waiting requests while there are slots. */
  private pump(): void {
    const nowMs = this.now();
    for (const entry of this.queue.expire(nowMs)) {
      const held = this.queue.isDraining(entry.shardId);
      entry.value.wake(
        held
          ? requestFailure('shard-moving')
          : requestFailure('deadline-expired', 0),
      );
    }
    while (this.fence) {
      const entry = this.queue.next(nowMs);
      if (!entry) break;
      const {request} = entry.value;
      entry.value.startedMs = nowMs;
      this.parts.meter.waited(request.service, nowMs - entry.value.arrivedMs);
      entry.value.bootId = this.bootId;
      this.times.start(request.service, request.shard, nowMs);
      entry.value.wake(null);
    }
    this.armTimer(nowMs);
  }

  private armTimer(nowMs: number): void {
    if (this.wakeTimer) clearTimeout(this.wakeTimer);
    this.wakeTimer = null;
    const wakeMs = this.queue.nextWakeMs(nowMs);
    if (wakeMs === null) return;
    const delayMs = Math.max(1, Math.ceil(wakeMs - nowMs));
    this.wakeTimer = setTimeout(() => this.pump(), delayMs);
  }

  private async run(entry: Entry): Promise<RelayResult> {
    const {request, print, attempt} = entry.value;
    const {fence} = this;
    const refusal =
      this.refusal(request) ?? this.crashRefusal(print) ?? this.gone(request);
    if (refusal || !fence) {
      this.release(entry, 'failure', false);
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failed(requestFailure(refusal ?? 'wrong-dispatcher'), print);
    }
    request.onAdmitted?.();
    let result: BackendResult;
    try {
      result = await this.send(entry, fence);
    } catch {
      result = {
        kind: 'unknown',
        reason: 'internal-error',
        connectionLost: false,
      };
    }
    if (result.kind === 'answered') return this.answer(entry, result);
    if (result.kind === 'not-run') {
      const shed = result.reason === 'server-shed';
      this.release(entry, shed ? 'shed' : 'failure', false);
      this.endAttempt(attempt, {kind: 'not-run'});
      return this.failed(
        requestFailure(result.reason, result.retryAfterMs),
        print,
      );
    }
    if (result.connectionLost) await this.probe(entry);
    this.release(entry, 'failure', true);
    this.endAttempt(attempt, {kind: 'unknown'});
    return this.failed(requestFailure(result.reason), print);
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
      beforeWrite: () => this.writeRefusal(request, fence),
    });
  }

  private answer(
    entry: Entry,
    result: Extract<BackendResult, {kind: 'answered'}>,
  ): RelayResult {
    const {attempt, print} = entry.value;
    const {status, headers} = result;
    const serverMs = this.now() - entry.value.startedMs;
    const body = tapAnswer(result.body, attempt !== null, end => {
      if (!end.whole) {
        void this.endBroken(entry);
        return;
      }
      this.release(entry, 'success', true);
      const kept = {status, headers: joined(headers), body: end.body};
      this.endAttempt(attempt, {kind: 'answered', answer: kept});
      const cleared = this.parts.crashes.clear(print);
      if (cleared) this.parts.onCrash([cleared]);
    });
    return {kind: 'answered', status, headers, serverMs, body};
  }

  private async endBroken(entry: Entry): Promise<void> {
    const {request, attempt} = entry.value;
    if (!request.signal.aborted) await this.probe(entry);
    this.release(entry, 'failure', true);
    this.endAttempt(attempt, {kind: 'unknown'});
  }

  /** Frees the slot of a started request. */
  private release(entry: Entry, result: SlotResult, sample: boolean): void {
    const {request, startedMs} = entry.value;
    const nowMs = this.now();
    const {service, shard, key} = request;
    const durationMs = nowMs - startedMs;
    this.queue.finish(entry, result, nowMs);
    this.times.finish(service, shard, key, durationMs, nowMs, sample);
    if (this.queue.inFlightOf(entry.shardId) === 0) {
      settleAll(this.drainWaiters, entry.shardId);
    }
    this.settleIdle();
    this.pump();
  }

  /** Finds out whether a lost connection was a crash of the server. */
  private async probe(entry: Entry): Promise<void> {
    // A crash found by an earlier probe covers every request it saw.
    if (this.probing) {
      await this.probing;
      return;
    }
    this.probing = this.probeOnce(entry);
    try {
      await this.probing;
    } finally {
      this.probing = null;
    }
  }

  private async probeOnce(lost: Entry): Promise<void> {
    const suspects = new Set([...this.queue.runningEntries(), lost]);
    const startBootId = lost.value.bootId;
    const status = await this.backend.status();
    const bootId = status.isOk ? status.value.bootId : null;
    // A boot change that a lease call showed meanwhile was counted there.
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
    wasThere: (job: Job) => boolean,
    more: readonly Job[] = [],
  ): void {
    const {crashes, events, onCrash} = this.parts;
    const running = [...this.queue.runningEntries()].map(entry => entry.value);
    const jobs = new Set([...running.filter(wasThere), ...more]);
    if (jobs.size === 0) return;
    const prints = [...jobs].map(job => job.print);
    const records = crashes.recordCrash(this.server.id, prints, this.now());
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

  /** Why a request may not be started here now; null when it may. */
  private refusal(request: RelayRequest): Reason | null {
    const {routes, clock} = this.parts;
    if (!this.fence) return 'wrong-dispatcher';
    const route = routes.route(request.service, request.key);
    if (
      route?.server !== this.server.id ||
      route.shard !== request.shard ||
      route.epoch !== request.epoch
    ) {
      return 'stale-epoch';
    }
    const leavingAtMs = routes.leavingAtMs(this.server.id);
    return leavingAtMs !== null && clock.wallMs() >= leavingAtMs
      ? 'batch-left'
      : null;
  }

  private writeRefusal(request: RelayRequest, fence: Fence): Reason | null {
    if (!isSameFence(this.fence, fence)) return 'stale-fence';
    const refusal = this.refusal(request);
    if (refusal || this.server.checksGrants) return refusal;
    const {service, shard, epoch} = request;
    const owned = {service, shard, epoch};
    return this.parts.permissions.check(this.server.id, fence, owned);
  }

  private crashRefusal(print: string): Reason | null {
    const count = this.parts.crashes.count(print, this.now());
    return count >= CRASH_REFUSE_COUNT ? 'crash-suspect' : null;
  }

  private gone(request: RelayRequest): Reason | null {
    return request.signal.aborted ? 'caller-gone' : null;
  }

  private endAttempt(
    attempt: AttemptId | null,
    end:
      | {kind: 'not-run'}
      | {kind: 'unknown'}
      | {kind: 'answered'; answer: KeptAnswer},
  ): void {
    if (!attempt) return;
    const {attempts} = this.parts;
    if (end.kind === 'not-run') attempts.endNotRun(attempt);
    else if (end.kind === 'unknown') attempts.endUnknown(attempt);
    else attempts.endAnswered(attempt, end.answer);
    settleAll(this.attemptWaiters, attemptName(attempt));
  }

  private failed(failure: RequestFailure, print: string): RelayResult {
    const crashCount = this.parts.crashes.count(print, this.now());
    const retryAfterMs =
      failure.reason === 'batch-left'
        ? BATCH_LEFT_RETRY_MS
        : failure.retryAfterMs;
    return {kind: 'failed', failure: {...failure, retryAfterMs}, crashCount};
  }

  private settleIdle(): void {
    if (!this.idle) return;
    for (const resolve of [...this.idleWaiters]) resolve();
  }

  private now(): number {
    return this.parts.clock.monotonicMs();
  }
}

/** Null for a repeatable request, undefined for a malformed key. */
function attemptOf(request: RelayRequest): AttemptId | null | undefined {
  if (methodClass(request.method) === 'idempotent') return null;
  const {service, shard, key, idempotencyKey} = request;
  if (idempotencyKey === null) return undefined;
  const createdWallMs = uuidV7TimeMs(idempotencyKey);
  if (createdWallMs === null) return undefined;
  return {service, shard, key, idempotencyKey, createdWallMs};
}

function attemptName(attempt: AttemptId): string {
  const {service, key, idempotencyKey} = attempt;
  return JSON.stringify([service, key, idempotencyKey]);
}

function shardId(service: string, shard: number): string {
  return `${service}/${shard}`;
}

function replayed(answer: KeptAnswer): RelayResult {
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

function joined(headers: Record<string, string | string[]>) {
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

function settleAll(waiters: Map<string, Set<() => void>>, id: string): void {
  const set = waiters.get(id);
  waiters.delete(id);
  for (const resolve of [...(set ?? [])]) resolve();
}
