import type {PlatformBackendServer} from '@wisteriarun/standins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {GatewayHarness} from './harness.js';

const KEY = 1_234;
const PAUSE_MS = 2_000;
/** Requests that a VM sent before this time may still arrive. */
const SLACK_MS = 500;
const CALL_INTERVAL_MS = 25;
const GATEWAYS = ['vm-1', 'vm-2', 'vm-3'];
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

// Guards against more than two requests from one VM that reach a server during a
// pause that it has asked for.
describe('a server that asks for a pause', () => {
  let harness: GatewayHarness;
  let server: PlatformBackendServer;

  beforeEach(async () => {
    harness = new GatewayHarness();
    await harness.start();
  });

  afterEach(() => harness.close());

  it.each([
    ['records', true, '/file/x'],
    ['records', true, '/read/x'],
    ['audio', false, '/audio/x'],
  ])(
    'gets at most two requests from each VM during the pause: %s %s %s',
    async (service, checksKeys, path) => {
      server = await harness.addServer(service, {id: 'i-1', checksKeys});
      for (const vm of GATEWAYS) await harness.addGateway(vm);
      server.requestedPause = String(PAUSE_MS / 1_000);
      const startedAtMs = performance.now();
      const retryTimesMs: number[] = [];
      const calls: Promise<void>[] = [];
      while (performance.now() - startedAtMs < PAUSE_MS) {
        for (const gateway of GATEWAYS.keys()) {
          const sentAtMs = performance.now();
          const method = path === '/read/x' ? 'GET' : 'POST';
          const call = harness
            .call(method, path, {key: KEY, gateway, deadlineMs: 5_000})
            .then(({status, headers}) => {
              expect(status).toBe(503);
              // The first refusals are those of the server itself.
              if (sentAtMs - startedAtMs < SLACK_MS) return;
              const afterMs = Number(headers['retry-after']) * 1_000;
              retryTimesMs.push(performance.now() + afterMs);
            });
          calls.push(call);
        }
        await sleep(CALL_INTERVAL_MS);
      }
      await Promise.all(calls);
      const duringPause = server.arrivalTimesMs.filter(
        timeMs =>
          timeMs > startedAtMs + SLACK_MS && timeMs < startedAtMs + PAUSE_MS,
      );
      expect(duringPause.length).toBeLessThanOrEqual(2 * GATEWAYS.length);
      // Callers are told to come back after the pause, and not all at once.
      expect(Math.min(...retryTimesMs)).toBeGreaterThan(startedAtMs + PAUSE_MS);
      const spreadMs = Math.max(...retryTimesMs) - Math.min(...retryTimesMs);
      expect(spreadMs).toBeGreaterThan(100);
    },
  );

  it.each(['-1', '1e9', 'soon', 'Wed, 21 Oct 2026 07:28:00 GMT'])(
    'in a malformed way is served as usual after its refusal: %s',
    async pause => {
      server = await harness.addServer('records', {id: 'i-1'});
      await harness.addGateway('vm-1');
      server.requestedPause = pause;
      const refused = await harness.call('POST', '/file/x', {key: KEY});
      expect(refused.status).toBe(503);
      server.requestedPause = null;
      const served = await harness.call('POST', '/file/x', {key: KEY});
      expect(served.status).toBe(200);
    },
  );
});
