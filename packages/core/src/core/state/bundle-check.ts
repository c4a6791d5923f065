/** Parses bundles and checks their consistency. */
import {createPublicKey, type KeyObject} from 'node:crypto';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {bundleSchema, type Bundle, type Server} from '../../types/bundle.js';
import {ERRORS, type WisteriarunError} from '../../types/errors.js';
import {findDuplicate} from '../../utils/text.js';

/**
 * Properties of a server that a later bundle version may not change; see
 * `checkServers` for the reasons.
 */
const FIXED_SERVER_FIELDS = ['service', 'zone', 'host', 'port'] as const;

/**
 * Describes the first issue of a failed schema validation.
 *
 * @param error - Error of the schema.
 * @returns Path of the invalid value and a description of the issue.
 */
export function firstIssue(error: z.ZodError): {path: string; detail: string} {
  const issue = error.issues[0];
  return {
    path: issue === undefined ? '' : issue.path.map(String).join('.'),
    detail: issue?.message ?? 'invalid',
  };
}

/**
 * Parses the text of a bundle.
 *
 * @param text - JSON text that was signed.
 * @returns The bundle with defaults filled in, or `malformed-bundle`.
 */
export function parseBundle(text: string): Result<Bundle, WisteriarunError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Result.err(ERRORS.malformedBundle('', 'not JSON'));
  }
  const parsed = bundleSchema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const {path, detail} = firstIssue(parsed.error);
  return Result.err(ERRORS.malformedBundle(path, detail));
}

/**
 * Reads an Ed25519 public key.
 *
 * @param publicKey - SPKI DER in base64.
 * @returns The key, or null when the text is not an Ed25519 public key.
 */
export function readPublicKey(publicKey: string): KeyObject | null {
  try {
    const key = createPublicKey({
      key: Buffer.from(publicKey, 'base64'),
      format: 'der',
      type: 'spki',
    });
    return key.asymmetricKeyType === 'ed25519' ? key : null;
  } catch {
    return null;
  }
}

/**
 * Checks that a bundle is consistent and a valid successor of another one.
 *
 * @param bundle - Parsed bundle.
 * @param previous - Bundle in force, or null when there is none.
 * @returns The same bundle, or `malformed-bundle` or `shard-count-changed`.
 */
export function checkBundle(
  bundle: Bundle,
  previous: Bundle | null,
): Result<Bundle, WisteriarunError> {
  const error = checkConsistency(bundle) ?? checkSuccession(bundle, previous);
  return error === null ? Result.ok(bundle) : Result.err(error);
}

/**
 * Checks a bundle without regard to earlier versions: ids and the addresses of
 * servers are unique, servers refer to listed services, batches and zones, and
 * the signers' keys can be used.
 *
 * @param bundle - Parsed bundle.
 * @returns The first error, or null.
 */
export function checkConsistency(bundle: Bundle): WisteriarunError | null {
  return (
    checkDuplicates(bundle) ?? checkReferences(bundle) ?? checkSigners(bundle)
  );
}

function checkDuplicates(bundle: Bundle): WisteriarunError | null {
  const lists: Record<string, readonly string[]> = {
    zones: bundle.zones,
    services: bundle.services.map(service => service.id),
    batches: bundle.batches.map(batch => batch.id),
    servers: bundle.servers.map(server => server.id),
    stopped: bundle.stopped,
    signers: bundle.signers.map(signer => signer.keyId),
  };
  for (const [name, ids] of Object.entries(lists)) {
    const index = findDuplicate(ids);
    if (index !== null) {
      return ERRORS.malformedBundle(
        `${name}.${index}`,
        `duplicate id ${ids[index]}`,
      );
    }
  }
  // Two servers with one address would be one process. It would be granted the
  // leases of both but can hold only one.
  const addresses = bundle.servers.map(({host, port}) => `${host} ${port}`);
  const index = findDuplicate(addresses);
  if (index === null) return null;
  return ERRORS.malformedBundle(`servers.${index}`, 'duplicate address');
}

function checkReferences(bundle: Bundle): WisteriarunError | null {
  const known = {
    service: new Set(bundle.services.map(service => service.id)),
    batch: new Set(bundle.batches.map(batch => batch.id)),
    zone: new Set(bundle.zones),
  };
  for (const [index, server] of bundle.servers.entries()) {
    for (const field of ['service', 'batch', 'zone'] as const) {
      if (!known[field].has(server[field])) {
        return ERRORS.malformedBundle(
          `servers.${index}.${field}`,
          `unknown ${field} ${server[field]}`,
        );
      }
    }
  }
  return null;
}

function checkSigners(bundle: Bundle): WisteriarunError | null {
  const index = bundle.signers.findIndex(
    signer => readPublicKey(signer.publicKey) === null,
  );
  if (index < 0) return null;
  return ERRORS.malformedBundle(
    `signers.${index}.publicKey`,
    'not an Ed25519 public key',
  );
}

function checkSuccession(
  bundle: Bundle,
  previous: Bundle | null,
): WisteriarunError | null {
  const expectedVersion = (previous?.version ?? 0) + 1;
  if (bundle.version !== expectedVersion) {
    return ERRORS.malformedBundle('version', `must be ${expectedVersion}`);
  }
  if (previous === null) return null;
  if (bundle.deployment !== previous.deployment) {
    return ERRORS.malformedBundle(
      'deployment',
      `must be ${previous.deployment}`,
    );
  }
  return checkShardCounts(bundle, previous) ?? checkServers(bundle, previous);
}

function checkShardCounts(
  bundle: Bundle,
  previous: Bundle,
): WisteriarunError | null {
  const shards = new Map(previous.services.map(({id, shards}) => [id, shards]));
  for (const service of bundle.services) {
    const before = shards.get(service.id) ?? service.shards;
    if (before !== service.shards) {
      return ERRORS.shardCountChanged(service.id, before, service.shards);
    }
  }
  return null;
}

// A server that moves to another host or port needs a new id: an answer from
// the new address would count as proof that the process at the old address has
// stopped. Service and zone may not change because `foldAssign` relied on them:
// it gave the server shards of its service only, and stored its zone in their
// rows.
function checkServers(
  bundle: Bundle,
  previous: Bundle,
): WisteriarunError | null {
  const before = new Map(previous.servers.map(server => [server.id, server]));
  for (const [index, server] of bundle.servers.entries()) {
    const field = changedField(before.get(server.id), server);
    if (field !== undefined) {
      return ERRORS.malformedBundle(
        `servers.${index}.${field}`,
        `may not change for server ${server.id}`,
      );
    }
  }
  return null;
}

function changedField(before: Server | undefined, server: Server) {
  if (before === undefined) return undefined;
  return FIXED_SERVER_FIELDS.find(field => before[field] !== server[field]);
}
