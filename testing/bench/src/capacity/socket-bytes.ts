/**
 * Counts the bytes on all connections that undici opens in this process after
 * this module was loaded.
 */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const sockets = new Set<Socket>();

subscribe('undici:client:connected', message => {
  sockets.add((message as {socket: Socket}).socket);
});

/**
 * Sums the bytes read and written by all connections so far, closed ones
 * included.
 *
 * @returns Number of bytes.
 */
export function socketBytes(): number {
  let bytes = 0;
  for (const socket of sockets) bytes += socket.bytesRead + socket.bytesWritten;
  return bytes;
}
