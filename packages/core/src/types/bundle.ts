/** Schemas of the signed bundle that operators publish. */
import * as z from 'zod';

/** Largest number of shards that a service may have. */
export const MAX_SHARDS = 65_536;
/** Largest `longestDeadlineMs` of a service; long enough for uploads. */
export const MAX_DEADLINE_MS = 600_000;

const idSchema = z
  .string()
  .min(1)
  .max(64)
  .regex(
    /^[a-z0-9][a-z0-9.-]*$/,
    'lower-case letters, digits, dots and hyphens, starting with a letter or digit',
  );

/**
 * What a new assigner does with the shards of a server that it cannot reach
 * while an unreachable former assigner may still renew the server's lease.
 * `hold`: the shards keep their owner. `lapse`: the shards are reassigned once
 * the last lease that the former assigner may have renewed has expired. To bound
 * that time, an assigner renews leases under this policy only if it has read the
 * log, which would show a newer term, within the last `TERM_CONFIRM_MS`.
 */
export const adoptionPolicySchema = z.enum(['hold', 'lapse']);
export type AdoptionPolicy = z.infer<typeof adoptionPolicySchema>;

/** A service: a set of keys divided into a fixed number of shards. */
export const serviceSchema = z.strictObject({
  id: idSchema,
  shards: z.int().min(1).max(MAX_SHARDS),
  adoption: adoptionPolicySchema.default('hold'),
  /** Longest deadline that a caller may ask for. */
  longestDeadlineMs: z.int().min(100).max(MAX_DEADLINE_MS).default(10_000),
  /** Largest body of a request. */
  maxBodyBytes: z
    .int()
    .min(0)
    .default(1024 ** 3),
});
export type Service = z.infer<typeof serviceSchema>;

/**
 * A batch of servers under one support contract. The servers of a leaving batch
 * get no new shards, and their shards are moved to other servers.
 */
export const batchSchema = z.discriminatedUnion('state', [
  z.strictObject({id: idSchema, state: z.literal('serving')}),
  z.strictObject({
    id: idSchema,
    state: z.literal('leaving'),
    /** Wall time from which the servers of the batch get no new requests. */
    leaveAtMs: z.int().min(0),
  }),
]);
export type Batch = z.infer<typeof batchSchema>;

/** A backend server as listed in a bundle. */
export const serverSchema = z.strictObject({
  id: idSchema,
  service: idSchema,
  batch: idSchema,
  zone: idSchema,
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
  /** Requests that the server runs at a time. */
  slots: z.int().min(1).max(1024),
  /**
   * Largest number of connections that one entry VM opens to the server for
   * requests.
   */
  connections: z.int().min(1).max(65_535),
  /**
   * Whether the server holds a lease and refuses requests for shards that it
   * was not granted. If false, only the permission (`permissionSchema`) of its
   * dispatcher, the one entry VM that sends to it, limits what it gets.
   */
  checksGrants: z.boolean().default(true),
});
export type Server = z.infer<typeof serverSchema>;

/** An operator who may sign the next bundle version. */
export const signerSchema = z.strictObject({
  keyId: idSchema,
  /** Ed25519 public key, SPKI DER in base64. */
  publicKey: z.string().min(1),
});
export type Signer = z.infer<typeof signerSchema>;

/** One version of the configuration of a deployment. */
export const bundleSchema = z.strictObject({
  deployment: idSchema,
  version: z.int().min(1),
  zones: z.array(idSchema).min(1),
  services: z.array(serviceSchema).min(1),
  batches: z.array(batchSchema).min(1),
  servers: z.array(serverSchema).min(1),
  /** Servers that the operator has confirmed to be stopped permanently. */
  stopped: z.array(idSchema).default([]),
  signers: z.array(signerSchema).min(1),
});
export type Bundle = z.infer<typeof bundleSchema>;

/** A bundle as stored on the log: the exact signed text and its signature. */
export const signedBundleSchema = z.strictObject({
  payload: z.string(),
  keyId: idSchema,
  /** Ed25519 signature over the UTF-8 bytes of the payload, in base64. */
  signature: z.string(),
});
export type SignedBundle = z.infer<typeof signedBundleSchema>;
