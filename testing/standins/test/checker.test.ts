import {describe, expect, it} from 'vitest';
import {
  AvailabilityGapTracker,
  findViolations,
  measureChurn,
  measureImbalance,
  type Attempt,
  type LeaseRecord,
  type RunRecord,
} from '@wisteriarun/standins';

let nextId = 0;

function run(fields: Partial<RunRecord>): RunRecord {
  return {
    kind: 'run',
    wallMs: 0,
    server: 's1',
    bootId: 'boot',
    service: 'orders',
    key: 'k',
    shard: 3,
    epoch: 10,
    method: 'POST',
    idempotencyKey: null,
    attemptId: null,
    requestId: `r${nextId++}`,
    effect: 'done',
    reason: null,
    ...fields,
  };
}

function attempt(fields: Partial<Attempt>): Attempt {
  return {
    attemptId: `a${nextId++}`,
    operation: 'get',
    service: 'orders',
    key: 'k',
    idempotencyKey: null,
    tryNumber: 0,
    entry: 'e1',
    startMs: 0,
    endMs: 1,
    outcome: 'answered',
    status: 200,
    reason: null,
    version: null,
    checksumOk: null,
    ...fields,
  };
}

const filing = (fields: Partial<Attempt>) =>
  attempt({operation: 'post', idempotencyKey: 'i1', status: 201, ...fields});
const put = (version: number, startMs: number, endMs: number) =>
  attempt({operation: 'put', version, startMs, endMs});
const get = (version: number, startMs: number, endMs: number) =>
  attempt({operation: 'get', version, startMs, endMs});

interface Case {
  readonly name: string;
  readonly records?: readonly RunRecord[];
  readonly attempts?: readonly Attempt[];
  readonly found: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'one effect at one server',
    records: [
      run({idempotencyKey: 'i1', effect: 'started', wallMs: 1}),
      run({idempotencyKey: 'i1', wallMs: 2}),
    ],
    attempts: [filing({})],
    found: [],
  },
  {
    name: 'a filing that took effect twice',
    records: [
      run({idempotencyKey: 'i1', wallMs: 1}),
      run({idempotencyKey: 'i1', wallMs: 2}),
    ],
    found: ['double-run'],
  },
  {
    name: 'a write that was repeated, which is allowed',
    records: [
      run({method: 'PUT', idempotencyKey: 'i1', wallMs: 1}),
      run({method: 'PUT', idempotencyKey: 'i1', wallMs: 2}),
    ],
    found: [],
  },
  {
    name: 'a move of a shard',
    records: [
      run({wallMs: 1}),
      run({wallMs: 5}),
      run({wallMs: 6, server: 's2', epoch: 11}),
    ],
    found: [],
  },
  {
    name: 'two servers whose work overlaps',
    records: [
      run({wallMs: 1}),
      run({wallMs: 6, server: 's2', epoch: 11}),
      run({wallMs: 7}),
    ],
    found: ['double-owner'],
  },
  {
    name: 'a later accept with a smaller epoch',
    records: [run({wallMs: 1}), run({wallMs: 6, server: 's2', epoch: 9})],
    found: ['double-owner'],
  },
  {
    name: 'a smaller epoch at the server that had the shard before',
    records: [run({wallMs: 1, epoch: 11}), run({wallMs: 6, epoch: 10})],
    found: ['double-owner'],
  },
  {
    name: 'two servers with the same epoch',
    records: [run({wallMs: 1}), run({wallMs: 6, server: 's2'})],
    found: ['double-owner'],
  },
  {
    name: 'an overlap behind a longer tenure of the other server',
    records: [
      run({wallMs: 1}),
      run({wallMs: 20}),
      run({wallMs: 30, epoch: 12}),
      run({wallMs: 15, server: 's2', epoch: 11}),
    ],
    found: ['double-owner'],
  },
  {
    name: 'a frozen server that refuses before the effect',
    records: [
      run({wallMs: 1, effect: 'started', requestId: 'x'}),
      run({wallMs: 6, server: 's2', epoch: 11}),
      run({wallMs: 7, effect: 'refused', requestId: 'x'}),
    ],
    found: [],
  },
  {
    name: 'an acknowledged filing without an effect',
    records: [run({idempotencyKey: 'i1', effect: 'started'})],
    attempts: [filing({})],
    found: ['lost-filing'],
  },
  {
    name: 'a filing that failed for certain',
    attempts: [filing({outcome: 'not-run', status: 503})],
    found: [],
  },
  {
    name: 'an answer with an error status, which acknowledges nothing',
    attempts: [filing({status: 500})],
    found: [],
  },
  {
    name: 'not-run, but started under the id of the attempt',
    records: [run({method: 'GET', attemptId: 'x', effect: 'started'})],
    attempts: [attempt({attemptId: 'x', outcome: 'not-run', status: 503})],
    found: ['not-run-ran'],
  },
  {
    name: 'not-run, but done under the idempotency key',
    records: [run({idempotencyKey: 'i1', wallMs: 5})],
    attempts: [filing({outcome: 'not-run', status: 503, endMs: 4})],
    found: ['not-run-ran'],
  },
  {
    name: 'not-run after an earlier try of unknown outcome ran',
    records: [run({idempotencyKey: 'i1', wallMs: 1})],
    attempts: [
      filing({outcome: 'unknown', status: 502, startMs: 0, endMs: 2}),
      filing({outcome: 'not-run', status: 503, startMs: 3, endMs: 4}),
    ],
    found: [],
  },
  {
    name: 'not-run, and run by a later try',
    records: [run({idempotencyKey: 'i1', wallMs: 7})],
    attempts: [
      filing({outcome: 'not-run', status: 503, startMs: 0, endMs: 2}),
      filing({startMs: 5, endMs: 8}),
    ],
    found: [],
  },
  {
    name: 'not-run, but run before the later try began',
    records: [run({idempotencyKey: 'i1', wallMs: 4})],
    attempts: [
      filing({outcome: 'not-run', status: 503, startMs: 0, endMs: 2}),
      filing({startMs: 5, endMs: 8}),
    ],
    found: ['not-run-ran'],
  },
  {
    name: 'a read older than an acknowledged write',
    attempts: [put(1, 0, 1), put(2, 2, 3), get(1, 4, 5)],
    found: ['stale-read'],
  },
  {
    name: 'a read that began before the write was acknowledged',
    attempts: [put(1, 0, 1), put(2, 2, 6), get(1, 4, 5)],
    found: [],
  },
  {
    name: 'a read of the version of a write without an answer',
    attempts: [put(1, 0, 1), get(2, 4, 5)],
    found: [],
  },
  {
    name: 'a body with another checksum',
    attempts: [attempt({operation: 'upload', checksumOk: false})],
    found: ['broken-checksum'],
  },
];

describe('checker', () => {
  it.each(CASES)('$name: $found', ({records, attempts, found}) => {
    const violations = findViolations({
      records: records ?? [],
      attempts: attempts ?? [],
    });
    expect(violations.map(violation => violation.kind)).toEqual(found);
  });

  it('measures the largest busy time per slot over the mean', () => {
    const span = (server: string, fromMs: number, toMs: number) => [
      run({server, requestId: server, effect: 'started', wallMs: fromMs}),
      run({server, requestId: server, wallMs: toMs}),
    ];
    const records = [...span('s1', 0, 1_000), ...span('s2', 0, 500)];
    const servers = [
      {id: 's1', slots: 1},
      {id: 's2', slots: 1},
    ];
    expect(measureImbalance(records, servers)).toEqual([
      {fromMs: 0, ratio: 1_000 / 750},
    ]);
    const idle = {id: 's3', slots: 1};
    expect(measureImbalance(records, [...servers, idle])[0]!.ratio).toBe(2);
  });

  it('counts moves against those that a loss forces', () => {
    const lease = (wallMs: number, server: string, epochs: number[]) =>
      ({
        kind: 'lease',
        wallMs,
        server,
        bootId: 'boot',
        term: 1,
        fence: {term: 1, seq: 1},
        dispatcher: 'e1',
        grants: epochs.map((epoch, shard) => ({
          service: 'orders',
          shard,
          epoch,
        })),
      }) satisfies LeaseRecord;
    const records = [
      lease(0, 's1', [1, 1]),
      lease(10, 's2', [2, 2]),
      lease(20, 's1', [3]),
    ];
    const losses = [{server: 's1', atMs: 5}];
    expect(measureChurn(records, losses)).toEqual({
      moved: 3,
      fewest: 2,
      ratio: 1.5,
    });
  });

  const failure = {outcome: 'unknown', status: 502} as const;
  const gapsOf = (attempts: Attempt[], nowMs = 10_000) => {
    const tracker = new AvailabilityGapTracker();
    for (const each of attempts) tracker.add(each);
    return tracker
      .gaps(nowMs)
      .map(({fromMs, toMs, closed}) => [fromMs, toMs, closed])
      .sort((a, b) => Number(a[0]) - Number(b[0]));
  };

  it('measures a gap from the first failed request to the next answer', () => {
    const gaps = gapsOf(
      [
        attempt({startMs: 0, endMs: 10}),
        attempt({...failure, startMs: 15, endMs: 20}),
        attempt({...failure, startMs: 25, endMs: 30}),
        attempt({startMs: 31, endMs: 40}),
        attempt({...failure, startMs: 50, endMs: 60}),
      ],
      100,
    );
    expect(gaps).toEqual([
      [15, 40, true],
      [50, 100, false],
    ]);
  });

  it('ends the gap of a failure at an answer that came before it', () => {
    expect(
      gapsOf([
        attempt({startMs: 4, endMs: 10}),
        attempt({...failure, startMs: 5, endMs: 20}),
      ]),
    ).toEqual([[5, 10, true]]);
  });

  // A takeover whose requests are held and then answered would else count as
  // no unavailable time.
  it('counts requests that were held back as unavailable time', () => {
    expect(
      gapsOf([
        attempt({startMs: 0, endMs: 250}),
        attempt({startMs: 2_000, endMs: 3_500}),
        attempt({startMs: 1_000, endMs: 3_501}),
        attempt({startMs: 4_000, endMs: 4_010}),
      ]),
    ).toEqual([[1_000, 3_500, true]]);
  });

  it('counts a slow request only until the key answers another', () => {
    expect(
      gapsOf([
        attempt({startMs: 10, endMs: 20}),
        attempt({startMs: 0, endMs: 400}),
      ]),
    ).toEqual([[0, 20, true]]);
  });

  it('does not count the duration of an upload', () => {
    const upload = {operation: 'upload', startMs: 0, endMs: 6_000} as const;
    expect(gapsOf([attempt(upload)])).toEqual([]);
  });
});
