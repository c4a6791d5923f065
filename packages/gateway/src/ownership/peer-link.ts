/** Link of this VM to the assigner. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {describeError, gatewayMessageSchema} from '@wisteriarun/core';
import type {GatewayMessage} from '@wisteriarun/core';
import {encodeFrame, FrameDecoder} from '@wisteriarun/runtime';
import type {Clock, Logger} from '@wisteriarun/runtime';

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
    const decoder = new FrameDecoder();
    this.#socket.on('connect', () => this.send(hello));
    this.#socket.on('data', chunk => {
      this.#heardAtMs = clock.monotonicMs();
      for (const frame of decoder.decode(chunk)) {
        const message = frame.isOk
          ? gatewayMessageSchema.safeParse(frame.value)
          : null;
        if (message === null || !message.success) {
          logger.warn('peer-malformed', {peer: address});
          this.close();
          return;
        }
        onMessage(message.data);
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
    encodeFrame(message).match({
      Ok: frame => {
        this.#socket.write(frame);
      },
      Err: error =>
        this.logger.error('frame-refused', {cause: describeError(error)}),
    });
  }

  /** Closes the link. */
  close(): void {
    this.#isOpen = false;
    this.#socket.destroy();
  }
}
