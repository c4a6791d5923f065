/** Stand-in for callers: sends a mixed load over HTTP and records results. */
import {createHash, randomBytes, randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {Readable} from 'node:stream';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, type Dispatcher} from 'undici';
import {HEADERS} from '@wisteriarun/core';
import {
  AvailabilityGapTracker,
  SLOW_ANSWER_THRESHOLD_MS,
  isAcknowledged,
  type Attempt,
  type AttemptOutcome,
  type AvailabilityGap,
  type Operation,
} from './attempts.js';
import {parseVersion} from './key-store.js';
import {ATTEMPT_HEADER} from './records.js';
import {ZipfRanks, seededRandom, type Random} from './utils/random.js';
import {sleep, uuidv7, wallMs} from './utils/time.js';

export * from './attempts.js';

/** Size of one chunk of an upload. */
const CHUNK_BYTES = 64 * 1024;
/** Maximum number of keys probed at the same time. */
const MAX_PROBES = 64;
/** Short, because a probe to a lost VM delays the next probe of its key. */
const PROBE_TIMEOUT_MS = 1_000;
/** Time after the request's deadline in which the entry VM may still answer. */
const ANSWER_GRACE_MS = 1_000;

/** Relative weights of the operations in a load; they need not add up to 1. */
export interface OperationMix {
  readonly get: number;
  readonly post: number;
  readonly put: number;
  readonly upload: number;
}

/** Closed loop: each caller waits for an answer before its next request. */
export interface ClosedLoop {
  readonly kind: 'closed';
  readonly callerCount: number;
  /** Pause of a caller between an answer and its next request. */
  readonly thinkTimeMs: number;
}

/** Open loop: requests start at a fixed rate, whether or not answers arrive. */
export interface OpenLoop {
  readonly kind: 'open';
  readonly ratePerSecond: number;
  /** Limit of requests in flight; further ones are skipped and counted. */
  readonly maxInFlight: number;
}

/** Options of a `CallerLoad`. */
export interface CallerLoadOptions {
  /** Addresses of the entry VMs, `host:port`. */
  readonly entries: readonly string[];
  /** Service of all requests but uploads. */
  readonly service: string;
  /** Number of keys of `service`. */
  readonly keys: number;
  /** Service of uploads; `service` by default. */
  readonly uploadService?: string;
  /** Number of keys of uploads. Default 16. */
  readonly uploadKeys?: number;
  /** Size of each upload. Default 1 MiB. */
  readonly uploadBytes?: number;
  /** Pause before each chunk of an upload. Default 0. */
  readonly uploadChunkPauseMs?: number;
  readonly mix: OperationMix;
  readonly loop: ClosedLoop | OpenLoop;
  /** Exponent of the Zipf distribution of keys; 0 is uniform. Default 0.9. */
  readonly zipfExponent?: number;
  /** Share of requests sent to the hot key beyond its Zipf share. Default 0. */
  readonly hotShare?: number;
  /** Timeout of all requests but uploads. Default 5 s. */
  readonly timeoutMs?: number;
  /** Timeout of uploads. Default 60 s. */
  readonly uploadTimeoutMs?: number;
  /** Maximum resends of a request whose outcome is uncertain. Default 3. */
  readonly maxResends?: number;
  /**
   * Interval of the probes of an unavailable key; null disables them. Default
   * 100 ms.
   */
  readonly probeIntervalMs?: number | null;
  /** Seed of the random numbers. Default 1. */
  readonly seed?: number;
}

/** Latency percentiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Counters, latencies and unavailable time of a load. */
export interface LoadReport {
  /** Number of attempts per outcome, without probes. */
  readonly outcomes: Readonly<Record<AttemptOutcome, number>>;
  /** Number of attempts that were not `answered` per reason, without probes. */
  readonly reasons: Readonly<Record<string, number>>;
  /** Number of requests, without resends and probes. */
  readonly requests: number;
  /** Attempts beyond the first of each request. */
  readonly resends: number;
  /** Number of probe attempts. */
  readonly probes: number;
  /** Requests that the open loop skipped because too many were in flight. */
  readonly skipped: number;
  /** Uploads and writes that arrived with another checksum. */
  readonly checksumErrors: number;
  /** Number of POST requests that were acknowledged. */
  readonly acknowledgedFilings: number;
  /** Total size of acknowledged uploads. */
  readonly uploadedBytes: number;
  /** Latency of answered attempts. */
  readonly latency: Readonly<Record<Operation, LatencySummary>>;
  /** Time for which keys were unavailable, summed over all keys. */
  readonly unavailableKeyMs: number;
  /** Longest period in which a key was unavailable; 0 without one. */
  readonly longestGapMs: number;
  /** Time from the start of the load to its end, or until now. */
  readonly durationMs: number;
}

/** A request before it is sent; all of its attempts share it. */
interface RequestPlan {
  readonly operation: Operation;
  readonly service: string;
  readonly key: string;
  /** Set on POST requests only. */
  readonly idempotencyKey: string | null;
  /** Version that a write sends; null for other requests. */
  readonly version: number | null;
}

/** Answer to one attempt, or the error that took its place. */
interface AnswerSummary {
  /** HTTP status; 0 without a response. */
  readonly status: number;
  readonly outcome: AttemptOutcome;
  readonly reason: string | null;
  /** Body of the response; empty without one. */
  readonly text: string;
}

/**
 * Sends a mixed load over HTTP to several entry VMs and records every attempt.
 * A request is resent to another entry VM when its outcome is uncertain, and a
 * key without an answer is probed to determine its unavailable time.
 */
export class CallerLoad {
  private readonly agent: Agent;
  private readonly random: Random;
  private readonly keyRanks: ZipfRanks;
  private readonly gapTracker = new AvailabilityGapTracker();
  private readonly attempts: Attempt[] = [];
  private readonly histograms: Record<Operation, Histogram>;
  /** Last version sent for each key. */
  private readonly versions = new Map<string, number>();
  private readonly keysBeingWritten = new Set<string>();
  private readonly probedKeys = new Set<string>();
  private readonly runningTasks = new Set<Promise<void>>();
  private readonly stopping = new AbortController();
  private entries: readonly string[];
  private loop: ClosedLoop | OpenLoop;
  private hottestKeyNumber = 0;
  private hotShare: number;
  private requests = 0;
  private skipped = 0;
  private startedMs = 0;
  private endedMs: number | null = null;

  /**
   * @param options - Entry VMs, keys, kinds and rate of the requests.
   */
  constructor(private readonly options: CallerLoadOptions) {
    // No timeout here: each request has a timeout signal of its own.
    this.agent = new Agent({connections: 256, headersTimeout: 0});
    this.random = seededRandom(options.seed ?? 1);
    this.keyRanks = new ZipfRanks(options.keys, options.zipfExponent ?? 0.9);
    this.entries = options.entries;
    // Every caller and every probe adds a listener to this signal, which Node
    // would report as a leak above its default limit.
    setMaxListeners(0, this.stopping.signal);
    this.loop = options.loop;
    this.hotShare = options.hotShare ?? 0;
    // Latencies in microseconds, up to one hour.
    const createHistogram = () =>
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000_000,
        numberOfSignificantValueDigits: 3,
      });
    this.histograms = {
      get: createHistogram(),
      post: createHistogram(),
      put: createHistogram(),
      upload: createHistogram(),
      probe: createHistogram(),
    };
  }

  /** Starts the load. */
  start(): void {
    this.startedMs = wallMs();
    if (this.loop.kind === 'open') return this.trackTask(this.runOpenLoop());
    for (let i = 0; i < this.loop.callerCount; i++)
      this.trackTask(this.runClosedLoop());
  }

  /** Stops sending requests and waits for those in flight. */
  async stop(): Promise<void> {
    this.stopping.abort();
    while (this.runningTasks.size > 0) await Promise.all(this.runningTasks);
    this.endedMs ??= wallMs();
    await this.agent.close();
  }

  /**
   * Replaces the entry VMs to which requests are sent.
   *
   * @param entries - Addresses of the entry VMs, `host:port`.
   */
  setEntries(entries: readonly string[]): void {
    this.entries = entries;
  }

  /**
   * Changes the rate of an open loop; a closed loop ignores it.
   *
   * @param ratePerSecond - Requests per second.
   */
  setRate(ratePerSecond: number): void {
    if (this.loop.kind === 'open') this.loop = {...this.loop, ratePerSecond};
  }

  /**
   * Changes which key receives the most requests.
   *
   * @param keyNumber - Number of the key, from 0.
   * @param hotShare - Share of requests sent to it beyond its Zipf share;
   * unchanged by default.
   */
  setHotKey(keyNumber: number, hotShare = this.hotShare): void {
    this.hottestKeyNumber = keyNumber;
    this.hotShare = hotShare;
  }

  /**
   * Lists all attempts, probes included.
   *
   * @returns Attempts in the order of their end times.
   */
  history(): readonly Attempt[] {
    return this.attempts;
  }

  /**
   * Lists the periods in which keys were unavailable.
   *
   * @returns The gaps; those that have not ended last until now.
   */
  gaps(): readonly AvailabilityGap[] {
    return this.gapTracker.gaps(this.endedMs ?? wallMs());
  }

  /**
   * Lists the acknowledged POST requests.
   *
   * @returns Attempts of POST requests that were answered with a 2xx status.
   */
  acknowledgedFilings(): readonly Attempt[] {
    return this.attempts.filter(
      attempt => attempt.operation === 'post' && isAcknowledged(attempt),
    );
  }

  /**
   * Reports on the load up to now.
   *
   * @returns Counters, latencies and unavailable time.
   */
  report(): LoadReport {
    const outcomes: Record<AttemptOutcome, number> = {
      answered: 0,
      'not-run': 0,
      unknown: 0,
      timeout: 0,
      'transport-error': 0,
    };
    const reasons: Record<string, number> = {};
    const loadAttempts = this.attempts.filter(a => a.operation !== 'probe');
    for (const {outcome, reason} of loadAttempts) {
      outcomes[outcome]++;
      if (outcome === 'answered') continue;
      const cause = reason ?? 'none';
      reasons[cause] = (reasons[cause] ?? 0) + 1;
    }
    const gapsMs = this.gaps().map(gap => gap.toMs - gap.fromMs);
    const uploads = loadAttempts.filter(a => a.operation === 'upload');
    return {
      outcomes,
      reasons,
      requests: this.requests,
      resends: loadAttempts.filter(a => a.tryNumber > 0).length,
      probes: this.attempts.length - loadAttempts.length,
      skipped: this.skipped,
      checksumErrors: loadAttempts.filter(a => a.checksumOk === false).length,
      acknowledgedFilings: this.acknowledgedFilings().length,
      uploadedBytes: uploads.filter(isAcknowledged).length * this.uploadBytes(),
      latency: {
        get: summarizeLatency(this.histograms.get),
        post: summarizeLatency(this.histograms.post),
        put: summarizeLatency(this.histograms.put),
        upload: summarizeLatency(this.histograms.upload),
        probe: summarizeLatency(this.histograms.probe),
      },
      unavailableKeyMs: gapsMs.reduce((sum, ms) => sum + ms, 0),
      longestGapMs: Math.max(0, ...gapsMs),
      durationMs: (this.endedMs ?? wallMs()) - this.startedMs,
    };
  }

  private uploadBytes(): number {
    return this.options.uploadBytes ?? 1024 * 1024;
  }

  private trackTask(work: Promise<void>): void {
    this.runningTasks.add(work);
    void work.finally(() => this.runningTasks.delete(work));
  }

  private async runClosedLoop(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted && this.loop.kind === 'closed') {
      await this.sendWithResends(this.planRequest());
      await sleep(this.loop.thinkTimeMs, signal);
    }
  }

  private async runOpenLoop(): Promise<void> {
    const {signal} = this.stopping;
    let nextMs = wallMs();
    while (!signal.aborted && this.loop.kind === 'open') {
      nextMs += 1_000 / this.loop.ratePerSecond;
      await sleep(Math.max(0, nextMs - wallMs()), signal);
      if (signal.aborted) return;
      // One of the tasks is this loop itself; tasks that probe keys count too.
      if (this.runningTasks.size > this.loop.maxInFlight) this.skipped++;
      else this.trackTask(this.sendWithResends(this.planRequest()));
    }
  }

  private planRequest(): RequestPlan {
    const operation = this.drawOperation();
    const {service, uploadService, uploadKeys = 16} = this.options;
    if (operation === 'upload') {
      const keyNumber = Math.floor(this.random() * uploadKeys);
      return {
        operation,
        service: uploadService ?? service,
        key: `upload-${keyNumber}`,
        idempotencyKey: null,
        version: null,
      };
    }
    const key = this.drawKey();
    if (operation === 'post') {
      const idempotencyKey = uuidv7();
      return {operation, service, key, idempotencyKey, version: null};
    }
    // One writer per key at a time, so that the versions of a key are ordered;
    // a further write is replaced by a read.
    if (operation === 'put' && !this.keysBeingWritten.has(key)) {
      this.keysBeingWritten.add(key);
      const version = (this.versions.get(key) ?? 0) + 1;
      this.versions.set(key, version);
      return {operation, service, key, idempotencyKey: null, version};
    }
    const plan = {service, key, idempotencyKey: null, version: null};
    return {operation: 'get', ...plan};
  }

  private drawOperation(): Operation {
    const {get, post, put, upload} = this.options.mix;
    let draw = this.random() * (get + post + put + upload);
    if ((draw -= get) < 0) return 'get';
    if ((draw -= post) < 0) return 'post';
    if ((draw -= put) < 0) return 'put';
    return 'upload';
  }

  private drawKey(): string {
    // Rank 0, the most frequent one, belongs to the hot key.
    const isHotRequest = this.random() < this.hotShare;
    const rank = isHotRequest ? 0 : this.keyRanks.draw(this.random);
    return `key-${(rank + this.hottestKeyNumber) % this.options.keys}`;
  }

  /** Sends a request; resends it to the next entry VM when it may have run. */
  private async sendWithResends(plan: RequestPlan): Promise<void> {
    this.requests++;
    const firstEntry = Math.floor(this.random() * this.entries.length);
    const maxAttempts = 1 + (this.options.maxResends ?? 3);
    for (let tryNumber = 0; tryNumber < maxAttempts; tryNumber++) {
      const entry =
        this.entries[(firstEntry + tryNumber) % this.entries.length]!;
      const attempt = await this.sendAndRecord(plan, entry, tryNumber);
      const {outcome} = attempt;
      if (outcome === 'answered' || outcome === 'not-run') break;
    }
    if (plan.operation === 'put') this.keysBeingWritten.delete(plan.key);
  }

  private async sendAndRecord(
    plan: RequestPlan,
    entry: string,
    tryNumber: number,
  ): Promise<Attempt> {
    const attemptId = randomUUID();
    const startMs = wallMs();
    let answer: AnswerSummary;
    let checksum: string | null = null;
    const slowAnswerTimer = setTimeout(
      () => this.reportPendingRequest(plan, startMs),
      SLOW_ANSWER_THRESHOLD_MS,
    );
    try {
      const body = this.createBody(plan);
      answer = await this.sendOnce(plan, entry, attemptId, body);
      checksum = body.checksum();
    } catch (error) {
      answer = transportFailureOf(error);
    } finally {
      clearTimeout(slowAnswerTimer);
    }
    const endMs = wallMs();
    const wasAcknowledged =
      answer.outcome === 'answered' && answer.status < 300;
    const isRead = plan.operation === 'get' || plan.operation === 'probe';
    const attempt: Attempt = {
      attemptId,
      operation: plan.operation,
      service: plan.service,
      key: plan.key,
      idempotencyKey: plan.idempotencyKey,
      tryNumber,
      entry,
      startMs,
      endMs,
      outcome: answer.outcome,
      status: answer.status || null,
      reason: answer.reason,
      version:
        isRead && wasAcknowledged ? parseVersion(answer.text) : plan.version,
      checksumOk:
        wasAcknowledged && !isRead && METHODS[plan.operation] === 'PUT'
          ? parseChecksum(answer.text) === checksum
          : null,
    };
    this.recordAttempt(attempt);
    return attempt;
  }

  private recordAttempt(attempt: Attempt): void {
    this.attempts.push(attempt);
    this.gapTracker.add(attempt);
    const {operation, startMs, endMs, service, key} = attempt;
    if (attempt.outcome === 'answered') {
      const latencyUs = Math.max(1, Math.round((endMs - startMs) * 1_000));
      this.histograms[operation].recordValue(latencyUs);
    } else if (operation !== 'probe') {
      this.startProbing(service, key);
    }
  }

  /**
   * Starts the gap of a key whose request has waited for
   * `SLOW_ANSWER_THRESHOLD_MS`, without waiting for the request to end.
   */
  private reportPendingRequest(
    {operation, service, key}: RequestPlan,
    startMs: number,
  ) {
    // The duration of an upload depends on its size.
    if (operation === 'upload') return;
    this.gapTracker.addPendingRequest(service, key, startMs);
    if (operation !== 'probe') this.startProbing(service, key);
  }

  /** Probes an unavailable key until it answers, which ends its gap. */
  private startProbing(service: string, key: string): void {
    const intervalMs = this.options.probeIntervalMs ?? 100;
    const id = `${service}/${key}`;
    if (this.options.probeIntervalMs === null) return;
    if (this.probedKeys.has(id) || this.probedKeys.size >= MAX_PROBES) return;
    this.probedKeys.add(id);
    const probeUntilAnswered = async () => {
      const {signal} = this.stopping;
      let tryNumber = 0;
      while (!signal.aborted && this.gapTracker.isOpen(service, key)) {
        await sleep(intervalMs, signal);
        const entry = this.entries[tryNumber % this.entries.length]!;
        const plan: RequestPlan = {
          operation: 'probe',
          service,
          key,
          idempotencyKey: null,
          version: null,
        };
        await this.sendAndRecord(plan, entry, tryNumber++);
      }
      this.probedKeys.delete(id);
    };
    this.trackTask(probeUntilAnswered());
  }

  private createBody(plan: RequestPlan): RequestBody {
    if (plan.operation === 'upload') {
      return streamedBody(
        this.uploadBytes(),
        this.options.uploadChunkPauseMs ?? 0,
      );
    }
    if (plan.operation === 'put') return textBody(`v${plan.version}\n`);
    if (plan.operation === 'post') return textBody('filing');
    return {content: null, sizeBytes: 0, checksum: () => null};
  }

  private timeoutMsOf(operation: Operation): number {
    const {timeoutMs = 5_000, uploadTimeoutMs = 60_000} = this.options;
    if (operation === 'upload') return uploadTimeoutMs;
    return operation === 'probe'
      ? Math.min(timeoutMs, PROBE_TIMEOUT_MS)
      : timeoutMs;
  }

  private async sendOnce(
    plan: RequestPlan,
    entry: string,
    attemptId: string,
    body: RequestBody,
  ): Promise<AnswerSummary> {
    const timeoutMs = this.timeoutMsOf(plan.operation);
    const graceMs = plan.operation === 'probe' ? 0 : ANSWER_GRACE_MS;
    const response = await this.agent.request({
      origin: `http://${entry}`,
      path: `/${plan.service}/${plan.key}`,
      method: METHODS[plan.operation],
      headers: {
        [ATTEMPT_HEADER]: attemptId,
        [HEADERS.requestTimeoutMs]: String(timeoutMs),
        ...(plan.idempotencyKey
          ? {[HEADERS.idempotencyKey]: plan.idempotencyKey}
          : {}),
        ...(body.content === null
          ? {}
          : {'content-length': String(body.sizeBytes)}),
      },
      body: body.content,
      signal: AbortSignal.timeout(timeoutMs + graceMs),
    });
    const text = await response.body.text();
    const outcome = headerOf(response, HEADERS.outcome);
    return {
      status: response.statusCode,
      outcome:
        outcome === 'answered' || outcome === 'not-run'
          ? outcome
          : // Without a known outcome, a server may or may not have run it.
            'unknown',
      reason: headerOf(response, HEADERS.reason),
      text,
    };
  }
}

const METHODS: Readonly<Record<Operation, Dispatcher.HttpMethod>> = {
  get: 'GET',
  probe: 'GET',
  post: 'POST',
  put: 'PUT',
  upload: 'PUT',
};

interface RequestBody {
  /** Null for a request without a body. */
  readonly content: string | Readable | null;
  readonly sizeBytes: number;
  /** SHA-256 of the body in hex; null without one, or before it was sent. */
  checksum(): string | null;
}

function textBody(text: string): RequestBody {
  const checksum = createHash('sha256').update(text).digest('hex');
  return {
    content: text,
    sizeBytes: Buffer.byteLength(text),
    checksum: () => checksum,
  };
}

function streamedBody(sizeBytes: number, pauseMs: number): RequestBody {
  const hash = createHash('sha256');
  let checksum: string | null = null;
  async function* chunks() {
    for (let sent = 0; sent < sizeBytes; sent += CHUNK_BYTES) {
      if (pauseMs > 0) await sleep(pauseMs);
      const chunk = randomBytes(Math.min(CHUNK_BYTES, sizeBytes - sent));
      hash.update(chunk);
      // The answer may arrive before the generator is resumed, so the checksum
      // is computed before the last chunk is yielded.
      if (sent + chunk.length === sizeBytes) checksum = hash.digest('hex');
      yield chunk;
    }
  }
  return {
    content: Readable.from(chunks()),
    sizeBytes,
    // Null when an answer came before the whole body was sent.
    checksum: () => checksum,
  };
}

function headerOf(response: Dispatcher.ResponseData, name: string) {
  const value = response.headers[name];
  return typeof value === 'string' ? value : null;
}

function parseChecksum(text: string): string | null {
  try {
    return (JSON.parse(text) as {sha256?: string}).sha256 ?? null;
  } catch {
    return null;
  }
}

function transportFailureOf(error: unknown): AnswerSummary {
  const {name, code, message} = error as Error & {code?: string};
  const isTimeout = name === 'TimeoutError' || name === 'AbortError';
  return {
    status: 0,
    outcome: isTimeout ? 'timeout' : 'transport-error',
    reason: isTimeout ? 'timeout' : (code ?? message),
    text: '',
  };
}

function summarizeLatency(histogram: Histogram): LatencySummary {
  const isEmpty = histogram.totalCount === 0;
  const percentileMs = (percentile: number) =>
    isEmpty ? 0 : histogram.getValueAtPercentile(percentile) / 1_000;
  return {
    count: histogram.totalCount,
    p50Ms: percentileMs(50),
    p99Ms: percentileMs(99),
    maxMs: isEmpty ? 0 : histogram.maxValue / 1_000,
  };
}
