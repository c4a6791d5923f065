import {BackendClient} from '@wisteriarun/backend';
import {AnsweringProcess, holdUpBeforeTimers} from '@wisteriarun/standins';
import {expect, it} from 'vitest';

/** Limit of control calls, with time for the events that are pending then. */
const LIMIT_MS = 500 + 300;
function clientOf(address: string): BackendClient {
  const [host = '', port] = address.split(':');
  const target = {id: 'srv', host, port: Number(port), connections: 2};
  return new BackendClient(target);
}

it('reads a status that came while the loop was held up', async () => {
  const body = {
    bootId: 'b',
    clockMs: 1,
    term: 0,
    fence: null,
    dispatcher: null,
    busy: [],
    inFlight: 0,
    load: 0,
    draining: false,
  };
  const server = await AnsweringProcess.start(20, JSON.stringify(body));
  const client = clientOf(server.address);
  await client.status();
  const call = client.status();
  await new Promise(resolve => setTimeout(resolve, 10));
  await holdUpBeforeTimers(LIMIT_MS);
  const status = await call;
  await client.close();
  server.close();
  expect(status.isErr ? status.error : null).toBeNull();
});
