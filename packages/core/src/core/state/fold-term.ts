/** Validates and applies `term` records. */
import {Result} from 'true-myth';
import {ERRORS} from '../../types/errors.js';
import type {TermRecord} from '../../types/records.js';
import type {RouterState} from '../../types/state.js';
import {bundleIndexOf} from './bundle-index.js';
import type {ApplyResult} from './fold-checks.js';

/**
 * Applies a `term` record: its author becomes the assigner of the zone.
 *
 * @param state - State before the record, but its `offset` is already the
 * record's.
 * @param record - Parsed record.
 * @returns The new state, or `malformed-record` or `stale-term`.
 */
export function foldTerm(state: RouterState, record: TermRecord): ApplyResult {
  const {author, zone, authorZone, baseTerm} = record;
  // Without a bundle every zone is unknown.
  const zones = state.bundle && bundleIndexOf(state.bundle.body).zones;
  for (const name of [zone, authorZone]) {
    if (!zones?.has(name)) {
      return Result.err(ERRORS.malformedRecord(`unknown zone ${name}`));
    }
  }
  const current = state.terms.get(zone);
  const term = current?.term ?? 0;
  if (baseTerm !== term) {
    return Result.err(ERRORS.staleTerm(zone, current?.holder ?? null, term));
  }
  const next = {holder: author, holderZone: authorZone, term: state.offset};
  return Result.ok({...state, terms: new Map(state.terms).set(zone, next)});
}
