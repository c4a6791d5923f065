/** Builds bundles, records and signers for the tests of `fold`. */
import {sign} from 'node:crypto';
import {
  emptyState,
  fold,
  generateSigner,
  type FoldResult,
  type LogRecord,
  type RouterState,
  type SignedBundle,
  type StoredRecord,
} from '@wisteriarun/core';

const generate = (keyId: string) => generateSigner(keyId).unwrapOrElse(fail);

export const root = generate('root');
export const untrusted = generate('stranger');
export const rootSigners = [root.signer];

/** Unparsed form of a bundle, so that tests can break any part of it. */
export type Draft = ReturnType<typeof draft>;

export function draft(version = 1) {
  return {
    deployment: 'test',
    version,
    zones: ['za', 'zb'],
    services: [{id: 'kv', shards: 4}],
    batches: [
      {id: 'b1', state: 'serving'},
      {id: 'b2', state: 'serving'},
    ] as {id: string; state: string; leaveAtMs?: number}[],
    servers: [
      server('s1', 'za', 'b1', 1),
      server('s2', 'za', 'b2', 2),
      server('s3', 'zb', 'b1', 3),
    ],
    stopped: [] as string[],
    signers: [root.signer],
  };
}

export function server(id: string, zone: string, batch: string, port: number) {
  return {
    id,
    zone,
    batch,
    port,
    service: 'kv',
    host: '192.0.2.1',
    slots: 3,
    connections: 130,
  };
}

/** Signs any text, because `signBundle` refuses malformed bundles. */
export function signDraft(body: unknown, signingKey = root): SignedBundle {
  const payload = JSON.stringify(body);
  const signature = sign(null, Buffer.from(payload), signingKey.privateKeyPem);
  return {
    payload,
    keyId: signingKey.signer.keyId,
    signature: signature.toString('base64'),
  };
}

export function bundleRecord(
  body: unknown,
  baseVersion = 0,
  signingKey = root,
  id = 'bundle',
): LogRecord {
  return {
    kind: 'bundle',
    id,
    author: 'operator',
    baseVersion,
    signed: signDraft(body, signingKey),
  };
}

export function termRecord(
  zone: string,
  author: string,
  baseTerm = 0,
  id = `term-${author}-${baseTerm}`,
): LogRecord {
  return {kind: 'term', id, author, zone, authorZone: zone, baseTerm};
}

type AssignerClaim = {zone?: string; author?: string; term?: number};

export function assignRecord(
  baseOffset: number,
  changes: [shard: number, server: string | null, service?: string][],
  {zone = 'za', author = 'vm-a', term = 2}: AssignerClaim = {},
): LogRecord {
  return {
    kind: 'assign',
    id: `assign-${baseOffset}`,
    author,
    zone,
    term,
    baseOffset,
    changes: changes.map(([shard, server, service = 'kv']) => ({
      service,
      shard,
      server,
      reason: 'initial',
      formerFence: null,
    })),
  };
}

export function keyRecord(
  kind: 'isolate' | 'merge',
  key: string,
  baseOffset: number,
  {zone = 'za', author = 'vm-a', term = 2}: AssignerClaim = {},
  service = 'kv',
): LogRecord {
  const id = `${kind}-${key}-${baseOffset}`;
  return {kind, id, author, zone, term, baseOffset, service, key};
}

/** Folds records at consecutive offsets and returns the result of each. */
export function foldAll(
  records: readonly unknown[],
  from: RouterState = emptyState(),
): FoldResult[] {
  let state = from;
  return records.map(record => {
    const result = fold(state, storedAt(state.offset + 1, record), rootSigners);
    state = result.state;
    return result;
  });
}

export function storedAt(offset: number, record: unknown): StoredRecord {
  return {offset, record};
}

/**
 * State at offset 3: a bundle at offset 1, `vm-a` as assigner of `za` from
 * offset 2 and `vm-b` as assigner of `zb` from offset 3.
 */
export function startedState(body: unknown = draft()): RouterState {
  const results = foldAll([
    bundleRecord(body),
    termRecord('za', 'vm-a'),
    termRecord('zb', 'vm-b'),
  ]);
  for (const {verdict} of results) {
    if (verdict.kind !== 'accepted') throw new Error(JSON.stringify(verdict));
  }
  return results.at(-1)!.state;
}

export function foldOne(state: RouterState, record: unknown): FoldResult {
  return fold(state, storedAt(state.offset + 1, record), rootSigners);
}

/** Kind of the error, or the verdict when there is none. */
export function outcome({verdict}: FoldResult): string {
  return verdict.kind === 'rejected' ? verdict.error.kind : verdict.kind;
}

function fail(error: unknown): never {
  throw new Error(JSON.stringify(error));
}
