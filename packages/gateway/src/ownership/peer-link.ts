/** Link of this VM to the assigner. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {GatewayMessage} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import {encodeMessage, MessageDecoder} from './peer-frames.js';

/** An open link: messages one way, and the time of the last one the other. */
export class PeerLink {
  readonly #socket: Socket;
  #heardAtMs: number | null = null;
  #isOpen = true;

  /**
   * Connects.
   *
   * @param address - Peer address of the assigner, host:port.
   * @param hello - First message.
   * @param onMessage - Receives the assigner's messages.
   * @param clock - Clock of the process.
   * @param logger - Receives broken links.
   */
  constructor(
    address: string,
    hello: GatewayMessage,
    onMessage: (message: GatewayMessage) => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const [host = '', port = ''] = address.split(':');
    this.#socket = connect({host, port: Number(port), noDelay: true});
    const decoder = new MessageDecoder();
    this.#socket.on('connect', () => this.send(hello));
    this.#socket.on('data', chunk => {
      this.#heardAtMs = clock.monotonicMs();
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

  /** False after the link broke or was closed. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Milliseconds since the last message; infinite before the first. */
  get silentMs(): number {
    if (this.#heardAtMs === null) return Infinity;
    return this.clock.monotonicMs() - this.#heardAtMs;
  }

  /**
   * Sends a message.
   *
   * @param message - The message; dropped while the link is not up.
   */
  send(message: GatewayMessage): void {
    if (!this.#isOpen) return;
    const frame = encodeMessage(message, this.logger);
    if (frame !== null) this.#socket.write(frame);
  }

  /** Closes the link. */
  close(): void {
    this.#isOpen = false;
    this.#socket.destroy();
  }
}
