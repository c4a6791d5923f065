/** Schemas of the records on the log stream of a deployment. */
import * as z from 'zod';
import {signedBundleSchema} from './bundle.js';
import {fenceSchema} from './lease.js';

/**
 * The record's id, and its author: the VM or operator that appends it. The id is
 * unique, so that an author whose append got no answer can look for the record on
 * the log.
 */
const commonFields = {id: z.string().min(1), author: z.string().min(1)};
const offsetSchema = z.int().min(0);

/**
 * Publishes a bundle version. `baseVersion` is the version in force that it
 * replaces, 0 for the first bundle.
 */
export const bundleRecordSchema = z.strictObject({
  kind: z.literal('bundle'),
  ...commonFields,
  baseVersion: z.int().min(0),
  signed: signedBundleSchema,
});
export type BundleRecord = z.infer<typeof bundleRecordSchema>;

/**
 * Makes `author` the assigner of a zone, which decides the owners of the zone's
 * shards; the record's offset is the term.
 */
export const termRecordSchema = z.strictObject({
  kind: z.literal('term'),
  ...commonFields,
  zone: z.string(),
  /** Zone of the author; a VM may become the assigner of another zone. */
  authorZone: z.string(),
  /** Term of the zone that the new term replaces, 0 for the zone's first. */
  baseTerm: offsetSchema,
});
export type TermRecord = z.infer<typeof termRecordSchema>;

/**
 * Why a shard gets an owner. `initial`: it had none; `leaving`: the batch of its
 * owner is leaving; `stopped`: the bundle lists its owner as stopped for good.
 * Assigners do not write `hot-key`, but readers accept it.
 */
export const assignReasonSchema = z.enum([
  'initial',
  'server-lost',
  'leaving',
  'balance',
  'hot-key',
  'stopped',
]);
export type AssignReason = z.infer<typeof assignReasonSchema>;

/** New owner of one shard; `server` is null when the shard has no owner. */
export const shardChangeSchema = z.strictObject({
  service: z.string(),
  shard: z.int().min(0),
  server: z.string().nullable(),
  reason: assignReasonSchema,
  /**
   * Fence of the former owner's last dispatcher, which is the entry VM that sent
   * the requests to it; null when unknown. The next dispatcher accepts attempt
   * records (`attemptRecordSchema`, which are peer messages and not on the log)
   * only from the holder of this fence.
   */
  formerFence: fenceSchema.nullable().default(null),
});
export type ShardChange = z.infer<typeof shardChangeSchema>;

/** Gives shards new owners; the record's offset becomes their epoch. */
export const assignRecordSchema = z.strictObject({
  kind: z.literal('assign'),
  ...commonFields,
  zone: z.string(),
  term: offsetSchema,
  /** Offset of the folded state (`RouterState`) used for the decision. */
  baseOffset: offsetSchema,
  changes: z.array(shardChangeSchema).min(1),
});
export type AssignRecord = z.infer<typeof assignRecordSchema>;

/** Isolates a hot key: gives it a shard of its own, with the same owner. */
export const isolateRecordSchema = z.strictObject({
  kind: z.literal('isolate'),
  ...commonFields,
  zone: z.string(),
  term: offsetSchema,
  /** Offset of the folded state (`RouterState`) used for the decision. */
  baseOffset: offsetSchema,
  service: z.string(),
  key: z.string(),
});
export type IsolateRecord = z.infer<typeof isolateRecordSchema>;

/** Returns an isolated key to its hash shard; both must have the same owner. */
export const mergeRecordSchema = isolateRecordSchema.extend({
  kind: z.literal('merge'),
});
export type MergeRecord = z.infer<typeof mergeRecordSchema>;

/** Owner and epoch of one shard. */
export const shardRowSchema = z.strictObject({
  /** Server id, or null when the shard has no owner. */
  server: z.string().nullable(),
  /** Zone whose assigner may change the shard. */
  zone: z.string(),
  /**
   * Offset of the latest `assign`, `isolate` or `merge` record of the shard, or
   * else of the bundle record that added the service.
   */
  epoch: offsetSchema,
});
export type ShardRow = z.infer<typeof shardRowSchema>;

/** Shards of one service. */
export const serviceImageSchema = z.strictObject({
  /**
   * Rows of the hash shards, to which keys belong by their hash, then of the
   * isolated keys' shards.
   */
  rows: z.array(shardRowSchema),
  /** Shard number of each isolated key. */
  isolated: z.record(z.string(), z.int()),
});

/** The folded state in the form that snapshots and peer messages contain. */
export const stateImageSchema = z.strictObject({
  offset: offsetSchema,
  bundle: z
    .strictObject({
      offset: offsetSchema,
      author: z.string(),
      signed: signedBundleSchema,
    })
    .nullable(),
  terms: z.record(
    z.string(),
    z.strictObject({
      holder: z.string(),
      holderZone: z.string(),
      term: offsetSchema,
    }),
  ),
  services: z.record(z.string(), serviceImageSchema),
});
export type StateImage = z.infer<typeof stateImageSchema>;

/**
 * The complete state up to and including the offset `upTo`. A recovery skips a
 * snapshot whose `upTo` differs from `image.offset`; `fold` reads `upTo` without
 * parsing the image. Folding the record changes only the offset of the state.
 */
export const snapshotRecordSchema = z.strictObject({
  kind: z.literal('snapshot'),
  ...commonFields,
  upTo: offsetSchema,
  image: stateImageSchema,
});
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;

/** Any record on the stream. */
export const logRecordSchema = z.discriminatedUnion('kind', [
  bundleRecordSchema,
  termRecordSchema,
  assignRecordSchema,
  isolateRecordSchema,
  mergeRecordSchema,
  snapshotRecordSchema,
]);
export type LogRecord = z.infer<typeof logRecordSchema>;

/** A record with the offset that the log gave it. */
export interface StoredRecord {
  readonly offset: number;
  /** As read; `fold` checks it against `logRecordSchema`. */
  readonly record: unknown;
}
