/** Time limits on answers. */
import {pendingEvents} from './pending-events.js';

/**
 * Ends the wait for an answer. Timers run before the events that are pending,
 * so that after a stall the limit passes before an answer that has arrived in
 * time is read: pending events come first.
 */
export class AnswerTimer {
  readonly #timer: NodeJS.Timeout;
  #isClosed = false;

  /**
   * @param limitMs - Longest wait for the answer.
   * @param onExpired - Called when none has come.
   */
  constructor(limitMs: number, onExpired: () => void) {
    this.#timer = setTimeout(() => {
      void pendingEvents().then(() => {
        if (!this.#isClosed) onExpired();
      });
    }, limitMs);
  }

  /** Stops the timer, for example since the answer has come. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }
}
