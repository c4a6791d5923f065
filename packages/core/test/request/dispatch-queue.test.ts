import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {DispatchQueue, type QueueEntry} from '@wisteriarun/core';

const seed = Number(process.env['FC_SEED'] ?? Date.now() % 2 ** 31);

let count = 0;
const entry = (
  overrides: Partial<QueueEntry<number>> = {},
): QueueEntry<number> => ({
  value: count++,
  shardId: 's/0',
  deadlineMs: 1_000_000,
  sizeBytes: 100,
  isSuspect: false,
  ...overrides,
});

function raiseLimit(queue: DispatchQueue<number>, slots: number): void {
  for (let i = 0; i < slots; i++) {
    queue.offer(entry(), 0, 0);
    queue.finish(queue.next(0)!, 'success', 0);
  }
}

type Command =
  | {
      kind: 'offer';
      shard: number;
      lifeMs: number;
      isSuspect: boolean;
      sizeBytes: number;
    }
  | {kind: 'next' | 'expire' | 'reset'}
  | {kind: 'finish'; result: 'success' | 'failure' | 'shed'}
  | {kind: 'drain'; shard: number; on: boolean}
  | {kind: 'advance'; byMs: number};

const commands: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('offer' as const),
      shard: fc.nat(2),
      lifeMs: fc.integer({min: 0, max: 500}),
      isSuspect: fc.boolean(),
      sizeBytes: fc.nat(400),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'next' as const,
        'next' as const,
        'expire' as const,
      ),
    }),
  },
  fc.record({kind: fc.constant('reset' as const)}),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('finish' as const),
      result: fc.constantFrom('success', 'failure', 'shed'),
    }),
  },
  fc.record({
    kind: fc.constant('drain' as const),
    shard: fc.nat(2),
    on: fc.boolean(),
  }),
  fc.record({kind: fc.constant('advance' as const), byMs: fc.nat(300)}),
);

describe('dispatch queue', () => {
  it('starts requests in order and within all limits for random operations', () => {
    console.log(`fast-check seed ${seed}`);
    fc.assert(
      fc.property(fc.array(commands, {maxLength: 120}), steps => {
        const slots = 3;
        const queue = new DispatchQueue<number>({
          slots,
          maxQueued: 8,
          maxQueuedBytes: 2_000,
        });
        let nowMs = 0;
        const waiting: QueueEntry<number>[] = [];
        const running: QueueEntry<number>[] = [];
        const drainedShards = new Set<string>();
        for (const step of steps) {
          if (step.kind === 'advance') nowMs += step.byMs;
          else if (step.kind === 'reset') queue.resetLimit();
          else if (step.kind === 'drain') {
            const id = `s/${step.shard}`;
            queue.setDrain(id, step.on);
            if (step.on) drainedShards.add(id);
            else drainedShards.delete(id);
          } else if (step.kind === 'offer') {
            const {isSuspect, sizeBytes} = step;
            const item = entry({
              shardId: `s/${step.shard}`,
              deadlineMs: nowMs + step.lifeMs,
              isSuspect,
              sizeBytes,
            });
            if (!queue.offer(item, 10, nowMs)) waiting.push(item);
          } else if (step.kind === 'expire') {
            for (const item of queue.expire(nowMs)) {
              expect(item.deadlineMs).toBeLessThanOrEqual(nowMs);
              waiting.splice(waiting.indexOf(item), 1);
            }
          } else if (step.kind === 'finish') {
            const item = running.shift();
            if (item) queue.finish(item, step.result, nowMs);
          } else {
            const isSuspectRunning = running.some(item => item.isSuspect);
            const hasFreeSlot = running.length < queue.limit(nowMs);
            const expected = waiting.find(
              item =>
                hasFreeSlot &&
                item.deadlineMs > nowMs &&
                !drainedShards.has(item.shardId) &&
                !(item.isSuspect && isSuspectRunning),
            );
            const item = queue.next(nowMs);
            expect(item).toBe(expected ?? null);
            if (!item) continue;
            waiting.splice(waiting.indexOf(item), 1);
            running.push(item);
          }
          expect(queue.limit(nowMs)).toBeGreaterThanOrEqual(1);
          expect(queue.inFlight).toBe(running.length);
          expect(running.length).toBeLessThanOrEqual(slots);
          expect(queue.queued).toBe(waiting.length);
          expect(queue.queued).toBeLessThanOrEqual(8);
          const bytes = waiting.reduce((sum, item) => sum + item.sizeBytes, 0);
          expect(queue.queuedBytes).toBe(bytes);
          expect(bytes).toBeLessThanOrEqual(2_000);
          for (const shard of [0, 1, 2]) {
            const queuedOfShard = waiting.filter(
              item => item.shardId === `s/${shard}`,
            );
            expect(queuedOfShard.length).toBeLessThanOrEqual(4);
          }
          expect(running.filter(i => i.isSuspect).length).toBeLessThanOrEqual(
            1,
          );
        }
      }),
      {seed, numRuns: 1_000},
    );
  });

  it('raises the limit by one per success, so that a new server is not overloaded', () => {
    const queue = new DispatchQueue<number>({slots: 3});
    for (let i = 0; i < 5; i++) queue.offer(entry(), 0, 0);
    const first = queue.next(0)!;
    expect(queue.next(0)).toBeNull();
    queue.finish(first, 'success', 0);
    expect(queue.next(0)).not.toBeNull();
    expect(queue.next(0)).not.toBeNull();
    expect(queue.next(0)).toBeNull();
  });

  it('lowers the limit for one second after the server shed a request', () => {
    const queue = new DispatchQueue<number>({slots: 3});
    raiseLimit(queue, 3);
    queue.offer(entry(), 0, 0);
    queue.finish(queue.next(0)!, 'shed', 0);
    expect(queue.limit(999)).toBe(2);
    expect(queue.limit(1_000)).toBe(3);
  });

  it('refuses a request at once when it is not expected to start before its deadline', () => {
    const queue = new DispatchQueue<number>({slots: 1});
    queue.offer(entry(), 100, 0);
    queue.next(0);
    expect(queue.offer(entry({deadlineMs: 150}), 100, 0)).toBeNull();
    const refused = queue.offer(entry({deadlineMs: 150}), 100, 0);
    expect(refused?.reason).toBe('deadline-unreachable');
    expect(refused?.retryAfterMs).toBe(200);
  });

  it('limits one shard to half of the queue, so that a hot shard does not fill it', () => {
    const queue = new DispatchQueue<number>({slots: 1, maxQueued: 4});
    queue.offer(entry(), 0, 0);
    queue.offer(entry(), 0, 0);
    expect(queue.offer(entry(), 0, 0)?.reason).toBe('shard-queue-full');
    expect(queue.offer(entry({shardId: 's/1'}), 0, 0)).toBeNull();
    expect(queue.offer(entry({shardId: 's/2'}), 0, 0)).toBeNull();
    expect(queue.offer(entry({shardId: 's/3'}), 0, 0)?.reason).toBe(
      'queue-full',
    );
  });
});
