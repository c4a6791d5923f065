/** Stand-in for a backend server that owns shards exclusively, by leases. */
import {createHash, randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import {
  CANCEL_PATH_PREFIX,
  HEADERS,
  LEASE_PATH,
  REASONS,
  STATUS_PATH,
  isOlderFence,
  leaseRequestSchema,
  type Grant,
  type LeaseRequest,
  type Reason,
  type ServerStatus,
} from '@wisteriarun/core';
import {MemoryKeyStore, parseVersion, type KeyStore} from './key-store.js';
import {
  ATTEMPT_HEADER,
  MemoryRecordWriter,
  type RecordWriter,
  type RunRecord,
  type ServerRecord,
} from './records.js';
import {
  HttpEndpoint,
  headerOf,
  readJson,
  sendJson,
  type Address,
  type ListenOptions,
} from './utils/http-endpoint.js';
import {sleep, wallMs} from './utils/time.js';

/** The server crashes when it starts a request with this header set to `1`. */
export const CRASH_HEADER = 'x-standin-crash';

/** Larger bodies are stored as their size and checksum only. */
const MAX_VALUE_BYTES = 64 * 1024;

/** Behavior of a backend server that can be changed at run time. */
export const backendBehaviorSchema = z.strictObject({
  /** Number of requests executed at the same time. */
  slots: z.int().min(1),
  /** Number of requests accepted beyond the slots; they wait for a slot. */
  extraRequests: z.int().min(0),
  /** Mean service time before `speed` and `coldFactor` apply. */
  serviceTimeMs: z.number().min(0),
  /** Distribution of the service time. */
  serviceTimeShape: z.enum(['fixed', 'exponential']),
  /** Divisor of the service time. */
  speed: z.number().positive(),
  /** Number of requests after a start that take longer by `coldFactor`. */
  coldRequests: z.int().min(0),
  /** Factor of the service time of cold requests. */
  coldFactor: z.number().positive(),
  /** Whether new requests are refused with `server-draining`. */
  draining: z.boolean(),
  /** Load reported instead of the real one; null reports the real one. */
  reportedLoad: z.number().nullable(),
});
/** Parsed behavior of a backend server. */
export type BackendBehavior = z.infer<typeof backendBehaviorSchema>;

/** Identity, clock, storage and initial behavior of a backend server. */
export interface BackendServerOptions
  extends ListenOptions, Partial<BackendBehavior> {
  readonly id: string;
  /** Whether requests are checked against the lease. Default true. */
  readonly checksGrants?: boolean;
  /** Offset of the server's monotonic clock from this process's. Default 0. */
  readonly clockOffsetMs?: number;
  /** Relative drift of the monotonic clock; 0.01 is 1% fast. Default 0. */
  readonly clockDriftRatio?: number;
  /** Storage of the values of keys; by default in memory. */
  readonly store?: KeyStore;
  /** Receives each record in addition to `BackendServer.records`. */
  readonly recordWriter?: RecordWriter;
  /**
   * Called on a request with the crash header; calls `BackendServer.crash` by
   * default.
   */
  readonly onCrash?: () => void;
}

const DEFAULT_BEHAVIOR: BackendBehavior = {
  slots: 3,
  extraRequests: 0,
  serviceTimeMs: 5,
  serviceTimeShape: 'exponential',
  speed: 1,
  coldRequests: 0,
  coldFactor: 5,
  draining: false,
  reportedLoad: null,
};

/**
 * The lease in force. A renewal without grants keeps the grants of an earlier
 * call, whose sequence number is `grantsSeq`.
 */
interface LeaseInForce extends Omit<LeaseRequest, 'grants' | 'grantsSeq'> {
  readonly grants: readonly Grant[];
  readonly grantsSeq: number;
}

/** A request that the server executes or refuses. */
interface RequestRun {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly service: string;
  readonly key: string;
  readonly shard: number;
  readonly epoch: number;
  readonly fence: string;
  readonly requestId: string;
  /** Incarnation of the server that received the request. */
  readonly bootId: string;
  readonly cancel: AbortController;
  hasStarted: boolean;
  /** Whether the deadline of the request has passed. */
  isPastDeadline: boolean;
}

/** Body of a request after it has been read. */
interface ReceivedBody {
  readonly sizeBytes: number;
  readonly sha256: string;
  /** Null when the body is too large to keep. */
  readonly text: string | null;
}

/**
 * A backend server that executes requests only for shards that its lease
 * grants. It limits concurrent requests to its slots, supports deadlines,
 * cancellation and simulated crashes, records every step, and keeps the values
 * of keys in a store.
 */
export class BackendServer {
  private readonly endpoint = new HttpEndpoint(
    (request, response) => this.handle(request, response, false),
    (request, response) => this.handle(request, response, true),
  );
  private readonly memoryRecords = new MemoryRecordWriter();
  private readonly store: KeyStore;
  /** Accepted requests that have not ended, by request id. */
  private readonly runs = new Map<string, RequestRun>();
  private readonly slotWaiters: (() => void)[] = [];
  private cachedValues = new Map<string, {epoch: number; value: string}>();
  private behavior: BackendBehavior;
  private bootId = randomUUID();
  private term = 0;
  private lease: LeaseInForce | null = null;
  /** Last recorded lease, without the fields that every renewal changes. */
  private recordedLeaseText = '';
  private busySlots = 0;
  /** Requests executed by this incarnation, of which the first may be cold. */
  private executedCount = 0;
  /** POST requests executed by all incarnations. */
  private executedPosts = 0;

  /**
   * @param options - Identity, clock, storage and initial behavior.
   * @throws TypeError when a behavior option is out of range.
   */
  constructor(private readonly options: BackendServerOptions) {
    const {success, data} = backendBehaviorSchema.safeParse(
      Object.fromEntries(
        Object.entries(DEFAULT_BEHAVIOR).map(([name, value]) => [
          name,
          options[name as keyof BackendBehavior] ?? value,
        ]),
      ),
    );
    if (!success)
      throw new TypeError(
        `behavior option out of range for server ${options.id}`,
      );
    this.behavior = data;
    this.store = options.store ?? new MemoryKeyStore();
  }

  /**
   * Starts to listen.
   *
   * @returns The address in use.
   */
  start(): Promise<Address> {
    return this.endpoint.start(this.options);
  }

  /** Stops listening, destroys all connections and closes the record writer. */
  async close(): Promise<void> {
    await this.endpoint.close();
    this.options.recordWriter?.close();
  }

  /**
   * Changes the behavior.
   *
   * @param change - Fields to replace; absent ones keep their value.
   */
  setBehavior(change: Partial<BackendBehavior>): void {
    this.behavior = {...this.behavior, ...change};
  }

  /**
   * Lists the records of the server.
   *
   * @returns Records of all incarnations in the order of their creation.
   */
  records(): readonly ServerRecord[] {
    return this.memoryRecords.records;
  }

  /**
   * Simulates a crash and restart: the server loses all connections, requests,
   * the lease and the cached values, and gets a new incarnation.
   */
  crash(): void {
    this.bootId = randomUUID();
    this.term = 0;
    this.lease = null;
    this.recordedLeaseText = '';
    this.cachedValues = new Map();
    this.executedCount = 0;
    this.busySlots = 0;
    this.slotWaiters.length = 0;
    const interruptedRuns = [...this.runs.values()];
    this.runs.clear();
    for (const run of interruptedRuns) run.cancel.abort();
    this.endpoint.dropConnections();
  }

  /**
   * Reads the server's own monotonic clock.
   *
   * @returns Milliseconds, with the configured offset and drift.
   */
  clockMs(): number {
    const {clockOffsetMs = 0, clockDriftRatio = 0} = this.options;
    return performance.now() * (1 + clockDriftRatio) + clockOffsetMs;
  }

  /**
   * Returns the answer to a status call.
   *
   * @returns Incarnation, lease, busy shards and load.
   */
  status(): ServerStatus {
    const busyShards = new Map<string, {service: string; shard: number}>();
    for (const {service, shard} of this.runs.values()) {
      busyShards.set(`${service}/${shard}`, {service, shard});
    }
    const {reportedLoad, slots, draining} = this.behavior;
    return {
      bootId: this.bootId,
      clockMs: this.clockMs(),
      term: this.term,
      fence: this.lease?.fence ?? null,
      dispatcher: this.lease?.dispatcher ?? null,
      grantsSeq: this.lease?.grantsSeq ?? null,
      busy: [...busyShards.values()],
      inFlight: this.runs.size,
      load: reportedLoad ?? this.runs.size / slots,
      draining,
    };
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const path = (request.url ?? '/').split('?')[0]!;
    if (path === STATUS_PATH) return sendJson(response, 200, this.status());
    if (path === LEASE_PATH) return this.handleLease(request, response);
    if (path.startsWith(CANCEL_PATH_PREFIX)) {
      const id = decodeURIComponent(path.slice(CANCEL_PATH_PREFIX.length));
      this.runs.get(id)?.cancel.abort();
      return sendJson(response, 200, {});
    }
    if (path === '/control/records') {
      response.writeHead(200, {'content-type': 'application/x-ndjson'});
      for (const record of this.memoryRecords.records) {
        response.write(`${JSON.stringify(record)}\n`);
      }
      response.end();
      return;
    }
    if (path === '/control') {
      if (request.method === 'POST') {
        const change = await readJson(request);
        this.setBehavior(backendBehaviorSchema.partial().parse(change));
      }
      return sendJson(response, 200, this.behavior);
    }
    await this.handleRequest(request, response, path, expectsContinue);
  }

  private async handleLease(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const call = leaseRequestSchema.parse(await readJson(request));
    const lease = this.isNewerLeaseCall(call) ? this.resolveGrants(call) : null;
    if (!lease) return sendJson(response, 409, this.status());
    this.term = lease.term;
    this.lease = lease;
    const text = JSON.stringify({
      ...lease,
      expiresAtMs: 0,
      seq: 0,
      grantsSeq: 0,
    });
    if (text !== this.recordedLeaseText) {
      this.recordedLeaseText = text;
      this.record({
        kind: 'lease',
        wallMs: wallMs(),
        server: this.options.id,
        bootId: this.bootId,
        term: lease.term,
        fence: lease.fence,
        dispatcher: lease.dispatcher,
        grants: lease.grants,
      });
    }
    sendJson(response, 200, this.status());
  }

  /**
   * Returns the lease of a call. Returns null when the call refers to grants
   * that this incarnation does not hold under the call's term.
   */
  private resolveGrants(call: LeaseRequest): LeaseInForce | null {
    const {grants, grantsSeq, seq} = call;
    if (grants) return {...call, grants, grantsSeq: seq};
    const held = this.lease;
    if (held?.term !== call.term || held.grantsSeq !== grantsSeq) return null;
    return {...call, grants: held.grants, grantsSeq};
  }

  /**
   * Whether a lease call is newer than the lease in force. A delayed call of
   * the same term must not restore a revoked grant.
   */
  private isNewerLeaseCall({term, seq, bootId, fence}: LeaseRequest): boolean {
    if (bootId !== this.bootId) return false;
    if (this.lease && isOlderFence(fence, this.lease.fence)) return false;
    if (term !== this.term) return term > this.term;
    return seq > (this.lease?.seq ?? 0);
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    expectsContinue: boolean,
  ): Promise<void> {
    const run = this.parseRequest(request, response, path);
    const refusal = this.leaseRefusalReason(run) ?? this.loadRefusalReason();
    if (refusal) return this.refuse(run, refusal);
    if (this.runs.has(run.requestId)) {
      return sendJson(response, 400, {error: 'request id in use'});
    }
    this.runs.set(run.requestId, run);
    response.on('close', () => {
      if (!response.writableEnded) run.cancel.abort();
    });
    const deadlineTimer = this.startDeadlineTimer(run);
    try {
      await this.acquireSlot(run);
      try {
        await this.execute(run, expectsContinue);
      } finally {
        this.releaseSlot(run);
      }
    } finally {
      clearTimeout(deadlineTimer);
      // After a crash, a new request may have taken the same id.
      if (this.runs.get(run.requestId) === run) this.runs.delete(run.requestId);
    }
  }

  private parseRequest(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): RequestRun {
    const [service = '', key = ''] = path
      .split('/')
      .slice(1)
      .map(decodeURIComponent);
    return {
      request,
      response,
      service: headerOf(request, HEADERS.service) ?? service,
      key: headerOf(request, HEADERS.key) ?? key,
      shard: Number(headerOf(request, HEADERS.shard) ?? -1),
      epoch: Number(headerOf(request, HEADERS.epoch) ?? -1),
      fence: headerOf(request, HEADERS.fence) ?? '',
      requestId: headerOf(request, HEADERS.requestId) ?? randomUUID(),
      bootId: this.bootId,
      cancel: new AbortController(),
      hasStarted: false,
      isPastDeadline: false,
    };
  }

  /**
   * Why the request may not start: the lease is absent or expired, has another
   * fence than the request, or does not grant the shard. Null when it may
   * start.
   */
  private leaseRefusalReason(run: RequestRun): Reason | null {
    if (this.options.checksGrants === false) return null;
    const fence = this.lease?.fence;
    const hasOtherFence = fence && run.fence !== `${fence.term}.${fence.seq}`;
    const refusal = this.ownershipRefusalReason(run);
    return refusal !== 'lease-expired' && hasOtherFence
      ? 'stale-fence'
      : refusal;
  }

  /**
   * Why the lease does not grant the shard of the request; null when it does.
   * The fence is not compared: a request that was started under an earlier
   * fence may take effect, because the owner is the same.
   */
  private ownershipRefusalReason(run: RequestRun): Reason | null {
    if (this.options.checksGrants === false) return null;
    const lease = this.lease;
    if (!lease || this.clockMs() >= lease.expiresAtMs) return 'lease-expired';
    const isGranted = lease.grants.some(
      grant =>
        grant.service === run.service &&
        grant.shard === run.shard &&
        grant.epoch === run.epoch,
    );
    return isGranted ? null : 'stale-epoch';
  }

  /** Why the server accepts no request now; null when it does. */
  private loadRefusalReason(): Reason | null {
    const {draining, slots, extraRequests} = this.behavior;
    if (draining) return 'server-draining';
    return this.runs.size >= slots + extraRequests ? 'server-shed' : null;
  }

  /** Refuses a request; the outcome is `not-run` only if it never started. */
  private refuse(run: RequestRun, reason: Reason): void {
    this.recordStep(run, 'refused', reason);
    const isStale = reason === 'stale-epoch' || reason === 'stale-fence';
    sendJson(
      run.response,
      run.hasStarted ? 502 : isStale ? 421 : 503,
      {reason},
      {
        [HEADERS.outcome]: run.hasStarted ? 'unknown' : 'not-run',
        [HEADERS.reason]: reason,
        // The rest of the body is not read, so the connection cannot be used
        // for another request.
        ...(run.request.complete ? {} : {connection: 'close'}),
      },
    );
  }

  private startDeadlineTimer(run: RequestRun): NodeJS.Timeout | undefined {
    const deadlineMs = headerOf(run.request, HEADERS.deadlineMs);
    if (deadlineMs === null) return undefined;
    return setTimeout(() => {
      run.isPastDeadline = true;
      run.cancel.abort();
    }, Number(deadlineMs));
  }

  private async acquireSlot(run: RequestRun): Promise<void> {
    while (
      this.busySlots >= this.behavior.slots &&
      !run.cancel.signal.aborted &&
      run.bootId === this.bootId
    ) {
      await new Promise<void>(resolve => {
        this.slotWaiters.push(resolve);
        run.cancel.signal.addEventListener('abort', () => resolve());
      });
    }
    // Cancelled requests take a slot too: `handleRequest` releases it again.
    if (run.bootId === this.bootId) this.busySlots++;
  }

  private releaseSlot(run: RequestRun): void {
    if (run.bootId !== this.bootId) return;
    this.busySlots--;
    for (const wake of this.slotWaiters.splice(0)) wake();
  }

  private async execute(
    run: RequestRun,
    expectsContinue: boolean,
  ): Promise<void> {
    if (this.finishIfCancelled(run)) return;
    const refusal = this.leaseRefusalReason(run);
    if (refusal) return this.refuse(run, refusal);
    run.hasStarted = true;
    this.recordStep(run, 'started');
    if (expectsContinue) run.response.writeContinue();
    if (headerOf(run.request, CRASH_HEADER) === '1') {
      (this.options.onCrash ?? (() => this.crash()))();
      return;
    }
    const body = await readBody(run);
    if (body) await sleep(this.drawServiceTimeMs(), run.cancel.signal);
    if (this.finishIfCancelled(run)) return;
    // The lease may have expired, or the shard moved, while the request ran.
    const lateRefusal = this.ownershipRefusalReason(run);
    if (lateRefusal) return this.refuse(run, lateRefusal);
    // `readBody` cancels the run when it returns null, so here it has a body.
    this.complete(run, body!);
  }

  /** Ends a cancelled request; false when it was not cancelled. */
  private finishIfCancelled(run: RequestRun): boolean {
    if (!run.cancel.signal.aborted) return false;
    // The request belongs to an earlier incarnation, which a crash ended.
    if (run.bootId !== this.bootId) return true;
    this.recordStep(
      run,
      'cancelled',
      run.isPastDeadline ? 'deadline-expired' : null,
    );
    // The reason determines the outcome that the caller sees: `not-run` for
    // `deadline-expired`, `unknown` for `answer-timeout`. It therefore depends
    // only on whether the request has started, not on what cancelled it.
    const reason = run.hasStarted ? 'answer-timeout' : 'deadline-expired';
    const info = REASONS[reason];
    if (!run.response.destroyed && !run.response.headersSent) {
      const headers: Record<string, string> = {
        [HEADERS.outcome]: info.outcome,
        [HEADERS.reason]: reason,
        connection: 'close',
      };
      sendJson(run.response, info.status, {reason}, headers);
    }
    return true;
  }

  private drawServiceTimeMs(): number {
    const {serviceTimeMs, serviceTimeShape, speed, coldRequests, coldFactor} =
      this.behavior;
    const coldStartFactor =
      this.executedCount++ < coldRequests ? coldFactor : 1;
    const randomFactor =
      serviceTimeShape === 'fixed' ? 1 : -Math.log(1 - Math.random());
    return (serviceTimeMs * coldStartFactor * randomFactor) / speed;
  }

  /**
   * Applies the effect of a request, records and answers it, all in one
   * event-loop turn, so that the lease cannot change in between.
   */
  private complete(run: RequestRun, body: ReceivedBody): void {
    const {method} = run.request;
    if (method === 'GET' || method === 'HEAD') {
      const value = this.readValue(run);
      this.recordStep(run, 'done');
      run.response.writeHead(200, {
        'content-type': 'text/plain',
        'content-length': Buffer.byteLength(value),
      });
      run.response.end(method === 'GET' ? value : undefined);
      return;
    }
    if (method === 'PUT') this.writeValue(run, body);
    if (method === 'POST') this.executedPosts++;
    this.recordStep(run, 'done');
    sendJson(run.response, method === 'POST' ? 201 : 200, {
      server: this.options.id,
      sizeBytes: body.sizeBytes,
      sha256: body.sha256,
      filings: this.executedPosts,
    });
  }

  /**
   * Returns the value of a key. It is loaded once per epoch and then served
   * from memory, so that if two servers own the key's shard at the same time,
   * their stale reads reveal it.
   */
  private readValue(run: RequestRun): string {
    const id = `${run.service}/${run.key}`;
    const cached = this.cachedValues.get(id);
    if (cached && cached.epoch === run.epoch) return cached.value;
    const value = this.store.load(run.service, run.key) ?? 'v0\n';
    this.cachedValues.set(id, {epoch: run.epoch, value});
    return value;
  }

  private writeValue(run: RequestRun, body: ReceivedBody): void {
    const value =
      body.text ??
      JSON.stringify({sizeBytes: body.sizeBytes, sha256: body.sha256});
    // A write with an older version arrived late and must not overwrite.
    if (parseVersion(value) < parseVersion(this.readValue(run))) return;
    this.cachedValues.set(`${run.service}/${run.key}`, {
      epoch: run.epoch,
      value,
    });
    this.store.save(run.service, run.key, value);
  }

  private recordStep(
    run: RequestRun,
    effect: RunRecord['effect'],
    reason: string | null = null,
  ): void {
    this.record({
      kind: 'run',
      wallMs: wallMs(),
      server: this.options.id,
      bootId: run.bootId,
      service: run.service,
      key: run.key,
      shard: run.shard,
      epoch: run.epoch,
      method: run.request.method ?? '',
      idempotencyKey: headerOf(run.request, HEADERS.idempotencyKey),
      attemptId: headerOf(run.request, ATTEMPT_HEADER),
      requestId: run.requestId,
      effect,
      reason,
    });
  }

  private record(record: ServerRecord): void {
    this.memoryRecords.write(record);
    this.options.recordWriter?.write(record);
  }
}

/**
 * Reads and hashes a body. Returns null when the request was cancelled or the
 * connection broke; the latter cancels the request as well.
 */
async function readBody(run: RequestRun): Promise<ReceivedBody | null> {
  const hash = createHash('sha256');
  const kept: Buffer[] = [];
  let sizeBytes = 0;
  const stopReading = () => run.request.destroy();
  run.cancel.signal.addEventListener('abort', stopReading);
  try {
    for await (const chunk of run.request) {
      const bytes = chunk as Buffer;
      hash.update(bytes);
      sizeBytes += bytes.length;
      if (sizeBytes <= MAX_VALUE_BYTES) kept.push(bytes);
      else kept.length = 0;
    }
  } catch {
    run.cancel.abort();
    return null;
  } finally {
    run.cancel.signal.removeEventListener('abort', stopReading);
  }
  const text =
    sizeBytes <= MAX_VALUE_BYTES ? Buffer.concat(kept).toString('utf8') : null;
  return {sizeBytes, sha256: hash.digest('hex'), text};
}
