/** Connection of this VM to the assigner. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {GatewayMessage} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import {encodeMessage, MessageDecoder} from './peer-frames.js';

/**
 * Sends and receives messages over one connection, and keeps the time of the
 * last bytes received.
 */
export class PeerLink {
  readonly #socket: Socket;
  #lastReceivedAtMs: number | null = null;
  #isOpen = true;

  /**
   * Opens the connection.
   *
   * @param address - Peer address of the assigner, host:port.
   * @param hello - Builds the message that is sent first, once connected.
   * @param onMessage - Receives the assigner's messages.
   * @param clock - Clock of the process.
   * @param logger - Receives connection errors and malformed messages.
   */
  constructor(
    address: string,
    hello: () => GatewayMessage,
    onMessage: (message: GatewayMessage) => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const [host = '', port = ''] = address.split(':');
    this.#socket = connect({host, port: Number(port), noDelay: true});
    const decoder = new MessageDecoder();
    this.#socket.on('connect', () => this.send(hello()));
    this.#socket.on('data', chunk => {
      this.#lastReceivedAtMs = clock.monotonicMs();
      for (const message of decoder.decode(chunk)) {
        if (message === null) {
          logger.warn('peer-malformed', {peer: address});
          this.close();
          return;
        }
        onMessage(message);
      }
    });
    this.#socket.on('error', error =>
      logger.debug('peer-link-error', {peer: address, cause: error.message}),
    );
    this.#socket.on('close', () => (this.#isOpen = false));
  }

  /**
   * False once the connection has failed or was closed; true also before it is
   * established.
   */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Milliseconds since the last bytes arrived; infinite before the first. */
  get silentMs(): number {
    if (this.#lastReceivedAtMs === null) return Infinity;
    return this.clock.monotonicMs() - this.#lastReceivedAtMs;
  }

  /**
   * Sends a message.
   *
   * @param message - The message; dropped once the link is closed.
   */
  send(message: GatewayMessage): void {
    if (!this.#isOpen) return;
    const frame = encodeMessage(message, this.logger);
    if (frame !== null) this.#socket.write(frame);
  }

  /** Closes the connection. */
  close(): void {
    this.#isOpen = false;
    this.#socket.destroy();
  }
}
