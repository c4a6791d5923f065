/**
 * Schemas and paths of the calls to servers, names of the headers of requests,
 * and the comparison of fences.
 */
import * as z from 'zod';

/**
 * Fencing token of a dispatcher, the one entry VM that sends requests to a
 * server. Fences are ordered by `term`, then by `seq`.
 */
export const fenceSchema = z.strictObject({
  term: z.int().min(0),
  /** Counts the dispatchers appointed in the term. */
  seq: z.int().min(0),
});
export type Fence = z.infer<typeof fenceSchema>;

/**
 * Tells whether two fences are equal. An unknown fence equals no other, not
 * even another unknown one.
 *
 * @param a - Fence, or null when unknown.
 * @param b - Fence, or null when unknown.
 * @returns True when both are known and equal.
 */
export function isSameFence(a: Fence | null, b: Fence | null): boolean {
  return a !== null && a.term === b?.term && a.seq === b.seq;
}

/**
 * Tells whether a fence is older than another one.
 *
 * @param fence - Fence of a call.
 * @param current - Fence in force.
 * @returns True when the dispatcher with `fence` has been replaced.
 */
export function isOlderFence(fence: Fence, current: Fence): boolean {
  if (fence.term !== current.term) return fence.term < current.term;
  return fence.seq < current.seq;
}

/** A shard that the server of a lease may serve, at this epoch only. */
export const grantSchema = z.strictObject({
  service: z.string(),
  shard: z.int().min(0),
  /** Offset of the record that last changed the shard's owner or keys. */
  epoch: z.int().min(0),
});
export type Grant = z.infer<typeof grantSchema>;

/**
 * Body of a lease call. It replaces the server's whole lease, except that the
 * server keeps its grants when `grants` is null.
 */
const leaseFieldsSchema = z.strictObject({
  /** Zone whose assigner calls. */
  zone: z.string(),
  /**
   * Term of the calling assigner. `fence.term` is lower when the dispatcher was
   * appointed in an earlier term.
   */
  term: z.int().min(0),
  /**
   * Fence of the dispatcher. A server refuses a call whose fence is older than
   * its current one: a new assigner may have read the server's status before
   * the former assigner replaced the dispatcher.
   */
  fence: fenceSchema,
  /** Instance id of the dispatcher: its VM id and the boot id of its process. */
  dispatcher: z.string(),
  /** Time on the server's monotonic clock at which the lease expires. */
  expiresAtMs: z.number(),
  /** Null to keep the grants of the call with the `seq` in `grantsSeq`. */
  grants: z.array(grantSchema).nullable(),
  /**
   * `seq` of the call, in this term and to this incarnation, that set the
   * grants to keep; null when `grants` is set. A server whose current grants
   * were set by another call refuses, because they may include a grant that was
   * revoked.
   */
  grantsSeq: z.int().min(1).nullable().default(null),
  /**
   * Incarnation of the server whose clock `expiresAtMs` refers to. A server
   * with another `bootId` refuses the call: after a restart its clock may start
   * from zero again, and the expiry would be far in the future.
   */
  bootId: z.string(),
  /**
   * Grows with each lease call of one term to one server. A server refuses a
   * call of the same term whose `seq` is not higher than the last one, because
   * a delayed call could restore grants that were revoked.
   */
  seq: z.int().min(1),
});
/** Body of a lease call, with exactly one of `grants` and `grantsSeq`. */
export const leaseRequestSchema = leaseFieldsSchema.refine(
  call => (call.grants === null) === (call.grantsSeq !== null),
  'exactly one of grants and grantsSeq must be set',
);
export type LeaseRequest = z.infer<typeof leaseRequestSchema>;

/** A shard with requests in flight. */
export const busyShardSchema = z.object({
  service: z.string(),
  shard: z.int(),
});

/** A server's answer to a lease or status call. */
export const serverStatusSchema = z.object({
  /** Id of the server's incarnation, new at each start of its process. */
  bootId: z.string(),
  /** The server's monotonic clock when it answered. */
  clockMs: z.number(),
  /** Term of the last lease call that was accepted; 0 before the first. */
  term: z.int(),
  /** Fence of `dispatcher`; both are null before the first lease call. */
  fence: fenceSchema.nullable(),
  dispatcher: z.string().nullable(),
  /**
   * `seq` of the lease call of `term` that set the current grants. Null before
   * the first call, and for servers that need grants in each call.
   */
  grantsSeq: z.int().nullable().default(null),
  busy: z.array(busyShardSchema),
  inFlight: z.int(),
  /** Load as reported by the server. The router does not read it. */
  load: z.number(),
  /**
   * Whether the server refuses new requests. Its zone's assigner then gives it no
   * further shards.
   */
  draining: z.boolean(),
});
export type ServerStatus = z.infer<typeof serverStatusSchema>;

/** Headers between callers, entry VMs and servers, in lower case. */
export const HEADERS = {
  service: 'wisteriarun-service',
  shard: 'wisteriarun-shard',
  epoch: 'wisteriarun-epoch',
  fence: 'wisteriarun-fence',
  /** Milliseconds left for the request; not a clock reading. */
  deadlineMs: 'wisteriarun-deadline-ms',
  requestId: 'wisteriarun-request-id',
  outcome: 'wisteriarun-outcome',
  reason: 'wisteriarun-reason',
  /** Number of server crashes during which the request was in flight. */
  crashCount: 'wisteriarun-crash-count',
  key: 'wisteriarun-key',
  secret: 'wisteriarun-relay-secret',
  retryAfterMs: 'wisteriarun-retry-after-ms',
  idempotencyKey: 'idempotency-key',
  requestTimeoutMs: 'request-timeout-ms',
} as const;

/** Path of the lease call on a server. */
export const LEASE_PATH = '/wisteriarun/lease';
/** Path of the status call on a server. */
export const STATUS_PATH = '/wisteriarun/status';
/** Prefix of the path of the cancel call on a server; the request id follows. */
export const CANCEL_PATH_PREFIX = '/wisteriarun/requests/';
