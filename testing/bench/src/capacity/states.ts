/** Builds bundles, records and folded states of any size. */
import {
  emptyState,
  fold,
  generateSigner,
  signBundle,
  type Bundle,
  type LogRecord,
  type RouterState,
  type StateImage,
} from '@wisteriarun/core';

/** The only service of the states. */
export const SERVICE = 'transcripts';
/** The only zone of the states. */
export const ZONE = 'zone-a';
/**
 * Instance id of the entry VM that is the zone's assigner and dispatcher: the
 * VM id and the first 8 characters of the boot id.
 */
export const ENTRY_INSTANCE_ID = 'entry-001.0a1b2c3d';

const root = generateSigner('root').unwrapOrElse(throwError);
/** Signers whose bundles the states accept. */
export const TRUSTED_SIGNERS = [root.signer];

/**
 * Returns the name of a server. It has the length of the names of deployed
 * servers, since the names count in the record sizes that are measured.
 *
 * @param index - Index of the server.
 * @returns Name of the server.
 */
export const serverName = (index: number) =>
  `server-${String(index).padStart(4, '0')}`;

/**
 * Makes a bundle with one service in one zone.
 *
 * @param serverCount - Number of servers.
 * @param shardCount - Number of shards of the service.
 * @param version - Version of the bundle.
 * @returns The unsigned bundle.
 */
export function makeBundle(
  serverCount: number,
  shardCount: number,
  version = 1,
): Bundle {
  return {
    deployment: 'capacity',
    version,
    zones: [ZONE],
    services: [
      {
        id: SERVICE,
        shards: shardCount,
        adoption: 'hold',
        longestDeadlineMs: 10_000,
        maxBodyBytes: 1024 ** 3,
      },
    ],
    batches: [{id: 'batch-1', state: 'serving'}],
    servers: Array.from({length: serverCount}, (_, i) => ({
      id: serverName(i),
      service: SERVICE,
      batch: 'batch-1',
      zone: ZONE,
      host: `10.0.${i >> 8}.${i & 255}`,
      port: 8080,
      slots: 4,
      connections: 130,
      checksGrants: true,
    })),
    stopped: [],
    signers: [root.signer],
  };
}

/**
 * Makes the record that publishes a bundle.
 *
 * @param bundle - Bundle to sign.
 * @returns A `bundle` record signed by the root key.
 */
export function makeBundleRecord(bundle: Bundle): LogRecord {
  return {
    kind: 'bundle',
    id: `bundle-${bundle.version}`,
    author: 'operator',
    baseVersion: bundle.version - 1,
    signed: signBundle(
      JSON.stringify(bundle),
      'root',
      root.privateKeyPem,
    ).unwrapOrElse(throwError),
  };
}

/**
 * Makes an `assign` record for the first shards of the service.
 *
 * @param state - State that the record follows.
 * @param changeCount - Number of shards to assign.
 * @param serverCount - Number of servers to assign them to.
 * @returns The record.
 */
export function makeAssignRecord(
  state: RouterState,
  changeCount: number,
  serverCount: number,
): LogRecord {
  return {
    kind: 'assign',
    id: '01890a5d-ac96-774b-bcce-b302099a8057',
    author: ENTRY_INSTANCE_ID,
    zone: ZONE,
    // Offset of the `term` record in `buildOwnedState`; a term is named by it.
    term: 2,
    baseOffset: state.offset,
    changes: Array.from({length: changeCount}, (_, shard) => ({
      service: SERVICE,
      shard,
      // The offset makes consecutive records assign a shard to different servers.
      server: serverName((shard * 7 + state.offset) % serverCount),
      reason: 'balance',
      formerFence: null,
    })),
  };
}

/**
 * Folds a record at the next offset.
 *
 * @param state - State before the record.
 * @param record - Record to fold.
 * @returns State after the record.
 * @throws Error if the record is rejected.
 */
export function foldRecord(state: RouterState, record: unknown): RouterState {
  const result = fold(
    state,
    {offset: state.offset + 1, record},
    TRUSTED_SIGNERS,
  );
  if (result.verdict.kind === 'rejected') throwError(result.verdict.error);
  return result.state;
}

/**
 * Builds a state in which every shard has an owner.
 *
 * @param serverCount - Number of servers.
 * @param shardCount - Number of shards.
 * @returns State after the records of the bundle, the term and the assignment.
 */
export function buildOwnedState(
  serverCount: number,
  shardCount: number,
): RouterState {
  let state = foldRecord(
    emptyState(),
    makeBundleRecord(makeBundle(serverCount, shardCount)),
  );
  state = foldRecord(state, {
    kind: 'term',
    id: 'term',
    author: ENTRY_INSTANCE_ID,
    zone: ZONE,
    authorZone: ZONE,
    baseTerm: 0,
  });
  return foldRecord(state, makeAssignRecord(state, shardCount, serverCount));
}

/**
 * Copies an image through JSON.
 *
 * @param image - Image of a state.
 * @returns A copy that shares nothing with the original.
 */
export function copyImage(image: StateImage): unknown {
  return JSON.parse(JSON.stringify(image)) as unknown;
}

function throwError(error: unknown): never {
  throw new Error(JSON.stringify(error));
}
