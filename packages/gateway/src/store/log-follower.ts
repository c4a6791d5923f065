/** Reads a log of the platform continuously, from its newest records on. */
import {describeError} from '@wisteriarun/core';
import type {
  KeyedLog,
  KeyedRecord,
  LogName,
  WisteriarunError,
} from '@wisteriarun/core';
import {Channel} from '@wisteriarun/runtime';
import type {Clock, Logger} from '@wisteriarun/runtime';
import type {Stream} from 'most';
import {delay} from '../utils/delay.js';

/** Wait after the first failed call; each further failure doubles it. */
const INITIAL_BACKOFF_MS = 50;
/** Longest wait after a failed call. */
const MAX_BACKOFF_MS = 1_000;

/** Interval at which a follower checks whether a read is needed again. */
const RECHECK_MS = 200;
/** Time beyond the wait for a record from which a read is logged as slow. */
const SLOW_READ_MS = 300;
const BYTES_PER_KB = 1_024;

/** When a log is read. */
export interface ReadSchedule {
  /** Longest wait of one read; 0 for a log that always has new records. */
  waitMs(): number;
  /** Pause between two reads. */
  pauseMs(): number;
  /** Whether the next read is needed now; otherwise it is postponed. */
  isNeeded(): boolean;
  /**
   * Time since the last read after which the newest records are read instead of all
   * later ones.
   */
  readonly maxGapMs: number;
}

/**
 * Result of a read: the newest record of every key (`image`), later records, or
 * the loss and return of the log.
 */
export type FollowEvent =
  | {readonly kind: 'image'; readonly records: readonly KeyedRecord[]}
  | {readonly kind: 'records'; readonly records: readonly KeyedRecord[]}
  | {readonly kind: 'lost'}
  | {readonly kind: 'regained'};

/** Reads one log until the follower is closed. */
export class LogFollower {
  readonly #channel = new Channel<FollowEvent>();
  #offset: number | null = null;
  #isClosed = false;
  /** Time of the first of consecutive failed reads; null after a success. */
  #lostAtMs: number | null = null;
  #failedReads = 0;
  #answeredAtMs = -Infinity;
  #readAtMs = -Infinity;

  /**
   * @param log - The platform's log.
   * @param name - Which log to follow.
   * @param schedule - When it is read.
   * @param clock - Clock of the process.
   * @param logger - Receives the loss, return and expiry of the log.
   */
  constructor(
    private readonly log: KeyedLog,
    private readonly name: LogName,
    private readonly schedule: ReadSchedule,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Results of the reads. An image precedes the first records, and follows when
   * the log does not keep the next offset any more or was not read for some time.
   */
  get events(): Stream<FollowEvent> {
    return this.#channel.stream;
  }

  /**
   * Monotonic time up to which all records are known, at least; -Infinity before the
   * first read. While records of a read are emitted, it is that of the read before.
   */
  get readAtMs(): number {
    return this.#readAtMs;
  }

  /** Milliseconds since `readAtMs`; infinite before the first read. */
  get ageMs(): number {
    return this.clock.monotonicMs() - this.#readAtMs;
  }

  /** Offset of the next record to read; null when an image is needed first. */
  get offset(): number | null {
    return this.#offset;
  }

  /**
   * Skips records that this VM knows from another one. Each record holds the complete
   * value of its key, so that earlier ones may be skipped too.
   *
   * @param offset - Offset of the next record to read; ignored if it was read before.
   */
  skipTo(offset: number): void {
    if (this.#offset === null || offset <= this.#offset) return;
    this.#offset = offset;
  }

  /** Starts reading. */
  start(): void {
    void this.#run();
  }

  /** Stops after the read in progress. */
  close(): void {
    this.#isClosed = true;
  }

  async #run(): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!this.#isClosed) {
      if (this.#offset !== null && !this.schedule.isNeeded()) {
        await delay(RECHECK_MS);
        continue;
      }
      const isOk = await this.#readOnce();
      if (isOk) {
        backoffMs = INITIAL_BACKOFF_MS;
        await delay(this.schedule.pauseMs());
      } else {
        await delay(backoffMs * (0.5 + Math.random() / 2));
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      }
    }
    this.#channel.close();
  }

  /** Reads once; returns false when the log was not available. */
  async #readOnce(): Promise<boolean> {
    const startedAtMs = this.clock.monotonicMs();
    const gapMs = startedAtMs - this.#answeredAtMs;
    if (this.#offset === null || gapMs > this.schedule.maxGapMs) {
      const image = await this.log.newest(this.name);
      if (image.isErr) return this.#markLost(image.error, startedAtMs);
      this.#offset = image.value.endOffset;
      this.#markRegained();
      const {records} = image.value;
      this.#logSlowRead('image', records, startedAtMs, 0);
      this.#channel.emit({kind: 'image', records});
      this.#readAtMs = startedAtMs;
      return true;
    }
    const waitMs = this.schedule.waitMs();
    const batch = await this.log.read(this.name, this.#offset, waitMs);
    if (batch.isErr) {
      if (batch.error.kind !== 'log-expired') {
        return this.#markLost(batch.error, startedAtMs);
      }
      this.logger.info('log-expired', {log: this.name, offset: this.#offset});
      this.#offset = null;
      return true;
    }
    this.#markRegained();
    const {records, nextOffset, endOffset} = batch.value;
    // Records may have been skipped during the read.
    const fromOffset = this.#offset;
    this.#offset = Math.max(fromOffset, nextOffset);
    this.#logSlowRead('records', records, startedAtMs, waitMs);
    const unknown = records.filter(({offset}) => offset >= fromOffset);
    if (unknown.length > 0) {
      this.#channel.emit({kind: 'records', records: unknown});
    }
    // The answer to one read may not hold all records.
    if (nextOffset >= endOffset) {
      const tookMs = this.clock.monotonicMs() - startedAtMs;
      // A read that has waited in vain shows that there was no record until then.
      const hasWaited = records.length === 0 && tookMs >= waitMs;
      this.#readAtMs = startedAtMs + (hasWaited ? waitMs : 0);
    }
    return true;
  }

  /** Reports the loss once; returns false as the result of the failed read. */
  #markLost(error: WisteriarunError, startedAtMs: number): false {
    this.#failedReads += 1;
    if (this.#lostAtMs === null) {
      this.#lostAtMs = startedAtMs;
      this.logger.warn('log-lost', {
        log: this.name,
        cause: describeError(error),
        took_ms: Math.round(this.clock.monotonicMs() - startedAtMs),
      });
      this.#channel.emit({kind: 'lost'});
    }
    return false;
  }

  #markRegained(): void {
    const nowMs = this.clock.monotonicMs();
    this.#answeredAtMs = nowMs;
    if (this.#lostAtMs === null) return;
    this.logger.info('log-regained', {
      log: this.name,
      lost_ms: Math.round(nowMs - this.#lostAtMs),
      failed_reads: this.#failedReads,
    });
    this.#lostAtMs = null;
    this.#failedReads = 0;
    this.#channel.emit({kind: 'regained'});
  }

  #logSlowRead(
    kind: 'image' | 'records',
    records: readonly KeyedRecord[],
    startedAtMs: number,
    waitMs: number,
  ): void {
    const tookMs = this.clock.monotonicMs() - startedAtMs;
    if (tookMs - waitMs < SLOW_READ_MS) return;
    const bytes = records.reduce(
      (sum, {value}) => sum + (value?.length ?? 0),
      0,
    );
    this.logger.info('log-read-slow', {
      log: this.name,
      kind,
      took_ms: Math.round(tookMs),
      records: records.length,
      kb: Math.round(bytes / BYTES_PER_KB),
    });
  }
}
