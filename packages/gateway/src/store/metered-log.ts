/** Counts the calls to the platform's store. */
import type {
  AppendOutcome,
  KeyedBatch,
  KeyedImage,
  KeyedLog,
  LogName,
  WisteriarunError,
} from '@wisteriarun/core';
import type {Counter, Logger, Metrics} from '@wisteriarun/runtime';
import type {Result} from 'true-myth';

/** Interval at which the number of calls is logged. */
const LOG_INTERVAL_MS = 10_000;

type Operation = 'newest' | 'read' | 'append';

/** Passes calls on to a log and counts them by log, operation and result. */
export class MeteredLog implements KeyedLog {
  readonly #calls: Counter;
  readonly #timer: NodeJS.Timeout;
  /** Calls since the last log line, by log and operation. */
  #recentCalls = new Map<string, number>();

  /**
   * @param log - The log that makes the calls.
   * @param metrics - Metrics registry of the process.
   * @param logger - Receives the number of calls at each interval.
   */
  constructor(
    private readonly log: KeyedLog,
    metrics: Metrics,
    private readonly logger: Logger,
  ) {
    this.#calls = metrics.counter(
      'wisteriarun_store_calls_total',
      'Calls to the store by log, operation and result',
    );
    this.#timer = setInterval(() => this.#logCalls(), LOG_INTERVAL_MS);
  }

  newest(log: LogName): Promise<Result<KeyedImage, WisteriarunError>> {
    return this.#count(log, 'newest', this.log.newest(log));
  }

  read(
    log: LogName,
    offset: number,
    waitMs: number,
  ): Promise<Result<KeyedBatch, WisteriarunError>> {
    return this.#count(log, 'read', this.log.read(log, offset, waitMs));
  }

  appendAt(
    log: LogName,
    key: string,
    value: Buffer,
    endOffset: number,
  ): Promise<Result<AppendOutcome, WisteriarunError>> {
    const call = this.log.appendAt(log, key, value, endOffset);
    return this.#count(log, 'append', call);
  }

  close(): void {
    clearInterval(this.#timer);
    this.log.close();
  }

  async #count<T>(
    log: LogName,
    operation: Operation,
    call: Promise<Result<T, WisteriarunError>>,
  ): Promise<Result<T, WisteriarunError>> {
    const name = `${log}_${operation}`;
    this.#recentCalls.set(name, (this.#recentCalls.get(name) ?? 0) + 1);
    const answer = await call;
    const result = answer.isOk ? 'ok' : answer.error.kind;
    this.#calls.add(1, {log, operation, result});
    return answer;
  }

  #logCalls(): void {
    if (this.#recentCalls.size === 0) return;
    this.logger.info('store-calls', Object.fromEntries(this.#recentCalls));
    this.#recentCalls = new Map();
  }
}
