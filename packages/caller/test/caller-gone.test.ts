import {once} from 'node:events';
import {requestFailure} from '@wisteriarun/core';
import {createLogger, StallWatch, SystemClock} from '@wisteriarun/runtime';
import {stallEventLoop, startDisconnectingCallers} from '@wisteriarun/standins';
import {expect, it} from 'vitest';
import {CallerServer} from '../src/index.js';

const STALL_MS = 800;
const HEAD = ['GET /records/k HTTP/1.1', 'Host: h'];

it.each(['close', 'reset'] as const)(
  'does not handle requests whose caller disconnected during a stall: %s',
  async method => {
    const logger = createLogger({level: 'error', process: 'test', zone: 'a'});
    const stalls = new StallWatch(new SystemClock(), logger);
    let handledCount = 0;
    const server = new CallerServer(
      {host: '127.0.0.1', port: 0},
      {
        handle: async () => {
          handledCount += 1;
          return requestFailure('no-bundle');
        },
      },
      stalls,
    );
    const port = await server.listen();
    const callerOptions = {
      port,
      count: 12,
      disconnectMethod: method,
      requestHead: HEAD,
      connectedMs: 100,
    };
    const disconnectingCallers = await startDisconnectingCallers(callerOptions);
    const callersExited = once(disconnectingCallers, 'exit');
    stallEventLoop(STALL_MS);
    await callersExited;
    await new Promise(resolve => setTimeout(resolve, 200));
    await server.close();
    stalls.close();
    expect(handledCount).toBe(0);
  },
);
