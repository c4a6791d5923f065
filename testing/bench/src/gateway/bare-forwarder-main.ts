#!/usr/bin/env node
/**
 * Baseline for the gateway's processor time: forwards every request to one
 * server with the same HTTP libraries as the gateway, without routing.
 *
 * Arguments: the port to listen on and the server's address as host:port.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Pool} from 'undici';

const [port = '', serverAddress = ''] = process.argv.slice(2);
const pool = new Pool(`http://${serverAddress}`, {
  // As many connections as the gateway opens to a server.
  connections: 24,
  pipelining: 1,
});

async function forward(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const bodyChunks: Buffer[] = [];
  for await (const chunk of request) bodyChunks.push(chunk as Buffer);
  const headers = {...request.headers};
  delete headers.connection;
  const serverResponse = await pool.request({
    method: request.method as 'GET',
    path: request.url ?? '/',
    headers,
    body: bodyChunks.length === 0 ? null : Buffer.concat(bodyChunks),
  });
  const body = Buffer.from(await serverResponse.body.arrayBuffer());
  const responseHeaders = {...serverResponse.headers};
  delete responseHeaders['connection'];
  response.writeHead(serverResponse.statusCode, {
    ...responseHeaders,
    'content-length': body.length,
  });
  response.end(body);
}

createServer((request, response) => {
  forward(request, response).catch(() => response.destroy());
}).listen(Number(port), '127.0.0.1');
