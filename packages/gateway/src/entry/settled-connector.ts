/** Opens connections to servers and waits until the server has accepted them. */
import {buildConnector} from 'undici';

/**
 * Time after the connection is established in which a server that accepts no more
 * connections resets it: the system accepts it before the server does. It covers a
 * round trip between availability zones and the server's own delay.
 */
const SETTLE_MS = 3;

/** The connection was closed before anything was sent on it. */
class ConnectionRefused extends Error {}

/**
 * Builds a connector for undici's pools. A connection that the server resets at once
 * fails before the request is written to it, so that the request surely has not run.
 *
 * @param timeoutMs - Longest time to establish a connection.
 * @returns The connector.
 */
export function settledConnector(timeoutMs: number): buildConnector.connector {
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
      }, SETTLE_MS);
    });
  };
}
