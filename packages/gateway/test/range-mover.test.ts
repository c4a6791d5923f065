import {HoldLedger, RangeTable} from '@wisteriarun/core';
import type {KeyGrant, KeyGranter, RangeOwner} from '@wisteriarun/core';
import {createLogger, SystemClock} from '@wisteriarun/runtime';
import {Result} from 'true-myth';
import {expect, it} from 'vitest';
import {RangeMover} from '../src/ownership/range-mover.js';
import {ServerReachability} from '../src/ownership/server-reachability.js';
import type {TablePublisher} from '../src/ownership/table-publisher.js';
import {gatewayServer} from './fixtures.js';

const HOLD_MS = 4_000;
/** Time for which the former owner still works on the keys. */
const WORK_MS = 1_500;
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

// Guards against two owners of a key (OWNER on trouble-1 of austral-gw-large, small
// twin): an assigner that had taken over raised the fence of the former owner by a
// grant of 0.5 s, and then did not wait for the work that the owner was still doing.
it('a range goes to the next owner only when the former one has ended its work', async () => {
  const clock = new SystemClock();
  const ledger = new HoldLedger();
  const table = new RangeTable();
  const publisher = {
    term: 5,
    table,
    setOwner: (owner: RangeOwner) => table.assign(owner),
    publish: () => {},
    persist: async () => true,
  } as unknown as TablePublisher;
  const grants: (KeyGrant & {readonly atMs: number})[] = [];
  let releasedAtMs = Infinity;
  const granter: KeyGranter = {
    grant: async (_, grant) => {
      grants.push({...grant, atMs: clock.monotonicMs()});
      return Result.ok('granted');
    },
    release: async () => {
      await sleep(WORK_MS);
      releasedAtMs = clock.monotonicMs();
      return Result.ok('token');
    },
    close() {},
  };
  const servers = new Map(
    ['i-1', 'i-2'].map(id => [id, gatewayServer(id, {bornMs: 1})]),
  );
  const mover = new RangeMover({
    publisher,
    granter,
    ledger,
    reachability: new ServerReachability(),
    clock,
    logger: createLogger({level: 'error', process: 'test', zone: 'a'}),
    holdMs: HOLD_MS,
    findEligible: id => servers.get(id) ?? null,
    addressOf: id => servers.get(id)?.address ?? null,
    place: () => null,
    mayGrant: () => true,
    waitForRenewals: async () => {},
  });
  const range: RangeOwner = {
    service: 'records',
    fromKey: 0,
    toKey: 9,
    server: 'i-1',
    former: null,
    bornMs: 1,
    fence: 1,
    moving: false,
  };
  table.assign(range);
  // A grant of the former assigner may still take effect.
  ledger.recordHold(
    {...range, server: 'i-1'},
    15_000,
    clock.monotonicMs(),
    true,
  );
  mover.move(range, 'i-2', 'balance');
  while (table.find('records', 0)?.server !== 'i-2') await sleep(20);
  while (!grants.some(({server}) => server === 'i-2')) await sleep(20);
  mover.close();
  const granted = grants.find(({server}) => server === 'i-2')!;
  expect(granted.handover).toBe('token');
  expect(granted.atMs).toBeGreaterThanOrEqual(releasedAtMs);
});
