/** Graceful shutdown of HTTP servers. */
import type {Server} from 'node:http';

/** Interval at which connections that have become idle are closed. */
const IDLE_CHECK_INTERVAL_MS = 50;

/**
 * Stops a server from accepting connections and waits for the requests in
 * flight. `server.close()` closes idle connections only once. A connection whose
 * answer began before the close would stay open until its keep-alive timeout, so
 * idle connections are closed repeatedly.
 *
 * @param server - Listening server.
 * @returns Resolves when the last connection is closed.
 */
export function closeGracefully(server: Server): Promise<void> {
  const timer = setInterval(
    () => server.closeIdleConnections(),
    IDLE_CHECK_INTERVAL_MS,
  );
  return new Promise(resolve => {
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
  });
}
