/** Rate-limited log lines for requests. */
import type {Clock, LogFields, Logger} from '@wisteriarun/runtime';

/** Limit on lines per second; at about 300 bytes each, at most 6 KB/s. */
const MAX_LINES_PER_S = 20;
const SECOND_MS = 1_000;

/** Writes the first lines of each second and counts the dropped ones. */
export class RequestLog {
  #secondStartMs = 0;
  #writtenCount = 0;
  #droppedCount = 0;

  /**
   * @param logger - Logger that writes the lines.
   * @param clock - Clock of the process.
   */
  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /**
   * Writes a line unless the limit for the current second is reached.
   *
   * @param fields - Builds the fields of the line; called only when written.
   */
  write(fields: () => LogFields): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.#secondStartMs >= SECOND_MS) this.#nextSecond(nowMs);
    if (this.#writtenCount >= MAX_LINES_PER_S) {
      this.#droppedCount += 1;
      return;
    }
    this.#writtenCount += 1;
    this.logger.info('request', fields());
  }

  #nextSecond(nowMs: number): void {
    if (this.#droppedCount > 0) {
      this.logger.info('request-lines-dropped', {count: this.#droppedCount});
    }
    this.#secondStartMs = nowMs;
    this.#writtenCount = 0;
    this.#droppedCount = 0;
  }
}
