import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';
import {FakeCluster, newIdempotencyKey, type Vm} from './handover-harness.js';

const seed = Number(process.env['FC_SEED'] ?? Date.now() % 2 ** 31);
const UNKNOWN = 'attempt-unknown';

let cluster: FakeCluster;
const vm = (name: string) => cluster.vm(name);
const catchUp = async (...names: string[]) => {
  for (const name of names) await vm(name).catchUp();
};

/** VM p has dispatched for server x, and q for y, for a long time. */
async function startCluster(): Promise<FakeCluster> {
  const created = new FakeCluster(['p', 'q', 'r']);
  created.wallMs -= 100_000;
  created.setDispatcher('x', 'p');
  created.setDispatcher('y', 'q');
  for (const each of created.vms.values()) await each.catchUp();
  created.wallMs += 100_000;
  return created;
}

beforeEach(async () => {
  cluster = await startCluster();
});

/** Ids of a POST that ran at p and of one that was never sent. */
async function prepareRequests() {
  const [ran, fresh] = [newIdempotencyKey(cluster), newIdempotencyKey(cluster)];
  expect(await vm('p').post(ran)).toBe(`ran ${ran}`);
  return {ran, fresh};
}

/** Outcomes of both POSTs at a VM; the first must not have run again. */
async function outcomesAt(name: string, {ran, fresh}: Record<string, string>) {
  const result = [
    await vm(name).post(ran!, 0, 30),
    await vm(name).post(fresh!, 0, 30),
  ];
  expect(cluster.runs.get(ran!)).toBe(1);
  return result.map(text => (text === UNKNOWN ? UNKNOWN : text.slice(0, 3)));
}

const COMPLETE = ['ran', 'ran'];
const INCOMPLETE = [UNKNOWN, UNKNOWN];
const WRONG_FENCE_EVENT = 'handover-dropped wrong-fence';

describe('handover of attempt records', () => {
  it.each(['after', 'before'])(
    'is imported from the last dispatcher of the former owner, %s the takeover',
    async when => {
      const ids = await prepareRequests();
      cluster.move(0, 'y');
      if (when === 'before') {
        await catchUp('p');
        await vm('q').deliverNext();
        vm('q').foldRecords();
      } else await catchUp('q', 'p', 'q');
      expect(await outcomesAt('q', ids)).toEqual(COMPLETE);
    },
  );

  // Guards against a request that is queued during a drain and is handed over
  // as unknown although it never started.
  it('does not list a request that was queued during the drain', async () => {
    const id = newIdempotencyKey(cluster);
    void vm('p').host.setDrain('x', 's', [0], true);
    const waiting = vm('p').post(id);
    await Promise.resolve();
    cluster.move(0, 'y');
    await catchUp('p', 'q', 'p', 'q');
    expect(await waiting).toBe('stale-epoch');
    expect(await vm('q').post(id)).toBe(`ran ${id}`);
    expect(cluster.runs.get(id)).toBe(1);
  });

  it('is imported from the dispatcher whose fence is replaced', async () => {
    const ids = await prepareRequests();
    cluster.orderStop('x', 'r');
    await catchUp('p', 'r');
    expect(cluster.dispatcherOf('x')).toBe('r');
    expect(await outcomesAt('r', ids)).toEqual(COMPLETE);
  });

  it('is not needed when this VM dispatched for both servers', async () => {
    cluster.setDispatcher('y', 'p');
    await catchUp('p');
    const ids = await prepareRequests();
    cluster.move(0, 'y');
    await catchUp('p');
    expect(await outcomesAt('p', ids)).toEqual(COMPLETE);
  });

  // p does not know yet that r has replaced it as the dispatcher for x. Its own
  // records of x lack the request that ran at r.
  it('is needed when another VM dispatched for the former owner in between', async () => {
    cluster.setDispatcher('y', 'p');
    await catchUp('p');
    cluster.setDispatcher('x', 'r');
    await catchUp('r');
    cluster.wallMs += 5_000;
    const ran = newIdempotencyKey(cluster);
    expect(await vm('r').post(ran)).toBe(`ran ${ran}`);
    cluster.move(0, 'y');
    vm('p').foldRecords();
    expect(
      await outcomesAt('p', {ran, fresh: newIdempotencyKey(cluster)}),
    ).toEqual(INCOMPLETE);
  });

  it.each([
    ['formerFence', () => cluster.move(0, 'y', false)],
    ['replaces', () => cluster.setDispatcher('x', 'q', false)],
  ])('is not imported when %s is unknown', async (_name, change) => {
    const ids = await prepareRequests();
    change();
    await catchUp('p', 'q');
    expect(await outcomesAt('q', ids)).toEqual(INCOMPLETE);
  });

  it.each(
    (['move', 'stop'] as const).flatMap(kind => [
      [kind, 'server', {server: 'y'}],
      [kind, 'fence', {fence: {term: 1, seq: 0}}],
      [kind, 'term', {term: kind === 'stop' ? null : 1}],
      [kind, 'epoch', {shards: [{shard: 0, epoch: 9, knownSinceWallMs: 0}]}],
    ]),
  )(
    'of a %s is not imported when its %s differs',
    async (kind, _field, change) => {
      const ids = await prepareRequests();
      if (kind === 'move') cluster.move(0, 'y');
      else cluster.orderStop('x', 'q');
      await catchUp('p');
      const {inbox} = vm('q');
      const at = inbox.findIndex(message => message.kind === 'handover');
      inbox[at] = {...inbox[at]!, ...(change as object)};
      await catchUp('q');
      expect(await outcomesAt('q', ids)).toEqual(INCOMPLETE);
    },
  );

  it('of a paused and replaced dispatcher is dropped', async () => {
    // p is paused from here on; r dispatches in its place.
    cluster.setDispatcher('x', 'r');
    await catchUp('r');
    cluster.wallMs += 5_000;
    const ran = newIdempotencyKey(cluster);
    expect(await vm('r').post(ran)).toBe(`ran ${ran}`);
    cluster.move(0, 'y');
    await catchUp('q');
    vm('p').foldRecords();
    await catchUp('q');
    expect(vm('q').events).toEqual([WRONG_FENCE_EVENT]);
    expect(
      await outcomesAt('q', {ran, fresh: newIdempotencyKey(cluster)}),
    ).toEqual(INCOMPLETE);
    await catchUp('r', 'q');
    expect(
      await outcomesAt('q', {ran, fresh: newIdempotencyKey(cluster)}),
    ).toEqual(COMPLETE);
  });

  it('that is lost leaves earlier requests unknown', async () => {
    const ids = await prepareRequests();
    cluster.move(0, 'y');
    await catchUp('p');
    vm('q').inbox = [];
    await catchUp('q');
    expect(await outcomesAt('q', ids)).toEqual(INCOMPLETE);
    cluster.wallMs += 5_000;
    const later = newIdempotencyKey(cluster);
    expect(await vm('q').post(later)).toBe(`ran ${later}`);
  });

  it('that arrives twice is imported once', async () => {
    const ids = await prepareRequests();
    cluster.move(0, 'y');
    await catchUp('p');
    const {inbox} = vm('q');
    inbox.push(inbox.at(-1)!);
    await catchUp('q');
    expect(vm('q').events).toEqual([WRONG_FENCE_EVENT]);
    expect(await outcomesAt('q', ids)).toEqual(COMPLETE);
  });

  // The new assigner keeps the fence of the stopped dispatcher, so more
  // requests run under it. The handover of the second stop is lost. That of the
  // first stop lacks these requests and must not be imported instead.
  it('of a stop is not complete when a new term reuses the fence', async () => {
    cluster.orderStop('x', 'r');
    cluster.onStopped = () => {};
    await catchUp('p');
    cluster.startTerm();
    await catchUp('p');
    cluster.wallMs += 5_000;
    const ran = newIdempotencyKey(cluster);
    expect(await vm('p').post(ran)).toBe(`ran ${ran}`);
    cluster.setDispatcher('x', 'r');
    await catchUp('r');
    expect(
      await outcomesAt('r', {ran, fresh: newIdempotencyKey(cluster)}),
    ).toEqual(INCOMPLETE);
  });

  // The state adopted from a peer does not show that the shard moved away and
  // back.
  it('is needed again when the epoch changed between two states', async () => {
    cluster.move(0, 'y');
    await catchUp('q');
    cluster.wallMs += 5_000;
    const ran = newIdempotencyKey(cluster);
    expect(await vm('q').post(ran)).toBe(`ran ${ran}`);
    cluster.move(0, 'x');
    vm('p').adoptPeerState();
    expect(
      await outcomesAt('p', {ran, fresh: newIdempotencyKey(cluster)}),
    ).toEqual(INCOMPLETE);
  });

  // The new owner's dispatcher was replaced after the move, and its successor
  // folds the move after it got its fence. The former owner's records lack the
  // requests that ran in between.
  it('of the former owner is not enough after a later change of fences', async () => {
    cluster.move(0, 'y');
    await catchUp('q');
    cluster.wallMs += 5_000;
    const ran = newIdempotencyKey(cluster);
    expect(await vm('q').post(ran)).toBe(`ran ${ran}`);
    cluster.setDispatcher('y', 'r');
    await vm('p').deliverNext();
    await catchUp('p');
    while (vm('r').inbox.length > 0) await vm('r').deliverNext();
    vm('r').foldRecords();
    expect(
      await outcomesAt('r', {ran, fresh: newIdempotencyKey(cluster)}),
    ).toEqual(INCOMPLETE);
  });

  it('lists requests in flight as unknown when the server is lost', async () => {
    const id = newIdempotencyKey(cluster);
    cluster.stalled.set(id, () => {});
    const pending = vm('p').post(id);
    await new Promise(resolve => setTimeout(resolve, 5));
    cluster.move(0, 'y');
    await catchUp('p', 'q');
    expect(await vm('q').post(id)).toBe(UNKNOWN);
    cluster.stalled.get(id)!();
    await pending;
    expect(cluster.runs.get(id)).toBe(1);
    const other = newIdempotencyKey(cluster);
    expect(await vm('q').post(other)).toBe(`ran ${other}`);
  });

  it('is sent once a table names the dispatcher of the new owner', async () => {
    const ids = await prepareRequests();
    cluster.move(0, 'w');
    await catchUp('p');
    expect(vm('r').inbox.filter(m => m.kind === 'handover')).toEqual([]);
    cluster.setDispatcher('w', 'r');
    await catchUp('p');
    expect(vm('r').inbox.filter(m => m.kind === 'handover')).toHaveLength(1);
    // The fence may be newer than the move, so the records are not imported.
    await catchUp('r');
    expect(await outcomesAt('r', ids)).toEqual(INCOMPLETE);
  });

  it('is awaited for up to 250 ms by a request that needs it', async () => {
    const ids = await prepareRequests();
    cluster.move(0, 'y');
    vm('q').foldRecords();
    const startMs = performance.now();
    expect(await vm('q').post(ids.fresh)).toBe(UNKNOWN);
    const waitedMs = performance.now() - startMs;
    expect(waitedMs).toBeGreaterThan(240);
    expect(waitedMs).toBeLessThan(600);
    const pending = vm('q').post(ids.ran);
    await catchUp('p', 'q');
    expect(await pending).toBe(`ran ${ids.ran}`);
    expect(cluster.runs.get(ids.ran)).toBe(1);
  });

  it('is not awaited when none is expected', async () => {
    cluster.setDispatcher('x', 'r', false);
    await catchUp('r');
    const startMs = performance.now();
    expect(await vm('r').post(newIdempotencyKey(cluster))).toBe(UNKNOWN);
    expect(performance.now() - startMs).toBeLessThan(200);
  });

  it('is complete when tables arrive while the last request finishes', async () => {
    const id = newIdempotencyKey(cluster);
    cluster.stalled.set(id, () => {});
    const pending = vm('p').post(id);
    await new Promise(resolve => setTimeout(resolve, 5));
    cluster.orderStop('x', 'r');
    cluster.setDispatcher('y', 'r');
    while (vm('p').inbox.length > 0) await vm('p').deliverNext();
    cluster.stalled.get(id)!();
    await pending;
    await new Promise(resolve => setTimeout(resolve, 5));
    await catchUp('r');
    expect(
      await outcomesAt('r', {ran: id, fresh: newIdempotencyKey(cluster)}),
    ).toEqual(COMPLETE);
  });

  // Guards against a long upload that blocks all other keys of its server, and
  // against a second run of a request that the former dispatcher still runs.
  it('does not wait longer than 1 s for a request in flight', async () => {
    const id = newIdempotencyKey(cluster);
    cluster.stalled.set(id, () => {});
    const pending = vm('p').post(id, 0, 10_000);
    await new Promise(resolve => setTimeout(resolve, 5));
    cluster.orderStop('x', 'r');
    const startMs = performance.now();
    await vm('p').deliverNext();
    while (cluster.dispatcherOf('x') !== 'r') {
      await new Promise(resolve => setTimeout(resolve, 10));
      expect(performance.now() - startMs).toBeLessThan(2_000);
    }
    expect(performance.now() - startMs).toBeGreaterThan(990);
    await catchUp('r', 'p');
    const fresh = newIdempotencyKey(cluster);
    expect(await vm('r').post(fresh)).toBe(`ran ${fresh}`);
    expect(await vm('r').post(id)).toBe(UNKNOWN);
    let closed = false;
    const closing = vm('p')
      .host.close()
      .then(() => (closed = true));
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(closed).toBe(false);
    cluster.stalled.get(id)!();
    expect(await pending).toBe(`ran ${id}`);
    await closing;
    expect(cluster.runs.get(id)).toBe(1);
  });

  it('waits for all requests to a server that does not check grants', async () => {
    cluster.checksGrants = false;
    await catchUp('p');
    cluster.setDispatcher('y', 'p');
    await catchUp('p');
    const id = newIdempotencyKey(cluster);
    cluster.move(0, 'y');
    await catchUp('p');
    cluster.stalled.set(id, () => {});
    const pending = vm('p').post(id, 0, 10_000);
    await new Promise(resolve => setTimeout(resolve, 5));
    cluster.orderStop('y', 'r');
    await vm('p').deliverNext();
    await new Promise(resolve => setTimeout(resolve, 1_200));
    expect(cluster.dispatcherOf('y')).toBe('p');
    cluster.stalled.get(id)!();
    expect(await pending).toBe(`ran ${id}`);
    await new Promise(resolve => setTimeout(resolve, 5));
    expect(cluster.dispatcherOf('y')).toBe('r');
  });

  it('never lets a request run twice when VMs pause and messages are lost', async () => {
    console.log(`fast-check seed ${seed}`);
    const counts = {ran: 0, replayed: 0};
    let ids: string[] = [];
    const submit = async (at: Vm, id: string | undefined) =>
      id !== undefined && (await at.post(id, 0, 3)).startsWith('ran') ? 1 : 0;
    /** Drops, keeps or repeats the oldest handover of an inbox. */
    const resend = ({inbox}: Vm, keepOriginal: boolean, copies: number) => {
      const index = inbox.findIndex(({kind}) => kind === 'handover');
      if (index < 0) return;
      const found = inbox[index]!;
      if (!keepOriginal) inbox.splice(index, 1);
      for (let i = 0; i < copies; i++) inbox.push(found);
    };
    /** Actions with their weights; each acts on a VM, a server and a number. */
    const actions: [number, (at: Vm, server: string, n: number) => unknown][] =
      [
        [
          8,
          async (at, _server, n) => {
            ids.push(newIdempotencyKey(cluster, [0, 0, 400, 900][n]));
            counts.ran += await submit(at, ids.at(-1));
          },
        ],
        [
          8,
          async (at, _server, n) => {
            counts.replayed += await submit(at, ids.at(-1 - n));
          },
        ],
        [8, at => at.deliverNext()],
        [4, at => at.catchUp()],
        [4, at => at.foldRecords(1)],
        [1, at => at.adoptPeerState()],
        [1, at => resend(at, false, 0)],
        [1, at => resend(at, true, 1)],
        [1, at => resend(at, false, 1)],
        [1, (at, server) => cluster.setDispatcher(server, at.name)],
        [1, (at, server) => cluster.orderStop(server, at.name)],
        [
          1,
          (_at, to) => cluster.ownerOf(0).server !== to && cluster.move(0, to),
        ],
        [1, () => cluster.startTerm()],
        [1, () => (cluster.wallMs += 1_500)],
      ];
    const step = fc.tuple(
      fc.oneof(
        ...actions.map(([weight, action]) => ({
          weight,
          arbitrary: fc.constant(action),
        })),
      ),
      fc.constantFrom('holder', 'holder', 'p', 'q', 'r'),
      fc.constantFrom('x', 'y'),
      fc.nat(3),
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, {minLength: 30, maxLength: 90}),
        async steps => {
          cluster = await startCluster();
          ids = [];
          for (const [action, name, server, n] of steps) {
            const dispatcher = cluster.dispatcherOf(cluster.ownerOf(0).server);
            await action(vm(name === 'holder' ? dispatcher : name), server, n);
            for (const [id, count] of cluster.runs) {
              expect(count, `${id} ran`).toBeLessThan(2);
            }
          }
        },
      ),
      {seed, numRuns: 300},
    );
    console.log(JSON.stringify(counts));
    expect(counts.ran).toBeGreaterThan(300);
    expect(counts.replayed).toBeGreaterThan(300);
  }, 60_000);
});
