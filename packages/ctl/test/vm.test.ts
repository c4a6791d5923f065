import type {VmState} from '@wisteriarun/core';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {runCli} from '../src/cli.js';

const server = (id: string, isDraining: boolean) => ({
  id,
  address: '10.0.0.1:80',
  service: 'records',
  zone: 'a',
  slots: 3,
  isDraining,
  warmupLeftMs: 0,
  bornMs: 5,
  sequence: 1,
});
const range = (fromKey: number, toKey: number, owner: string | null) => ({
  service: 'records',
  fromKey,
  toKey,
  server: owner,
  former: null,
  bornMs: 5,
  fence: 7 * 2 ** 20 + 3,
  moving: false,
});
const STATE: VmState = {
  vm: 'vm-1',
  zone: 'a',
  wallTimeMs: 0,
  isReady: true,
  bundle: 12,
  isAssigner: true,
  assigner: 'vm-1',
  term: 7,
  revision: 40,
  serversAgeMs: 100,
  bundlesAgeMs: 200,
  requestsInFlight: 3,
  ranges: [
    range(0, 99, 'i-1'),
    range(100, 199, 'i-2'),
    range(200, 299, null),
    range(300, 399, 'i-3'),
  ],
  servers: [server('i-1', false), server('i-2', true)],
};

describe('vm commands', () => {
  let endpoint: Server;
  let address = '';
  let out = '';
  let err = '';
  let body: string;

  beforeEach(async () => {
    body = JSON.stringify(STATE);
    endpoint = createServer((_, response) => response.end(body));
    await new Promise<void>(resolve =>
      endpoint.listen(0, '127.0.0.1', () => resolve()),
    );
    address = `127.0.0.1:${(endpoint.address() as AddressInfo).port}`;
    out = '';
    err = '';
  });

  afterEach(() => {
    endpoint.closeAllConnections();
    endpoint.close();
  });

  const run = (...args: string[]) =>
    runCli(args, {
      env: {},
      out: text => (out += text),
      err: text => (err += text),
    });

  it('show the bundle in force and the assigner', async () => {
    expect(await run('vm', 'status', '--at', address)).toBe(0);
    expect(out).toMatch(/vm-1 +a +true +12 +vm-1 \(itself\) +7 +40 +2 +100/);
  });

  it.each([
    [50, 'i-1', 'a loss of the server'],
    [150, 'i-2', 'the server leaves'],
    [250, '-', 'waits for a server'],
    [350, 'i-3', 'is not listed any more'],
    [450, '-', 'no owner is known'],
  ])('show the owner of key %i', async (key, owner, reason) => {
    const code = await run(
      'vm',
      'owner',
      'records',
      String(key),
      '--at',
      address,
    );
    expect(code).toBe(0);
    expect(out).toContain(owner);
    expect(out).toContain(reason);
  });

  it('show the keys that draining servers still own', async () => {
    expect(await run('vm', 'drains', '--json', '--at', address)).toBe(0);
    expect(JSON.parse(out)).toEqual([
      {
        vm: 'vm-1',
        server: 'i-2',
        service: 'records',
        zone: 'a',
        ranges_left: 1,
        keys_left: 100,
      },
    ]);
  });

  it('report VMs that do not answer or send a malformed state', async () => {
    expect(await run('vm', 'status', '--at', address, '127.0.0.1:1')).toBe(4);
    expect(err).toContain('127.0.0.1:1: ');
    body = '{"vm": 1}';
    expect(await run('vm', 'status', '--at', address)).toBe(3);
  });
});
