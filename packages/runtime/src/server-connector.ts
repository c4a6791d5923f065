/** Opens connections to servers for undici's pools. */
import type {buildConnector} from 'undici';
import {ServerSocket} from './server-socket.js';

/** The connection was closed before anything was sent on it. */
class ConnectionRefused extends Error {}

/** The connection was not established in time. */
class ConnectTimeout extends Error {}

/** Idle time after which the system checks that the server is reachable. */
const KEEP_ALIVE_DELAY_MS = 60_000;

/**
 * Builds a connector for undici's pools. A connection that the server resets at once
 * fails before the request is written to it, so that the request surely has not run.
 *
 * @param timeoutMs - Longest time to establish a connection.
 * @param settleMs - Time after that in which a server that accepts no more connections
 * resets it; the system accepts a connection before the server does.
 * @returns The connector, which opens `ServerSocket`s.
 */
export function serverConnector(
  timeoutMs: number,
  settleMs = 0,
): buildConnector.connector {
  return ({hostname, port}, callback) => {
    const socket = new ServerSocket();
    const timer = setTimeout(
      () => socket.destroy(new ConnectTimeout(`none within ${timeoutMs} ms`)),
      timeoutMs,
    );
    const fail = (error: Error) => {
      clearTimeout(timer);
      callback(error, null);
    };
    const succeed = () => {
      if (!socket.destroyed) callback(null, socket);
      else callback(new ConnectionRefused('reset before it was used'), null);
    };
    socket.once('error', fail);
    socket.connect(
      {
        host: hostname,
        port: Number(port),
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
      },
      () => {
        clearTimeout(timer);
        socket.off('error', fail);
        // A connection that fails before undici uses it has no other listener.
        socket.on('error', () => {});
        if (settleMs > 0) setTimeout(succeed, settleMs);
        else succeed();
      },
    );
  };
}
