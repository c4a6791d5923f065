import {generateSigner, signBundle, type Bundle} from '@wisteriarun/core';
import {expect, test} from 'vitest';
import {StateReplica} from '../src/control/state-replica.js';

const root = generateSigner('root').unwrapOr(null as never);
const bundle: Bundle = {
  deployment: 'd',
  version: 1,
  zones: ['a'],
  services: [
    {
      id: 's',
      shards: 4,
      adoption: 'hold',
      longestDeadlineMs: 10_000,
      maxBodyBytes: 1,
    },
  ],
  batches: [{id: 'b1', state: 'serving'}],
  servers: [
    {
      id: 's1',
      service: 's',
      batch: 'b1',
      zone: 'a',
      host: '192.0.2.1',
      port: 1,
      slots: 1,
      connections: 1,
      checksGrants: true,
    },
  ],
  stopped: [],
  signers: [root.signer],
};

const common = {author: 'vm-1', zone: 'a'};
const signed = signBundle(JSON.stringify(bundle), 'root', root.privateKeyPem);
const bundleRecord = {
  kind: 'bundle',
  id: '1',
  author: 'ana',
  baseVersion: 0,
  signed: signed.unwrapOr(null as never),
};
const term = {kind: 'term', id: '2', ...common, authorZone: 'a', baseTerm: 0};
const assign = (id: string, term: number) => ({
  kind: 'assign',
  id,
  ...common,
  term,
  baseOffset: 2,
  changes: [{service: 's', shard: 1, server: 's1', reason: 'initial'}],
});

test('a shard has the accepted record of its epoch as its origin', () => {
  const replica = new StateReplica([root.signer]);
  replica.apply([
    {offset: 1, record: bundleRecord},
    {offset: 2, record: term},
    {offset: 3, record: assign('3', 2)},
    // Guards against the origin being overwritten by a rejected record.
    {offset: 4, record: assign('4', 1)},
  ]);
  expect(replica.state.services.get('s')?.rows[1]?.epoch).toBe(3);
  expect(replica.originOf('s', 1, 3)).toEqual({
    epoch: 3,
    author: 'vm-1',
    reason: 'initial',
  });
  expect(replica.originOf('s', 1, 4)).toBeNull();
  expect(replica.originOf('s', 0, 1)).toBeNull();
  // A replica that adopted an image has not folded the record itself.
  const later = new StateReplica([root.signer]);
  later.adopt(replica.image());
  expect(later.originOf('s', 1, 3)).toBeNull();
});
