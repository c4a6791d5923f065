/** Notices when the event loop has been held up. */
import type {Clock} from './clock.js';
import type {Logger} from './logger.js';

const TICK_MS = 50;
/** A gap between two ticks that shows a held up loop. */
const STALL_MS = 200;
/** Time after a stall in which events may still have waited. */
const AFTERMATH_MS = 100;

/** Tells requests that were read late from others. */
export class StallWatch {
  readonly #timer: NodeJS.Timeout;
  #tickedAtMs: number;
  #stalledUntilMs = -Infinity;

  /**
   * @param clock - Clock of the process.
   * @param logger - Receives stalls.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.#tickedAtMs = clock.monotonicMs();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Whether events that are handled now may have waited for long. */
  get isStalled(): boolean {
    const nowMs = this.clock.monotonicMs();
    return nowMs - this.#tickedAtMs > STALL_MS || nowMs < this.#stalledUntilMs;
  }

  /** Longest time that an event which is handled now may have waited. */
  get unhandledMs(): number {
    return this.clock.monotonicMs() - this.#tickedAtMs;
  }

  /** Stops to watch. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** Timers run before the events that were pending meanwhile. */
  #tick(): void {
    const nowMs = this.clock.monotonicMs();
    const gapMs = nowMs - this.#tickedAtMs;
    this.#tickedAtMs = nowMs;
    if (gapMs <= STALL_MS) return;
    this.#stalledUntilMs = nowMs + AFTERMATH_MS;
    this.logger.warn('loop-stalled', {gap_ms: Math.round(gapMs)});
  }
}

/**
 * Waits until the events that are pending have been handled.
 *
 * @returns Resolves in the next turn but one of the event loop.
 */
export async function pendingEvents(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  await new Promise(resolve => setImmediate(resolve));
}
