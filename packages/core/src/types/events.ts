/** Schema of the events in the timeline, the latest events of a process. */
import * as z from 'zod';

/** One timeline event of one process, as the operator port returns it. */
export const timelineEventSchema = z.object({
  wallTimeMs: z.number(),
  /** Number of the event within the process; grows by one per event. */
  seq: z.int(),
  /** Id of the process, `<vm>.<boot>`. */
  process: z.string(),
  zone: z.string(),
  kind: z.string(),
  /** Null when the event concerns no term; `epoch` and `offset` likewise. */
  term: z.int().nullable(),
  epoch: z.int().nullable(),
  offset: z.int().nullable(),
  /** Null when the event states no cause. */
  cause: z.string().nullable(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type TimelineEvent = z.infer<typeof timelineEventSchema>;

/** Properties that the emitter of an event sets; the timeline adds the rest. */
export type EventInput = Pick<TimelineEvent, 'kind'> &
  Partial<Pick<TimelineEvent, 'term' | 'epoch' | 'offset' | 'cause'>> & {
    readonly fields?: TimelineEvent['fields'];
  };
