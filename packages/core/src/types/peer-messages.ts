/** Schemas of the messages on the control link between entry VMs. */
import * as z from 'zod';
import {fenceSchema} from './lease.js';
import {stateImageSchema} from './records.js';

const offsetSchema = z.int().min(0);

/** Load of one shard as measured by the dispatcher of its server. */
export const shardLoadSchema = z.object({
  service: z.string(),
  shard: z.int(),
  /** Moving average of the slots that the shard's requests occupy. */
  busySlots: z.number(),
  /** Key with the most load, and its share of the shard's load (0 to 1). */
  hotKey: z.string().nullable(),
  hotKeyShare: z.number(),
});
export type ShardLoad = z.infer<typeof shardLoadSchema>;

/** Load of one server as measured by its dispatcher. */
export const serverLoadSchema = z.object({
  server: z.string(),
  /** Moving average of the service time of a request. */
  serviceTimeMs: z.number(),
  /** Moving average of the number of occupied slots. */
  busySlots: z.number(),
  queued: z.int(),
  shards: z.array(shardLoadSchema),
});
export type ServerLoad = z.infer<typeof serverLoadSchema>;

/** The entry VM that is the dispatcher of a server. */
export const dispatchRowSchema = z.object({
  server: z.string(),
  dispatcher: z.string(),
  fence: fenceSchema,
  /**
   * Fence that `fence` replaced, with no other fence in force between the two,
   * or null when unknown. The dispatcher accepts attempt records only from the
   * holder of that fence.
   */
  replaces: fenceSchema.nullable().default(null),
});
export type DispatchRow = z.infer<typeof dispatchRowSchema>;

/** Record of an attempt of a non-repeatable request, for a new dispatcher. */
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
  /** Time since the creation of the request, when the message was sent. */
  ageMs: z.number(),
});
export type AttemptRecord = z.infer<typeof attemptRecordSchema>;

/** A request that was in flight when a server crashed, and how often. */
export const crashRecordSchema = z.object({
  /** Identifies the request together with its retries. */
  fingerprint: z.string(),
  /** Number of crashes; 0 removes the record. */
  count: z.int().min(0),
  /** Server of the latest counted crash; affects no decision. */
  server: z.string(),
  /** Time since the last update of the record. */
  ageMs: z.number(),
});
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/** First message of each peer on an authenticated link. */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  deployment: z.string(),
  vm: z.string(),
  zone: z.string(),
  bootId: z.string(),
  /** Weight of the VM when dispatchers are chosen. */
  capacity: z.number(),
  relayHost: z.string(),
  relayPort: z.int(),
});
export type Hello = z.infer<typeof helloSchema>;

/** Sent every `HEARTBEAT_INTERVAL_MS` to show that the VM is live. */
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

/**
 * Dispatchers of a zone's servers. A table with a higher term, or with the same
 * term and a higher version, replaces another one.
 */
export const dispatchTableSchema = z.object({
  kind: z.literal('dispatch-table'),
  zone: z.string(),
  term: offsetSchema,
  version: z.int(),
  rows: z.array(dispatchRowSchema),
});
export type DispatchTable = z.infer<typeof dispatchTableSchema>;

/** Orders a dispatcher to stop sending to a server and to hand over records. */
export const dispatchStopSchema = z.object({
  kind: z.literal('dispatch-stop'),
  zone: z.string(),
  term: offsetSchema,
  server: z.string(),
  /** Fence of the dispatcher that must stop. */
  fence: fenceSchema,
  next: z.string(),
});

/** Confirms that a dispatcher no longer starts requests at the server. */
export const dispatchStoppedSchema = z.object({
  kind: z.literal('dispatch-stopped'),
  server: z.string(),
  term: offsetSchema,
  /**
   * Fence in the order that is confirmed. By it, a late answer is not taken for
   * the confirmation of another order.
   */
  fence: fenceSchema,
});

/** Attempt records for the new dispatcher of a server or of moved shards. */
export const handoverSchema = z.object({
  kind: z.literal('handover'),
  /** Server for which the sender was the dispatcher, and the sender's fence. */
  server: z.string(),
  fence: fenceSchema,
  /**
   * Term of the order by which the sender stopped, or null when a record moved
   * the shards to another server.
   */
  term: offsetSchema.nullable(),
  service: z.string(),
  /**
   * Shards, with the epoch under which the sender dispatched their requests.
   * `attempts` contains all attempts of a shard since `knownSinceWallMs`.
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

/** Permits a dispatcher to send to a server that does not check grants. */
export const permissionSchema = z.object({
  kind: z.literal('permission'),
  server: z.string(),
  term: offsetSchema,
  fence: fenceSchema,
  /** Expiry of the permission on the dispatcher's monotonic clock. */
  expiresAtMs: z.number(),
  grants: z.array(
    z.object({service: z.string(), shard: z.int(), epoch: offsetSchema}),
  ),
});

/**
 * Answer to a permission, with a reading of the dispatcher's monotonic clock
 * from which the expiry of the next permission is computed.
 */
export const permissionAckSchema = z.object({
  kind: z.literal('permission-ack'),
  server: z.string(),
  term: offsetSchema,
  clockMs: z.number(),
  busy: z.array(z.object({service: z.string(), shard: z.int()})),
});

/** Sends crash records to the other entry VMs; a count of 0 removes a record. */
export const crashMessageSchema = z.object({
  kind: z.literal('crash-record'),
  records: z.array(crashRecordSchema),
});

/** Asks a peer for its folded state. */
export const stateRequestSchema = z.object({kind: z.literal('state-request')});

/** Answer to a state request: the peer's state, or null when it has none. */
export const stateReplySchema = z.object({
  kind: z.literal('state-reply'),
  image: stateImageSchema.nullable(),
});

/** Loads measured by a dispatcher, sent to the assigner of the zone. */
export const loadReportSchema = z.object({
  kind: z.literal('load-report'),
  vm: z.string(),
  servers: z.array(serverLoadSchema),
});

/** Orders a dispatcher to stop or resume starting requests of shards. */
export const shardDrainSchema = z.object({
  kind: z.literal('shard-drain'),
  term: offsetSchema,
  /** Offset of the sender's state. A shard's drain ends with a later epoch. */
  offset: offsetSchema,
  /** Grows with each order of a term; the confirmation contains it too. */
  seq: z.int().min(1),
  server: z.string(),
  service: z.string(),
  shards: z.array(z.int()),
  /** False cancels an earlier drain. */
  drain: z.boolean(),
});

/** Confirms that the dispatcher has no request of the shards in flight. */
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
