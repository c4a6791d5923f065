/** Appends that survive lost answers. */
import {ERRORS, type LogRecord, type StoredRecord} from '@wisteriarun/core';
import {Result} from 'true-myth';
import type {AppendError, LogClient} from './log-client.js';
import {
  LOG_BACKOFF,
  PROCESS_TIMING,
  backoffMs,
  type Backoff,
  type Timing,
} from './utils/timing.js';

/**
 * Least time for a further try. A try that is cut short while the service is
 * refusing would turn a certain failure into an uncertain one.
 */
const MIN_ATTEMPT_MS = 100;

/** Settings of an appender. */
export interface LogAppenderOptions {
  readonly client: LogClient;
  readonly timing?: Timing;
  readonly backoff?: Backoff;
}

/** Settings of one append. */
export interface AppendRequest {
  /** First offset that the author had not read before the append. */
  readonly from: number;
  /** Time for all tries and searches together. */
  readonly timeoutMs: number;
  /**
   * Tells whether a record of another author makes this one stale, so that it
   * is not appended again.
   */
  readonly isStaleAfter?: (stored: StoredRecord) => boolean;
  /** Gives up, as when the time is over. */
  readonly signal?: AbortSignal;
}

/** Where the search for a record stands after a lost answer. */
type SearchResult =
  | {readonly kind: 'found'; readonly offset: number}
  | {readonly kind: 'stale'; readonly offset: number}
  | {readonly kind: 'absent'}
  | {readonly kind: 'unknown'; readonly detail: string};

/** State of one append across its tries. */
interface PendingAppend {
  readonly record: LogRecord;
  readonly request: AppendRequest;
  readonly deadlineMs: number;
  /** Next offset to search. */
  nextOffset: number;
  failures: number;
  /** Whether an earlier try may still take effect. */
  mayBeAppended: boolean;
}

/**
 * Appends records. After a lost answer it looks for the record on the stream
 * and appends again only when the record isn't there. A try that the service
 * delays beyond the search can still add a second copy; the fold rejects it.
 */
export class LogAppender {
  private readonly client: LogClient;
  private readonly timing: Timing;
  private readonly backoff: Backoff;

  /** @param options - Client, and replacements for tests. */
  constructor({client, timing, backoff}: LogAppenderOptions) {
    this.client = client;
    this.timing = timing ?? PROCESS_TIMING;
    this.backoff = backoff ?? LOG_BACKOFF;
  }

  /**
   * Appends a record, with further tries until the time is over.
   *
   * @param record - The record; its id must be unique.
   * @param request - Base offset and limits.
   * @returns The record's offset, which says nothing about its acceptance;
   * `stale-base` when another record made it stale after a lost answer;
   * `log-unavailable` when it was certainly not appended; `append-uncertain`
   * when it may have been.
   */
  async append(
    record: LogRecord,
    request: AppendRequest,
  ): Promise<
    Result<number, AppendError | ReturnType<typeof ERRORS.staleBase>>
  > {
    const pending: PendingAppend = {
      record,
      request,
      deadlineMs: this.timing.nowMs() + request.timeoutMs,
      nextOffset: request.from,
      failures: 0,
      mayBeAppended: false,
    };
    for (;;) {
      const appended = await this.sendAppend(pending);
      if (appended.isOk) return appended;
      if (appended.error.kind === 'append-uncertain') {
        pending.mayBeAppended = true;
        const search = await this.searchRecord(pending);
        if (search.kind === 'found') return Result.ok(search.offset);
        if (search.kind === 'stale') {
          const detail = 'another record was accepted first';
          return Result.err(ERRORS.staleBase(detail, search.offset));
        }
        if (search.kind === 'unknown') {
          return Result.err(ERRORS.appendUncertain(record.id, search.detail));
        }
      }
      if (!(await this.waitForRetry(pending))) {
        return Result.err(
          pending.mayBeAppended
            ? ERRORS.appendUncertain(record.id, appended.error.detail)
            : appended.error,
        );
      }
    }
  }

  private sendAppend({record, request, deadlineMs}: PendingAppend) {
    const {signal} = request;
    const timeoutMs = deadlineMs - this.timing.nowMs();
    return this.client.append(record, {
      ...this.attemptTimeout(timeoutMs),
      signal,
    });
  }

  /** Reads the stream up to its end at a time after the lost answer. */
  private async searchRecord(pending: PendingAppend): Promise<SearchResult> {
    const {request, deadlineMs} = pending;
    for (;;) {
      const timeoutMs = deadlineMs - this.timing.nowMs();
      if (timeoutMs <= 0) return {kind: 'unknown', detail: 'time is over'};
      const batch = await this.client.read(pending.nextOffset, {
        ...this.attemptTimeout(timeoutMs),
        signal: request.signal,
      });
      if (batch.isOk) {
        const match = findRecord(pending, batch.value.records);
        if (match !== null) return match;
        pending.nextOffset = batch.value.next;
        if (batch.value.atEnd) return {kind: 'absent'};
        continue;
      }
      if (batch.error.kind === 'log-expired') {
        return {kind: 'unknown', detail: 'records expired unread'};
      }
      if (!(await this.waitForRetry(pending))) {
        return {kind: 'unknown', detail: batch.error.detail};
      }
    }
  }

  // The client's own limit applies when it is the shorter one.
  private attemptTimeout(remainingMs: number): {timeoutMs: number} {
    return {timeoutMs: Math.min(remainingMs, this.client.timeoutMs)};
  }

  /** Waits before the next try; false when the time is over. */
  private async waitForRetry(pending: PendingAppend): Promise<boolean> {
    const {request, deadlineMs} = pending;
    pending.failures += 1;
    const {timing, backoff} = this;
    const waitMs = backoffMs(backoff, pending.failures, timing.random());
    const nextAttemptMs = timing.nowMs() + waitMs;
    if (nextAttemptMs + MIN_ATTEMPT_MS > deadlineMs) return false;
    await timing.sleep(waitMs, request.signal);
    return request.signal?.aborted !== true;
  }
}

function findRecord(
  {record, request}: PendingAppend,
  records: readonly StoredRecord[],
): SearchResult | null {
  for (const stored of records) {
    const {offset} = stored;
    if (idOf(stored.record) === record.id) return {kind: 'found', offset};
    if (request.isStaleAfter?.(stored)) return {kind: 'stale', offset};
  }
  return null;
}

function idOf(record: unknown): unknown {
  return typeof record === 'object' && record !== null && 'id' in record
    ? record.id
    : undefined;
}
