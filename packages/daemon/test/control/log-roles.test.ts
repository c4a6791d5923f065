import {describe, expect, it} from 'vitest';
import {emptyState, toImage} from '@wisteriarun/core';
import {LogTail, type AppendState} from '../../src/control/log-tail.js';
import {SnapshotWriter} from '../../src/control/snapshot-writer.js';
import {StateReplica} from '../../src/control/state-replica.js';

describe('log tail, state replica and snapshot writer', () => {
  // Guards against an uncertain append that is abandoned, although its record
  // may still take effect: its author would wait forever.
  it.each<[string, AppendState[], number, boolean]>([
    ['appended', ['appended'], 1, true],
    ['certainly absent', ['absent'], 1, false],
    ['uncertain at first', ['uncertain', 'uncertain', 'appended'], 3, true],
    ['uncertain, then absent', ['uncertain', 'absent', 'appended'], 3, true],
  ])(
    'repeats an append until its result is known: %s',
    async (_name, results, calls, mayBeOnLog) => {
      const tail = new LogTail({
        endpoint: 'http://127.0.0.1:9',
        stream: 'd',
        trust: [],
        replica: new StateReplica([]),
        onAvailability: () => {},
      });
      let count = 0;
      tail.append = async () => results[count++]!;
      const record = {id: 'r'} as never;
      expect(await tail.appendUntilKnown(record, () => false)).toBe(mayBeOnLog);
      expect(count).toBe(calls);
      await tail.close();
    },
  );

  it('stops repeating an append once its record has been read', async () => {
    const tail = new LogTail({
      endpoint: 'http://127.0.0.1:9',
      stream: 'd',
      trust: [],
      replica: new StateReplica([]),
      onAvailability: () => {},
    });
    let count = 0;
    tail.append = async () => {
      count += 1;
      return 'uncertain';
    };
    const isFolded = () => count === 2;
    expect(await tail.appendUntilKnown({} as never, isFolded)).toBe(true);
    expect(count).toBe(2);
    await tail.close();
  });

  it('ignores records and states that would decrease the offset', () => {
    const replica = new StateReplica([]);
    const seen: number[] = [];
    replica.subscribe(state => seen.push(state.offset));
    const invalidRecords = [1, 2, 3].map(offset => ({offset, record: null}));
    replica.apply(invalidRecords);
    replica.apply(invalidRecords);
    const image = (offset: number) => ({...toImage(emptyState()), offset});
    expect([2, 3, 7].map(at => replica.adopt(image(at)))).toEqual([
      false,
      false,
      true,
    ]);
    expect(replica.restore({...emptyState(), offset: 5})).toBe(false);
    expect(seen).toEqual([1, 2, 3, 7]);
  });

  it('writes a snapshot in the first step after a long outage', async () => {
    let nowMs = 0;
    let up = true;
    let zones = ['a'];
    let result: AppendState = 'appended';
    let writes = 0;
    const writer = new SnapshotWriter({
      vm: 'v',
      clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
      intervalMs: 1_000,
      state: () => ({bundle: {body: {zones: ['b', 'a']}}}) as never,
      image: () => toImage(emptyState()),
      ownZones: () => zones,
      logAvailable: () => up,
      append: async () => {
        writes += 1;
        return result;
      },
    });
    const stepAt = async (atMs: number) => {
      nowMs = atMs;
      await writer.step();
      return writes;
    };
    expect(await stepAt(999)).toBe(0);
    up = false;
    expect(await stepAt(5_000)).toBe(0);
    up = true;
    zones = ['b'];
    expect(await stepAt(5_001)).toBe(0);
    zones = ['a'];
    result = 'uncertain';
    expect(await stepAt(5_002)).toBe(1);
    result = 'appended';
    expect(await stepAt(5_003)).toBe(2);
    expect(await stepAt(5_004)).toBe(2);
    writer.onFolded({record: {kind: 'snapshot'}} as never);
    expect(await stepAt(6_003)).toBe(2);
    expect(await stepAt(6_004)).toBe(3);
  });
});
