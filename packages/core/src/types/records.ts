/** Schemas of the records on the deployment's log stream. */
import * as z from 'zod';
import {signedBundleSchema} from './bundle.js';
import {fenceSchema} from './lease.js';

const commonFields = {id: z.string().min(1), author: z.string().min(1)};
const offsetSchema = z.int().min(0);

/** Publishes a bundle version; `baseVersion` is 0 for the first. */
export const bundleRecordSchema = z.strictObject({
  kind: z.literal('bundle'),
  ...commonFields,
  baseVersion: z.int().min(0),
  signed: signedBundleSchema,
});
export type BundleRecord = z.infer<typeof bundleRecordSchema>;

/** Makes `author` the assigner of a zone; its offset becomes the term. */
export const termRecordSchema = z.strictObject({
  kind: z.literal('term'),
  ...commonFields,
  zone: z.string(),
  /** Zone of the author, which may take another zone's term. */
  authorZone: z.string(),
  baseTerm: offsetSchema,
});
export type TermRecord = z.infer<typeof termRecordSchema>;

/** Why a shard changes its owner. */
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
   * Fence of the former owner's last dispatcher, or null when unknown. The next
   * dispatcher takes attempt records only from the one that held this fence.
   */
  formerFence: fenceSchema.nullable().default(null),
});
export type ShardChange = z.infer<typeof shardChangeSchema>;

/** Gives shards new owners; its offset becomes their epoch. */
export const assignRecordSchema = z.strictObject({
  kind: z.literal('assign'),
  ...commonFields,
  zone: z.string(),
  term: offsetSchema,
  baseOffset: offsetSchema,
  changes: z.array(shardChangeSchema).min(1),
});
export type AssignRecord = z.infer<typeof assignRecordSchema>;

/** Makes a hot key a shard of its own on the same server. */
export const isolateRecordSchema = z.strictObject({
  kind: z.literal('isolate'),
  ...commonFields,
  zone: z.string(),
  term: offsetSchema,
  baseOffset: offsetSchema,
  service: z.string(),
  key: z.string(),
});
export type IsolateRecord = z.infer<typeof isolateRecordSchema>;

/** Puts an isolated key back into its hash shard; both have one owner. */
export const mergeRecordSchema = isolateRecordSchema.extend({
  kind: z.literal('merge'),
});
export type MergeRecord = z.infer<typeof mergeRecordSchema>;

/** Owner and epoch of one shard in a snapshot. */
export const shardRowSchema = z.strictObject({
  /** Server id, or null when the shard has no owner. */
  server: z.string().nullable(),
  /** Zone whose assigner decides about the shard. */
  zone: z.string(),
  /** Offset of the record that gave the shard its owner. */
  epoch: offsetSchema,
});
export type ShardRow = z.infer<typeof shardRowSchema>;

/** State of one service in a snapshot. */
export const serviceStateSchema = z.strictObject({
  /** Rows of the hash shards, then of the isolated keys' shards. */
  rows: z.array(shardRowSchema),
  /** Shard number of each isolated key. */
  isolated: z.record(z.string(), z.int()),
});

/** The folded state in the form that snapshots and peers carry. */
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
  services: z.record(z.string(), serviceStateSchema),
});
export type StateImage = z.infer<typeof stateImageSchema>;

/** Complete state up to an offset; changes nothing for a reader that has it. */
export const snapshotRecordSchema = z.strictObject({
  kind: z.literal('snapshot'),
  ...commonFields,
  upTo: offsetSchema,
  image: stateImageSchema,
});
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;

/** Any record on the stream. */
export const recordSchema = z.discriminatedUnion('kind', [
  bundleRecordSchema,
  termRecordSchema,
  assignRecordSchema,
  isolateRecordSchema,
  mergeRecordSchema,
  snapshotRecordSchema,
]);
export type LogRecord = z.infer<typeof recordSchema>;

/** A record with the offset that the log gave it. */
export interface StoredRecord {
  readonly offset: number;
  /** As read; the fold checks it against `recordSchema`. */
  readonly record: unknown;
}
