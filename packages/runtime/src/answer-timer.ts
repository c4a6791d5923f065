/** Timeouts for answers. */
import {waitForPendingEvents} from './pending-events.js';

/**
 * Timeout for an answer. After a stall of the event loop, Node runs expired
 * timers before it reads pending data, and an answer that arrived in time would
 * count as late. The timer therefore expires only after the pending events have
 * been handled.
 */
export class AnswerTimer {
  #timer: NodeJS.Timeout;
  #isClosed = false;

  /**
   * @param limitMs - Longest time to wait for the answer.
   * @param onExpired - Called when the timer expires before it is closed.
   */
  constructor(
    limitMs: number,
    private readonly onExpired: () => void,
  ) {
    this.#timer = this.#start(limitMs);
  }

  /**
   * Waits anew, for example because a part of the answer has arrived.
   *
   * @param limitMs - Longest time to wait from now on.
   */
  restart(limitMs: number): void {
    if (this.#isClosed) return;
    clearTimeout(this.#timer);
    this.#timer = this.#start(limitMs);
  }

  /** Stops the timer, for example because the answer has arrived. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }

  #start(limitMs: number): NodeJS.Timeout {
    const timer = setTimeout(() => {
      void waitForPendingEvents().then(() => {
        // The pending events may have closed or restarted the timer.
        if (!this.#isClosed && this.#timer === timer) this.onExpired();
      });
    }, limitMs);
    return timer;
  }
}
