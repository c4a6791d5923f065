import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {SystemClock} from '@wisteriarun/runtime';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {MAX_VM_LIST_BYTES, VmListClient, VmListWatcher} from '../src/index.js';
import type {VmEntry, VmListChange} from '../src/index.js';

const vmEntry = (id: string, state: VmEntry['state'] = 'live'): VmEntry => ({
  id,
  role: 'server',
  zone: 'a',
  address: '10.0.0.1',
  state,
});

let server: Server;
let endpoint: string;
let respond: (response: ServerResponse) => void;
const respondWithVms =
  (...vms: unknown[]) =>
  (response: ServerResponse) =>
    response.end(JSON.stringify({vms}));

beforeEach(async () => {
  server = createServer((_request, response) => respond(response));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  endpoint = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
afterEach(async () => {
  server.closeAllConnections();
  await new Promise(resolve => server.close(resolve));
});

const faults: [string, (response: ServerResponse) => void][] = [
  ['status 503', response => response.writeHead(503).end()],
  ['text', response => response.end('<html>')],
  ['JSON without a list', response => response.end('{}')],
  // The list always contains the VM that reads it.
  ['an empty list', respondWithVms()],
  ['an entry without id', respondWithVms({...vmEntry('x'), id: undefined})],
  ['an unknown state', respondWithVms({...vmEntry('x'), state: 'gone'})],
  ['one id twice', respondWithVms(vmEntry('x'), vmEntry('x'))],
  [
    'an oversize answer',
    response => response.end(Buffer.alloc(MAX_VM_LIST_BYTES + 1, ' ')),
  ],
  [
    'a truncated answer',
    response => {
      response.writeHead(200, {'content-length': 1_000});
      response.write('{"vms":[');
      setTimeout(() => response.destroy(), 10);
    },
  ],
  ['a reset connection', response => response.destroy()],
  ['no answer in time', () => undefined],
];

describe('client', () => {
  test('reads the list and ignores unknown fields', async () => {
    respond = respondWithVms(
      {...vmEntry('x'), extra: 1},
      vmEntry('y', 'leaving'),
    );
    const result = await new VmListClient(endpoint).read();
    expect(result.isOk && result.value).toEqual([
      vmEntry('x'),
      vmEntry('y', 'leaving'),
    ]);
  });

  test.each(faults)(
    '%s is reported as vm-list-unavailable',
    async (_name, fault) => {
      respond = fault;
      const result = await new VmListClient(endpoint, 300).read();
      expect(result.isErr && result.error.kind).toBe('vm-list-unavailable');
    },
  );
});

describe('watcher', () => {
  async function startWatcher() {
    const watcher = new VmListWatcher({
      reader: new VmListClient(endpoint, 100),
      pollIntervalMs: 10,
      clock: new SystemClock(),
    });
    const changes: VmListChange[] = [];
    let failures = 0;
    void watcher.changes.observe(change => changes.push(change));
    void watcher.failures.observe(() => {
      failures += 1;
    });
    const until = async (condition: () => boolean) => {
      const deadlineMs = Date.now() + 5_000;
      while (!condition()) {
        if (Date.now() > deadlineMs) throw new Error('timed out');
        await new Promise(resolve => setTimeout(resolve, 5));
      }
    };
    watcher.start();
    return {watcher, changes, failureCount: () => failures, until};
  }

  test('emits additions, updates and removals, but not unchanged lists; an id that returns leaves removedIds', async () => {
    respond = respondWithVms(vmEntry('x'), vmEntry('y'));
    const {watcher, changes, until} = await startWatcher();
    await until(() => changes.length === 1);
    respond = respondWithVms(vmEntry('x', 'leaving'), vmEntry('z'));
    await until(() => changes.length === 2);
    expect(changes[1]).toMatchObject({
      added: [vmEntry('z')],
      updated: [vmEntry('x', 'leaving')],
      removed: ['y'],
    });
    expect([...watcher.removedIds]).toEqual(['y']);
    const readMs = watcher.lastReadMs;
    await until(() => watcher.lastReadMs !== readMs);
    expect(changes).toHaveLength(2);
    respond = respondWithVms(vmEntry('x'), vmEntry('y'), vmEntry('z'));
    await until(() => changes.length === 3);
    expect([...watcher.removedIds]).toEqual([]);
    watcher.close();
  });

  // Guards against an outage that is taken for the removal of every VM. A
  // removed VM counts as stopped, so its keys would get new owners.
  test.each(faults)(
    'the watcher keeps the last valid list on %s',
    async (_name, fault) => {
      respond = respondWithVms(vmEntry('x'), vmEntry('y'));
      const {watcher, changes, failureCount, until} = await startWatcher();
      await until(() => changes.length === 1);
      respond = fault;
      await until(() => failureCount() >= 2);
      expect([...watcher.vms.keys()]).toEqual(['x', 'y']);
      expect(watcher.removedIds.size).toBe(0);
      expect(changes).toHaveLength(1);
      respond = respondWithVms(vmEntry('x'));
      await until(() => changes.length === 2);
      expect([...watcher.removedIds]).toEqual(['y']);
      watcher.close();
    },
  );
});
