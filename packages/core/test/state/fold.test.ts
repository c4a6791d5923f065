import {describe, expect, it} from 'vitest';
import {
  MAX_ISOLATED_KEYS,
  createHasher,
  emptyState,
  fold,
  route,
  shardOf,
  type RouterState,
} from '@wisteriarun/core';
import {
  assignRecord,
  bundleRecord,
  draft,
  foldAll,
  foldOne,
  keyRecord,
  outcome,
  server,
  signDraft,
  startedState,
  storedAt,
  termRecord,
  rootSigners,
  untrusted,
  type Draft,
} from './fixtures.js';

const hasher = await createHasher();

/** A key whose hash shard is the given one. */
function keyOfShard(shard: number): string {
  for (let n = 0; ; n += 1) {
    if (shardOf(hasher, 'kv', `key-${n}`, 4) === shard) return `key-${n}`;
  }
}

function accept(state: RouterState, ...records: unknown[]): RouterState {
  for (const record of records) {
    const result = foldOne(state, record);
    expect(outcome(result)).toBe('accepted');
    state = result.state;
  }
  return state;
}

function expectRejected(state: RouterState, record: unknown, error: object) {
  const {state: next, verdict} = foldOne(state, record);
  expect(verdict).toMatchObject({kind: 'rejected', error});
  expect(next).toEqual({...state, offset: state.offset + 1});
}

const started = startedState();
const [key0, key1] = [keyOfShard(0), keyOfShard(1)];

describe('hash of keys', () => {
  it('equals published xxhash64 values, so that no release moves keys to other shards', () => {
    expect(hasher.hash64('')).toBe(0xef46db3751d8e999n);
    expect(hasher.hash64('abc')).toBe(0x44bc2cf5ad770999n);
    expect(shardOf(hasher, 'kv', 'abc', 1)).toBe(0);
  });
});

describe('invalid records', () => {
  const getter = Object.defineProperty({}, 'kind', {
    enumerable: true,
    get() {
      throw new Error('unreadable');
    },
  });
  it.each([
    ['nothing', undefined],
    ['null', null],
    ['text', 'bundle'],
    ['unknown kind', {kind: 'other', id: 'x', author: 'y'}],
    ['extra property', {...termRecord('za', 'vm-a', 2), extra: 1}],
    ['fractional base', {...termRecord('za', 'vm-a'), baseTerm: 0.5}],
    ['no changes', assignRecord(3, [])],
    ['throwing property', getter],
    ['snapshot without an image', snapshot({image: null})],
    ['snapshot of the future', snapshot({upTo: 4})],
  ])('rejects %s without throwing', (_, record) => {
    expectRejected(started, record, {kind: 'malformed-record'});
  });

  it.each([null, {}, {offset: 'x', record: null}, {offset: NaN}])(
    'rejects the malformed entry %j and keeps the state',
    entry => {
      const result = fold(started, entry as never, rootSigners);
      expect(result.state).toBe(started);
      expect(outcome(result)).toBe('malformed-record');
    },
  );

  it('does not apply an offset twice when a reader delivers a batch again', () => {
    const result = fold(
      started,
      storedAt(3, termRecord('za', 'vm-c', 2)),
      rootSigners,
    );
    expect(result.state).toBe(started);
    expect(outcome(result)).toBe('stale-base');
  });

  it('changes nothing for a snapshot', () => {
    const {state, verdict} = foldOne(started, snapshot({}));
    expect(verdict).toMatchObject({kind: 'unchanged', record: {upTo: 3}});
    expect(state).toEqual({...started, offset: 4});
  });
});

function snapshot(change: object) {
  return {
    kind: 'snapshot',
    id: 'snap',
    author: 'vm-a',
    upTo: 3,
    image: {},
    ...change,
  };
}

describe('bundle records', () => {
  it('accepts a first bundle only if a root signer signed it', () => {
    const body = draft();
    const foreign = bundleRecord(body, 0, untrusted);
    expectRejected(emptyState(), foreign, {
      kind: 'unknown-signer',
      keyId: 'stranger',
    });
    accept(emptyState(), bundleRecord(body));
  });

  it('accepts a later bundle only if a signer of the bundle in force signed it', () => {
    const rotated = {...draft(), signers: [untrusted.signer]};
    const state = accept(emptyState(), bundleRecord(rotated));
    const next = {...draft(2), signers: [untrusted.signer]};
    expectRejected(state, bundleRecord(next, 1), {kind: 'unknown-signer'});
    accept(state, bundleRecord(next, 1, untrusted));
  });

  it('rejects a payload that differs from the signed text', () => {
    const signed = signDraft(draft(2));
    const payload = signed.payload.replace('"slots":3', '"slots":4');
    const record = {...bundleRecord(draft(2), 1), signed: {...signed, payload}};
    expectRejected(started, record, {kind: 'wrong-signature'});
  });

  it('rejects a lone surrogate, which UTF-8 encodes like U+FFFD, so that the signature matches', () => {
    const body = draft(2);
    body.servers[0]!.host = '\ufffd';
    const signed = signDraft(body);
    const payload = signed.payload.replace('\ufffd', '\ud800');
    const record = {...bundleRecord(draft(2), 1), signed: {...signed, payload}};
    expectRejected(started, record, {kind: 'malformed-bundle'});
  });

  it('rejects the second of two bundles with one version and names the first', () => {
    const state = accept(started, bundleRecord(draft(2), 1));
    expectRejected(state, bundleRecord(draft(2), 1), {
      kind: 'stale-version',
      versionInForce: 2,
      winnerAuthor: 'operator',
      winnerOffset: 4,
    });
  });

  const faults: [string, (body: Draft) => void, object][] = [
    ['version skipped', b => void (b.version = 3), {path: 'version'}],
    ['version reverted', b => void (b.version = 1), {path: 'version'}],
    ['other deployment', b => void (b.deployment = 'x'), {path: 'deployment'}],
    ['no zone', b => void (b.zones = []), {path: 'zones'}],
    ['bad id', b => void (b.zones = ['Za', 'zb']), {path: 'zones.0'}],
    ['duplicate zone', b => void b.zones.push('za'), {path: 'zones.2'}],
    [
      'duplicate service',
      b => void b.services.push({id: 'kv', shards: 4}),
      {path: 'services.1'},
    ],
    [
      'duplicate batch',
      b => void b.batches.push({id: 'b1', state: 'serving'}),
      {path: 'batches.2'},
    ],
    [
      'duplicate server',
      b => void b.servers.push(server('s1', 'za', 'b1', 9)),
      {path: 'servers.3', detail: 'duplicate id s1'},
    ],
    [
      'duplicate address',
      b => void b.servers.push(server('s9', 'za', 'b1', 1)),
      {path: 'servers.3', detail: 'duplicate address'},
    ],
    ['duplicate stopped', b => void (b.stopped = ['s', 's']), {}],
    [
      'duplicate signer',
      b => void b.signers.push(b.signers[0]!),
      {path: 'signers.1'},
    ],
    [
      'unusable public key',
      b => void (b.signers = [{keyId: 'k', publicKey: 'AAAA'}]),
      {path: 'signers.0.publicKey'},
    ],
    [
      'unknown zone of a server',
      b => void (b.zones = ['za']),
      {path: 'servers.2.zone'},
    ],
    ['unknown batch', b => void b.batches.pop(), {path: 'servers.1.batch'}],
    [
      'unknown service',
      b => void (b.services[0]!.id = 'kw'),
      {path: 'servers.0.service'},
    ],
    [
      'leaving batch without a time',
      b => void (b.batches[0]!.state = 'leaving'),
      {path: 'batches.0.leaveAtMs'},
    ],
    [
      'server with a new zone',
      b => void (b.servers[0]!.zone = 'zb'),
      {path: 'servers.0.zone'},
    ],
    [
      'server with a new address',
      b => void (b.servers[0]!.port = 99),
      {path: 'servers.0.port'},
    ],
  ];
  it.each(faults)('rejects a bundle: %s', (_, change, error) => {
    const body = draft(2);
    change(body);
    expectRejected(started, bundleRecord(body, 1), {
      kind: 'malformed-bundle',
      ...error,
    });
  });

  it('rejects a changed number of shards', () => {
    const body = draft(2);
    body.services[0]!.shards = 8;
    expectRejected(started, bundleRecord(body, 1), {
      kind: 'shard-count-changed',
      service: 'kv',
      from: 4,
      to: 8,
    });
  });

  it('divides the shards of a new service among the zones that have its servers', () => {
    const body = draft();
    body.zones.push('zc');
    const rows = startedState(body).services.get('kv')!.rows;
    expect(rows.map(row => row.zone)).toEqual(['za', 'zb', 'za', 'zb']);
    expect(rows.every(row => row.server === null && row.epoch === 1)).toBe(
      true,
    );
  });

  it('keeps the row of a shard whose owner the new bundle does not list', () => {
    const state = accept(started, assignRecord(3, [[0, 's2']]));
    const body = draft(2);
    body.servers.splice(1, 1);
    const next = accept(state, bundleRecord(body, 1));
    expect(next.services.get('kv')!.rows).toEqual(
      state.services.get('kv')!.rows,
    );
  });

  it('gives the shards of a removed zone to a remaining zone', () => {
    const body = {...draft(2), zones: ['za']};
    body.servers.pop();
    const next = accept(started, bundleRecord(body, 1));
    const rows = next.services.get('kv')!.rows;
    expect(rows.map(row => row.zone)).toEqual(['za', 'za', 'za', 'za']);
    expect(next.terms.get('zb')).toEqual(started.terms.get('zb'));
  });
});

describe('a removed service', () => {
  const draftWithoutService = (version: number) => {
    const body = draft(version);
    body.services[0]!.id = 'kw';
    body.servers = body.servers.map((s, n) => ({
      ...s,
      id: `w${n}`,
      service: 'kw',
    }));
    return body;
  };
  const owned = accept(started, assignRecord(3, [[0, 's1']]));
  const removed = accept(owned, bundleRecord(draftWithoutService(2), 1));

  it('cannot be assigned or routed', () => {
    expect(route(removed, hasher, 'kv', key0)).toBeNull();
    expectRejected(removed, assignRecord(5, [[0, 's1']]), {
      kind: 'unknown-shard',
    });
  });

  it('has its former owners when it returns, since they may still hold leases', () => {
    const back = accept(removed, bundleRecord(draft(3), 2));
    expect(back.services.get('kv')!.rows).toEqual(
      owned.services.get('kv')!.rows,
    );
    const body = draft(3);
    body.services[0]!.shards = 8;
    expectRejected(removed, bundleRecord(body, 2), {
      kind: 'shard-count-changed',
    });
  });

  it('is not removed while one of its keys is isolated', () => {
    const isolated = accept(owned, keyRecord('isolate', key0, 4));
    const record = bundleRecord(draftWithoutService(2), 1);
    expectRejected(isolated, record, {kind: 'malformed-bundle'});
    const merged = accept(isolated, keyRecord('merge', key0, 5));
    const gone = accept(merged, record);
    expect(gone.services.get('kv')!.rows).toHaveLength(4);
  });
});

describe('term records', () => {
  it('rejects a candidate that has not read the current term', () => {
    expectRejected(started, termRecord('za', 'vm-c', 0), {
      kind: 'stale-term',
      holder: 'vm-a',
      term: 2,
    });
  });

  it.each(['zx', '__proto__'])('rejects the unknown zone %s', zone => {
    expectRejected(started, termRecord(zone, 'vm-c'), {
      kind: 'malformed-record',
    });
  });

  it('rejects a term before the first bundle', () => {
    const [result] = foldAll([termRecord('za', 'vm-a')]);
    expect(outcome(result!)).toBe('malformed-record');
  });

  it('uses the offset of the record as the term', () => {
    const state = accept(started, termRecord('za', 'vm-c', 2));
    expect(state.terms.get('za')).toEqual({
      holder: 'vm-c',
      holderZone: 'za',
      term: 4,
    });
  });
});

describe('assign records', () => {
  const leaving = draft(2);
  leaving.batches[1] = {id: 'b2', state: 'leaving', leaveAtMs: 1};
  const stopped = {...draft(2), stopped: ['s2']};
  const twoServices = draft();
  twoServices.services.push({id: 'other', shards: 1});
  twoServices.servers.push({...server('o1', 'za', 'b1', 7), service: 'other'});
  const withLeavingBatch = accept(started, bundleRecord(leaving, 1));
  const withStoppedServer = accept(started, bundleRecord(stopped, 1));
  const assigned = accept(started, assignRecord(3, [[0, 's1']]));

  it.each<[string, RouterState, unknown, object]>([
    [
      'an author that does not hold the term',
      started,
      assignRecord(3, [[0, 's1']], {author: 'vm-c'}),
      {kind: 'stale-term', holder: 'vm-a', term: 2},
    ],
    [
      'an old term',
      accept(started, termRecord('za', 'vm-a', 2)),
      assignRecord(4, [[0, 's1']]),
      {kind: 'stale-term', holder: 'vm-a', term: 4},
    ],
    [
      'a zone without a term',
      started,
      assignRecord(3, [[0, 's1']], {zone: 'zx'}),
      {kind: 'stale-term', holder: null},
    ],
    [
      'a shard of another zone',
      started,
      assignRecord(3, [[1, 's1']]),
      {kind: 'no-authority', zone: 'zb', shard: 1},
    ],
    [
      'an unknown service',
      started,
      assignRecord(3, [[0, 's1', 'kw']]),
      {kind: 'unknown-shard', service: 'kw'},
    ],
    [
      'an unknown shard',
      started,
      assignRecord(3, [[4, 's1']]),
      {kind: 'unknown-shard', shard: 4},
    ],
    [
      'an unknown server',
      started,
      assignRecord(3, [[0, 's9']]),
      {kind: 'server-not-eligible', server: 's9'},
    ],
    [
      'a server of a leaving batch',
      withLeavingBatch,
      assignRecord(4, [[0, 's2']]),
      {kind: 'server-not-eligible', detail: 'batch is leaving'},
    ],
    [
      'a stopped server',
      withStoppedServer,
      assignRecord(4, [[0, 's2']]),
      {kind: 'server-not-eligible', detail: 'stopped'},
    ],
    [
      'a server of another service',
      startedState(twoServices),
      assignRecord(3, [[0, 'o1']]),
      {kind: 'server-not-eligible', detail: 'serves another service'},
    ],
    [
      'a base offset before the last change of the shard',
      assigned,
      assignRecord(3, [[0, 's2']]),
      {kind: 'stale-base', currentOffset: 4},
    ],
    [
      'a base offset before the bundle in force',
      withLeavingBatch,
      assignRecord(3, [[0, 's1']]),
      {kind: 'stale-base', currentOffset: 4},
    ],
    [
      'a base offset in the future, with which a copy would be accepted too',
      started,
      assignRecord(4, [[0, 's1']]),
      {kind: 'malformed-record'},
    ],
    [
      'a shard listed twice',
      started,
      assignRecord(3, [
        [0, 's1'],
        [0, 's2'],
      ]),
      {kind: 'malformed-record'},
    ],
    [
      'all changes of a record when one is invalid',
      started,
      assignRecord(3, [
        [0, 's1'],
        [1, 's1'],
      ]),
      {kind: 'no-authority'},
    ],
  ])('rejects %s', (_, state, record, error) => {
    expectRejected(state, record, error);
  });

  it('gives authority to the zone of the new owner, also after the owner is removed', () => {
    const assignedToZb = accept(started, assignRecord(3, [[0, 's3']]));
    expect(route(assignedToZb, hasher, 'kv', key0)).toEqual({
      service: 'kv',
      shard: 0,
      epoch: 4,
      zone: 'zb',
      server: 's3',
    });
    const b = {zone: 'zb', author: 'vm-b', term: 3};
    const unowned = accept(assignedToZb, assignRecord(4, [[0, null]], b));
    expect(unowned.services.get('kv')!.rows[0]).toEqual({
      server: null,
      zone: 'zb',
      epoch: 5,
    });
  });

  it('does not modify the previous state', () => {
    expect(started.services.get('kv')!.rows[0]!.server).toBeNull();
    expect(assigned.services.get('kv')!.rows[0]!.server).toBe('s1');
  });
});

describe('isolate and merge records', () => {
  const owned = accept(started, assignRecord(3, [[0, 's1']]));
  const isolated = accept(owned, keyRecord('isolate', key0, 4));
  const separated = accept(isolated, assignRecord(5, [[4, 's2']]));

  it('gives an isolated key its own shard, and both shards a new epoch', () => {
    const {rows} = isolated.services.get('kv')!;
    expect(rows[4]).toEqual({server: 's1', zone: 'za', epoch: 5});
    expect(rows[0]).toEqual(rows[4]);
    expect(route(separated, hasher, 'kv', key0)).toMatchObject({
      shard: 4,
      server: 's2',
    });
  });

  it('returns a merged key to its hash shard, and gives both shards a new epoch', () => {
    const merged = accept(isolated, keyRecord('merge', key0, 5));
    const {rows} = merged.services.get('kv')!;
    expect(route(merged, hasher, 'kv', key0)).toMatchObject({
      shard: 0,
      epoch: 6,
      server: 's1',
    });
    expect(rows[4]).toEqual({server: null, zone: 'za', epoch: 6});
    expectRejected(merged, assignRecord(6, [[4, 's2']]), {
      kind: 'unknown-shard',
    });
    const again = accept(merged, keyRecord('isolate', key0, 6));
    expect(again.services.get('kv')!.rows[4]!.epoch).toBe(7);
  });

  it.each<[string, RouterState, unknown, object]>([
    [
      'isolate by another VM',
      owned,
      keyRecord('isolate', key0, 4, {author: 'vm-c'}),
      {kind: 'stale-term'},
    ],
    [
      'isolate of a key of another zone',
      owned,
      keyRecord('isolate', key1, 4),
      {kind: 'no-authority', shard: 1},
    ],
    [
      'isolate with a base offset before the last change of the shard',
      owned,
      keyRecord('isolate', key0, 3),
      {kind: 'stale-base', currentOffset: 4},
    ],
    [
      'isolate of an isolated key',
      isolated,
      keyRecord('isolate', key0, 5),
      {kind: 'stale-base'},
    ],
    [
      'isolate in an unknown service',
      owned,
      keyRecord('isolate', key0, 4, {}, 'kw'),
      {kind: 'unknown-shard'},
    ],
    [
      'isolate of a key that state images cannot contain',
      owned,
      keyRecord('isolate', '__proto__', 4),
      {kind: 'malformed-record'},
    ],
    [
      'isolate of a lone surrogate',
      owned,
      keyRecord('isolate', '\ud800', 4),
      {kind: 'malformed-record'},
    ],
    [
      'merge by another VM',
      isolated,
      keyRecord('merge', key0, 5, {author: 'vm-c'}),
      {kind: 'stale-term'},
    ],
    [
      'merge of a key that is not isolated',
      owned,
      keyRecord('merge', key0, 4),
      {kind: 'stale-base'},
    ],
    [
      'merge with a base offset before the last change of a shard',
      isolated,
      keyRecord('merge', key0, 4),
      {kind: 'stale-base', currentOffset: 5},
    ],
    [
      'merge in an unknown service',
      isolated,
      keyRecord('merge', key0, 5, {}, 'kw'),
      {kind: 'unknown-shard'},
    ],
    [
      'merge of shards with different owners',
      separated,
      keyRecord('merge', key0, 6),
      {kind: 'server-not-eligible', server: 's2'},
    ],
    [
      'merge without authority over the hash shard',
      accept(isolated, assignRecord(5, [[0, 's3']])),
      keyRecord('merge', key0, 6),
      {kind: 'no-authority', zone: 'zb'},
    ],
  ])('rejects %s', (_, state, record, error) => {
    expectRejected(state, record, error);
  });

  it('limits the isolated keys of a service', () => {
    const one = draft();
    one.services[0]!.shards = 1;
    let state = startedState(one);
    for (let n = 0; n < MAX_ISOLATED_KEYS; n += 1) {
      state = accept(state, keyRecord('isolate', `hot-${n}`, state.offset));
    }
    expectRejected(state, keyRecord('isolate', 'hot', state.offset), {
      kind: 'too-many-isolated-keys',
      limit: 256,
    });
    const numbers = state.services.get('kv')!.isolated.values();
    expect(new Set(numbers).size).toBe(MAX_ISOLATED_KEYS);
  });
});
