/** Notices when the event loop has been held up. */
import type {Socket} from 'node:net';
import type {Clock} from './clock.js';
import type {Logger} from './logger.js';

const TICK_MS = 50;
/**
 * Ticks that are kept. A connection is accepted in one turn and read in the
 * next, and a turn has at most one tick.
 */
const KEPT_TICKS = 3;
/** Age of the oldest kept tick that shows a held up loop; twice the usual one. */
const STALL_MS = 2 * KEPT_TICKS * TICK_MS;

/** Tells requests that were read late from others. */
export class StallWatch {
  readonly #timer: NodeJS.Timeout;
  /** Times of the last ticks, the oldest first. */
  #tickTimesMs: number[];
  /** When the queue of new connections was last empty; null while it is. */
  #queueNonEmptySinceMs: number | null = null;
  #hasAcceptedThisTurn = false;

  /**
   * @param clock - Clock of the process.
   * @param logger - Receives stalls.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.#tickTimesMs = new Array<number>(KEPT_TICKS).fill(clock.monotonicMs());
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Whether events that are handled now may have waited for long. */
  get isStalled(): boolean {
    return this.unhandledMs > STALL_MS;
  }

  /** Longest time that an event which is handled now may have waited. */
  get unhandledMs(): number {
    const sinceMs = Math.min(
      this.#oldestTickMs,
      this.#queueNonEmptySinceMs ?? Infinity,
    );
    return this.clock.monotonicMs() - sinceMs;
  }

  /**
   * Notes that a connection was accepted. The loop accepts one in a turn, so
   * that others may wait in the queue for as long as each turn brings one.
   */
  connectionAccepted(): void {
    this.#hasAcceptedThisTurn = true;
    if (this.#queueNonEmptySinceMs !== null) return;
    this.#queueNonEmptySinceMs = this.#oldestTickMs;
    this.#watchAcceptQueue();
  }

  /** Stops to watch. */
  close(): void {
    clearInterval(this.#timer);
  }

  get #oldestTickMs(): number {
    return this.#tickTimesMs[0] ?? -Infinity;
  }

  /** A turn without a new connection shows that the queue is empty. */
  #watchAcceptQueue(): void {
    setImmediate(() => {
      if (this.#hasAcceptedThisTurn) {
        this.#hasAcceptedThisTurn = false;
        this.#watchAcceptQueue();
      } else {
        this.#queueNonEmptySinceMs = null;
      }
    });
  }

  #tick(): void {
    const nowMs = this.clock.monotonicMs();
    const gapMs = nowMs - (this.#tickTimesMs.at(-1) ?? nowMs);
    this.#tickTimesMs = [...this.#tickTimesMs.slice(1), nowMs];
    if (gapMs <= STALL_MS) return;
    this.logger.warn('loop-stalled', {gap_ms: Math.round(gapMs)});
  }
}

/**
 * Tells whether the other side has closed or reset a connection. The
 * connection shows that a turn earlier than its `close` event.
 *
 * @param socket - Connection of a caller.
 * @returns True when nobody waits for an answer any more.
 */
export function hasLeft(socket: Socket): boolean {
  return socket.destroyed || socket.readableEnded;
}
