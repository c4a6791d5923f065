/**
 * Folds the log into the replicated state: applies its records in order and
 * rejects those whose author had no authority or knew only an outdated state.
 */
import type {Signer} from '../../types/bundle.js';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import {
  logRecordSchema,
  snapshotRecordSchema,
  type LogRecord,
  type SnapshotRecord,
  type StoredRecord,
} from '../../types/records.js';
import type {RouterState} from '../../types/state.js';
import {firstIssue} from './bundle-check.js';
import {foldAssign} from './fold-assign.js';
import {foldBundle} from './fold-bundle.js';
import {foldIsolate, foldMerge} from './fold-isolate.js';
import type {ApplyResult} from './fold-checks.js';
import {foldTerm} from './fold-term.js';

/** A snapshot record without its image, which `fold` does not read. */
export type SnapshotHeader = Omit<SnapshotRecord, 'image'>;

/** A record that may change the replicated state. */
export type ChangeRecord = Exclude<LogRecord, SnapshotRecord>;

/**
 * How `fold` treated one record: it applied a valid record, rejected an invalid
 * one, or found a valid snapshot, which changes nothing but the state's offset
 * (`unchanged`).
 */
export type Verdict =
  | {readonly kind: 'accepted'; readonly record: ChangeRecord}
  | {
      readonly kind: 'rejected';
      readonly error: WisteriarunError;
      /** Null when the record could not be parsed. */
      readonly record: ChangeRecord | null;
    }
  | {readonly kind: 'unchanged'; readonly record: SnapshotHeader};

/** The state after a record, and how the record was treated. */
export interface FoldResult {
  readonly state: RouterState;
  readonly verdict: Verdict;
}

const EMPTY_STATE: RouterState = {
  offset: 0,
  bundle: null,
  terms: new Map(),
  services: new Map(),
};

// Does not parse the image, which can have 65,536 rows that `fold` does not need.
// `loose` keeps it in the result, so that `foldSnapshot` can check its presence.
const snapshotHeaderSchema = snapshotRecordSchema.omit({image: true}).loose();

/**
 * Returns the state before the first record of a stream.
 *
 * @returns State at offset 0.
 */
export function emptyState(): RouterState {
  return EMPTY_STATE;
}

/**
 * Applies one record to the state. Deterministic, so that all readers of a log
 * have the same state at the same offset. Never throws.
 *
 * @param state - State before the record.
 * @param stored - Record with its offset. A record at or before the state's
 * offset, or whose offset is not a safe integer, is rejected and does not change
 * the state.
 * @param rootSigners - Root signers, whose signatures are accepted for the
 * first bundle only.
 * @returns The new state and the verdict. Except after a record with such an
 * offset, the new state is at the record's offset, also when the record is
 * rejected.
 */
export function fold(
  state: RouterState,
  stored: StoredRecord,
  rootSigners: readonly Signer[],
): FoldResult {
  let next = state;
  try {
    const {offset, record} = stored;
    if (!Number.isSafeInteger(offset)) {
      return reject(state, ERRORS.malformedRecord('offset is not an integer'));
    }
    if (offset <= state.offset) {
      const detail = `offset ${offset} was already applied`;
      return reject(state, ERRORS.staleBase(detail, state.offset));
    }
    next = {...state, offset};
    return foldUnparsed(next, record, rootSigners);
  } catch {
    // Reached only for values that cannot come from JSON, such as an object
    // whose property getters throw.
    return reject(next, ERRORS.malformedRecord('unreadable'));
  }
}

function foldUnparsed(
  state: RouterState,
  value: unknown,
  rootSigners: readonly Signer[],
): FoldResult {
  if (isSnapshot(value)) return foldSnapshot(state, value);
  const parsed = logRecordSchema.safeParse(value);
  if (!parsed.success) {
    const {path, detail} = firstIssue(parsed.error);
    return reject(state, ERRORS.malformedRecord(`${path}: ${detail}`));
  }
  const record = parsed.data as ChangeRecord;
  const result = foldRecord(state, record, rootSigners);
  return result.isOk
    ? {state: result.value, verdict: {kind: 'accepted', record}}
    : reject(state, result.error, record);
}

function foldRecord(
  state: RouterState,
  record: ChangeRecord,
  rootSigners: readonly Signer[],
): ApplyResult {
  switch (record.kind) {
    case 'bundle':
      return foldBundle(state, record, rootSigners);
    case 'term':
      return foldTerm(state, record);
    case 'assign':
      return foldAssign(state, record);
    case 'isolate':
      return foldIsolate(state, record);
    case 'merge':
      return foldMerge(state, record);
  }
}

function isSnapshot(value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    'kind' in value &&
    value.kind === 'snapshot'
  );
}

function foldSnapshot(state: RouterState, value: unknown): FoldResult {
  const parsed = snapshotHeaderSchema.safeParse(value);
  if (!parsed.success) {
    const {path, detail} = firstIssue(parsed.error);
    return reject(state, ERRORS.malformedRecord(`${path}: ${detail}`));
  }
  const {kind, id, author, upTo, image} = parsed.data;
  if (typeof image !== 'object' || image === null || upTo >= state.offset) {
    return reject(
      state,
      ERRORS.malformedRecord(
        "snapshot has no image, or its upTo is not before the record's offset",
      ),
    );
  }
  return {
    state,
    verdict: {kind: 'unchanged', record: {kind, id, author, upTo}},
  };
}

function reject(
  state: RouterState,
  error: WisteriarunError,
  record: ChangeRecord | null = null,
): FoldResult {
  return {state, verdict: {kind: 'rejected', error, record}};
}
