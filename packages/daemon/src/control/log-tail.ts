/** Keeps the state replica up to date with the log and appends to the log. */
import type {LogRecord, Signer, WisteriarunError} from '@wisteriarun/core';
import {LogAppender, LogClient, LogFollower, recover} from '@wisteriarun/log';
import type {StateReplica} from './state-replica.js';

/** Time limit of one append including its retries. */
const APPEND_TIMEOUT_MS = 5_000;
/** Delay before another attempt to recover the state from the log. */
const RECOVER_RETRY_MS = 500;

/** What is known about a record after an append. */
export type AppendState = 'appended' | 'absent' | 'uncertain';

/** Location of the log, replica to update and callbacks. */
export interface LogTailOptions {
  readonly endpoint: string;
  readonly stream: string;
  readonly trust: readonly Signer[];
  readonly replica: StateReplica;
  /** Called each time the log becomes available or unavailable. */
  readonly onAvailability: (
    isUp: boolean,
    error: WisteriarunError | null,
  ) => void;
  /** Called after each append, with the duration including retries. */
  readonly onAppend?: (result: AppendState, durationMs: number) => void;
}

/** Recovers the state from the log, follows the log and appends records. */
export class LogTail {
  private readonly client: LogClient;
  private readonly appender: LogAppender;
  private follower: LogFollower | null = null;
  private retryTimer: NodeJS.Timeout | null = null;
  private isUp = false;
  private isClosed = false;
  private lastProblem: WisteriarunError | null = null;

  /**
   * @param options - Location of the log, replica to update and callbacks.
   */
  constructor(private readonly options: LogTailOptions) {
    const {endpoint, stream} = options;
    this.client = new LogClient({endpoint, stream});
    this.appender = new LogAppender({client: this.client});
  }

  /** Whether the latest read of the log succeeded. */
  get isAvailable(): boolean {
    return this.isUp;
  }

  /** Why the log cannot be read, or null. */
  get problem(): WisteriarunError | null {
    return this.lastProblem;
  }

  /**
   * Monotonic start time of the latest read that reached the end of the stream;
   * negative infinity before the first such read.
   */
  get confirmedAtMs(): number {
    return this.follower?.status.currentAtMs ?? -Infinity;
  }

  /** Recovers the state from the log, with retries, then follows the log. */
  async start(): Promise<void> {
    if (this.isClosed) return;
    const {replica, trust} = this.options;
    const recovery = await recover(this.client, trust);
    if (this.isClosed) return;
    if (recovery.isErr) {
      this.setAvailability(false, recovery.error);
      this.retryTimer = setTimeout(() => void this.start(), RECOVER_RETRY_MS);
      return;
    }
    replica.restore(recovery.value.state);
    this.follow();
  }

  /**
   * Appends a record, with retries for a limited time.
   *
   * @param record - Record with a unique id.
   * @returns Whether the record is on the log, as far as known.
   */
  async append(record: LogRecord): Promise<AppendState> {
    const startMs = performance.now();
    const appended = await this.appender.append(record, {
      from: this.options.replica.state.offset + 1,
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    const result = appendState(appended);
    this.options.onAppend?.(result, performance.now() - startMs);
    return result;
  }

  /**
   * Repeats the append of a record until it is known whether the record is on
   * the log. An uncertain append may still take effect, so its author cannot
   * treat it as failed and would wait forever for a record that never arrives.
   * If the repetition stores a second copy, the fold rejects that copy.
   *
   * @param record - Record with a unique id.
   * @param isFolded - Whether this VM has read the record from the log and
   * folded it.
   * @returns False when the record is certainly not on the log; true otherwise,
   * also when the log tail was closed with the outcome unknown.
   */
  async appendUntilKnown(
    record: LogRecord,
    isFolded: () => boolean,
  ): Promise<boolean> {
    let wasUncertain = false;
    while (!this.isClosed && !isFolded()) {
      const state = await this.append(record);
      if (state === 'appended') return true;
      // An earlier uncertain append may still store the record, so `absent`
      // proves nothing after it.
      if (state === 'absent' && !wasUncertain) return false;
      wasUncertain = true;
    }
    return true;
  }

  /** Stops following the log; a pending append may still take effect. */
  async close(): Promise<void> {
    this.isClosed = true;
    if (this.retryTimer) clearTimeout(this.retryTimer);
    await this.follower?.close();
    await this.client.close();
  }

  private follow(): void {
    const {replica} = this.options;
    const follower = new LogFollower({
      client: this.client,
      from: replica.state.offset + 1,
    });
    this.follower = follower;
    void follower.batches.observe(records => replica.apply(records));
    void follower.statuses.observe(({isUp, error}) => {
      this.setAvailability(isUp, error);
      if (error?.kind === 'log-expired') void this.restart();
    });
    follower.start();
  }

  /** Recovers a newer state when the reader is behind the log's retention. */
  private async restart(): Promise<void> {
    await this.follower?.close();
    await this.start();
  }

  private setAvailability(isUp: boolean, error: WisteriarunError | null): void {
    this.lastProblem = error;
    if (this.isUp === isUp) return;
    this.isUp = isUp;
    this.options.onAvailability(isUp, error);
  }
}

function appendState(
  appended: Awaited<ReturnType<LogAppender['append']>>,
): AppendState {
  if (appended.isOk) return 'appended';
  return appended.error.kind === 'append-uncertain' ? 'uncertain' : 'absent';
}
