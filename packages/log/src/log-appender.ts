/** Appends records to the log and retries when an answer is lost. */
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
 * A retry is made only when at least this much time is left. An attempt that
 * the deadline cuts short counts as uncertain even when the service refuses
 * every append.
 */
const MIN_ATTEMPT_MS = 100;

/** Options of a `LogAppender`. */
export interface LogAppenderOptions {
  readonly client: LogClient;
  readonly timing?: Timing;
  readonly backoff?: Backoff;
}

/** Options of one append. */
export interface AppendRequest {
  /**
   * First offset that the author had not read before the append. The search
   * for the record starts here.
   */
  readonly from: number;
  /** Time limit of all attempts and searches together. */
  readonly timeoutMs: number;
  /**
   * Returns true when a stored record makes this one stale, so that it must
   * not be appended again.
   */
  readonly isStaleAfter?: (stored: StoredRecord) => boolean;
  /** Aborts the append, with the same results as when the time runs out. */
  readonly signal?: AbortSignal;
}

/** Result of the search for a record after its answer was lost. */
type SearchResult =
  | {readonly kind: 'found'; readonly offset: number}
  | {readonly kind: 'stale'; readonly offset: number}
  | {readonly kind: 'absent'}
  | {readonly kind: 'unknown'; readonly detail: string};

/** State of one append, kept across its attempts. */
interface PendingAppend {
  readonly record: LogRecord;
  readonly request: AppendRequest;
  readonly deadlineMs: number;
  /** Next offset to search. */
  next: number;
  failures: number;
  /** True when an earlier attempt may have been or may yet be stored. */
  mayBeAppended: boolean;
}

/**
 * Appends records. After a lost answer it reads the stream to look for the
 * record and appends it again only when it is not there. When the service
 * carries out a delayed append after that search, the stream holds the record
 * twice; every reader rejects the second copy when it folds the records.
 */
export class LogAppender {
  private readonly client: LogClient;
  private readonly timing: Timing;
  private readonly backoff: Backoff;

  /** @param options - Client; timing and backoff are replaced in tests. */
  constructor({client, timing, backoff}: LogAppenderOptions) {
    this.client = client;
    this.timing = timing ?? PROCESS_TIMING;
    this.backoff = backoff ?? LOG_BACKOFF;
  }

  /**
   * Appends a record and retries until it is stored or the time runs out.
   *
   * @param record - The record; its id must be unique.
   * @param request - Offset to search from, time limit and staleness check.
   * @returns The record's offset, which does not mean that the readers accept
   * the record; `stale-base` when an answer was lost and the stream then held
   * a record that makes this one stale; `log-unavailable` when the record was
   * certainly not appended; `append-uncertain` when it may have been.
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
      next: request.from,
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

  /**
   * Searches the stream for the record, until a read that began after the
   * answer was lost has reached the end of the stream.
   */
  private async searchRecord(pending: PendingAppend): Promise<SearchResult> {
    const {request, deadlineMs} = pending;
    for (;;) {
      const timeoutMs = deadlineMs - this.timing.nowMs();
      if (timeoutMs <= 0)
        return {kind: 'unknown', detail: 'time limit reached'};
      const batch = await this.client.read(pending.next, {
        ...this.attemptTimeout(timeoutMs),
        signal: request.signal,
      });
      if (batch.isOk) {
        const match = findRecord(pending, batch.value.records);
        if (match !== null) return match;
        pending.next = batch.value.next;
        if (batch.value.atEnd) return {kind: 'absent'};
        continue;
      }
      if (batch.error.kind === 'log-expired') {
        return {
          kind: 'unknown',
          detail: 'records expired before they were searched',
        };
      }
      if (!(await this.waitForRetry(pending))) {
        return {kind: 'unknown', detail: batch.error.detail};
      }
    }
  }

  /** Limits one attempt to the remaining time and the client's time limit. */
  private attemptTimeout(remainingMs: number): {timeoutMs: number} {
    return {timeoutMs: Math.min(remainingMs, this.client.timeoutMs)};
  }

  /**
   * Waits for the backoff; false when the append was aborted or too little
   * time is left for another attempt.
   */
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
