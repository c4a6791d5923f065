import type {OwnershipRecord} from '@wisteriarun/core';
import {createLogger, SystemClock} from '@wisteriarun/runtime';
import {Result} from 'true-myth';
import {expect, it} from 'vitest';
import type {OwnershipLog} from '../src/ownership/ownership-log.js';
import {OwnerView} from '../src/ownership/owner-view.js';
import type {PeerServer} from '../src/ownership/peer-server.js';
import {TablePublisher} from '../src/ownership/table-publisher.js';

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

// Guards against a planned stop of the assigner after which no other VM is elected for
// seconds: a queued append of the table followed the resignation and hid it (replay of
// the incident inc-9d3f of ramcharan-desk).
it('the record of a resignation is the last one of its term', async () => {
  const appended: OwnershipRecord[] = [];
  const log = {
    append: async (record: OwnershipRecord) => {
      await sleep(20);
      appended.push(record);
      return Result.ok({kind: 'appended', offset: appended.length});
    },
  } as unknown as OwnershipLog;
  const peers = {broadcast() {}, linkCount: 0} as unknown as PeerServer;
  const contact = {vm: 'vm-1', peerAddress: '127.0.0.1:1', incarnation: 'a'};
  const publisher = new TablePublisher(
    {
      log,
      owners: new OwnerView(),
      peers,
      clock: new SystemClock(),
      logger: createLogger({level: 'error', process: 'test', zone: 'a'}),
    },
    contact,
    5,
    [],
  );
  const persisted = [publisher.persist(), publisher.persist()];
  expect(await publisher.resign()).toBe('appended');
  await Promise.all(persisted);
  await sleep(100);
  publisher.close();
  expect(appended.at(-1)?.resigned).toBe(true);
  expect(await publisher.persist()).toBe(false);
});
