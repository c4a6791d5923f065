/** Opens connections to servers and waits until the server has accepted them. */
import {buildConnector} from 'undici';

/** The connection was closed before anything was sent on it. */
class ConnectionRefused extends Error {}

/**
 * Builds a connector for undici's pools. A connection that the server resets at once
 * fails before the request is written to it, so that the request surely has not run.
 *
 * @param timeoutMs - Longest time to establish a connection.
 * @param settleMs - Time after that in which a server that accepts no more connections
 * resets it; the system accepts a connection before the server does.
 * @returns The connector.
 */
export function settledConnector(
  timeoutMs: number,
  settleMs: number,
): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (error, socket) => {
      if (error !== null) {
        callback(error, null);
        return;
      }
      setTimeout(() => {
        if (!socket.destroyed) callback(null, socket);
        else callback(new ConnectionRefused('reset before it was used'), null);
      }, settleMs);
    });
  };
}
