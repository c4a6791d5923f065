/** Schemas of the responses of the operator port. */
import {timelineEventSchema} from '@wisteriarun/core';
import * as z from 'zod';

/** Whether the process serves callers' requests. */
export const healthViewSchema = z.object({
  ok: z.boolean(),
  /** Why the process does not serve requests; null when it does. */
  problem: z.string().nullable(),
});
export type HealthView = z.infer<typeof healthViewSchema>;

/** Progress of draining one batch of servers in one zone. */
export const drainViewSchema = z.object({
  batch: z.string(),
  /** Wall time from which the servers of the batch get no new requests. */
  leaveAtMs: z.number(),
  zone: z.string(),
  servers: z.int(),
  /** Largest number of shards the batch owned in the zone in this term. */
  shardsTotal: z.int(),
  /** Number of shards that the batch still owns in the zone. */
  shardsLeft: z.int(),
  /** Wall time at which the drain is expected to finish; null if unknown. */
  expectedFinishMs: z.number().nullable(),
});
export type DrainView = z.infer<typeof drainViewSchema>;

/** One VM's view of its process, the bundle, terms, peers and drains. */
export const statusViewSchema = z.object({
  deployment: z.string(),
  vm: z.string(),
  zone: z.string(),
  /** Id of the process's incarnation; every start has a new one. */
  bootId: z.string(),
  draining: z.boolean(),
  /** Offset of the last log record that the VM's state includes. */
  offset: z.int(),
  /** Whether the latest read of the log succeeded. */
  logAvailable: z.boolean(),
  /** Kind of the error that keeps the VM from reading the log; null if none. */
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
      /** Offset of the last log record that the peer's state includes. */
      offset: z.int(),
      /** Time since the latest message from the peer. */
      silentMs: z.number(),
    }),
  ),
  /** Drains in the zones for which this VM is the assigner. */
  drains: z.array(drainViewSchema),
});
export type StatusView = z.infer<typeof statusViewSchema>;

/** Owner and dispatcher of one shard. */
export const ownerRowSchema = z.object({
  service: z.string(),
  shard: z.int(),
  /** The only key of an isolated shard; null for other shards. */
  key: z.string().nullable(),
  server: z.string().nullable(),
  epoch: z.int(),
  zone: z.string(),
  dispatcher: z.string().nullable(),
});
export type OwnerRow = z.infer<typeof ownerRowSchema>;

/** Owners of all shards as of one log offset. */
export const ownersViewSchema = z.object({
  offset: z.int(),
  rows: z.array(ownerRowSchema),
});
export type OwnersView = z.infer<typeof ownersViewSchema>;

/** Route of a key's requests and the reasons for it. */
export const explainViewSchema = z.object({
  offset: z.int(),
  service: z.string(),
  key: z.string(),
  shard: z.int(),
  /** Whether the key has a shard of its own. */
  isolated: z.boolean(),
  server: z.string().nullable(),
  batch: z.string().nullable(),
  epoch: z.int(),
  /**
   * Why the shard got its owner; null if no record gave it one, or if the VM
   * started from a state that already included that record.
   */
  reason: z.string().nullable(),
  zone: z.string(),
  assigner: z.string().nullable(),
  term: z.int(),
  dispatcher: z.string().nullable(),
  /** Fence of the dispatcher, written `term.seq`. */
  fence: z.string().nullable(),
  /** Sentences that explain each routing step. */
  notes: z.array(z.string()),
});
export type ExplainView = z.infer<typeof explainViewSchema>;

/** Events of one process after a sequence number. */
export const timelineViewSchema = z.object({
  process: z.string(),
  events: z.array(timelineEventSchema),
});
export type TimelineView = z.infer<typeof timelineViewSchema>;

/** Body of every error response, except those of `/health`. */
export const problemViewSchema = z.object({error: z.string()});
