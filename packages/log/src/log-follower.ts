/** Stream of a log's records. */
import type {StoredRecord} from '@wisteriarun/core';
import type {Stream} from 'most';
import type {LogBatch, LogClient, ReadError} from './log-client.js';
import {Subject} from './utils/subject.js';
import {
  LOG_BACKOFF,
  PROCESS_TIMING,
  backoffMs,
  type Backoff,
  type Timing,
} from './utils/timing.js';

/**
 * Default wait of a long poll. Policy `lapse` needs a finished read at least
 * every 700 ms, so it leaves time for an answer and a failed try.
 */
const DEFAULT_WAIT_MS = 250;

/** Whether a follower reaches the log, and how current it is. */
export interface FollowerStatus {
  readonly up: boolean;
  /** Next offset to read. */
  readonly next: number;
  /**
   * Monotonic time at which the latest read started that found no unread
   * record after it; null before the first one. All records that were on the
   * stream at this time have been passed on.
   */
  readonly currentAtMs: number | null;
  /**
   * Why the log is down, or null. After `log-expired` the follower stops: the
   * reader needs a newer state first.
   */
  readonly error: ReadError | null;
}

/** Settings of a follower. */
export interface LogFollowerOptions {
  readonly client: LogClient;
  /** First offset wanted. */
  readonly from: number;
  /** Wait of a long poll. */
  readonly waitMs?: number;
  /** Largest number of records in a batch. */
  readonly limit?: number;
  readonly timing?: Timing;
  readonly backoff?: Backoff;
}

/** Reads a stream in order, without gaps, for as long as it is open. */
export class LogFollower {
  private readonly options: LogFollowerOptions;
  private readonly timing: Timing;
  private readonly batchSubject = new Subject<readonly StoredRecord[]>();
  private readonly statusSubject = new Subject<FollowerStatus>();
  private readonly stopController = new AbortController();
  private readLoop: Promise<void> | null = null;
  private currentStatus: FollowerStatus;

  /** @param options - Client, start and limits. */
  constructor(options: LogFollowerOptions) {
    this.options = options;
    this.timing = options.timing ?? PROCESS_TIMING;
    this.currentStatus = {
      up: false,
      next: options.from,
      currentAtMs: null,
      error: null,
    };
  }

  /** Batches of at least one record; observe before `start`. */
  get batches(): Stream<readonly StoredRecord[]> {
    return this.batchSubject.stream;
  }

  /** Status after each read; an event follows the batch that it counts. */
  get statuses(): Stream<FollowerStatus> {
    return this.statusSubject.stream;
  }

  /** Latest status. */
  get status(): FollowerStatus {
    return this.currentStatus;
  }

  /** Starts to read; further calls do nothing. */
  start(): void {
    if (this.stopController.signal.aborted) return;
    this.readLoop ??= this.readUntilClosed();
  }

  /** Stops reading and ends both streams. The client stays open. */
  async close(): Promise<void> {
    this.stopController.abort();
    await this.readLoop;
    this.batchSubject.end();
    this.statusSubject.end();
  }

  private async readUntilClosed(): Promise<void> {
    const {client, limit, waitMs = DEFAULT_WAIT_MS, backoff} = this.options;
    const {signal} = this.stopController;
    let failures = 0;
    while (!signal.aborted) {
      const startMs = this.timing.nowMs();
      // After a failure an immediate answer shows sooner that the log is up.
      const pollWaitMs = failures === 0 ? waitMs : 0;
      const batch = await client.read(this.currentStatus.next, {
        limit,
        waitMs: pollWaitMs,
        signal,
      });
      if (signal.aborted) return;
      if (batch.isOk) {
        failures = 0;
        this.handleBatch(batch.value, startMs);
        if (batch.value.records.length === 0) {
          // A service that doesn't wait must not be polled in a tight loop.
          await this.sleep(pollWaitMs - (this.timing.nowMs() - startMs));
        }
        continue;
      }
      failures += 1;
      this.updateStatus({up: false, error: batch.error});
      if (batch.error.kind === 'log-expired') return;
      const random = this.timing.random();
      await this.sleep(backoffMs(backoff ?? LOG_BACKOFF, failures, random));
    }
  }

  private async sleep(ms: number): Promise<void> {
    if (ms > 0) await this.timing.sleep(ms, this.stopController.signal);
  }

  private handleBatch({records, next, atEnd}: LogBatch, startMs: number): void {
    if (records.length > 0) this.batchSubject.push(records);
    const currentAtMs = atEnd ? startMs : this.currentStatus.currentAtMs;
    this.updateStatus({up: true, error: null, next, currentAtMs});
  }

  private updateStatus(change: Partial<FollowerStatus>): void {
    this.currentStatus = {...this.currentStatus, ...change};
    this.statusSubject.push(this.currentStatus);
  }
}
