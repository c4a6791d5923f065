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
  #ticksMs: number[];
  /** When the queue of new connections was last empty; null while it is. */
  #queuedSinceMs: number | null = null;
  #hasAccepted = false;

  /**
   * @param clock - Clock of the process.
   * @param logger - Receives stalls.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.#ticksMs = new Array<number>(KEPT_TICKS).fill(clock.monotonicMs());
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Whether events that are handled now may have waited for long. */
  get isStalled(): boolean {
    return this.unhandledMs > STALL_MS;
  }

  /** Longest time that an event which is handled now may have waited. */
  get unhandledMs(): number {
    const sinceMs = Math.min(this.#oldestMs, this.#queuedSinceMs ?? Infinity);
    return this.clock.monotonicMs() - sinceMs;
  }

  /**
   * Notes that a connection was accepted. The loop accepts one in a turn, so
   * that others may wait in the queue for as long as each turn brings one.
   */
  connectionAccepted(): void {
    this.#hasAccepted = true;
    if (this.#queuedSinceMs !== null) return;
    this.#queuedSinceMs = this.#oldestMs;
    this.#followQueue();
  }

  /** Stops to watch. */
  close(): void {
    clearInterval(this.#timer);
  }

  get #oldestMs(): number {
    return this.#ticksMs[0] ?? -Infinity;
  }

  /** A turn without a new connection shows that the queue is empty. */
  #followQueue(): void {
    setImmediate(() => {
      if (this.#hasAccepted) {
        this.#hasAccepted = false;
        this.#followQueue();
      } else {
        this.#queuedSinceMs = null;
      }
    });
  }

  #tick(): void {
    const nowMs = this.clock.monotonicMs();
    const gapMs = nowMs - (this.#ticksMs.at(-1) ?? nowMs);
    this.#ticksMs = [...this.#ticksMs.slice(1), nowMs];
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
