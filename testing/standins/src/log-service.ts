/**
 * Stand-in for the append-only log service that the daemon uses over HTTP.
 * Gateways use `PlatformStore` instead.
 */
import {setMaxListeners} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import type {StoredRecord} from '@wisteriarun/core';
import {
  HttpEndpoint,
  headerOf,
  readJson,
  sendJson,
  type Address,
  type ListenOptions,
} from './utils/http-endpoint.js';
import {sleep} from './utils/time.js';

/** Header that names the client, for faults that affect one client only. */
export const CLIENT_HEADER = 'x-wisteriarun-client';

/** Upper limit of the `limit` parameter of a read. */
const MAX_RECORDS_PER_READ = 1_000;
/** Upper limit of the `waitMs` parameter of a read. */
const MAX_WAIT_MS = 30_000;

/** Faults and limits of the log service. */
export const logFaultsSchema = z.strictObject({
  /** Whether all appends and reads are answered with 503. */
  outage: z.boolean(),
  /** Delay of every append and read. */
  slowMs: z.number().min(0),
  /** Number of the next appends that are stored but not acknowledged. */
  loseAnswers: z.int().min(0),
  /** Values of `x-wisteriarun-client` whose requests are answered with 503. */
  clientOutages: z.array(z.string()),
  /** Quota of accepted appends per second; null for no quota. */
  appendsPerSecond: z.number().positive().nullable(),
  /** Maximum number of records kept per stream; null for no limit. */
  retainCount: z.int().min(1).nullable(),
  /** Maximum age of kept records; null for no limit. */
  retainAgeMs: z.number().positive().nullable(),
});
/** Parsed faults and limits of the log service. */
export type LogFaults = z.infer<typeof logFaultsSchema>;

/** Options of the log service: its address and initial faults. */
export interface LogServiceOptions
  extends ListenOptions, Readonly<Partial<LogFaults>> {}

/** Counters of the log service since its start. */
export interface LogCounters {
  /** Stored records per record kind. */
  readonly appends: Readonly<Record<string, number>>;
  /** Appends answered with 503 or 429. */
  readonly appendsRefused: number;
  /** Stored records whose acknowledgment was not sent. */
  readonly answersLost: number;
  /** Reads that were not refused. */
  readonly reads: number;
  /** Reads answered with 503. */
  readonly readsRefused: number;
}

interface StoredEntry extends StoredRecord {
  readonly storedAtMs: number;
}

interface Stream {
  entries: StoredEntry[];
  nextOffset: number;
  /** Callbacks that end the long polls of the stream. */
  readonly waiters: Set<() => void>;
}

/** Keeps a log in memory, with faults that can be changed at run time. */
export class LogService {
  private readonly endpoint = new HttpEndpoint((request, response) =>
    this.handle(request, response),
  );
  private readonly streams = new Map<string, Stream>();
  private readonly appends: Record<string, number> = {};
  private appendsRefused = 0;
  private answersLost = 0;
  private reads = 0;
  private readsRefused = 0;
  /**
   * Times of the appends over HTTP that were accepted within the last second;
   * recorded only while a quota is set.
   */
  private appendTimesMs: number[] = [];
  private readonly closing = new AbortController();
  private faults: LogFaults;

  /**
   * @param options - Address and initial faults; all optional.
   */
  constructor(private readonly options: LogServiceOptions = {}) {
    // Every delayed request adds a listener to this signal, which Node would
    // report as a leak above its default limit.
    setMaxListeners(0, this.closing.signal);
    this.faults = {
      outage: options.outage ?? false,
      slowMs: options.slowMs ?? 0,
      loseAnswers: options.loseAnswers ?? 0,
      clientOutages: options.clientOutages ?? [],
      appendsPerSecond: options.appendsPerSecond ?? null,
      retainCount: options.retainCount ?? null,
      retainAgeMs: options.retainAgeMs ?? null,
    };
  }

  /**
   * Starts to listen.
   *
   * @returns The address on which the log is served.
   */
  start(): Promise<Address> {
    return this.endpoint.start(this.options);
  }

  /** Stops listening, ends all waiting requests and destroys connections. */
  async close(): Promise<void> {
    this.closing.abort();
    for (const stream of this.streams.values()) this.wakeWaiters(stream);
    await this.endpoint.close();
  }

  /**
   * Changes faults and ends all long polls, so that a new outage fails them.
   *
   * @param change - Faults to replace; absent ones keep their value.
   */
  setFaults(change: Partial<LogFaults>): void {
    this.faults = {...this.faults, ...change};
    for (const stream of this.streams.values()) this.wakeWaiters(stream);
  }

  /**
   * Returns the faults in force.
   *
   * @returns All faults with their present values.
   */
  currentFaults(): LogFaults {
    return this.faults;
  }

  /**
   * Returns the counters since the start.
   *
   * @returns A copy of the counters.
   */
  counters(): LogCounters {
    return {
      appends: {...this.appends},
      appendsRefused: this.appendsRefused,
      answersLost: this.answersLost,
      reads: this.reads,
      readsRefused: this.readsRefused,
    };
  }

  /**
   * Lists the records of a stream that have not expired.
   *
   * @param name - Name of the stream.
   * @returns Records in the order of their offsets.
   */
  records(name: string): readonly StoredRecord[] {
    const stream = this.stream(name);
    this.removeExpired(stream);
    return stream.entries.map(({offset, record}) => ({offset, record}));
  }

  /**
   * Stores a record directly, bypassing the HTTP interface and the faults.
   *
   * @param name - Name of the stream.
   * @param record - The record.
   * @returns The offset of the record.
   */
  append(name: string, record: unknown): number {
    const stream = this.stream(name);
    const offset = stream.nextOffset++;
    stream.entries.push({offset, record, storedAtMs: performance.now()});
    const kind = kindOf(record);
    this.appends[kind] = (this.appends[kind] ?? 0) + 1;
    this.removeExpired(stream);
    this.wakeWaiters(stream);
    return offset;
  }

  private stream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = {entries: [], nextOffset: 1, waiters: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }

  private wakeWaiters(stream: Stream): void {
    for (const waiter of [...stream.waiters]) waiter();
  }

  private removeExpired(stream: Stream): void {
    const {retainCount, retainAgeMs} = this.faults;
    if (retainCount !== null && stream.entries.length > retainCount) {
      stream.entries = stream.entries.slice(-retainCount);
    }
    if (retainAgeMs !== null) {
      const oldestMs = performance.now() - retainAgeMs;
      stream.entries = stream.entries.filter(e => e.storedAtMs >= oldestMs);
    }
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://localhost');
    if (url.pathname === '/control') {
      return this.handleControl(request, response);
    }
    const match = /^\/streams\/([^/]+)\/records$/.exec(url.pathname);
    if (!match) return sendJson(response, 404, {error: 'unknown path'});
    const name = decodeURIComponent(match[1]!);
    if (request.method === 'POST') {
      return this.handleAppend(name, request, response);
    }
    if (request.method === 'GET') {
      return this.handleRead(name, url, request, response);
    }
    sendJson(response, 405, {error: 'unknown method'});
  }

  private async handleControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'POST') {
      this.setFaults(logFaultsSchema.partial().parse(await readJson(request)));
    }
    sendJson(response, 200, {
      faults: this.faults,
      counters: this.counters(),
    });
  }

  private isOutageFor(request: IncomingMessage): boolean {
    const client = headerOf(request, CLIENT_HEADER);
    return (
      this.faults.outage ||
      (client !== null && this.faults.clientOutages.includes(client))
    );
  }

  private async handleAppend(
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readJson(request)) as {record?: unknown};
    await sleep(this.faults.slowMs, this.closing.signal);
    if (this.isOutageFor(request)) {
      this.appendsRefused++;
      return sendJson(response, 503, {error: 'outage'});
    }
    if (typeof body.record !== 'object' || body.record === null) {
      return sendJson(response, 400, {error: 'record missing'});
    }
    if (!this.admitAppend()) {
      this.appendsRefused++;
      return sendJson(response, 429, {error: 'rate'}, {'retry-after': '1'});
    }
    const offset = this.append(name, body.record);
    if (this.faults.loseAnswers > 0) {
      this.faults = {
        ...this.faults,
        loseAnswers: this.faults.loseAnswers - 1,
      };
      this.answersLost++;
      request.socket.destroy();
      return;
    }
    sendJson(response, 201, {offset});
  }

  /** Counts an append against the quota; false when the quota is used up. */
  private admitAppend(): boolean {
    const limit = this.faults.appendsPerSecond;
    if (limit === null) return true;
    const nowMs = performance.now();
    this.appendTimesMs = this.appendTimesMs.filter(at => at > nowMs - 1_000);
    if (this.appendTimesMs.length >= limit) return false;
    this.appendTimesMs.push(nowMs);
    return true;
  }

  /**
   * Answers with the records from offset `from` on. `first` is the lowest
   * offset that has not expired and `next` the offset from which to read on.
   * Without a record to return, it first waits up to `waitMs` for one. Answers
   * 410 when `from` has expired.
   */
  private async handleRead(
    name: string,
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const from = integerParameterOf(url, 'from', 1);
    const limit = Math.min(
      integerParameterOf(url, 'limit', 100),
      MAX_RECORDS_PER_READ,
    );
    const waitMs = Math.min(integerParameterOf(url, 'waitMs', 0), MAX_WAIT_MS);
    const stream = this.stream(name);
    await sleep(this.faults.slowMs, this.closing.signal);
    if (waitMs > 0 && from >= stream.nextOffset && !this.isOutageFor(request)) {
      await this.waitForRecord(stream, waitMs, response);
    }
    // An outage that begins during a long poll fails the poll as well.
    if (this.isOutageFor(request)) {
      this.readsRefused++;
      return sendJson(response, 503, {error: 'outage'});
    }
    this.reads++;
    this.removeExpired(stream);
    const first = stream.entries[0]?.offset ?? stream.nextOffset;
    if (from < first) return sendJson(response, 410, {first});
    const records = stream.entries
      .slice(from - first, from - first + limit)
      .map(({offset, record}) => ({offset, record}));
    const next = records.at(-1)?.offset;
    sendJson(response, 200, {
      first,
      // A reader that asked for an offset beyond the end goes on at the end.
      next: next === undefined ? Math.min(from, stream.nextOffset) : next + 1,
      records,
    });
  }

  /**
   * Waits until a record is appended, faults change, the connection closes or
   * the time is over.
   */
  private async waitForRecord(
    stream: Stream,
    waitMs: number,
    response: ServerResponse,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort();
    stream.waiters.add(wake);
    response.on('close', wake);
    await sleep(waitMs, woken.signal);
    stream.waiters.delete(wake);
    response.off('close', wake);
  }
}

function kindOf(record: unknown): string {
  const kind = (record as {kind?: unknown} | null)?.kind;
  return typeof kind === 'string' ? kind : 'other';
}

/**
 * Returns a query parameter, or the fallback when the parameter is absent or
 * not an integer from 0 up.
 */
function integerParameterOf(url: URL, name: string, fallback: number): number {
  const value = Number(url.searchParams.get(name) ?? fallback);
  return Number.isInteger(value) && value >= 0 ? value : fallback;
}
