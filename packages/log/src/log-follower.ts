/** Continuous reading of the log by long polling. */
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
 * Default wait of a long poll. For services with the adoption policy `lapse`, an
 * assigner renews server leases only if it has read the log within the last
 * 700 ms (`TERM_CONFIRM_MS`). A wait of 250 ms leaves time for the answer and
 * for one failed attempt.
 */
const DEFAULT_WAIT_MS = 250;

/** Whether a follower can read the log, and how current its data is. */
export interface FollowerStatus {
  /** Whether the latest read succeeded; false before the first one. */
  readonly isUp: boolean;
  /** Next offset to read. */
  readonly next: number;
  /**
   * Monotonic start time of the latest read that reached the end of the
   * stream; null before the first such read. Every record that was on the
   * stream at this time has been delivered.
   */
  readonly currentAtMs: number | null;
  /**
   * Error of the latest read, or null. After `log-expired` the follower stops:
   * the next record can no longer be read, so its user must first obtain a newer
   * state.
   */
  readonly error: ReadError | null;
}

/** Options of a `LogFollower`. */
export interface LogFollowerOptions {
  readonly client: LogClient;
  /** Offset of the first record to read. */
  readonly from: number;
  /** Wait of a long poll; `DEFAULT_WAIT_MS` when absent. */
  readonly waitMs?: number;
  /** Maximum number of records in a batch; the client's default when absent. */
  readonly limit?: number;
  readonly timing?: Timing;
  readonly backoff?: Backoff;
}

/** Reads a stream in order and without gaps until it is closed. */
export class LogFollower {
  private readonly options: LogFollowerOptions;
  private readonly timing: Timing;
  private readonly batchSubject = new Subject<readonly StoredRecord[]>();
  private readonly statusSubject = new Subject<FollowerStatus>();
  private readonly stopController = new AbortController();
  private readLoop: Promise<void> | null = null;
  private currentStatus: FollowerStatus;

  /** @param options - Client, first offset and limits. */
  constructor(options: LogFollowerOptions) {
    this.options = options;
    this.timing = options.timing ?? PROCESS_TIMING;
    this.currentStatus = {
      isUp: false,
      next: options.from,
      currentAtMs: null,
      error: null,
    };
  }

  /** Non-empty batches; observe before `start` to receive all of them. */
  get batches(): Stream<readonly StoredRecord[]> {
    return this.batchSubject.stream;
  }

  /** Status after each read; emitted after the batch of that read. */
  get statuses(): Stream<FollowerStatus> {
    return this.statusSubject.stream;
  }

  /** Latest status. */
  get status(): FollowerStatus {
    return this.currentStatus;
  }

  /** Starts reading; has no effect after the first call or after `close`. */
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
      // After a failure, read without waiting, to detect sooner that the log is
      // reachable again.
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
          await this.sleepWhileOpen(
            pollWaitMs - (this.timing.nowMs() - startMs),
          );
        }
        continue;
      }
      failures += 1;
      this.updateStatus({isUp: false, error: batch.error});
      if (batch.error.kind === 'log-expired') return;
      const random = this.timing.random();
      await this.sleepWhileOpen(
        backoffMs(backoff ?? LOG_BACKOFF, failures, random),
      );
    }
  }

  private async sleepWhileOpen(ms: number): Promise<void> {
    if (ms > 0) await this.timing.sleep(ms, this.stopController.signal);
  }

  private handleBatch({records, next, atEnd}: LogBatch, startMs: number): void {
    if (records.length > 0) this.batchSubject.push(records);
    const currentAtMs = atEnd ? startMs : this.currentStatus.currentAtMs;
    this.updateStatus({isUp: true, error: null, next, currentAtMs});
  }

  private updateStatus(change: Partial<FollowerStatus>): void {
    this.currentStatus = {...this.currentStatus, ...change};
    this.statusSubject.push(this.currentStatus);
  }
}
