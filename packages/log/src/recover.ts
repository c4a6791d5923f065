/** Recovery of the folded state from the log. */
import {
  ERRORS,
  emptyState,
  fromImage,
  snapshotRecordSchema,
  type RouterState,
  type Signer,
  type StoredRecord,
} from '@wisteriarun/core';
import {Result} from 'true-myth';
import type {LogClient, ReadError} from './log-client.js';

/** Latest snapshots that are kept in case the latest one is unusable. */
const MAX_SNAPSHOT_CANDIDATES = 4;

/** State from which a new VM folds on. */
export interface Recovery {
  readonly state: RouterState;
  /** Next offset to read, right after the state's. */
  readonly from: number;
  /** Offset of the snapshot record; null when the stream starts at 1. */
  readonly snapshotOffset: number | null;
}

/** Settings of a recovery. */
export interface RecoverOptions {
  /** Time for each answer. */
  readonly timeoutMs?: number;
  /** Gives up. */
  readonly signal?: AbortSignal;
}

/** What one pass over the stream found. */
interface ScanResult {
  /** Oldest offset when the scan passed it. */
  readonly firstOffset: number;
  /** Latest snapshots, oldest first. */
  readonly snapshots: readonly StoredRecord[];
}

/**
 * Finds the latest usable snapshot by reading the whole stream once.
 *
 * @param client - Client of the deployment's stream.
 * @param rootSigners - Root signers.
 * @param options - Limits.
 * @returns The state to fold on from: that of the snapshot, or the empty one
 * when the stream still starts at offset 1; `snapshot-missing` when neither
 * is there; `log-unavailable` or `log-expired` when the stream cannot be read.
 */
export async function recover(
  client: LogClient,
  rootSigners: readonly Signer[],
  options: RecoverOptions = {},
): Promise<
  Result<Recovery, ReadError | ReturnType<typeof ERRORS.snapshotMissing>>
> {
  const scan = await scanStream(client, options);
  if (scan.isErr) return Result.err(scan.error);
  const {firstOffset, snapshots} = scan.value;
  for (const snapshot of snapshots.toReversed()) {
    const state = restoreState(snapshot, rootSigners);
    // Records between the state and the snapshot are needed too.
    if (state === null || state.offset + 1 < firstOffset) continue;
    const {offset} = snapshot;
    return Result.ok({state, from: state.offset + 1, snapshotOffset: offset});
  }
  if (firstOffset > 1) return Result.err(ERRORS.snapshotMissing(firstOffset));
  return Result.ok({state: emptyState(), from: 1, snapshotOffset: null});
}

async function scanStream(
  client: LogClient,
  options: RecoverOptions,
): Promise<Result<ScanResult, ReadError>> {
  let firstOffset = 1;
  let from = 1;
  let snapshots: StoredRecord[] = [];
  for (;;) {
    const batch = await client.read(from, options);
    if (batch.isErr) {
      const {error} = batch;
      if (error.kind !== 'log-expired') return Result.err(error);
      // The oldest records can expire between two reads.
      firstOffset = from = error.firstOffset;
      continue;
    }
    const {records, next, atEnd} = batch.value;
    const found = records.filter(({record}) => isSnapshot(record));
    snapshots = [...snapshots, ...found].slice(-MAX_SNAPSHOT_CANDIDATES);
    from = next;
    if (atEnd) return Result.ok({firstOffset, snapshots});
  }
}

function isSnapshot(record: unknown): boolean {
  return (
    typeof record === 'object' &&
    record !== null &&
    'kind' in record &&
    record.kind === 'snapshot'
  );
}

function restoreState(
  {offset, record}: StoredRecord,
  rootSigners: readonly Signer[],
): RouterState | null {
  const parsed = snapshotRecordSchema.safeParse(record);
  if (!parsed.success) return null;
  const {upTo, image} = parsed.data;
  if (image.offset !== upTo || upTo >= offset) return null;
  return fromImage(image, rootSigners).unwrapOr(null);
}
