import {connect} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {GatewayHarness, resources} from './harness.js';

const WORK_MS = 1_200;
const ROUTE_TIMEOUT_MS = 5_000;
/** Time after which no more work for a disconnected caller may start. */
const LATE_MS = 500;
const KEY = 7;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe.each(['close', 'reset'] as const)(
  'a caller that disconnects by a %s',
  disconnectMethod => {
    let harness: GatewayHarness;

    beforeEach(async () => {
      harness = new GatewayHarness();
      await harness.start();
      harness.publish(resources(ROUTE_TIMEOUT_MS));
      await harness.addServer('records', {id: 'i-1', slots: 1});
      await harness.addServer('records', {id: 'i-2'});
      await harness.addGateway('vm-1');
      slowServer().workMs = WORK_MS;
    });

    afterEach(() => harness.close());

    const slowServer = () => harness.servers[0]!.server;
    const executionsOf = (id: string) =>
      harness.servers.flatMap(({server}) =>
        server.executedRequests.filter(run => run.id === id),
      );

    /** Sends a request or a part of it, and disconnects after a time. */
    async function disconnectAfter(ms: number, id: string, request: string) {
      const [host, port] = harness.gateways[0]!.requestAddress.split(':');
      const socket = connect(Number(port), host);
      socket.on('error', () => {});
      const head = `Host: court.example\r\nRequest-Id: ${id}\r\nShard-Key: ${KEY}`;
      socket.write(request.replace('HEAD', `${head}\r\nDeadline-Ms: 3000\r\n`));
      await sleep(ms);
      if (disconnectMethod === 'close') socket.destroy();
      else socket.resetAndDestroy();
    }

    const readRequest = 'GET /read/x HTTP/1.1\r\nHEAD\r\n';

    it('in the middle of a body does not get the request run', async () => {
      const half = 'POST /file/x HTTP/1.1\r\nHEADContent-Length: 9\r\n\r\nhalf';
      await disconnectAfter(50, 'half', half);
      await sleep(LATE_MS);
      expect(executionsOf('half')).toEqual([]);
    });

    it('while its read runs gets the read cancelled at the server', async () => {
      await disconnectAfter(100, 'running', readRequest);
      expect(executionsOf('running')).toHaveLength(1);
      await sleep(LATE_MS);
      expect(slowServer().abandonedRequestIds).toContain('running');
    });

    it('while its read waits for a slot does not get it run', async () => {
      const first = harness.call('GET', '/read/x', {
        key: KEY,
        deadlineMs: 3_000,
      });
      await sleep(50);
      await disconnectAfter(100, 'waiting', readRequest);
      await first;
      await sleep(LATE_MS);
      expect(executionsOf('waiting')).toEqual([]);
    });

    it('while its key moves to another owner does not get the read run', async () => {
      const first = harness.call('GET', '/read/x', {
        key: KEY,
        deadlineMs: 3_000,
      });
      await sleep(50);
      // The server answers the release only when its running request has ended.
      harness.drain('i-1');
      await harness.until(() => !slowServer().holdsKey(KEY));
      await disconnectAfter(100, 'moving', readRequest);
      await first;
      await sleep(LATE_MS);
      expect(executionsOf('moving')).toEqual([]);
    });
  },
);
