import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';
import {World, newId, type Vm} from './handover-harness.js';

const seed = Number(process.env['FC_SEED'] ?? Date.now() % 2 ** 31);
const UNKNOWN = 'attempt-unknown';

let world: World;
const vm = (name: string) => world.vm(name);
const settle = async (...names: string[]) => {
  for (const name of names) await vm(name).catchUp();
};

/** VM p dispatches for server x and q for y, for a long time. */
async function start(): Promise<World> {
  const fresh = new World(['p', 'q', 'r']);
  fresh.wallMs -= 100_000;
  fresh.appoint('x', 'p');
  fresh.appoint('y', 'q');
  for (const each of fresh.vms.values()) await each.catchUp();
  fresh.wallMs += 100_000;
  return fresh;
}

beforeEach(async () => {
  world = await start();
});

/** A request that ran at p, and one that never reached a server. */
async function twoRequests() {
  const [ran, fresh] = [newId(world), newId(world)];
  expect(await vm('p').post(ran)).toBe(`ran ${ran}`);
  return {ran, fresh};
}

/** Outcomes of both requests at a VM, which must not run the first again. */
async function outcomes(name: string, {ran, fresh}: Record<string, string>) {
  const result = [
    await vm(name).post(ran!, 0, 30),
    await vm(name).post(fresh!, 0, 30),
  ];
  expect(world.runs.get(ran!)).toBe(1);
  return result.map(text => (text === UNKNOWN ? UNKNOWN : text.slice(0, 3)));
}

const COMPLETE = ['ran', 'ran'];
const INCOMPLETE = [UNKNOWN, UNKNOWN];
const WRONG = 'handover-dropped wrong-fence';

describe('handover of attempt records', () => {
  it.each(['after', 'before'])(
    'is taken from the last dispatcher of the former owner, %s the takeover',
    async when => {
      const ids = await twoRequests();
      world.move(0, 'y');
      if (when === 'before') {
        await settle('p');
        await vm('q').deliver();
        vm('q').read();
      } else await settle('q', 'p', 'q');
      expect(await outcomes('q', ids)).toEqual(COMPLETE);
    },
  );

  // Guards against a filing that waited during the drain and is handed over as
  // unknown, although it never started.
  it('does not list a request that waited for its drain to end', async () => {
    const id = newId(world);
    void vm('p').host.setDrain('x', 's', [0], true);
    const waiting = vm('p').post(id);
    await Promise.resolve();
    world.move(0, 'y');
    await settle('p', 'q', 'p', 'q');
    expect(await waiting).toBe('stale-epoch');
    expect(await vm('q').post(id)).toBe(`ran ${id}`);
    expect(world.runs.get(id)).toBe(1);
  });

  it('is taken from the dispatcher whose fence the own one replaces', async () => {
    const ids = await twoRequests();
    world.stop('x', 'r');
    await settle('p', 'r');
    expect(world.holderOf('x')).toBe('r');
    expect(await outcomes('r', ids)).toEqual(COMPLETE);
  });

  it('is not needed when this VM dispatched for both servers', async () => {
    world.appoint('y', 'p');
    await settle('p');
    const ids = await twoRequests();
    world.move(0, 'y');
    await settle('p');
    expect(await outcomes('p', ids)).toEqual(COMPLETE);
  });

  // Another VM may have run requests while this one was paused, so records of
  // two appointments of this VM do not make a whole.
  it('is needed when another VM held the former owner in between', async () => {
    world.appoint('y', 'p');
    await settle('p');
    world.appoint('x', 'r');
    await settle('r');
    world.wallMs += 5_000;
    const ran = newId(world);
    expect(await vm('r').post(ran)).toBe(`ran ${ran}`);
    world.move(0, 'y');
    vm('p').read();
    expect(await outcomes('p', {ran, fresh: newId(world)})).toEqual(INCOMPLETE);
  });

  it.each([
    ['formerFence', () => world.move(0, 'y', false)],
    ['replaces', () => world.appoint('x', 'q', false)],
  ])('is not taken when %s is unknown', async (_name, change) => {
    const ids = await twoRequests();
    change();
    await settle('p', 'q');
    expect(await outcomes('q', ids)).toEqual(INCOMPLETE);
  });

  it.each(
    (['move', 'stop'] as const).flatMap(kind => [
      [kind, 'server', {server: 'y'}],
      [kind, 'fence', {fence: {term: 1, seq: 0}}],
      [kind, 'term', {term: kind === 'stop' ? null : 1}],
      [kind, 'epoch', {shards: [{shard: 0, epoch: 9, knownSinceWallMs: 0}]}],
    ]),
  )('of a %s is not taken with another %s', async (kind, _field, change) => {
    const ids = await twoRequests();
    if (kind === 'move') world.move(0, 'y');
    else world.stop('x', 'q');
    await settle('p');
    const {inbox} = vm('q');
    const at = inbox.findIndex(message => message.kind === 'handover');
    inbox[at] = {...inbox[at]!, ...(change as object)};
    await settle('q');
    expect(await outcomes('q', ids)).toEqual(INCOMPLETE);
  });

  it('of a paused and replaced dispatcher is dropped', async () => {
    // p does not run from here on; r dispatches in its place.
    world.appoint('x', 'r');
    await settle('r');
    world.wallMs += 5_000;
    const ran = newId(world);
    expect(await vm('r').post(ran)).toBe(`ran ${ran}`);
    world.move(0, 'y');
    await settle('q');
    vm('p').read();
    await settle('q');
    expect(vm('q').events).toEqual([WRONG]);
    expect(await outcomes('q', {ran, fresh: newId(world)})).toEqual(INCOMPLETE);
    await settle('r', 'q');
    expect(await outcomes('q', {ran, fresh: newId(world)})).toEqual(COMPLETE);
  });

  it('that is lost leaves unknown what it would have told', async () => {
    const ids = await twoRequests();
    world.move(0, 'y');
    await settle('p');
    vm('q').inbox = [];
    await settle('q');
    expect(await outcomes('q', ids)).toEqual(INCOMPLETE);
    world.wallMs += 5_000;
    const later = newId(world);
    expect(await vm('q').post(later)).toBe(`ran ${later}`);
  });

  it('that arrives twice counts once', async () => {
    const ids = await twoRequests();
    world.move(0, 'y');
    await settle('p');
    const {inbox} = vm('q');
    inbox.push(inbox.at(-1)!);
    await settle('q');
    expect(vm('q').events).toEqual([WRONG]);
    expect(await outcomes('q', ids)).toEqual(COMPLETE);
  });

  // The fence is used again by the new assigner, and the second stop's
  // handover is lost: the first one must not pass for it.
  it('of a stop that a new term took back is not complete', async () => {
    world.stop('x', 'r');
    world.onStopped = () => {};
    await settle('p');
    world.startTerm();
    await settle('p');
    world.wallMs += 5_000;
    const ran = newId(world);
    expect(await vm('p').post(ran)).toBe(`ran ${ran}`);
    world.appoint('x', 'r');
    await settle('r');
    expect(await outcomes('r', {ran, fresh: newId(world)})).toEqual(INCOMPLETE);
  });

  // The state of a peer hides that the shard was elsewhere.
  it('is needed again when the epoch changed between two states', async () => {
    world.move(0, 'y');
    await settle('q');
    world.wallMs += 5_000;
    const ran = newId(world);
    expect(await vm('q').post(ran)).toBe(`ran ${ran}`);
    world.move(0, 'x');
    vm('p').adopt();
    expect(await outcomes('p', {ran, fresh: newId(world)})).toEqual(INCOMPLETE);
  });

  // The new owner's dispatcher was replaced after the move, but learns of the
  // move last: the former owner's records say nothing about the time between.
  it('of the former owner does not cover a later change of fences', async () => {
    world.move(0, 'y');
    await settle('q');
    world.wallMs += 5_000;
    const ran = newId(world);
    expect(await vm('q').post(ran)).toBe(`ran ${ran}`);
    world.appoint('y', 'r');
    await vm('p').deliver();
    await settle('p');
    while (vm('r').inbox.length > 0) await vm('r').deliver();
    vm('r').read();
    expect(await outcomes('r', {ran, fresh: newId(world)})).toEqual(INCOMPLETE);
  });

  it('counts requests in flight as unknown when the server is lost', async () => {
    const id = newId(world);
    world.stalled.set(id, () => {});
    const pending = vm('p').post(id);
    await new Promise(resolve => setTimeout(resolve, 5));
    world.move(0, 'y');
    await settle('p', 'q');
    expect(await vm('q').post(id)).toBe(UNKNOWN);
    world.stalled.get(id)!();
    await pending;
    expect(world.runs.get(id)).toBe(1);
    const other = newId(world);
    expect(await vm('q').post(other)).toBe(`ran ${other}`);
  });

  it('waits until a table names the dispatcher of the new owner', async () => {
    const ids = await twoRequests();
    world.move(0, 'w');
    await settle('p');
    expect(vm('r').inbox.filter(m => m.kind === 'handover')).toEqual([]);
    world.appoint('w', 'r');
    await settle('p');
    expect(vm('r').inbox.filter(m => m.kind === 'handover')).toHaveLength(1);
    // The fence may be younger than the move, so the records are not taken.
    await settle('r');
    expect(await outcomes('r', ids)).toEqual(INCOMPLETE);
  });

  it('is awaited for up to 250 ms by a request that needs it', async () => {
    const ids = await twoRequests();
    world.move(0, 'y');
    vm('q').read();
    const startMs = performance.now();
    expect(await vm('q').post(ids.fresh)).toBe(UNKNOWN);
    const waitedMs = performance.now() - startMs;
    expect(waitedMs).toBeGreaterThan(240);
    expect(waitedMs).toBeLessThan(600);
    const pending = vm('q').post(ids.ran);
    await settle('p', 'q');
    expect(await pending).toBe(`ran ${ids.ran}`);
    expect(world.runs.get(ids.ran)).toBe(1);
  });

  it('is not awaited when none is to be expected', async () => {
    world.appoint('x', 'r', false);
    await settle('r');
    const startMs = performance.now();
    expect(await vm('r').post(newId(world))).toBe(UNKNOWN);
    expect(performance.now() - startMs).toBeLessThan(200);
  });

  it('survives tables that arrive while the last request finishes', async () => {
    const id = newId(world);
    world.stalled.set(id, () => {});
    const pending = vm('p').post(id);
    await new Promise(resolve => setTimeout(resolve, 5));
    world.stop('x', 'r');
    world.appoint('y', 'r');
    while (vm('p').inbox.length > 0) await vm('p').deliver();
    world.stalled.get(id)!();
    await pending;
    await new Promise(resolve => setTimeout(resolve, 5));
    await settle('r');
    expect(await outcomes('r', {ran: id, fresh: newId(world)})).toEqual(
      COMPLETE,
    );
  });

  // Guards against a long upload that blocks all other keys of its server, and
  // against a repeat of a filing that the former dispatcher still runs.
  it('does not wait longer than 1 s for a request in flight', async () => {
    const id = newId(world);
    world.stalled.set(id, () => {});
    const pending = vm('p').post(id, 0, 10_000);
    await new Promise(resolve => setTimeout(resolve, 5));
    world.stop('x', 'r');
    const startMs = performance.now();
    await vm('p').deliver();
    while (world.holderOf('x') !== 'r') {
      await new Promise(resolve => setTimeout(resolve, 10));
      expect(performance.now() - startMs).toBeLessThan(2_000);
    }
    expect(performance.now() - startMs).toBeGreaterThan(990);
    await settle('r', 'p');
    const fresh = newId(world);
    expect(await vm('r').post(fresh)).toBe(`ran ${fresh}`);
    expect(await vm('r').post(id)).toBe(UNKNOWN);
    let closed = false;
    const closing = vm('p')
      .host.close()
      .then(() => (closed = true));
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(closed).toBe(false);
    world.stalled.get(id)!();
    expect(await pending).toBe(`ran ${id}`);
    await closing;
    expect(world.runs.get(id)).toBe(1);
  });

  it('waits for all requests to a server that does not check', async () => {
    world.checksGrants = false;
    await settle('p');
    world.appoint('y', 'p');
    await settle('p');
    const id = newId(world);
    world.move(0, 'y');
    await settle('p');
    world.stalled.set(id, () => {});
    const pending = vm('p').post(id, 0, 10_000);
    await new Promise(resolve => setTimeout(resolve, 5));
    world.stop('y', 'r');
    await vm('p').deliver();
    await new Promise(resolve => setTimeout(resolve, 1_200));
    expect(world.holderOf('y')).toBe('p');
    world.stalled.get(id)!();
    expect(await pending).toBe(`ran ${id}`);
    await new Promise(resolve => setTimeout(resolve, 5));
    expect(world.holderOf('y')).toBe('r');
  });

  it('never lets a request run twice, whatever is paused or lost', async () => {
    console.log(`fast-check seed ${seed}`);
    const tally = {ran: 0, replayed: 0};
    let ids: string[] = [];
    const submit = async (at: Vm, id: string | undefined) =>
      id !== undefined && (await at.post(id, 0, 3)).startsWith('ran') ? 1 : 0;
    /** Takes the oldest handover out of an inbox and puts it back in. */
    const resend = ({inbox}: Vm, kept: boolean, copies: number) => {
      const index = inbox.findIndex(({kind}) => kind === 'handover');
      if (index < 0) return;
      const found = inbox[index]!;
      if (!kept) inbox.splice(index, 1);
      for (let i = 0; i < copies; i++) inbox.push(found);
    };
    /** Each with its weight, on a VM, a server and a small number. */
    const actions: [number, (at: Vm, server: string, n: number) => unknown][] =
      [
        [
          8,
          async (at, _server, n) => {
            ids.push(newId(world, [0, 0, 400, 900][n]));
            tally.ran += await submit(at, ids.at(-1));
          },
        ],
        [
          8,
          async (at, _server, n) => {
            tally.replayed += await submit(at, ids.at(-1 - n));
          },
        ],
        [8, at => at.deliver()],
        [4, at => at.catchUp()],
        [4, at => at.read(1)],
        [1, at => at.adopt()],
        [1, at => resend(at, false, 0)],
        [1, at => resend(at, true, 1)],
        [1, at => resend(at, false, 1)],
        [1, (at, server) => world.appoint(server, at.name)],
        [1, (at, server) => world.stop(server, at.name)],
        [1, (_at, to) => world.row(0).server !== to && world.move(0, to)],
        [1, () => world.startTerm()],
        [1, () => (world.wallMs += 1_500)],
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
          world = await start();
          ids = [];
          for (const [action, name, server, n] of steps) {
            const holder = world.holderOf(world.row(0).server);
            await action(vm(name === 'holder' ? holder : name), server, n);
            for (const [id, count] of world.runs) {
              expect(count, `${id} ran`).toBeLessThan(2);
            }
          }
        },
      ),
      {seed, numRuns: 300},
    );
    console.log(JSON.stringify(tally));
    expect(tally.ran).toBeGreaterThan(300);
    expect(tally.replayed).toBeGreaterThan(300);
  }, 60_000);
});
