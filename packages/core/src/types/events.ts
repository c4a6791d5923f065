/** Schema of the time line's events. */
import * as z from 'zod';

/** One event of one process, as the operator port returns it. */
export const timelineEventSchema = z.object({
  wallTimeMs: z.number(),
  /** Grows by one for each event of the process. */
  seq: z.int(),
  process: z.string(),
  zone: z.string(),
  kind: z.string(),
  term: z.int().nullable(),
  epoch: z.int().nullable(),
  offset: z.int().nullable(),
  cause: z.string().nullable(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type TimelineEvent = z.infer<typeof timelineEventSchema>;

/** What the emitter of an event states; the rest is added by the time line. */
export type EventInput = Pick<TimelineEvent, 'kind'> &
  Partial<Pick<TimelineEvent, 'term' | 'epoch' | 'offset' | 'cause'>> & {
    readonly fields?: TimelineEvent['fields'];
  };
