import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  createHasher,
  emptyState,
  fold,
  fromImage,
  route,
  toImage,
  type LogRecord,
  type RouterState,
  type StoredRecord,
} from '@wisteriarun/core';
import {
  assignRecord,
  bundleRecord,
  draft,
  keyRecord,
  server,
  storedAt,
  termRecord,
  rootSigners,
} from './fixtures.js';
import {Model} from './model.js';

const hasher = await createHasher();
const seed = Number(process.env['FC_SEED'] ?? Date.now() % 2 ** 31);
console.log(`interleavings: seed=${seed} (set FC_SEED to repeat)`);

const KEYS = ['a', 'b', 'c', 'd'];
const ZONES = ['za', 'zb'];

/**
 * One append by an author that has not yet read the latest `lag` records. A
 * `retry` appends the record again that precedes the last `back` records.
 */
type Action = {lag: number} & (
  | {do: 'bundle'; variant: number; operator: string}
  | {do: 'term'; zone: string; vm: string}
  | {do: 'assign'; zone: string; shards: number[]; server: string | null}
  | {do: 'isolate' | 'merge'; zone: string; key: string}
  | {do: 'retry'; back: number}
);

const lag = fc.oneof(
  {weight: 4, arbitrary: fc.constant(0)},
  {weight: 1, arbitrary: fc.integer({min: 1, max: 5})},
);
const zone = fc.constantFrom(...ZONES);
const newOwner = fc.constantFrom('s1', 's2', 's3', 's4', 's9', null);
const actions: fc.Arbitrary<Action[]> = fc.array(
  fc.oneof(
    {
      weight: 2,
      arbitrary: fc.record({
        do: fc.constant('bundle' as const),
        lag,
        variant: fc.nat(3),
        operator: fc.constantFrom('op-1', 'op-2'),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        do: fc.constant('term' as const),
        lag,
        zone,
        vm: fc.constantFrom('vm-1', 'vm-2', 'vm-3'),
      }),
    },
    {
      weight: 8,
      arbitrary: fc.record({
        do: fc.constant('assign' as const),
        lag,
        zone,
        shards: fc.uniqueArray(fc.nat(7), {minLength: 1, maxLength: 2}),
        server: newOwner,
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        do: fc.constantFrom('isolate' as const, 'merge' as const),
        lag,
        zone,
        key: fc.constantFrom(...KEYS),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        do: fc.constant('retry' as const),
        lag,
        back: fc.nat(8),
      }),
    },
  ),
  {minLength: 10, maxLength: 60},
);

/** One of four bundle contents that operators publish in any order. */
function variant(version: number, number: number) {
  const body = draft(version);
  body.servers.push(server('s4', 'zb', 'b2', 4));
  if (number === 1) {
    body.batches[1] = {id: 'b2', state: 'leaving', leaveAtMs: 1};
  }
  if (number === 2) body.stopped = ['s3'];
  if (number === 3) body.servers.splice(0, 1);
  return body;
}

function buildRecord(view: RouterState, action: Action): LogRecord | null {
  const version = view.bundle?.body.version ?? 0;
  switch (action.do) {
    case 'bundle': {
      const body = variant(version + 1, action.variant);
      return {...bundleRecord(body, version), author: action.operator};
    }
    case 'term': {
      const term = view.terms.get(action.zone)?.term ?? 0;
      return termRecord(action.zone, action.vm, term);
    }
    case 'retry':
      return null;
  }
  const holder = view.terms.get(action.zone);
  const claim = {
    zone: action.zone,
    author: holder?.holder ?? 'vm-1',
    term: holder?.term ?? 0,
  };
  if (action.do !== 'assign') {
    return keyRecord(action.do, action.key, view.offset, claim);
  }
  const {server, shards} = action;
  return assignRecord(
    view.offset,
    shards.map(shard => [shard, server]),
    claim,
  );
}

/** Appends the records of the actions to a log and folds each of them. */
function simulateLog(steps: readonly Action[]): {
  log: StoredRecord[];
  states: RouterState[];
} {
  const log: StoredRecord[] = [];
  const states = [emptyState()];
  const start: Action[] = [
    {do: 'bundle', lag: 0, variant: 0, operator: 'op-1'},
    {do: 'term', lag: 0, zone: 'za', vm: 'vm-1'},
    {do: 'term', lag: 0, zone: 'zb', vm: 'vm-2'},
  ];
  for (const action of [...start, ...steps]) {
    const view = states.at(-1 - action.lag) ?? emptyState();
    const retried =
      action.do === 'retry' ? log.at(-1 - action.back) : undefined;
    const decided = buildRecord(view, action);
    const record = retried?.record ?? (decided && withId(decided, log.length));
    if (!record) continue;
    const stored = storedAt(log.length + 1, record);
    log.push(stored);
    states.push(fold(states.at(-1)!, stored, rootSigners).state);
  }
  return {log, states};
}

function withId(record: LogRecord, number: number): LogRecord {
  return {...record, id: `${record.kind}-${number}`};
}

describe('any interleaving of authors', () => {
  const parameters = {seed, numRuns: 150};

  it('gives the same verdicts and owners as the reference model', () => {
    let accepted = 0;
    let total = 0;
    fc.assert(
      fc.property(actions, steps => {
        const {log} = simulateLog(steps);
        const model = new Model();
        const acceptedIds = new Set<string>();
        let state = emptyState();
        for (const stored of log) {
          const record = stored.record as LogRecord;
          const before = state;
          const {state: next, verdict} = fold(before, stored, rootSigners);
          const isValid = model.apply(stored.offset, record);
          expect(verdict.kind).toBe(isValid ? 'accepted' : 'rejected');
          if (isValid) {
            // A record that is appended again, because the answer to the first
            // append was lost, must not be applied twice.
            expect(acceptedIds.has(record.id)).toBe(false);
            acceptedIds.add(record.id);
            accepted += 1;
          } else {
            expect(next).toEqual({...before, offset: stored.offset});
          }
          total += 1;
          expectMonotonic(before, next);
          expectOwners(next, model);
          state = next;
        }
      }),
      parameters,
    );
    console.log(`interleavings: ${accepted} of ${total} records accepted`);
    // Fails if the generator produces almost only records that are rejected.
    expect(accepted / total).toBeGreaterThan(0.15);
  });

  it('gives the same state from an image and the records after it', () => {
    fc.assert(
      fc.property(actions, fc.nat(), (steps, imageSeed) => {
        const {log, states} = simulateLog(steps);
        const imageIndex = imageSeed % states.length;
        const json = JSON.stringify(toImage(states[imageIndex]!));
        let state = fromImage(JSON.parse(json), rootSigners).unwrapOrElse(
          error => {
            throw new Error(JSON.stringify(error));
          },
        );
        expect(state).toEqual(states[imageIndex]);
        for (const stored of log.slice(imageIndex)) {
          state = fold(state, stored, rootSigners).state;
        }
        expect(state).toEqual(states.at(-1));
      }),
      parameters,
    );
  });

  it('rejects values of any type without throwing and keeps the state', () => {
    const state = simulateLog([]).states.at(-1)!;
    const value = fc.oneof(
      fc.anything(),
      fc.record({
        kind: fc.constantFrom('bundle', 'term', 'assign', 'merge', 'snapshot'),
        id: fc.string(),
        author: fc.anything(),
        changes: fc.anything(),
        signed: fc.anything(),
      }),
    );
    fc.assert(
      fc.property(value, record => {
        const result = fold(
          state,
          storedAt(state.offset + 1, record),
          rootSigners,
        );
        expect(result.verdict.kind).toBe('rejected');
        expect(result.state).toEqual({...state, offset: state.offset + 1});
      }),
      parameters,
    );
  });
});

function expectMonotonic(before: RouterState, after: RouterState): void {
  const version = (state: RouterState) => state.bundle?.body.version ?? 0;
  expect([0, 1]).toContain(version(after) - version(before));
  for (const [zone, {term}] of before.terms) {
    expect(after.terms.get(zone)!.term).toBeGreaterThanOrEqual(term);
  }
  const rows = after.services.get('kv')?.rows ?? [];
  for (const [shard, row] of before.services.get('kv')?.rows.entries() ?? []) {
    const next = rows[shard]!;
    expect(next.epoch).toBeGreaterThanOrEqual(row.epoch);
    // A new owner without a new epoch would leave the shard with two owners.
    if (next.epoch === row.epoch) expect(next.server).toBe(row.server);
  }
}

function expectOwners(state: RouterState, model: Model): void {
  const {rows, isolated} = state.services.get('kv') ?? {rows: []};
  for (const [shard, periods] of model.ownerHistory) {
    const {from, server, zone} = periods.at(-1)!;
    expect(rows[shard]).toEqual({server, zone, epoch: from});
    const starts = periods.map(period => period.from);
    expect(new Set(starts).size).toBe(starts.length);
  }
  expect(rows).toHaveLength(model.ownerHistory.size);
  expect(new Map(isolated)).toEqual(model.keyShards);
  for (const key of model.bundle === null ? [] : KEYS) {
    const shard = model.shardOfKey(key);
    const {server} = model.latest(shard)!;
    expect(route(state, hasher, 'kv', key)).toMatchObject({shard, server});
  }
}
