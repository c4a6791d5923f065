/** Schemas of the messages on the control link between entry VMs. */
import * as z from 'zod';
import {fenceSchema} from './lease.js';
import {stateImageSchema} from './records.js';

const offsetSchema = z.int().min(0);

/** Load that a dispatcher saw on one shard since its last report. */
export const shardLoadSchema = z.object({
  service: z.string(),
  shard: z.int(),
  /** Smoothed share of one slot, in slots. */
  busySlots: z.number(),
  /** Hottest key of the shard and its share of the shard's load. */
  hotKey: z.string().nullable(),
  hotKeyShare: z.number(),
});
export type ShardLoad = z.infer<typeof shardLoadSchema>;

/** Load that a dispatcher saw on one server. */
export const serverLoadSchema = z.object({
  server: z.string(),
  /** Mean service time seen by the dispatcher. */
  serviceTimeMs: z.number(),
  /** Smoothed number of slots in use. */
  busySlots: z.number(),
  queued: z.int(),
  shards: z.array(shardLoadSchema),
});
export type ServerLoad = z.infer<typeof serverLoadSchema>;

/** Which entry VM dispatches for a server. */
export const dispatchRowSchema = z.object({
  server: z.string(),
  dispatcher: z.string(),
  fence: fenceSchema,
  /**
   * Fence that this one replaced without a gap, or null when unknown. The
   * dispatcher takes attempt records only from the one that held it.
   */
  replaces: fenceSchema.nullable().default(null),
});
export type DispatchRow = z.infer<typeof dispatchRowSchema>;

/** Attempt of a non-repeatable request, as handed to a new dispatcher. */
export const attemptRecordSchema = z.object({
  service: z.string(),
  key: z.string(),
  idempotencyKey: z.string(),
  state: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('unknown')}),
    z.object({
      kind: z.literal('answered'),
      status: z.int(),
      headers: z.record(z.string(), z.string()),
      body: z.instanceof(Uint8Array).nullable(),
    }),
  ]),
  /** Age when the message was sent. */
  ageMs: z.number(),
});
export type AttemptRecord = z.infer<typeof attemptRecordSchema>;

/** A request that was in flight when a server crashed. */
export const crashRecordSchema = z.object({
  fingerprint: z.string(),
  count: z.int().min(0),
  server: z.string(),
  ageMs: z.number(),
});
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/** First message of each side after the authentication of the link. */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  deployment: z.string(),
  vm: z.string(),
  zone: z.string(),
  bootId: z.string(),
  /** Weight in the choice of dispatchers. */
  capacity: z.number(),
  relayHost: z.string(),
  relayPort: z.int(),
});
export type Hello = z.infer<typeof helloSchema>;

/** Sign of life, every `HEARTBEAT_INTERVAL_MS`. */
export const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  vm: z.string(),
  zone: z.string(),
  seq: z.int(),
  offset: offsetSchema,
  draining: z.boolean(),
  capacity: z.number(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Dispatchers of a zone's servers; the highest term and version count. */
export const dispatchTableSchema = z.object({
  kind: z.literal('dispatch-table'),
  zone: z.string(),
  term: offsetSchema,
  version: z.int(),
  rows: z.array(dispatchRowSchema),
});
export type DispatchTable = z.infer<typeof dispatchTableSchema>;

/** Tells a dispatcher to stop sending to a server and hand over its records. */
export const dispatchStopSchema = z.object({
  kind: z.literal('dispatch-stop'),
  zone: z.string(),
  term: offsetSchema,
  server: z.string(),
  /** Fence that is to end. */
  fence: fenceSchema,
  next: z.string(),
});

/** Confirms that a dispatcher starts no more requests at the server. */
export const dispatchStoppedSchema = z.object({
  kind: z.literal('dispatch-stopped'),
  server: z.string(),
  term: offsetSchema,
  /** Fence of the order, so that a late answer does not count for another. */
  fence: fenceSchema,
});

/** Attempt and crash records for a new dispatcher of a shard or server. */
export const handoverSchema = z.object({
  kind: z.literal('handover'),
  /** Server that the sender dispatched for, and its fence. */
  server: z.string(),
  fence: fenceSchema,
  /**
   * Term of the order that ended the sender's dispatching, or null when a
   * record moved the shards away.
   */
  term: offsetSchema.nullable(),
  service: z.string(),
  /**
   * Shards whose attempts since the given wall time are all in `attempts`, with
   * the epoch under which the sender dispatched for them.
   */
  shards: z.array(
    z.object({
      shard: z.int(),
      epoch: offsetSchema,
      knownSinceWallMs: z.number(),
    }),
  ),
  attempts: z.array(attemptRecordSchema),
});

/** Lets a dispatcher send to a server that does not check grants. */
export const permissionSchema = z.object({
  kind: z.literal('permission'),
  server: z.string(),
  term: offsetSchema,
  fence: fenceSchema,
  /** Expiry on the dispatcher's own monotonic clock. */
  expiresAtMs: z.number(),
  grants: z.array(
    z.object({service: z.string(), shard: z.int(), epoch: offsetSchema}),
  ),
});

/** Reading of a dispatcher's monotonic clock for its permissions. */
export const permissionAckSchema = z.object({
  kind: z.literal('permission-ack'),
  server: z.string(),
  term: offsetSchema,
  clockMs: z.number(),
  busy: z.array(z.object({service: z.string(), shard: z.int()})),
});

/** Tells all entry VMs about a request that crashed a server. */
export const crashMessageSchema = z.object({
  kind: z.literal('crash-record'),
  records: z.array(crashRecordSchema),
});

/** Asks a peer for its folded state. */
export const stateRequestSchema = z.object({kind: z.literal('state-request')});

/** The peer's folded state, or null when it has none. */
export const stateReplySchema = z.object({
  kind: z.literal('state-reply'),
  image: stateImageSchema.nullable(),
});

/** Loads that a dispatcher saw, sent to the assigner of the zone. */
export const loadReportSchema = z.object({
  kind: z.literal('load-report'),
  vm: z.string(),
  servers: z.array(serverLoadSchema),
});

/** Tells a dispatcher to stop or resume starting requests of shards. */
export const shardDrainSchema = z.object({
  kind: z.literal('shard-drain'),
  term: offsetSchema,
  /** Folded offset of the sender. A later epoch of a shard ends its drain. */
  offset: offsetSchema,
  /** Grows with each order of a term; the confirmation repeats it. */
  seq: z.int().min(1),
  server: z.string(),
  service: z.string(),
  shards: z.array(z.int()),
  /** False takes an earlier drain back. */
  drain: z.boolean(),
});

/** Confirms that nothing of the shards is in flight at the dispatcher. */
export const shardDrainedSchema = z.object({
  kind: z.literal('shard-drained'),
  term: offsetSchema,
  seq: z.int().min(1),
  server: z.string(),
  service: z.string(),
  shards: z.array(z.int()),
});

/** Any message on the control link. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  helloSchema,
  heartbeatSchema,
  dispatchTableSchema,
  dispatchStopSchema,
  dispatchStoppedSchema,
  handoverSchema,
  permissionSchema,
  permissionAckSchema,
  crashMessageSchema,
  stateRequestSchema,
  stateReplySchema,
  loadReportSchema,
  shardDrainSchema,
  shardDrainedSchema,
]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;
