/** Ring buffer of the latest events of the process. */
import type {EventInput, TimelineEvent} from '@wisteriarun/core';
import type {Clock} from './clock.js';

/** Number of events kept. */
export const TIMELINE_CAPACITY = 4_096;

/** Identity and clock of the process that emits the events. */
export interface TimelineOptions {
  readonly process: string;
  readonly zone: string;
  readonly clock: Clock;
}

/** Keeps the latest `TIMELINE_CAPACITY` events. */
export class Timeline {
  readonly #options: TimelineOptions;
  readonly #events: TimelineEvent[] = [];
  #lastSeq = 0;

  /**
   * @param options - Identity and clock of the process.
   */
  constructor(options: TimelineOptions) {
    this.#options = options;
  }

  /** Sequence number of the latest event; 0 before the first. */
  get lastSeq(): number {
    return this.#lastSeq;
  }

  /**
   * Adds an event.
   *
   * @param input - Kind, cause and fields of the event.
   * @returns The event with its time and sequence number.
   */
  add(input: EventInput): TimelineEvent {
    this.#lastSeq += 1;
    const event: TimelineEvent = {
      wallTimeMs: this.#options.clock.wallMs(),
      seq: this.#lastSeq,
      process: this.#options.process,
      zone: this.#options.zone,
      kind: input.kind,
      term: input.term ?? null,
      epoch: input.epoch ?? null,
      offset: input.offset ?? null,
      cause: input.cause ?? null,
      fields: input.fields ?? {},
    };
    this.#events[(event.seq - 1) % TIMELINE_CAPACITY] = event;
    return event;
  }

  /**
   * Returns the kept events after a sequence number.
   *
   * @param seq - Sequence number to start after; 0 for all events.
   * @returns Events in ascending order of their sequence numbers.
   */
  since(seq: number): TimelineEvent[] {
    const oldest = Math.max(1, this.#lastSeq - TIMELINE_CAPACITY + 1);
    const result: TimelineEvent[] = [];
    for (let next = Math.max(seq + 1, oldest); next <= this.#lastSeq; next++) {
      const event = this.#events[(next - 1) % TIMELINE_CAPACITY];
      if (event !== undefined) result.push(event);
    }
    return result;
  }
}
