import {afterEach, beforeEach, expect, it} from 'vitest';
import {GatewayHarness, resources} from './harness.js';

/** Default of the setting `drain`. */
const DRAIN_MS = 2_000;
const WORK_MS = 1_500;
/** More than the connections of one VM to one server. */
const REQUESTS = 48;
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

let harness: GatewayHarness;

beforeEach(async () => {
  harness = new GatewayHarness();
  await harness.start();
  harness.publish(resources(8_000));
});

afterEach(() => harness.close());

// Guards against requests that reach a server later than `drain` because they waited for
// a connection after the server was chosen.
it('a draining server gets no request that was chosen for it earlier', async () => {
  const draining = await harness.addServer('audio', {
    id: 'i-1',
    checksKeys: false,
    slots: 12,
    maxQueueLength: REQUESTS,
    workMs: WORK_MS,
  });
  await harness.addGateway('vm-1');
  const answers = Array.from({length: REQUESTS}, () =>
    harness.call('POST', '/audio/x', {deadlineMs: 8_000, body: 'x'}),
  );
  await sleep(100);
  harness.drain('i-1');
  const drainingAtMs = performance.now();
  await harness.addServer('audio', {
    id: 'i-2',
    checksKeys: false,
    slots: REQUESTS,
  });
  const statuses = (await Promise.all(answers)).map(({status}) => status);
  expect(statuses).toEqual(statuses.map(() => 200));
  const lateArrivals = draining.arrivalTimesMs.filter(
    arrivedAtMs => arrivedAtMs > drainingAtMs + DRAIN_MS,
  );
  expect(lateArrivals).toHaveLength(0);
});
