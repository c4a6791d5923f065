/**
 * Finds the socket to which undici writes the request of an attempt. The attempt
 * resets it when it is cancelled, and checks it for errors to tell a reset from
 * the regular end of an answer without a length.
 */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Receives the socket that its request is written to. */
export interface SocketListener {
  onSocket(socket: Socket): void;
}

let nextSocketListener: SocketListener | null = null;

// undici calls onRequestStart() of a request and then, in the same synchronous
// call, publishes the socket that it writes the request to on this channel.
subscribe('undici:client:sendHeaders', message => {
  nextSocketListener?.onSocket((message as {socket: Socket}).socket);
  nextSocketListener = null;
});

/**
 * Reports the next socket that undici writes a request to. Call it from
 * `onRequestStart`.
 *
 * @param listener - Attempt whose request is about to be written.
 */
export function listenForNextSocket(listener: SocketListener): void {
  nextSocketListener = listener;
}
