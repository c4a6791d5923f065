import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  ATTEMPT_WINDOW_MS,
  AttemptTable,
  CALLER_SKEW_MS,
  MAX_REPLAY_BYTES,
  VM_SKEW_MS,
  type AttemptId,
} from '@wisteriarun/core';

const seed = Number(process.env['FC_SEED'] ?? Date.now() % 2 ** 31);
const SKEW_MS = CALLER_SKEW_MS + VM_SKEW_MS;

const idOf = (name: string, createdWallMs: number): AttemptId => ({
  service: 's',
  shard: 0,
  key: 'k',
  idempotencyKey: name,
  createdWallMs,
});

/**
 * `planned` and `lost` replace the dispatcher of the shard: `planned` with a
 * handover of its records, `lost` without one. `entrySkewMs` and `vmSkewMs` are
 * the offsets of the wall clocks of the entry VM and of the new dispatcher.
 */
type Command =
  | {kind: 'submit'; request: number; entrySkewMs: number}
  | {kind: 'end'; request: number; how: 'answered' | 'unknown' | 'not-run'}
  | {kind: 'advance'; byMs: number}
  | {kind: 'planned' | 'lost'; vmSkewMs: number};

const commands: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      request: fc.nat(7),
      entrySkewMs: fc.integer({min: -VM_SKEW_MS / 2, max: VM_SKEW_MS / 2}),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('end' as const),
      request: fc.nat(7),
      how: fc.constantFrom('answered', 'unknown', 'not-run'),
    }),
  },
  fc.record({
    kind: fc.constant('advance' as const),
    byMs: fc.oneof({weight: 9, arbitrary: fc.nat(3_000)}, fc.nat(700_000)),
  }),
  fc.record({
    kind: fc.constantFrom('planned' as const, 'lost' as const),
    vmSkewMs: fc.integer({min: -VM_SKEW_MS / 2, max: VM_SKEW_MS / 2}),
  }),
);

describe('attempt table', () => {
  it('runs no request twice despite evictions, handovers and lost dispatchers', () => {
    console.log(`fast-check seed ${seed}`);
    const creationOffsetMs = fc.integer({min: -5_000, max: 10_000});
    fc.assert(
      fc.property(
        fc.array(creationOffsetMs, {minLength: 8, maxLength: 8}),
        fc.array(commands, {minLength: 20, maxLength: 60}),
        fc.constantFrom(600, 1_200, 100_000),
        (creationOffsetsMs, steps, partBytes) => {
          let nowMs = 1_000_000;
          let skewMs = 0;
          let table = new AttemptTable({maxRecords: 2});
          table.takeOver('s', 0, nowMs - 20_000);
          const ids = creationOffsetsMs.map((c, i) =>
            idOf(`r${i}`, 1_000_000 + c),
          );
          const mayHaveRun = new Set<string>();
          const running = new Set<string>();
          for (const step of steps) {
            if (step.kind === 'advance') {
              nowMs += step.byMs;
            } else if (step.kind === 'submit') {
              const id = ids[step.request]!;
              const entryWallMs = nowMs + step.entrySkewMs;
              if (id.createdWallMs > entryWallMs + CALLER_SKEW_MS) continue;
              if (table.begin(id, nowMs + skewMs).kind !== 'run') continue;
              expect(mayHaveRun.has(id.idempotencyKey)).toBe(false);
              mayHaveRun.add(id.idempotencyKey);
              running.add(id.idempotencyKey);
            } else if (step.kind === 'end') {
              const id = ids[step.request]!;
              if (!running.delete(id.idempotencyKey)) continue;
              if (step.how === 'unknown') table.endUnknown(id);
              else if (step.how === 'answered') {
                const body = new Uint8Array(4);
                table.endAnswered(id, {status: 200, headers: {}, body});
              } else {
                table.endNotRun(id);
                mayHaveRun.delete(id.idempotencyKey);
              }
            } else {
              const next = new AttemptTable({maxRecords: 2});
              if (step.kind === 'planned') {
                const [exported] = table.export(
                  's',
                  [0],
                  nowMs + skewMs,
                  partBytes,
                );
                for (const {shard, knownSinceWallMs} of exported!.shards) {
                  next.takeOver('s', shard, knownSinceWallMs);
                }
                for (const record of exported!.attempts) {
                  const id = ids.find(
                    i => i.idempotencyKey === record.idempotencyKey,
                  )!;
                  next.import(id, record.state as never);
                }
              } else {
                next.takeOver('s', 0, nowMs + step.vmSkewMs);
              }
              skewMs = step.vmSkewMs;
              table = next;
              running.clear();
            }
          }
        },
      ),
      {seed, numRuns: 2_000},
    );
  });

  it('refuses a request created before the takeover plus the largest clock skew', () => {
    const table = new AttemptTable();
    table.takeOver('s', 0, 100_000);
    const early = idOf('early', 100_000 + SKEW_MS);
    const late = idOf('late', 100_001 + SKEW_MS);
    expect(table.begin(early, 102_000).kind).toBe('unknown');
    expect(table.begin(late, 102_000).kind).toBe('run');
    expect(table.begin(late, 102_000).kind).toBe('wait');
  });

  it('replays a stored answer, and none whose body was too large to store', () => {
    const table = new AttemptTable();
    table.takeOver('s', 0, 0);
    for (const [name, size] of [
      ['small', MAX_REPLAY_BYTES],
      ['large', MAX_REPLAY_BYTES + 1],
    ] as const) {
      const id = idOf(name, 100_000);
      expect(table.begin(id, 100_000).kind).toBe('run');
      const body = new Uint8Array(size);
      table.endAnswered(id, {status: 201, headers: {}, body});
      const again = table.begin(id, 100_000).kind;
      expect(again).toBe(name === 'small' ? 'replay' : 'unknown');
    }
  });

  it('does not rerun a request whose record expired before the wall clock stepped back', () => {
    const table = new AttemptTable();
    table.takeOver('s', 0, 0);
    const id = idOf('a', 100_000);
    expect(table.begin(id, 100_000).kind).toBe('run');
    table.endUnknown(id);
    const afterWindowMs = 100_001 + ATTEMPT_WINDOW_MS;
    expect(table.begin(id, afterWindowMs)).toEqual({
      kind: 'unknown',
      reason: 'attempt-expired',
    });
    expect(table.size).toBe(0);
    expect(table.begin(id, 100_000).kind).toBe('unknown');
    table.release('s', 0);
    table.takeOver('s', 0, 0);
    expect(table.begin(id, 100_000).kind).toBe('unknown');
  });

  it('evicts records above its limits on count and bytes', () => {
    const table = new AttemptTable({maxRecords: 10, maxBytes: 20_000});
    table.takeOver('s', 0, 0);
    for (let i = 0; i < 100; i++) {
      const id = idOf(`r${i}`, 100_000 + i * 2_000);
      expect(table.begin(id, id.createdWallMs).kind).toBe('run');
      const body = new Uint8Array(4_000);
      table.endAnswered(id, {status: 200, headers: {}, body});
      expect(table.size).toBeLessThanOrEqual(10);
      expect(table.sizeBytes).toBeLessThanOrEqual(20_000);
    }
  });

  it('splits a handover into parts and trims shards that exceed one part', () => {
    const table = new AttemptTable();
    for (const shard of [0, 1]) {
      table.takeOver('s', shard, 0);
      for (let i = 0; i < 40; i++) {
        const id = {...idOf(`${shard}-${i}`, 100_000 + i), shard};
        table.begin(id, 100_000);
        const body = new Uint8Array(MAX_REPLAY_BYTES);
        table.endAnswered(id, {status: 200, headers: {}, body});
      }
    }
    const parts = (maxBytes: number) =>
      table
        .export('s', [0, 1], 100_000, maxBytes)
        .map(({shards, attempts}) => [
          shards[0]?.knownSinceWallMs,
          attempts.length,
          attempts.some(({state}) => state.kind !== 'unknown' && state.body),
        ]);
    const complete = [0, 40, true];
    expect(parts(40 * 17_000)).toEqual([complete, complete]);
    const withoutBodies = [0, 40, false];
    expect(parts(40 * 600)).toEqual([withoutBodies, withoutBodies]);
    expect(parts(10 * 520)).toEqual(Array(2).fill([100_029, 10, false]));
  });

  it('does not rerun a request of a key that was isolated or merged back', () => {
    const table = new AttemptTable({maxRecords: 1});
    table.takeOver('s', 0, 0);
    const id = idOf('a', 100_000);
    table.begin(id, 100_000);
    table.endUnknown(id);
    table.isolate('s', 'k', 0, 9);
    expect(table.export('s', [9], 100_000)[0]?.attempts).toHaveLength(1);
    const other = {...idOf('b', 200_000), key: 'other'};
    expect(table.begin(other, 200_000).kind).toBe('run');
    expect(table.size).toBe(1);
    expect(table.begin({...id, shard: 9}, 200_000).kind).toBe('unknown');
    table.merge('s', 9, 0);
    expect(table.begin(id, 200_000).kind).toBe('unknown');
  });
});
