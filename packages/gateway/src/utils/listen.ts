/** Opens listeners. */
import type {Server} from 'node:net';
import type {Logger} from '@wisteriarun/runtime';
import {delay} from './delay.js';

/** Delay before a port that is in use is tried again. */
const RETRY_MS = 100;

/** How a server listens. */
export interface ListenOptions {
  /**
   * Time for which the port may be in use: the former process may still be stopping,
   * and a connection of another program may have the port for a moment.
   */
  readonly waitMs: number;
  /** Receives waits for the port, and errors of accepting connections. */
  readonly logger: Logger;
}

/**
 * Makes a server listen.
 *
 * @param server - The server.
 * @param host - Address to listen on.
 * @param port - Port to listen on.
 * @param options - How long to wait for the port; by default not at all.
 * @throws Error when the server cannot listen.
 */
export async function listen(
  server: Server,
  host: string,
  port: number,
  options?: ListenOptions,
): Promise<void> {
  const deadlineMs = performance.now() + (options?.waitMs ?? 0);
  for (let tries = 0; ; tries += 1) {
    const error = await tryListen(server, host, port);
    if (error === null) break;
    if (error.code !== 'EADDRINUSE' || performance.now() >= deadlineMs) {
      throw error;
    }
    if (tries === 0) options?.logger.warn('port-in-use', {host, port});
    await delay(RETRY_MS);
  }
  // Without a listener, an error of accepting a connection would end the process.
  server.on('error', error =>
    options?.logger.warn('accept-failed', {port, cause: error.message}),
  );
}

/** Listens once; returns the error, or null if the server listens. */
function tryListen(
  server: Server,
  host: string,
  port: number,
): Promise<NodeJS.ErrnoException | null> {
  return new Promise(resolve => {
    const onListening = () => {
      server.off('error', onError);
      resolve(null);
    };
    const onError = (error: Error) => {
      server.off('listening', onListening);
      resolve(error);
    };
    server.once('error', onError);
    server.listen(port, host, onListening);
  });
}
