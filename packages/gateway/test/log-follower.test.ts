import {ERRORS} from '@wisteriarun/core';
import type {KeyedBatch, KeyedLog, WisteriarunError} from '@wisteriarun/core';
import {createLogger, SystemClock} from '@wisteriarun/runtime';
import {Result} from 'true-myth';
import {expect, it} from 'vitest';
import {LogFollower} from '../src/store/log-follower.js';

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

// Guards against losses of the log whose cause, duration and number of failed reads
// cannot be told from the logs.
it('logs why the log was lost, and for how long', async () => {
  const lines: string[] = [];
  let failures = 3;
  const log = {
    newest: async () => Result.ok({records: [], endOffset: 0}),
    read: async (): Promise<Result<KeyedBatch, WisteriarunError>> => {
      await sleep(10);
      failures -= 1;
      if (failures >= 0) return Result.err(ERRORS.logUnavailable('timeout'));
      return Result.ok({records: [], nextOffset: 0, endOffset: 0});
    },
  } as unknown as KeyedLog;
  const follower = new LogFollower(
    log,
    'bundles',
    {waitMs: () => 0, pauseMs: () => 10, isNeeded: () => true, maxGapMs: 2_000},
    new SystemClock(),
    createLogger({
      level: 'info',
      process: 'test',
      zone: 'a',
      write: line => lines.push(line),
    }),
  );
  follower.start();
  while (!lines.some(line => line.includes('log-regained'))) await sleep(10);
  follower.close();
  const lost = lines.find(line => line.includes('event=log-lost'));
  expect(lost).toMatch(/cause="log-unavailable detail=.*timeout/);
  const regained = lines.find(line => line.includes('event=log-regained'));
  expect(regained).toMatch(/lost_ms=\d+ failed_reads=3/);
});

// Guards against knowledge that counts as fresh although the answer held only a part of the
// records, or came without having waited for one.
it.each([
  ['a part of the records', 5, 0, 0, -10],
  ['no record, without a wait', 0, 0, 500, 0],
])(
  'an answer with %s is not taken for more',
  async (_, end, nextOffset, waitMs, knownMs) => {
    const clock = new SystemClock();
    let startedAtMs = Infinity;
    const log = {
      newest: async () => {
        await sleep(20);
        return Result.ok({records: [], endOffset: 0});
      },
      read: async () => {
        startedAtMs = clock.monotonicMs();
        await sleep(20);
        return Result.ok({records: [], nextOffset, endOffset: end});
      },
    } as unknown as KeyedLog;
    const follower = new LogFollower(
      log,
      'bundles',
      {
        waitMs: () => waitMs,
        // One read after the image.
        pauseMs: () => (startedAtMs === Infinity ? 0 : 10_000),
        isNeeded: () => true,
        maxGapMs: 60_000,
      },
      clock,
      createLogger({level: 'error', process: 'test', zone: 'a'}),
    );
    follower.start();
    await sleep(100);
    follower.close();
    expect(follower.readAtMs).toBeLessThanOrEqual(startedAtMs + knownMs);
    expect(startedAtMs).toBeLessThan(Infinity);
  },
);
