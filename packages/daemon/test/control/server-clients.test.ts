import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import type {Server} from '@wisteriarun/core';
import {ServerClients} from '../../src/control/server-clients.js';

// Guards against a new bundle that cuts off the lease calls in flight.
it('keeps the client of a server whose address is unchanged', async () => {
  const body = JSON.stringify({
    bootId: 'b',
    clockMs: 1,
    term: 0,
    fence: null,
    dispatcher: null,
    busy: [],
    inFlight: 0,
    load: 0,
    draining: false,
  });
  const http = createServer((_request, response) => {
    setTimeout(() => response.end(body), 100);
  });
  await new Promise<void>(done => http.listen(0, '127.0.0.1', done));
  const {port} = http.address() as AddressInfo;
  const first = {id: 's', host: '127.0.0.1', port, connections: 1, slots: 1};
  let found = first as Server;
  const clients = new ServerClients(() => found);
  const keptCall = clients.callStatus('s');
  found = {...first, slots: 2} as Server;
  clients.prune();
  expect((await keptCall).isOk).toBe(true);
  const closedCall = clients.callStatus('s');
  found = {...first, connections: 2} as Server;
  clients.prune();
  expect((await closedCall).isOk).toBe(false);
  await clients.close();
  await new Promise(done => http.close(done));
});
