/**
 * Server side of the links to the assigner. Every VM runs one, because every VM
 * may be elected; the other VMs connect to that of the assigner.
 */
import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import type {GatewayMessage} from '@wisteriarun/core';
import {Channel} from '@wisteriarun/runtime';
import type {Logger} from '@wisteriarun/runtime';
import {listen} from '../utils/listen.js';
import type {ListenOptions} from '../utils/listen.js';
import {encodeMessage, MessageDecoder} from './peer-frames.js';

/** Unsent bytes above which a link counts as stuck and is closed. */
const MAX_BACKLOG_BYTES = 4_194_304;

/** First message of a VM on a link. */
type Hello = Extract<GatewayMessage, {kind: 'hello'}>;

/** Limits of a broadcast. */
export interface BroadcastOptions {
  /** Which VMs get the message, by their hello; all by default. */
  readonly isFor?: (hello: Hello) => boolean;
  /** Bytes on all links together above which no VM gets it; unlimited by default. */
  readonly maxTotalBytes?: number;
}

/** A message and the means to answer its sender. */
export interface ReceivedMessage {
  readonly message: GatewayMessage;
  readonly reply: (message: GatewayMessage) => void;
}

/** Accepts links and broadcasts messages to the linked VMs. */
export class PeerServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Sockets that have sent a `hello` message, with the last one. */
  readonly #linked = new Map<Socket, Hello>();
  readonly #messages = new Channel<ReceivedMessage>();

  /**
   * @param logger - Receives connection errors and malformed messages.
   */
  constructor(private readonly logger: Logger) {
    this.#server = createServer({noDelay: true}, socket =>
      this.#accept(socket),
    );
  }

  /** Messages from the other VMs. */
  get messages(): Channel<ReceivedMessage> {
    return this.#messages;
  }

  /** Number of linked VMs. */
  get linkCount(): number {
    return this.#linked.size;
  }

  /**
   * Starts to accept links.
   *
   * @param host - Address to listen on.
   * @param port - Port to listen on.
   * @param options - How long to wait for the port; by default not at all.
   * @returns Resolves when links are accepted.
   */
  listen(host: string, port: number, options?: ListenOptions): Promise<void> {
    return listen(this.#server, host, port, options);
  }

  /**
   * Sends a message to all linked VMs.
   *
   * @param message - The message.
   * @param options - Which VMs get it, and when it is too large for all of them.
   */
  broadcast(
    message: GatewayMessage,
    {isFor = () => true, maxTotalBytes = Infinity}: BroadcastOptions = {},
  ): void {
    const receivers = [...this.#linked].filter(([, hello]) => isFor(hello));
    if (receivers.length === 0) return;
    const frame = encodeMessage(message, this.logger);
    if (frame === null || frame.length * receivers.length > maxTotalBytes) {
      return;
    }
    for (const [socket] of receivers) {
      if (socket.writableLength > MAX_BACKLOG_BYTES) socket.destroy();
      else socket.write(frame);
    }
  }

  /**
   * Closes all links, so that the other VMs look for the new assigner in the
   * log. New links are still accepted.
   */
  disconnect(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Stops accepting links and closes all of them. */
  close(): void {
    this.#server.close();
    this.disconnect();
    this.#messages.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    const decoder = new MessageDecoder();
    const reply = (message: GatewayMessage) => {
      const frame = encodeMessage(message, this.logger);
      if (frame !== null) socket.write(frame);
    };
    socket.on('data', chunk => {
      for (const message of decoder.decode(chunk)) {
        // The decoder yields null for a malformed message.
        if (message === null) {
          this.logger.warn('peer-malformed', {peer: socket.remoteAddress});
          socket.destroy();
          return;
        }
        if (message.kind === 'hello') this.#linked.set(socket, message);
        this.#messages.emit({message, reply});
      }
    });
    socket.on('error', error =>
      this.logger.debug('peer-link-error', {cause: error.message}),
    );
    socket.on('close', () => {
      this.#sockets.delete(socket);
      this.#linked.delete(socket);
    });
  }
}
