/** Finds the socket to which undici writes a request. */
import {subscribe} from 'node:diagnostics_channel';
import type {ServerSocket} from './server-socket.js';

/** Receives the socket that its request is written to. */
export interface SocketListener {
  onSocket(socket: ServerSocket): void;
}

let nextSocketListener: SocketListener | null = null;

// undici calls onRequestStart() of a request and then, in the same synchronous
// call, publishes the socket that it writes the request to on this channel.
subscribe('undici:client:sendHeaders', message => {
  nextSocketListener?.onSocket((message as {socket: ServerSocket}).socket);
  nextSocketListener = null;
});

/**
 * Reports the next socket that undici writes a request to. Call it from
 * `onRequestStart`.
 *
 * @param listener - Handler whose request is about to be written to a socket of
 * `serverConnector`.
 */
export function listenForNextSocket(listener: SocketListener): void {
  nextSocketListener = listener;
}
