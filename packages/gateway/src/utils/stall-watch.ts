/** Notices when the event loop has been held up. */
import type {Clock} from '@wisteriarun/runtime';

const TICK_MS = 50;
/** A gap between two ticks that shows a held up loop. */
const STALL_MS = 200;

/** Tells requests that were read late from others. */
export class StallWatch {
  readonly #timer: NodeJS.Timeout;
  #tickedAtMs: number;

  /**
   * @param clock - Clock of the process.
   */
  constructor(private readonly clock: Clock) {
    this.#tickedAtMs = clock.monotonicMs();
    this.#timer = setInterval(() => {
      this.#tickedAtMs = clock.monotonicMs();
    }, TICK_MS);
  }

  /** Whether events that are handled now may have waited for long. */
  get isStalled(): boolean {
    return this.clock.monotonicMs() - this.#tickedAtMs > STALL_MS;
  }

  /** Stops to watch. */
  close(): void {
    clearInterval(this.#timer);
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
