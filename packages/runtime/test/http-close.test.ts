import {Agent, createServer, get, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, expect, it} from 'vitest';
import {closeGracefully} from '@wisteriarun/runtime';

function listen(server: Server): Promise<number> {
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () =>
      resolve((server.address() as AddressInfo).port),
    );
  });
}

describe('closeGracefully', () => {
  // Guards against a connection whose answer began before the close and which
  // stays open, and with it the process, until the keep-alive timeout.
  it('closes a connection whose answer ends after the close', async () => {
    let finish = () => {};
    const server = createServer((_req, res) => {
      res.write('first');
      finish = () => res.end('last');
    });
    const port = await listen(server);
    const agent = new Agent({keepAlive: true});
    const text = await new Promise<string>(resolve => {
      get({port, host: '127.0.0.1', agent}, answer => {
        let body = '';
        answer.on('data', chunk => (body += String(chunk)));
        answer.once('data', () => {
          void closeGracefully(server).then(() => resolve(body));
          finish();
        });
      });
    });
    expect(text).toBe('firstlast');
    agent.destroy();
  });
});
