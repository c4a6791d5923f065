/** Counts the bytes of undici's connections. */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const sockets = new Set<Socket>();

subscribe('undici:client:connected', message => {
  sockets.add((message as {socket: Socket}).socket);
});

/** Bytes read and written by all connections so far. */
export function socketBytes(): number {
  let bytes = 0;
  for (const socket of sockets) bytes += socket.bytesRead + socket.bytesWritten;
  return bytes;
}
