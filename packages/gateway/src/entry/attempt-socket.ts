/** Finds the connection that undici uses for an attempt. */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Learns the connection that its request is written to. */
export interface SocketListener {
  onSocket(socket: Socket): void;
}

let nextSocketListener: SocketListener | null = null;

// undici announces the start of a request and then, in the same call, publishes
// the connection that it writes the request to.
subscribe('undici:client:sendHeaders', message => {
  nextSocketListener?.onSocket((message as {socket: Socket}).socket);
  nextSocketListener = null;
});

/**
 * Has the next connection that undici writes to handed to a user.
 *
 * @param listener - Attempt whose request is about to be written.
 */
export function listenForNextSocket(listener: SocketListener): void {
  nextSocketListener = listener;
}
