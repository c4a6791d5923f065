import type {PlatformBackendServer} from '@wisteriarun/standins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {GatewayHarness} from './harness.js';

const KEYS = Array.from({length: 16}, (_, index) => index * 4_096);
/** Default of the setting `drain`. */
const DRAIN_MS = 2_000;
const OBSERVED_MS = 1_000;
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

// Guards against requests that reach a server later than `drain` after one of its
// answers has said that it is leaving.
describe('a server that says in its answers that it is leaving', () => {
  let harness: GatewayHarness;
  let leaving: PlatformBackendServer;
  let staying: PlatformBackendServer;

  beforeEach(async () => {
    harness = new GatewayHarness();
    await harness.start();
  });

  afterEach(() => harness.close());

  async function startServers(service: string, checksKeys: boolean) {
    leaving = await harness.addServer(service, {id: 'i-1', checksKeys});
    staying = await harness.addServer(service, {id: 'i-2', checksKeys});
    await harness.addGateway('vm-1');
    await harness.addGateway('vm-2');
  }

  /** Sends one request for each key through every gateway; returns the statuses. */
  async function callAll(path: string): Promise<number[]> {
    const answers = await Promise.all(
      KEYS.flatMap(key =>
        harness.gateways.map((_, gateway) =>
          harness.call('POST', path, {key, gateway, body: 'x'}),
        ),
      ),
    );
    return answers.map(({status}) => status);
  }

  /** Sends the same requests one after the other, so that none is refused as overload. */
  async function callEach(path: string): Promise<number[]> {
    const statuses: number[] = [];
    for (const key of KEYS) {
      for (const gateway of harness.gateways.keys()) {
        const options = {key, gateway, body: 'x'};
        statuses.push((await harness.call('POST', path, options)).status);
      }
    }
    return statuses;
  }

  /** Waits until all are served; some may be shed for a while after a burst. */
  const untilAllServed = (path: string) =>
    harness.until(async () =>
      (await callEach(path)).every(status => status === 200),
    );

  async function countLateArrivals(path: string): Promise<number> {
    await sleep(DRAIN_MS);
    const arrivalsBefore = leaving.arrivalTimesMs.length;
    const endAtMs = performance.now() + OBSERVED_MS;
    while (performance.now() < endAtMs) {
      await callAll(path);
      await sleep(50);
    }
    return leaving.arrivalTimesMs.length - arrivalsBefore;
  }

  it('gets no more requests, and another server gets its keys', async () => {
    await startServers('records', true);
    leaving.isLeaving = true;
    await callAll('/file/x');
    expect(await countLateArrivals('/file/x')).toBe(0);
    expect(KEYS.every(key => staying.holdsKey(key))).toBe(true);
    await untilAllServed('/file/x');
  });

  it('gets no more requests while the store is down; its keys are refused', async () => {
    await startServers('records', true);
    harness.store.fault = 'busy';
    // All gateways have seen that the store is down.
    await sleep(1_500);
    leaving.isLeaving = true;
    await callAll('/file/x');
    expect(await countLateArrivals('/file/x')).toBe(0);
    expect(new Set(await callEach('/file/x'))).toEqual(new Set([200, 503]));
    harness.store.fault = 'none';
    await untilAllServed('/file/x');
  });

  it('gets no more requests of a service without keys', async () => {
    await startServers('audio', false);
    leaving.isLeaving = true;
    await callAll('/audio/x');
    expect(await countLateArrivals('/audio/x')).toBe(0);
    await untilAllServed('/audio/x');
  });
});
