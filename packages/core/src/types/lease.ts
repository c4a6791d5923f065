/** Schemas of the lease calls that servers accept. */
import * as z from 'zod';

/** Fencing token of a dispatcher; compared by term, then by sequence. */
export const fenceSchema = z.strictObject({
  term: z.int().min(0),
  seq: z.int().min(0),
});
export type Fence = z.infer<typeof fenceSchema>;

/**
 * Compares two fences. An unknown fence is not the same as any other.
 *
 * @param a - Fence, or null when unknown.
 * @param b - Fence, or null when unknown.
 * @returns True when both are known and equal.
 */
export function isSameFence(a: Fence | null, b: Fence | null): boolean {
  return a !== null && a.term === b?.term && a.seq === b.seq;
}

/**
 * Orders two fences.
 *
 * @param fence - Fence of a call.
 * @param current - Fence in force.
 * @returns True when a dispatcher with the first fence has been replaced.
 */
export function isOlderFence(fence: Fence, current: Fence): boolean {
  if (fence.term !== current.term) return fence.term < current.term;
  return fence.seq < current.seq;
}

/** A shard that the lease's holder may serve at exactly this epoch. */
export const grantSchema = z.strictObject({
  service: z.string(),
  shard: z.int().min(0),
  epoch: z.int().min(0),
});
export type Grant = z.infer<typeof grantSchema>;

/**
 * Body of a lease call. It replaces the server's lease as a whole, but for the
 * grants when they are null.
 */
const leaseFieldsSchema = z.strictObject({
  zone: z.string(),
  term: z.int().min(0),
  /**
   * Never older than the server's present fence, or the server refuses: a new
   * assigner may have read the status before the former one replaced the
   * dispatcher.
   */
  fence: fenceSchema,
  dispatcher: z.string(),
  /** Expiry on the server's own monotonic clock. */
  expiresAtMs: z.number(),
  /** Null when the grants of the call `grantsSeq` still apply. */
  grants: z.array(grantSchema).nullable(),
  /**
   * `seq` of the call of this term and boot that brought the present grants;
   * null in a call with grants. A server whose grants came with another call
   * refuses: keeping them could keep a grant that was taken away.
   */
  grantsSeq: z.int().min(1).nullable().default(null),
  /**
   * Boot whose clock `expiresAtMs` refers to. A server with another `bootId`
   * refuses the call: after a restart its clock may count from zero, and an
   * old expiry would be far in the future.
   */
  bootId: z.string(),
  /**
   * Grows with each lease call of a term to a server. A server refuses a call
   * of the same term that is not newer, because it could restore grants.
   */
  seq: z.int().min(1),
});
export const leaseRequestSchema = leaseFieldsSchema.refine(
  call => (call.grants === null) === (call.grantsSeq !== null),
  'either grants or grantsSeq is needed',
);
export type LeaseRequest = z.infer<typeof leaseRequestSchema>;

/** Shard of a service that still has requests running. */
export const busyShardSchema = z.object({
  service: z.string(),
  shard: z.int(),
});

/** A server's answer to a lease or status call. */
export const serverStatusSchema = z.object({
  /** Changes at each start of the server's process. */
  bootId: z.string(),
  /** The server's monotonic clock when it answered. */
  clockMs: z.number(),
  /** Highest term seen; 0 before the first lease. */
  term: z.int(),
  fence: fenceSchema.nullable(),
  dispatcher: z.string().nullable(),
  /**
   * `seq` of the lease call under `term` that brought the present grants.
   * Null before the first, and for servers that need grants in each call.
   */
  grantsSeq: z.int().nullable().default(null),
  busy: z.array(busyShardSchema),
  inFlight: z.int(),
  /** Load as the server reports it; may lag or mislead. */
  load: z.number(),
  draining: z.boolean(),
});
export type ServerStatus = z.infer<typeof serverStatusSchema>;

/** Headers between entry VMs and servers, in lower case. */
export const HEADERS = {
  service: 'wisteriarun-service',
  shard: 'wisteriarun-shard',
  epoch: 'wisteriarun-epoch',
  fence: 'wisteriarun-fence',
  deadlineMs: 'wisteriarun-deadline-ms',
  requestId: 'wisteriarun-request-id',
  outcome: 'wisteriarun-outcome',
  reason: 'wisteriarun-reason',
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
/** Prefix of the cancel call on a server; the request id follows. */
export const CANCEL_PATH_PREFIX = '/wisteriarun/requests/';
