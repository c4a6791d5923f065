import {describe, expect, it} from 'vitest';
import {
  checkBundle,
  diffBundles,
  fromImage,
  generateSigner,
  parseBundle,
  signBundle,
  toImage,
  verifySignedBundle,
} from '@wisteriarun/core';
import {
  bundleRecord,
  draft,
  foldOne,
  keyRecord,
  root,
  server,
  signDraft,
  startedState,
  rootSigners,
  untrusted,
} from './fixtures.js';

const parse = (body: unknown) =>
  parseBundle(JSON.stringify(body)).unwrapOrElse(error => {
    throw new Error(JSON.stringify(error));
  });

const errorKind = (result: {isErr: boolean; error?: {kind: string}}) =>
  result.isErr ? result.error?.kind : 'ok';

describe('bundles', () => {
  it('reports text that is not JSON as malformed', () => {
    expect(errorKind(parseBundle('{') as never)).toBe('malformed-bundle');
  });

  it('fills in defaults for properties that are left out', () => {
    const {services, servers} = parse(draft());
    expect(services[0]!.adoption).toBe('hold');
    expect(servers[0]!.checksGrants).toBe(true);
  });

  it('accepts a bundle only as the version after the one in force', () => {
    const first = parse(draft());
    expect(checkBundle(first, null).isOk).toBe(true);
    expect(checkBundle(parse(draft(2)), first).isOk).toBe(true);
    expect(checkBundle(first, first).isErr).toBe(true);
  });

  it('rejects a signature for another text and a signer that is not trusted', () => {
    const signed = signDraft(draft());
    expect(verifySignedBundle(signed, rootSigners).isOk).toBe(true);
    for (const broken of [
      {...signed, payload: signed.payload + ' '},
      {...signed, signature: ''},
      {...signed, signature: signDraft(draft(2)).signature},
    ]) {
      const result = verifySignedBundle(broken, rootSigners);
      expect(errorKind(result as never)).toBe('wrong-signature');
    }
    const other = verifySignedBundle(signed, [untrusted.signer]);
    expect(errorKind(other as never)).toBe('unknown-signer');
  });

  it('refuses malformed text, an unreadable private key and an invalid key id', () => {
    const text = JSON.stringify(draft());
    const {privateKeyPem} = root;
    const bad = signBundle('{}', 'root', privateKeyPem);
    expect(errorKind(bad as never)).toBe('malformed-bundle');
    const noKey = signBundle(text, 'root', 'no key');
    expect(errorKind(noKey as never)).toBe('invalid-setting');
    const noId = generateSigner('No Id');
    expect(errorKind(noId as never)).toBe('invalid-setting');
  });

  it('lists the differences between two versions', () => {
    const next = draft(2);
    next.batches[1] = {id: 'b2', state: 'leaving', leaveAtMs: 5};
    next.servers[0] = server('s9', 'za', 'b1', 9);
    expect(diffBundles(parse(draft()), parse(next))).toEqual({
      fromVersion: 1,
      toVersion: 2,
      changes: [
        {
          section: 'batches',
          kind: 'changed',
          id: 'b2',
          fields: ['state', 'leaveAtMs'],
        },
        {section: 'servers', kind: 'removed', id: 's1', fields: []},
        {section: 'servers', kind: 'added', id: 's9', fields: []},
      ],
    });
    expect(diffBundles(null, parse(draft())).changes).toHaveLength(9);
  });
});

describe('images', () => {
  const isolated = foldOne(startedState(), keyRecord('isolate', '1', 3)).state;
  const state = foldOne(isolated, bundleRecord(draft(2), 1)).state;
  const copy = (change: object) =>
    JSON.parse(JSON.stringify({...toImage(state), ...change}));

  it('restores an equal state from JSON', () => {
    expect(fromImage(copy({}), rootSigners).unwrapOr(null)).toEqual(state);
  });

  it('rejects an image whose first bundle is not signed by a root signer', () => {
    const image = toImage(startedState());
    const signed = signDraft(draft(), untrusted);
    const forged = {...image, bundle: {...image.bundle, signed}};
    expect(errorKind(fromImage(forged, rootSigners) as never)).toBe(
      'unknown-signer',
    );
  });

  const {services, terms} = toImage(state);
  const kv = services['kv']!;
  const za = terms['za']!;
  it.each([
    ['no image', null],
    ['offset before the bundle', copy({offset: 2})],
    ['term after the offset', copy({terms: {za: {...za, term: 9}}})],
    ['no services', copy({services: {}})],
    ['too few rows', copy({services: {kv: {...kv, rows: []}}})],
    [
      'row without an epoch',
      copy({services: {kv: {...kv, rows: [{server: null, zone: 'za'}]}}}),
    ],
    [
      'epoch after the offset',
      copy({
        services: {
          kv: {...kv, rows: kv.rows.map(row => ({...row, epoch: 99}))},
        },
      }),
    ],
    [
      'isolated shard among the hash shards',
      copy({services: {kv: {...kv, isolated: {1: 3}}}}),
    ],
    [
      'isolated shard without a row',
      copy({services: {kv: {...kv, isolated: {1: 5}}}}),
    ],
    [
      'isolated shard of two keys',
      copy({services: {kv: {...kv, isolated: {1: 4, 2: 4}}}}),
    ],
    ['state without a bundle', copy({bundle: null})],
  ])('rejects an inconsistent image: %s', (_, image) => {
    const result = fromImage(image, rootSigners);
    expect(errorKind(result as never)).toBe('malformed-record');
  });
});
