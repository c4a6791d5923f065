/** Schemas of the operator port's answers. */
import {timelineEventSchema} from '@wisteriarun/core';
import * as z from 'zod';

/** Whether the process serves callers. */
export const healthViewSchema = z.object({
  ok: z.boolean(),
  /** Why it does not; null when it does. */
  problem: z.string().nullable(),
});
export type HealthView = z.infer<typeof healthViewSchema>;

/** Progress of a batch that is leaving, in one zone. */
export const drainViewSchema = z.object({
  batch: z.string(),
  leaveAtMs: z.number(),
  zone: z.string(),
  servers: z.int(),
  /** Most shards that the batch owned in the zone during this term. */
  shardsTotal: z.int(),
  shardsLeft: z.int(),
  /** Wall time of the expected finish; null when it is not known. */
  expectedFinishMs: z.number().nullable(),
});
export type DrainView = z.infer<typeof drainViewSchema>;

/** Process, bundle, terms, peers and drains as one VM sees them. */
export const statusViewSchema = z.object({
  deployment: z.string(),
  vm: z.string(),
  zone: z.string(),
  bootId: z.string(),
  draining: z.boolean(),
  /** Offset of the folded state. */
  offset: z.int(),
  /** Whether the latest read of the log succeeded. */
  logAvailable: z.boolean(),
  problem: z.string().nullable(),
  bundle: z
    .object({
      version: z.int(),
      offset: z.int(),
      author: z.string(),
      keyId: z.string(),
    })
    .nullable(),
  terms: z.array(
    z.object({zone: z.string(), holder: z.string(), term: z.int()}),
  ),
  peers: z.array(
    z.object({
      vm: z.string(),
      zone: z.string(),
      connected: z.boolean(),
      offset: z.int(),
      silentMs: z.number(),
    }),
  ),
  /** Drains in the zones whose assigner the VM is. */
  drains: z.array(drainViewSchema),
});
export type StatusView = z.infer<typeof statusViewSchema>;

/** Owner and dispatcher of one shard. */
export const ownerRowSchema = z.object({
  service: z.string(),
  shard: z.int(),
  /** Key of an isolated shard, else null. */
  key: z.string().nullable(),
  server: z.string().nullable(),
  epoch: z.int(),
  zone: z.string(),
  dispatcher: z.string().nullable(),
});
export type OwnerRow = z.infer<typeof ownerRowSchema>;

/** Owners of all shards at one offset. */
export const ownersViewSchema = z.object({
  offset: z.int(),
  rows: z.array(ownerRowSchema),
});
export type OwnersView = z.infer<typeof ownersViewSchema>;

/** Where a key's requests go and why. */
export const explainViewSchema = z.object({
  offset: z.int(),
  service: z.string(),
  key: z.string(),
  shard: z.int(),
  isolated: z.boolean(),
  server: z.string().nullable(),
  batch: z.string().nullable(),
  epoch: z.int(),
  /** Why the shard got its owner; null when the VM did not see the record. */
  reason: z.string().nullable(),
  zone: z.string(),
  assigner: z.string().nullable(),
  term: z.int(),
  dispatcher: z.string().nullable(),
  /** The dispatch fence as `term.seq`. */
  fence: z.string().nullable(),
  /** Sentences that state the cause of each step. */
  notes: z.array(z.string()),
});
export type ExplainView = z.infer<typeof explainViewSchema>;

/** Events of one process after a sequence number. */
export const timelineViewSchema = z.object({
  process: z.string(),
  events: z.array(timelineEventSchema),
});
export type TimelineView = z.infer<typeof timelineViewSchema>;

/** Body of every answer that is not successful. */
export const problemViewSchema = z.object({error: z.string()});
