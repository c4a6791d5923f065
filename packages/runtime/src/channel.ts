/** Hot event streams: events are pushed to the current listeners. */
import {Stream} from 'most';
import type {Scheduler, Sink} from 'most';

interface Listener<T> {
  readonly sink: Sink<T>;
  readonly scheduler: Scheduler;
}

/**
 * Pushes events to a `most` stream. Listeners receive only the events that are
 * emitted after they subscribe.
 */
export class Channel<T> {
  readonly #listeners = new Set<Listener<T>>();
  readonly stream: Stream<T> = new Stream<T>({
    run: (sink: Sink<T>, scheduler: Scheduler) => {
      const listener = {sink, scheduler};
      this.#listeners.add(listener);
      return {
        dispose: () => {
          this.#listeners.delete(listener);
        },
      };
    },
  });

  /**
   * Delivers an event synchronously to every listener.
   *
   * @param event - Event to deliver.
   */
  emit(event: T): void {
    for (const {sink, scheduler} of [...this.#listeners]) {
      sink.event(scheduler.now(), event);
    }
  }

  /**
   * Ends the stream for every current listener. Listeners that subscribe later
   * are not ended, and receive events that are emitted later.
   */
  close(): void {
    for (const {sink, scheduler} of [...this.#listeners]) {
      sink.end(scheduler.now());
    }
    this.#listeners.clear();
  }
}
