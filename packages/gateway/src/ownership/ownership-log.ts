/** The log of ownership records: the assigner and the owner of each range. */
import {ERRORS, ownershipRecordSchema} from '@wisteriarun/core';
import type {
  KeyedLog,
  KeyedRecord,
  OwnershipRecord,
  WisteriarunError,
} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import {Encoder} from 'cbor-x';
import {Result} from 'true-myth';

const LOG_NAME = 'ownership';
const RECORD_KEY = 'table';
/**
 * Largest number of attempts to append one record. After one without a clear
 * outcome the log is read, since the record may be there.
 */
const MAX_TRIES = 3;

/** Time since the last read after which `follow` reads only the newest record. */
const MAX_FOLLOW_GAP_MS = 1_000;

const codec = new Encoder({useRecords: false});

/** A record with its offset in the log. */
export interface StoredOwnershipRecord {
  readonly record: OwnershipRecord;
  readonly offset: number;
}

/** How an append ended. */
export type OwnershipAppendOutcome =
  | {readonly kind: 'appended'; readonly offset: number}
  /** The newest record is of another process, which ends the term. */
  | {readonly kind: 'superseded'};

/**
 * Reads and appends records. An append is conditional on the end of the log as
 * it was when its record was decided. If only delayed records of the same process
 * came after that end, the append is tried again at the new end.
 */
export class OwnershipLog {
  #endOffset: number | null = null;
  /** Time of the last successful read. */
  #readAtMs = -Infinity;
  #newest: StoredOwnershipRecord | null = null;

  /**
   * @param log - The platform's log.
   * @param clock - Clock of the process.
   * @param logger - Logs why a record is malformed.
   */
  constructor(
    private readonly log: KeyedLog,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Newest record that was read or appended. */
  get newest(): StoredOwnershipRecord | null {
    return this.#newest;
  }

  /**
   * Reads the newest record.
   *
   * @returns The newest well-formed record known, null when there is none, or
   * `log-unavailable`.
   */
  async refresh(): Promise<
    Result<StoredOwnershipRecord | null, WisteriarunError>
  > {
    const image = await this.log.newest(LOG_NAME);
    if (image.isErr) return Result.err(image.error);
    this.#endOffset = image.value.endOffset;
    this.#adoptNewest(image.value.records);
    return Result.ok(this.#newest);
  }

  /**
   * Waits for the next record, or reads the newest one if the last read was some
   * time ago: one record takes fewer bytes than all that were appended since.
   *
   * @param waitMs - Longest wait for a record.
   * @returns As for `refresh`.
   */
  async follow(
    waitMs: number,
  ): Promise<Result<StoredOwnershipRecord | null, WisteriarunError>> {
    const sinceMs = this.clock.monotonicMs() - this.#readAtMs;
    if (this.#endOffset === null || sinceMs > MAX_FOLLOW_GAP_MS) {
      return await this.refresh();
    }
    const batch = await this.log.read(LOG_NAME, this.#endOffset, waitMs);
    if (batch.isErr) {
      // The next call reads the newest record, also if the log has expired.
      this.#readAtMs = -Infinity;
      return batch.error.kind === 'log-expired'
        ? await this.refresh()
        : Result.err(batch.error);
    }
    this.#endOffset = batch.value.nextOffset;
    this.#adoptNewest(batch.value.records);
    return Result.ok(this.#newest);
  }

  /**
   * Appends a record unless another process has appended one since the last
   * read or append of this one.
   *
   * @param record - The record; its id must be unique.
   * @returns The outcome; `log-unavailable` when the log refused the append or
   * its end is not known, or `append-uncertain` when the record may have been
   * appended.
   */
  async append(
    record: OwnershipRecord,
  ): Promise<Result<OwnershipAppendOutcome, WisteriarunError>> {
    const value = codec.encode(record);
    let endOffset = this.#endOffset;
    if (endOffset === null) {
      return Result.err(
        ERRORS.logUnavailable('the end of the ownership log was not read'),
      );
    }
    let failure: WisteriarunError = ERRORS.appendUncertain(
      RECORD_KEY,
      'the log has grown and the record was not found',
    );
    let mayBeAppended = false;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      // Never null here, as it is not set back to null; this narrows the type.
      if (this.#endOffset === null) {
        return Result.err(
          ERRORS.logUnavailable('the end of the ownership log was not read'),
        );
      }
      const answer = await this.log.appendAt(
        LOG_NAME,
        RECORD_KEY,
        value,
        this.#endOffset,
      );
      if (answer.isOk && answer.value.kind === 'appended') {
        return this.#appended(record, answer.value.offset);
      }
      if (answer.isErr && answer.error.kind === 'log-unavailable') {
        return Result.err(mayBeAppended ? failure : answer.error);
      }
      if (answer.isErr) {
        mayBeAppended = true;
        failure = answer.error;
      }
      // The record may have been appended although the answer was lost.
      const newest = await this.refresh();
      if (newest.isErr) return Result.err(failure);
      if (newest.value?.record.id === record.id) {
        return this.#appended(record, newest.value.offset);
      }
      if (this.#endOffset === endOffset) continue;
      // The log has grown. If its newest record is a delayed one of this
      // process, the append is tried again at the new end; a record of another
      // process ends the term.
      const {incarnation} = record.assigner;
      if (newest.value?.record.assigner.incarnation !== incarnation) {
        return Result.ok({kind: 'superseded'});
      }
      endOffset = this.#endOffset;
    }
    return Result.err(failure);
  }

  #adoptNewest(records: readonly KeyedRecord[]): void {
    this.#readAtMs = this.clock.monotonicMs();
    for (const {key, value, offset} of records) {
      if (key !== RECORD_KEY || value === null) continue;
      const record = this.#decode(value);
      if (record !== null) this.#newest = {record, offset};
    }
  }

  #appended(
    record: OwnershipRecord,
    offset: number,
  ): Result<OwnershipAppendOutcome, WisteriarunError> {
    this.#endOffset = offset + 1;
    this.#newest = {record, offset};
    return Result.ok({kind: 'appended', offset});
  }

  #decode(value: Buffer): OwnershipRecord | null {
    try {
      return ownershipRecordSchema.parse(codec.decode(value));
    } catch (error) {
      const cause = error instanceof Error ? error.message : 'unknown cause';
      this.logger.error('ownership-malformed', {cause});
      return null;
    }
  }
}
