/** Event stream with a method to push events. */
import {
  Stream,
  type Disposable,
  type Scheduler,
  type Sink,
  type Source,
} from 'most';

interface Observer<A> {
  readonly sink: Sink<A>;
  readonly scheduler: Scheduler;
}

/**
 * Source of a `most` stream. Observers receive only the events that are pushed
 * while they are subscribed.
 */
export class Subject<A> implements Source<A> {
  readonly stream: Stream<A> = new Stream<A>(this);
  private readonly observers = new Set<Observer<A>>();
  private isEnded = false;

  /** Adds an observer, or ends it after `end`; called by `most`. */
  run(sink: Sink<A>, scheduler: Scheduler): Disposable<A> {
    const observer = {sink, scheduler};
    if (this.isEnded) {
      // `most` needs the result of this call before it can process the end.
      queueMicrotask(() => sink.end(scheduler.now()));
    } else {
      this.observers.add(observer);
    }
    return {dispose: () => void this.observers.delete(observer)};
  }

  /**
   * Sends an event to all observers. An observer that throws receives that
   * error and no further events; the others are unaffected.
   *
   * @param value - The event.
   */
  push(value: A): void {
    for (const observer of [...this.observers]) {
      const {sink, scheduler} = observer;
      try {
        sink.event(scheduler.now(), value);
      } catch (error) {
        this.observers.delete(observer);
        const cause = error instanceof Error ? error : new Error(String(error));
        sink.error(scheduler.now(), cause);
      }
    }
  }

  /** Ends the stream of every observer. */
  end(): void {
    this.isEnded = true;
    const observers = [...this.observers];
    this.observers.clear();
    for (const {sink, scheduler} of observers) sink.end(scheduler.now());
  }
}
