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

function runRecord(fields: Partial<RunRecord>): RunRecord {
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

const post = (fields: Partial<Attempt>) =>
  attempt({operation: 'post', idempotencyKey: 'i1', status: 201, ...fields});
const put = (version: number, startMs: number, endMs: number) =>
  attempt({operation: 'put', version, startMs, endMs});
const get = (version: number, startMs: number, endMs: number) =>
  attempt({operation: 'get', version, startMs, endMs});

interface CheckerCase {
  readonly name: string;
  readonly records?: readonly RunRecord[];
  readonly attempts?: readonly Attempt[];
  readonly violationKinds: readonly string[];
}

const CASES: readonly CheckerCase[] = [
  {
    name: 'a POST request that took effect once',
    records: [
      runRecord({idempotencyKey: 'i1', effect: 'started', wallMs: 1}),
      runRecord({idempotencyKey: 'i1', wallMs: 2}),
    ],
    attempts: [post({})],
    violationKinds: [],
  },
  {
    name: 'a POST request that took effect twice',
    records: [
      runRecord({idempotencyKey: 'i1', wallMs: 1}),
      runRecord({idempotencyKey: 'i1', wallMs: 2}),
    ],
    violationKinds: ['double-run'],
  },
  {
    name: 'an idempotent write that took effect twice',
    records: [
      runRecord({method: 'PUT', idempotencyKey: 'i1', wallMs: 1}),
      runRecord({method: 'PUT', idempotencyKey: 'i1', wallMs: 2}),
    ],
    violationKinds: [],
  },
  {
    name: 'a move of a shard',
    records: [
      runRecord({wallMs: 1}),
      runRecord({wallMs: 5}),
      runRecord({wallMs: 6, server: 's2', epoch: 11}),
    ],
    violationKinds: [],
  },
  {
    name: 'two servers that execute requests at overlapping times',
    records: [
      runRecord({wallMs: 1}),
      runRecord({wallMs: 6, server: 's2', epoch: 11}),
      runRecord({wallMs: 7}),
    ],
    violationKinds: ['double-owner'],
  },
  {
    name: 'a later request with a lower epoch',
    records: [
      runRecord({wallMs: 1}),
      runRecord({wallMs: 6, server: 's2', epoch: 9}),
    ],
    violationKinds: ['double-owner'],
  },
  {
    name: 'a later request with a lower epoch at the same server',
    records: [
      runRecord({wallMs: 1, epoch: 11}),
      runRecord({wallMs: 6, epoch: 10}),
    ],
    violationKinds: ['double-owner'],
  },
  {
    name: 'two servers with the same epoch',
    records: [runRecord({wallMs: 1}), runRecord({wallMs: 6, server: 's2'})],
    violationKinds: ['double-owner'],
  },
  {
    name: 'a server that starts within a longer period of another server',
    records: [
      runRecord({wallMs: 1}),
      runRecord({wallMs: 20}),
      runRecord({wallMs: 30, epoch: 12}),
      runRecord({wallMs: 15, server: 's2', epoch: 11}),
    ],
    violationKinds: ['double-owner'],
  },
  {
    name: 'a frozen server that refuses before the effect',
    records: [
      runRecord({wallMs: 1, effect: 'started', requestId: 'x'}),
      runRecord({wallMs: 6, server: 's2', epoch: 11}),
      runRecord({wallMs: 7, effect: 'refused', requestId: 'x'}),
    ],
    violationKinds: [],
  },
  {
    name: 'an acknowledged POST request without an effect',
    records: [runRecord({idempotencyKey: 'i1', effect: 'started'})],
    attempts: [post({})],
    violationKinds: ['lost-filing'],
  },
  {
    name: 'a POST request that was not run and had no effect',
    attempts: [post({outcome: 'not-run', status: 503})],
    violationKinds: [],
  },
  {
    name: 'an answer with an error status, which acknowledges nothing',
    attempts: [post({status: 500})],
    violationKinds: [],
  },
  {
    name: 'not-run, but started with the id of the attempt',
    records: [runRecord({method: 'GET', attemptId: 'x', effect: 'started'})],
    attempts: [attempt({attemptId: 'x', outcome: 'not-run', status: 503})],
    violationKinds: ['not-run-ran'],
  },
  {
    name: 'not-run, but done with the idempotency key',
    records: [runRecord({idempotencyKey: 'i1', wallMs: 5})],
    attempts: [post({outcome: 'not-run', status: 503, endMs: 4})],
    violationKinds: ['not-run-ran'],
  },
  {
    name: 'not-run, and run by an earlier attempt of unknown outcome',
    records: [runRecord({idempotencyKey: 'i1', wallMs: 1})],
    attempts: [
      post({outcome: 'unknown', status: 502, startMs: 0, endMs: 2}),
      post({outcome: 'not-run', status: 503, startMs: 3, endMs: 4}),
    ],
    violationKinds: [],
  },
  {
    name: 'not-run, and run by a later attempt',
    records: [runRecord({idempotencyKey: 'i1', wallMs: 7})],
    attempts: [
      post({outcome: 'not-run', status: 503, startMs: 0, endMs: 2}),
      post({startMs: 5, endMs: 8}),
    ],
    violationKinds: [],
  },
  {
    name: 'not-run, but run before the later attempt began',
    records: [runRecord({idempotencyKey: 'i1', wallMs: 4})],
    attempts: [
      post({outcome: 'not-run', status: 503, startMs: 0, endMs: 2}),
      post({startMs: 5, endMs: 8}),
    ],
    violationKinds: ['not-run-ran'],
  },
  {
    name: 'a read older than an acknowledged write',
    attempts: [put(1, 0, 1), put(2, 2, 3), get(1, 4, 5)],
    violationKinds: ['stale-read'],
  },
  {
    name: 'a read that began before the write was acknowledged',
    attempts: [put(1, 0, 1), put(2, 2, 6), get(1, 4, 5)],
    violationKinds: [],
  },
  {
    name: 'a read of the version of an unacknowledged write',
    attempts: [put(1, 0, 1), get(2, 4, 5)],
    violationKinds: [],
  },
  {
    name: 'a body with another checksum',
    attempts: [attempt({operation: 'upload', checksumOk: false})],
    violationKinds: ['broken-checksum'],
  },
];

describe('checker', () => {
  it.each(CASES)(
    '$name: $violationKinds',
    ({records, attempts, violationKinds}) => {
      const violations = findViolations({
        records: records ?? [],
        attempts: attempts ?? [],
      });
      expect(violations.map(violation => violation.kind)).toEqual(
        violationKinds,
      );
    },
  );

  it('computes the imbalance as highest busy time per slot over the mean', () => {
    const busySpan = (server: string, fromMs: number, toMs: number) => [
      runRecord({server, requestId: server, effect: 'started', wallMs: fromMs}),
      runRecord({server, requestId: server, wallMs: toMs}),
    ];
    const records = [...busySpan('s1', 0, 1_000), ...busySpan('s2', 0, 500)];
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

  it('counts shard moves and those that a lost server makes necessary', () => {
    const leaseRecord = (wallMs: number, server: string, epochs: number[]) =>
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
      leaseRecord(0, 's1', [1, 1]),
      leaseRecord(10, 's2', [2, 2]),
      leaseRecord(20, 's1', [3]),
    ];
    const losses = [{server: 's1', atMs: 5}];
    expect(measureChurn(records, losses)).toEqual({
      moved: 3,
      fewest: 2,
      ratio: 1.5,
    });
  });

  const failedAttempt = {outcome: 'unknown', status: 502} as const;
  const gapsOf = (attempts: Attempt[], nowMs = 10_000) => {
    const tracker = new AvailabilityGapTracker();
    for (const each of attempts) tracker.add(each);
    return tracker
      .gaps(nowMs)
      .map(({fromMs, toMs, closed}) => [fromMs, toMs, closed])
      .sort((a, b) => Number(a[0]) - Number(b[0]));
  };

  it('starts a gap at the first failed request and ends it at the next answer', () => {
    const gaps = gapsOf(
      [
        attempt({startMs: 0, endMs: 10}),
        attempt({...failedAttempt, startMs: 15, endMs: 20}),
        attempt({...failedAttempt, startMs: 25, endMs: 30}),
        attempt({startMs: 31, endMs: 40}),
        attempt({...failedAttempt, startMs: 50, endMs: 60}),
      ],
      100,
    );
    expect(gaps).toEqual([
      [15, 40, true],
      [50, 100, false],
    ]);
  });

  it('ends a gap at an answer that arrived before the failure was known', () => {
    expect(
      gapsOf([
        attempt({startMs: 4, endMs: 10}),
        attempt({...failedAttempt, startMs: 5, endMs: 20}),
      ]),
    ).toEqual([[5, 10, true]]);
  });

  // Guards against a takeover that counts as no unavailable time because its
  // requests were held and then answered.
  it('counts the wait of slow requests as unavailable time', () => {
    expect(
      gapsOf([
        attempt({startMs: 0, endMs: 250}),
        attempt({startMs: 2_000, endMs: 3_500}),
        attempt({startMs: 1_000, endMs: 3_501}),
        attempt({startMs: 4_000, endMs: 4_010}),
      ]),
    ).toEqual([[1_000, 3_500, true]]);
  });

  it('ends the gap of a slow request at another answer of the key', () => {
    expect(
      gapsOf([
        attempt({startMs: 10, endMs: 20}),
        attempt({startMs: 0, endMs: 400}),
      ]),
    ).toEqual([[0, 20, true]]);
  });

  it('does not count the duration of an upload as unavailable time', () => {
    const upload = {operation: 'upload', startMs: 0, endMs: 6_000} as const;
    expect(gapsOf([attempt(upload)])).toEqual([]);
  });
});
