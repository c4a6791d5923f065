/** Callers that send a mixed load over real HTTP. */
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

const CHUNK_BYTES = 64 * 1024;
const MAX_PROBES = 64;
/** Short, so that a probe sent to a lost VM does not hide the next answer. */
const PROBE_TIMEOUT_MS = 1_000;
/** Time beyond the deadline in which an entry may still send its answer. */
const ANSWER_GRACE_MS = 1_000;

/** Shares of the operations in the load; they need not add up to 1. */
export interface OperationMix {
  readonly get: number;
  readonly post: number;
  readonly put: number;
  readonly upload: number;
}

/** Closed loop: each caller waits for its answer before it goes on. */
export interface ClosedLoop {
  readonly kind: 'closed';
  readonly callerCount: number;
  readonly thinkTimeMs: number;
}

/** Open loop: requests start at a rate, whether or not answers arrive. */
export interface OpenLoop {
  readonly kind: 'open';
  readonly ratePerSecond: number;
  /** Requests beyond this number in flight are skipped and counted. */
  readonly maxInFlight: number;
}

/** Options of a load. */
export interface CallerLoadOptions {
  /** Addresses of the entry VMs, `host:port`. */
  readonly entries: readonly string[];
  /** Service of reads, filings and small writes. */
  readonly service: string;
  readonly keys: number;
  readonly uploadService?: string;
  readonly uploadKeys?: number;
  readonly uploadBytes?: number;
  /** Pause between the chunks of an upload. */
  readonly uploadChunkPauseMs?: number;
  readonly mix: OperationMix;
  readonly loop: ClosedLoop | OpenLoop;
  /** Skew of the keys; 0 gives equal shares. Default 0.9. */
  readonly zipfExponent?: number;
  /** Share of requests that go to the hot key in addition. Default 0. */
  readonly hotShare?: number;
  readonly timeoutMs?: number;
  readonly uploadTimeoutMs?: number;
  /** Further tries of a request without a certain outcome. Default 3. */
  readonly maxResends?: number;
  /** Interval at which a key without answer is asked; null for never. */
  readonly probeIntervalMs?: number | null;
  readonly seed?: number;
}

/** Latency percentiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Result of a load. */
export interface LoadReport {
  /** Attempts per outcome, probes left out. */
  readonly outcomes: Readonly<Record<AttemptOutcome, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  readonly requests: number;
  readonly resends: number;
  readonly probes: number;
  /** Starts that the open loop left out at its limit. */
  readonly skipped: number;
  readonly checksumErrors: number;
  readonly acknowledgedFilings: number;
  readonly uploadedBytes: number;
  readonly latency: Readonly<Record<Operation, LatencySummary>>;
  readonly unavailableKeyMs: number;
  readonly longestGapMs: number;
  readonly durationMs: number;
}

interface RequestPlan {
  readonly operation: Operation;
  readonly service: string;
  readonly key: string;
  readonly idempotencyKey: string | null;
  readonly version: number | null;
}

interface Answer {
  readonly status: number;
  readonly outcome: AttemptOutcome;
  readonly reason: string | null;
  readonly text: string;
}

/** Mixed load of real HTTP callers against several entry VMs. */
export class CallerLoad {
  private readonly agent: Agent;
  private readonly random: Random;
  private readonly ranks: ZipfRanks;
  private readonly gapTracker = new AvailabilityGapTracker();
  private readonly attempts: Attempt[] = [];
  private readonly histograms: Record<Operation, Histogram>;
  private readonly versions = new Map<string, number>();
  private readonly writing = new Set<string>();
  private readonly probing = new Set<string>();
  private readonly inFlight = new Set<Promise<void>>();
  private readonly stopping = new AbortController();
  private entries: readonly string[];
  private loop: ClosedLoop | OpenLoop;
  private keyShift = 0;
  private hotShare: number;
  private requests = 0;
  private skipped = 0;
  private startedMs = 0;
  private endedMs: number | null = null;

  constructor(private readonly options: CallerLoadOptions) {
    this.agent = new Agent({connections: 256, headersTimeout: 0});
    this.random = seededRandom(options.seed ?? 1);
    this.ranks = new ZipfRanks(options.keys, options.zipfExponent ?? 0.9);
    this.entries = options.entries;
    // Every caller and every probe waits on this signal.
    setMaxListeners(0, this.stopping.signal);
    this.loop = options.loop;
    this.hotShare = options.hotShare ?? 0;
    const histogram = () =>
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000_000,
        numberOfSignificantValueDigits: 3,
      });
    this.histograms = {
      get: histogram(),
      post: histogram(),
      put: histogram(),
      upload: histogram(),
      probe: histogram(),
    };
  }

  /** Starts the load. */
  start(): void {
    this.startedMs = wallMs();
    if (this.loop.kind === 'open') return this.track(this.runOpen());
    for (let i = 0; i < this.loop.callerCount; i++)
      this.track(this.runClosed());
  }

  /** Starts no more requests and waits for those in flight. */
  async stop(): Promise<void> {
    this.stopping.abort();
    while (this.inFlight.size > 0) await Promise.all(this.inFlight);
    this.endedMs ??= wallMs();
    await this.agent.close();
  }

  /** Replaces the entry VMs that callers know. */
  setEntries(entries: readonly string[]): void {
    this.entries = entries;
  }

  /** Changes the rate of an open loop. */
  setRate(ratePerSecond: number): void {
    if (this.loop.kind === 'open') this.loop = {...this.loop, ratePerSecond};
  }

  /**
   * Makes another key the hottest.
   *
   * @param keyNumber - Number of the key, from 0.
   * @param hotShare - Share of requests sent to it in addition, if changed.
   */
  setHotKey(keyNumber: number, hotShare = this.hotShare): void {
    this.keyShift = keyNumber;
    this.hotShare = hotShare;
  }

  /** All attempts in the order of their ends. */
  history(): readonly Attempt[] {
    return this.attempts;
  }

  /** Times during which keys gave no answer. */
  gaps(): readonly AvailabilityGap[] {
    return this.gapTracker.gaps(this.endedMs ?? wallMs());
  }

  /** Filings that an answer of success acknowledged. */
  acknowledgedFilings(): readonly Attempt[] {
    return this.attempts.filter(
      attempt => attempt.operation === 'post' && isAcknowledged(attempt),
    );
  }

  /** Counters, latencies and unavailable time up to now. */
  report(): LoadReport {
    const outcomes: Record<AttemptOutcome, number> = {
      answered: 0,
      'not-run': 0,
      unknown: 0,
      timeout: 0,
      'transport-error': 0,
    };
    const reasons: Record<string, number> = {};
    const load = this.attempts.filter(a => a.operation !== 'probe');
    for (const {outcome, reason} of load) {
      outcomes[outcome]++;
      if (outcome === 'answered') continue;
      const cause = reason ?? 'none';
      reasons[cause] = (reasons[cause] ?? 0) + 1;
    }
    const gapsMs = this.gaps().map(gap => gap.toMs - gap.fromMs);
    const uploads = load.filter(a => a.operation === 'upload');
    return {
      outcomes,
      reasons,
      requests: this.requests,
      resends: load.filter(a => a.tryNumber > 0).length,
      probes: this.attempts.length - load.length,
      skipped: this.skipped,
      checksumErrors: load.filter(a => a.checksumOk === false).length,
      acknowledgedFilings: this.acknowledgedFilings().length,
      uploadedBytes: uploads.filter(isAcknowledged).length * this.uploadBytes(),
      latency: {
        get: latencyOf(this.histograms.get),
        post: latencyOf(this.histograms.post),
        put: latencyOf(this.histograms.put),
        upload: latencyOf(this.histograms.upload),
        probe: latencyOf(this.histograms.probe),
      },
      unavailableKeyMs: gapsMs.reduce((sum, ms) => sum + ms, 0),
      longestGapMs: Math.max(0, ...gapsMs),
      durationMs: (this.endedMs ?? wallMs()) - this.startedMs,
    };
  }

  private uploadBytes(): number {
    return this.options.uploadBytes ?? 1024 * 1024;
  }

  private track(work: Promise<void>): void {
    this.inFlight.add(work);
    void work.finally(() => this.inFlight.delete(work));
  }

  private async runClosed(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted && this.loop.kind === 'closed') {
      await this.send(this.planRequest());
      await sleep(this.loop.thinkTimeMs, signal);
    }
  }

  private async runOpen(): Promise<void> {
    const {signal} = this.stopping;
    let nextMs = wallMs();
    while (!signal.aborted && this.loop.kind === 'open') {
      nextMs += 1_000 / this.loop.ratePerSecond;
      await sleep(Math.max(0, nextMs - wallMs()), signal);
      if (signal.aborted) return;
      if (this.inFlight.size > this.loop.maxInFlight) this.skipped++;
      else this.track(this.send(this.planRequest()));
    }
  }

  private planRequest(): RequestPlan {
    const operation = this.drawOperation();
    const {service, uploadService, uploadKeys = 16} = this.options;
    if (operation === 'upload') {
      const number = Math.floor(this.random() * uploadKeys);
      return {
        operation,
        service: uploadService ?? service,
        key: `upload-${number}`,
        idempotencyKey: null,
        version: null,
      };
    }
    const key = this.drawKey();
    if (operation === 'post') {
      const idempotencyKey = uuidv7();
      return {operation, service, key, idempotencyKey, version: null};
    }
    // One writer per key at a time, so that versions have one order.
    if (operation === 'put' && !this.writing.has(key)) {
      this.writing.add(key);
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
    const hot = this.random() < this.hotShare;
    const rank = hot ? 0 : this.ranks.draw(this.random);
    return `key-${(rank + this.keyShift) % this.options.keys}`;
  }

  /** Sends a request, and again elsewhere while its outcome is uncertain. */
  private async send(plan: RequestPlan): Promise<void> {
    this.requests++;
    const first = Math.floor(this.random() * this.entries.length);
    const tries = 1 + (this.options.maxResends ?? 3);
    for (let number = 0; number < tries; number++) {
      const entry = this.entries[(first + number) % this.entries.length]!;
      const attempt = await this.attempt(plan, entry, number);
      const {outcome} = attempt;
      if (outcome === 'answered' || outcome === 'not-run') break;
    }
    if (plan.operation === 'put') this.writing.delete(plan.key);
  }

  private async attempt(
    plan: RequestPlan,
    entry: string,
    tryNumber: number,
  ): Promise<Attempt> {
    const attemptId = randomUUID();
    const startMs = wallMs();
    let answer: Answer;
    let checksum: string | null = null;
    const waiting = setTimeout(
      () => this.noteWaiting(plan, startMs),
      SLOW_ANSWER_THRESHOLD_MS,
    );
    try {
      const body = this.bodyOf(plan);
      answer = await this.exchange(plan, entry, attemptId, body);
      checksum = body.checksum();
    } catch (error) {
      answer = failureOf(error);
    } finally {
      clearTimeout(waiting);
    }
    const endMs = wallMs();
    const acknowledged = answer.outcome === 'answered' && answer.status < 300;
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
        isRead && acknowledged ? parseVersion(answer.text) : plan.version,
      checksumOk:
        acknowledged && !isRead && METHODS[plan.operation] === 'PUT'
          ? checksumIn(answer.text) === checksum
          : null,
    };
    this.note(attempt);
    return attempt;
  }

  private note(attempt: Attempt): void {
    this.attempts.push(attempt);
    this.gapTracker.add(attempt);
    const {operation, startMs, endMs, service, key} = attempt;
    if (attempt.outcome === 'answered') {
      const micros = Math.max(1, Math.round((endMs - startMs) * 1_000));
      this.histograms[operation].recordValue(micros);
    } else if (operation !== 'probe') {
      this.probe(service, key);
    }
  }

  private noteWaiting({operation, service, key}: RequestPlan, startMs: number) {
    // The time of an upload depends on its size.
    if (operation === 'upload') return;
    this.gapTracker.addPendingRequest(service, key, startMs);
    if (operation !== 'probe') this.probe(service, key);
  }

  /** Asks a key without an answer again until it answers, to end its gap. */
  private probe(service: string, key: string): void {
    const intervalMs = this.options.probeIntervalMs ?? 100;
    const id = `${service}/${key}`;
    if (this.options.probeIntervalMs === null) return;
    if (this.probing.has(id) || this.probing.size >= MAX_PROBES) return;
    this.probing.add(id);
    const run = async () => {
      const {signal} = this.stopping;
      let number = 0;
      while (!signal.aborted && this.gapTracker.isOpen(service, key)) {
        await sleep(intervalMs, signal);
        const entry = this.entries[number % this.entries.length]!;
        const plan: RequestPlan = {
          operation: 'probe',
          service,
          key,
          idempotencyKey: null,
          version: null,
        };
        await this.attempt(plan, entry, number++);
      }
      this.probing.delete(id);
    };
    this.track(run());
  }

  private bodyOf(plan: RequestPlan): OutgoingBody {
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

  private async exchange(
    plan: RequestPlan,
    entry: string,
    attemptId: string,
    body: OutgoingBody,
  ): Promise<Answer> {
    const limitMs = this.timeoutMsOf(plan.operation);
    const graceMs = plan.operation === 'probe' ? 0 : ANSWER_GRACE_MS;
    const response = await this.agent.request({
      origin: `http://${entry}`,
      path: `/${plan.service}/${plan.key}`,
      method: METHODS[plan.operation],
      headers: {
        [ATTEMPT_HEADER]: attemptId,
        [HEADERS.requestTimeoutMs]: String(limitMs),
        ...(plan.idempotencyKey
          ? {[HEADERS.idempotencyKey]: plan.idempotencyKey}
          : {}),
        ...(body.content === null
          ? {}
          : {'content-length': String(body.sizeBytes)}),
      },
      body: body.content,
      signal: AbortSignal.timeout(limitMs + graceMs),
    });
    const text = await response.body.text();
    const outcome = textOf(response, HEADERS.outcome);
    return {
      status: response.statusCode,
      outcome:
        outcome === 'answered' || outcome === 'not-run'
          ? outcome
          : // An answer without a known outcome proves nothing.
            'unknown',
      reason: textOf(response, HEADERS.reason),
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

interface OutgoingBody {
  readonly content: string | Readable | null;
  readonly sizeBytes: number;
  /** SHA-256 of what was sent; null when it is not checked. */
  checksum(): string | null;
}

function textBody(text: string): OutgoingBody {
  const checksum = createHash('sha256').update(text).digest('hex');
  return {
    content: text,
    sizeBytes: Buffer.byteLength(text),
    checksum: () => checksum,
  };
}

function streamedBody(sizeBytes: number, pauseMs: number): OutgoingBody {
  const hash = createHash('sha256');
  let checksum: string | null = null;
  async function* chunks() {
    for (let sent = 0; sent < sizeBytes; sent += CHUNK_BYTES) {
      if (pauseMs > 0) await sleep(pauseMs);
      const chunk = randomBytes(Math.min(CHUNK_BYTES, sizeBytes - sent));
      hash.update(chunk);
      // The answer may arrive before the generator is asked to go on.
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

function textOf(response: Dispatcher.ResponseData, name: string) {
  const value = response.headers[name];
  return typeof value === 'string' ? value : null;
}

function checksumIn(text: string): string | null {
  try {
    return (JSON.parse(text) as {sha256?: string}).sha256 ?? null;
  } catch {
    return null;
  }
}

function failureOf(error: unknown): Answer {
  const {name, code, message} = error as Error & {code?: string};
  const timeout = name === 'TimeoutError' || name === 'AbortError';
  return {
    status: 0,
    outcome: timeout ? 'timeout' : 'transport-error',
    reason: timeout ? 'timeout' : (code ?? message),
    text: '',
  };
}

function latencyOf(histogram: Histogram): LatencySummary {
  const empty = histogram.totalCount === 0;
  const atMs = (percentile: number) =>
    empty ? 0 : histogram.getValueAtPercentile(percentile) / 1_000;
  return {
    count: histogram.totalCount,
    p50Ms: atMs(50),
    p99Ms: atMs(99),
    maxMs: empty ? 0 : histogram.maxValue / 1_000,
  };
}
