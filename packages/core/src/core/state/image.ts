/**
 * Converts between the state folded from the log (`RouterState`) and its
 * serializable image.
 */
import {Result} from 'true-myth';
import type {Signer} from '../../types/bundle.js';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import {stateImageSchema, type StateImage} from '../../types/records.js';
import type {
  BundleInForce,
  RouterState,
  ServiceState,
} from '../../types/state.js';
import {checkConsistency, firstIssue, parseBundle} from './bundle-check.js';
import {verifySignedBundle} from './bundle-sign.js';
import {MAX_ISOLATED_KEYS} from './fold-isolate.js';

/**
 * Converts a state to the form in which snapshots and peer messages contain it.
 *
 * @param state - Folded state.
 * @returns A plain object, which shares the row objects with the state.
 */
export function toImage(state: RouterState): StateImage {
  const {offset, bundle} = state;
  return {
    offset,
    bundle: bundle && {
      offset: bundle.offset,
      author: bundle.author,
      signed: bundle.signed,
    },
    terms: Object.fromEntries(state.terms),
    services: Object.fromEntries(
      [...state.services].map(([id, {rows, isolated}]) => [
        id,
        {rows: [...rows], isolated: Object.fromEntries(isolated)},
      ]),
    ),
  };
}

/**
 * Restores a state from an image and checks that it is consistent.
 *
 * Verifies the signature of the first bundle version only: the signers of a
 * later one are listed in the version before it, which the image does not
 * contain. A later bundle and the rest of the image are trusted, because images
 * come only from the log or from an authenticated peer.
 *
 * @param image - Unparsed image from a snapshot or a peer.
 * @param rootSigners - Signers that are accepted for the first bundle version.
 * @returns The state, or `malformed-record`, `malformed-bundle`,
 * `unknown-signer` or `wrong-signature`.
 */
export function fromImage(
  image: unknown,
  rootSigners: readonly Signer[],
): Result<RouterState, WisteriarunError> {
  const parsed = stateImageSchema.safeParse(image);
  if (!parsed.success) {
    const {path, detail} = firstIssue(parsed.error);
    return Result.err(ERRORS.malformedRecord(`${path}: ${detail}`));
  }
  const {data} = parsed;
  return restoreBundle(data, rootSigners).andThen(bundle => {
    const state: RouterState = {
      offset: data.offset,
      bundle,
      terms: new Map(Object.entries(data.terms)),
      services: new Map(
        Object.entries(data.services).map(([id, {rows, isolated}]) => [
          id,
          {rows, isolated: new Map(Object.entries(isolated))},
        ]),
      ),
    };
    const fault = findInconsistency(state);
    return fault === null
      ? Result.ok<RouterState, WisteriarunError>(state)
      : Result.err(ERRORS.malformedRecord(fault));
  });
}

function restoreBundle(
  {bundle}: StateImage,
  rootSigners: readonly Signer[],
): Result<BundleInForce | null, WisteriarunError> {
  if (bundle === null) return Result.ok(null);
  return parseBundle(bundle.signed.payload)
    .andThen(body => {
      const fault = checkConsistency(body);
      if (fault !== null) return Result.err(fault);
      return body.version === 1
        ? verifySignedBundle(bundle.signed, rootSigners)
        : Result.ok(body);
    })
    .map(body => ({...bundle, body}));
}

/**
 * Returns what is inconsistent in a state, or null. Terms and epochs are offsets
 * of records, so none can be after the offset of the state.
 */
function findInconsistency(state: RouterState): string | null {
  const {offset, bundle, terms, services} = state;
  if (bundle === null) {
    return terms.size + services.size > 0
      ? 'image has terms or services but no bundle'
      : null;
  }
  if (bundle.offset > offset) return 'bundle offset is after the image offset';
  for (const [zone, {term}] of terms) {
    if (term > offset) return `term of zone ${zone} is after the image offset`;
  }
  for (const {id, shards} of bundle.body.services) {
    const service = services.get(id);
    if (service === undefined) return `service ${id} is missing`;
    const fault = findServiceInconsistency(service, shards);
    if (fault !== null) return `service ${id}: ${fault}`;
  }
  // Includes services that the bundle does not list any more.
  for (const [id, {rows}] of services) {
    if (rows.some(row => row.epoch > offset))
      return `a shard epoch of service ${id} is after the image offset`;
  }
  return null;
}

function findServiceInconsistency(
  {rows, isolated}: ServiceState,
  shards: number,
): string | null {
  // The rows of formerly isolated keys remain, for use by other isolated keys.
  if (rows.length < shards || rows.length > shards + MAX_ISOLATED_KEYS) {
    return 'wrong number of rows';
  }
  const isolatedShards = [...isolated.values()];
  if (new Set(isolatedShards).size < isolatedShards.length)
    return 'two isolated keys have the same shard';
  const isOutOfRange = isolatedShards.some(n => n < shards || n >= rows.length);
  return isOutOfRange ? 'isolated shard number is out of range' : null;
}
