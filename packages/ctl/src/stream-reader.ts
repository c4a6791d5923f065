/** Rebuilds a deployment's state from its log stream, for one command. */
import {
  ERRORS,
  emptyState,
  fold,
  type RouterState,
  type Signer,
  type StoredRecord,
  type Verdict,
  type WisteriarunError,
} from '@wisteriarun/core';
import {
  PROCESS_TIMING,
  recover,
  type LogClient,
  type ReadError,
} from '@wisteriarun/log';
import {Result} from 'true-myth';

/** Duration of a long poll, and of the pause after a failed read. */
const POLL_WAIT_MS = 250;

/** Whether a record was accepted, and its log offset. */
export interface Decision {
  readonly offset: number;
  readonly verdict: Verdict;
}

/** Reads a stream in order and applies its records to a state. */
export class StreamReader {
  private current: RouterState = emptyState();
  /** Decisions on the tracked records; null until the record has been read. */
  private readonly decisionsById = new Map<string, Decision | null>();

  /**
   * @param client - Client of the stream; the caller closes it.
   * @param rootSigners - Root signers, who may sign the first bundle.
   */
  constructor(
    private readonly client: LogClient,
    private readonly rootSigners: readonly Signer[],
  ) {}

  /** State after all records that were read. */
  get state(): RouterState {
    return this.current;
  }

  /**
   * Recovers from the latest snapshot and reads to the end of the stream.
   *
   * @returns The state, or `log-unavailable`, `log-expired` or
   * `snapshot-missing`.
   */
  async catchUp(): Promise<Result<RouterState, WisteriarunError>> {
    const recovery = await recover(this.client, this.rootSigners);
    if (recovery.isErr) return Result.err(recovery.error);
    this.current = recovery.value.state;
    for (;;) {
      const atEnd = await this.readBatch(0);
      if (atEnd.isErr) return Result.err(atEnd.error);
      if (atEnd.value) return Result.ok(this.current);
    }
  }

  /**
   * Applies one record to the state; skips a record that is already applied.
   *
   * @param stored - The record after the current state's offset.
   */
  apply(stored: StoredRecord): void {
    const {offset, record} = stored;
    if (offset <= this.current.offset) return;
    const {state, verdict} = fold(this.current, stored, this.rootSigners);
    this.current = state;
    const id = readId(record);
    // A second copy of a record, from a retried append, is always rejected; the
    // verdict on the first copy counts.
    if (this.decisionsById.get(id) === null)
      this.decisionsById.set(id, {offset, verdict});
  }

  /**
   * Keeps the verdict on a record for `decisionOn` once it is read. Call this
   * before the record is appended; an earlier verdict is not kept.
   *
   * @param id - Id of the record.
   */
  trackDecision(id: string): void {
    this.decisionsById.set(id, null);
  }

  /**
   * Reads until a record passed to `trackDecision` has a verdict, also across
   * log outages.
   *
   * @param id - Id of the record.
   * @param timeoutMs - Longest wait.
   * @returns The verdict with the record's offset, or why it is not known.
   */
  async decisionOn(
    id: string,
    timeoutMs: number,
  ): Promise<Result<Decision, WisteriarunError>> {
    const endMs = PROCESS_TIMING.nowMs() + timeoutMs;
    let failure: ReadError = ERRORS.logUnavailable('the record was not read');
    for (;;) {
      const decision = this.decisionsById.get(id);
      if (decision) return Result.ok(decision);
      if (PROCESS_TIMING.nowMs() >= endMs) return Result.err(failure);
      const read = await this.readBatch(POLL_WAIT_MS);
      if (read.isOk) continue;
      failure = read.error;
      if (failure.kind === 'log-expired') return Result.err(failure);
      await PROCESS_TIMING.sleep(POLL_WAIT_MS);
    }
  }

  /** Applies the next records; returns true at the end of the stream. */
  private async readBatch(waitMs: number): Promise<Result<boolean, ReadError>> {
    const fromOffset = this.current.offset + 1;
    const batch = await this.client.read(fromOffset, {waitMs});
    if (batch.isErr) return Result.err(batch.error);
    for (const stored of batch.value.records) this.apply(stored);
    return Result.ok(batch.value.atEnd);
  }
}

function readId(record: unknown): string {
  const id =
    typeof record === 'object' && record !== null && 'id' in record
      ? record.id
      : undefined;
  return typeof id === 'string' ? id : '';
}
