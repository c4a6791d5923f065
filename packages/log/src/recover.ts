/** Restores the router state from the log's latest usable snapshot. */
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

/** Number of latest snapshots to keep, in case the newest is unusable. */
const MAX_SNAPSHOT_CANDIDATES = 4;

/** State from which a new VM continues with the records that follow. */
export interface Recovery {
  readonly state: RouterState;
  /** Next offset to read: the one after the state's offset. */
  readonly from: number;
  /** Offset of the snapshot record; null when no snapshot was used. */
  readonly snapshotOffset: number | null;
}

/** Options of `recover`. */
export interface RecoverOptions {
  /** Time limit for each answer. */
  readonly timeoutMs?: number;
  /** Aborts the recovery. */
  readonly signal?: AbortSignal;
}

/** Result of reading the stream once. */
interface ScanResult {
  /** Oldest offset that was available during the scan. */
  readonly oldestOffset: number;
  /** Latest snapshots, oldest first. */
  readonly snapshots: readonly StoredRecord[];
}

/**
 * Finds the latest usable snapshot by reading the whole stream once.
 *
 * @param client - Client of the deployment's stream.
 * @param rootSigners - Root signers, who may sign the first bundle.
 * @param options - Time limit and signal.
 * @returns The state of the snapshot, or the empty state when there is no
 * usable snapshot and the stream still starts at offset 1;
 * `snapshot-missing` when neither is available; `log-unavailable` when the
 * stream cannot be read.
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
  const {oldestOffset, snapshots} = scan.value;
  for (const snapshot of snapshots.toReversed()) {
    const state = restoreState(snapshot, rootSigners);
    // A state is older than its snapshot record; the records after the state
    // must still be available.
    if (state === null || state.offset + 1 < oldestOffset) continue;
    const {offset} = snapshot;
    return Result.ok({state, from: state.offset + 1, snapshotOffset: offset});
  }
  if (oldestOffset > 1) return Result.err(ERRORS.snapshotMissing(oldestOffset));
  return Result.ok({state: emptyState(), from: 1, snapshotOffset: null});
}

async function scanStream(
  client: LogClient,
  options: RecoverOptions,
): Promise<Result<ScanResult, ReadError>> {
  let oldestOffset = 1;
  let from = 1;
  let snapshots: StoredRecord[] = [];
  for (;;) {
    const batch = await client.read(from, options);
    if (batch.isErr) {
      const {error} = batch;
      if (error.kind !== 'log-expired') return Result.err(error);
      // The oldest records may have expired already, or between two reads.
      oldestOffset = from = error.firstOffset;
      continue;
    }
    const {records, next, atEnd} = batch.value;
    const found = records.filter(({record}) => isSnapshot(record));
    snapshots = [...snapshots, ...found].slice(-MAX_SNAPSHOT_CANDIDATES);
    from = next;
    if (atEnd) return Result.ok({oldestOffset, snapshots});
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
