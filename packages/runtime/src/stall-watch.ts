/** Detects stalls of the event loop. */
import type {Socket} from 'node:net';
import type {Clock} from './clock.js';
import type {Logger} from './logger.js';

/** Interval of the timer whose lateness shows a stall. */
const TICK_MS = 50;
/**
 * Number of tick times kept. A connection is accepted in one turn of the event
 * loop and read in the next, and a turn runs at most one tick, so the oldest
 * kept tick precedes both.
 */
const KEPT_TICKS = 3;
/**
 * The loop counts as stalled when the oldest kept tick is older than this; twice
 * its usual age.
 */
const STALL_MS = 2 * KEPT_TICKS * TICK_MS;

/**
 * Detects that the event loop was stalled, so that events handled now may have
 * waited for a long time. A request that is read late may belong to a caller that
 * has already disconnected.
 */
export class StallWatch {
  readonly #timer: NodeJS.Timeout;
  /** Times of the last ticks, oldest first. */
  #tickTimesMs: number[];
  /**
   * Earliest time since which connections may have waited in the accept queue;
   * null while the queue is empty.
   */
  #queueNonEmptySinceMs: number | null = null;
  #hasAcceptedThisTurn = false;

  /**
   * @param clock - Clock of the process.
   * @param logger - Logs each stall as `loop-stalled`.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.#tickTimesMs = new Array<number>(KEPT_TICKS).fill(clock.monotonicMs());
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Whether events handled now may have waited longer than `STALL_MS`. */
  get isStalled(): boolean {
    return this.maxEventWaitMs > STALL_MS;
  }

  /** Upper bound for the time that an event handled now may have waited. */
  get maxEventWaitMs(): number {
    const sinceMs = Math.min(
      this.#oldestTickMs,
      this.#queueNonEmptySinceMs ?? Infinity,
    );
    return this.clock.monotonicMs() - sinceMs;
  }

  /**
   * Records that a connection was accepted; must be called for each one. The
   * event loop accepts one connection per turn, so more may be queued as long as
   * every turn accepts one.
   */
  connectionAccepted(): void {
    this.#hasAcceptedThisTurn = true;
    if (this.#queueNonEmptySinceMs !== null) return;
    this.#queueNonEmptySinceMs = this.#oldestTickMs;
    this.#watchAcceptQueue();
  }

  /** Stops the detection. */
  close(): void {
    clearInterval(this.#timer);
  }

  get #oldestTickMs(): number {
    return this.#tickTimesMs[0] ?? -Infinity;
  }

  /** Waits for a turn without a new connection: the queue is then empty. */
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
 * Checks whether the caller has closed or reset its connection. The state of
 * the socket shows this one turn of the event loop before the `close` event.
 *
 * @param socket - Connection of a caller.
 * @returns True when the caller no longer waits for an answer.
 */
export function hasDisconnected(socket: Socket): boolean {
  return socket.destroyed || socket.readableEnded;
}
