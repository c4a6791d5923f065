/** Timeouts for answers. */
import {waitForPendingEvents} from './pending-events.js';

/**
 * Timeout for an answer. After a stall of the event loop, Node runs expired
 * timers before it reads pending data, and an answer that arrived in time would
 * count as late. The timer therefore expires only after the pending events have
 * been handled.
 */
export class AnswerTimer {
  readonly #timer: NodeJS.Timeout;
  #isClosed = false;

  /**
   * @param limitMs - Longest time to wait for the answer.
   * @param onExpired - Called when the timer expires before it is closed.
   */
  constructor(limitMs: number, onExpired: () => void) {
    this.#timer = setTimeout(() => {
      void waitForPendingEvents().then(() => {
        if (!this.#isClosed) onExpired();
      });
    }, limitMs);
  }

  /** Stops the timer, for example because the answer has arrived. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }
}
