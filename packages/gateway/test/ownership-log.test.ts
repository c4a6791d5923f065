import {OwnershipLog} from '../src/ownership/ownership-log.js';
import {ERRORS} from '@wisteriarun/core';
import type {KeyedLog, OwnershipRecord} from '@wisteriarun/core';
import {Result} from 'true-myth';
import {HttpKeyedLog} from '@wisteriarun/platform';
import {createLogger, SystemClock} from '@wisteriarun/runtime';
import {PlatformStore} from '@wisteriarun/standins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const TOPIC = 'keyed.wisteriarun-ownership';
const logger = createLogger({level: 'error', process: 'test', zone: 'a'});
const clock = new SystemClock();

const record = (vm: string, id: string): OwnershipRecord => ({
  id: `${vm}-${id}`,
  term: 0,
  assigner: {vm, peerAddress: '127.0.0.1:1', incarnation: vm},
  revision: 0,
  resigned: false,
  ranges: [],
});

describe('the ownership log', () => {
  let store: PlatformStore;
  const logs: HttpKeyedLog[] = [];
  let firstLog: OwnershipLog;
  let secondLog: OwnershipLog;

  beforeEach(async () => {
    store = new PlatformStore();
    const {host, port} = await store.start();
    const open = () => {
      const log = new HttpKeyedLog(`${host}:${port}`);
      logs.push(log);
      return new OwnershipLog(log, clock, logger);
    };
    firstLog = open();
    secondLog = open();
    await firstLog.refresh();
    await secondLog.refresh();
  });

  afterEach(async () => {
    for (const log of logs.splice(0)) log.close();
    await store.close();
  });

  it('lets only one of two assigners append at an offset', async () => {
    const first = await firstLog.append(record('vm-1', 'a'));
    const second = await secondLog.append(record('vm-2', 'a'));
    expect(first.isOk && first.value.kind).toBe('appended');
    expect(second.isOk && second.value.kind).toBe('superseded');
  });

  it('finds a record whose answer was lost, and appends it once', async () => {
    // Affects appends only, so that the log can be read during the fault.
    store.fault = 'lose-answers';
    setTimeout(() => (store.fault = 'none'), 20);
    const answer = await firstLog.append(record('vm-1', 'a'));
    expect(answer.isOk && answer.value).toEqual({kind: 'appended', offset: 0});
    expect(store.topicEndOffset(TOPIC)).toBe(1);
  });

  // Guards against two VMs that grant the same keys: an append that was tried
  // again at the new end of the log took the term from the VM that had been
  // elected during the outage.
  it('does not append after another VM once an append has failed', async () => {
    const inner = logs[0]!;
    const failing: KeyedLog = {
      newest: log => inner.newest(log),
      read: (log, offset, waitMs) => inner.read(log, offset, waitMs),
      // The first append fails after the other VM has appended; later appends
      // reach the log.
      appendAt: async (log, key) => {
        failing.appendAt = (...call) => inner.appendAt(...call);
        await secondLog.append(record('vm-2', 'a'));
        return Result.err(ERRORS.appendUncertain(key, `lost on ${log}`));
      },
      close: () => inner.close(),
    };
    // Of the VM whose append comes after that of the other VM.
    const late = new OwnershipLog(failing, clock, logger);
    await late.refresh();
    const answer = await late.append(record('vm-1', 'a'));
    expect(answer.isOk && answer.value.kind).toBe('superseded');
    expect(store.topicEndOffset(TOPIC)).toBe(1);
  });

  // Guards against an assigner that takes a record for refused that may still be
  // appended: one that resigns would resume its grants.
  it('does not report an append as refused once a try of it was uncertain', async () => {
    const inner = logs[0]!;
    let tries = 0;
    const failing: KeyedLog = {
      newest: log => inner.newest(log),
      read: (log, offset, waitMs) => inner.read(log, offset, waitMs),
      appendAt: async (log, key) => {
        tries += 1;
        return Result.err(
          tries === 1
            ? ERRORS.appendUncertain(key, `lost on ${log}`)
            : ERRORS.logUnavailable('answered 503'),
        );
      },
      close: () => inner.close(),
    };
    const log = new OwnershipLog(failing, clock, logger);
    await log.refresh();
    const answer = await log.append(record('vm-1', 'a'));
    expect(tries).toBeGreaterThan(1);
    expect(answer.isErr && answer.error.kind).toBe('append-uncertain');
  });

  // Guards against a needless end of the term: the assigner took its own
  // record, which was appended late, for a record of another VM. The fault arose
  // when a record was appended seconds after its answer was lost. Here the log
  // reports `log-unavailable`, as if nothing was appended, and appends the record
  // afterwards.
  it('continues the term after its own record was appended late', async () => {
    const inner = logs[0]!;
    let delayedAppend: (() => Promise<unknown>) | null = null;
    // Performs the first append only when the test calls `delayedAppend`.
    const late: KeyedLog = {
      newest: log => inner.newest(log),
      read: (log, offset, waitMs) => inner.read(log, offset, waitMs),
      appendAt: async (...call) => {
        if (delayedAppend !== null) return inner.appendAt(...call);
        delayedAppend = () => inner.appendAt(...call);
        return Result.err(ERRORS.logUnavailable('thought to be refused'));
      },
      close: () => inner.close(),
    };
    const log = new OwnershipLog(late, clock, logger);
    await log.refresh();
    expect((await log.append(record('vm-1', 'a'))).isErr).toBe(true);
    await delayedAppend!();
    const answer = await log.append(record('vm-1', 'b'));
    expect(answer.isOk && answer.value).toEqual({kind: 'appended', offset: 1});
    const other = await secondLog.append(record('vm-2', 'a'));
    expect(other.isOk && other.value.kind).toBe('superseded');
  });
});
