/** Connections to servers, with the means to pause and to reset them. */
import {Socket} from 'node:net';
import type {SocketConstructorOpts} from 'node:net';

/** Bytes that a connection receives before they are read. */
const RECEIVE_BUFFER_BYTES = 65_536;
/** Bytes that undici parses at a time. */
const MAX_READ_BYTES = 16_384;

/**
 * A connection to a server.
 *
 * undici's own pause of an answer must not be used: when the connection of a paused
 * answer ends, and the answer has no length or says that the connection closes, undici
 * fails an assertion in an event handler, which ends the process. A held socket
 * receives bytes until its buffer is full and keeps them, while undici sees a
 * connection on which nothing arrives.
 */
export class ServerSocket extends Socket {
  #isHeld = false;

  /** Creates a socket that is not connected yet. */
  constructor() {
    // The type declarations lack this option of streams.
    const options = {highWaterMark: RECEIVE_BUFFER_BYTES};
    super(options as SocketConstructorOpts);
  }

  /**
   * Whether the server has reset the connection, which may have ended regularly for
   * Node: libuv reports an end if a reset has arrived together with the last bytes. The
   * system does not know the peer of a connection that was reset.
   *
   * Valid while the socket is open. Nothing else may read the peer's address, which Node
   * keeps from the first time on.
   */
  get isReset(): boolean {
    return this.errored !== null || this.remoteAddress === undefined;
  }

  /** Keeps received bytes from undici until `release`. */
  hold(): void {
    this.#isHeld = true;
  }

  /** Passes received bytes on again. */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    // Later, as undici may be parsing now. It reads on at this event.
    process.nextTick(() => {
      if (!this.destroyed) this.emit('readable');
    });
  }

  /**
   * Resets the connection at once, even if bytes wait to be written.
   *
   * @param error - Reason, with which undici fails the request.
   */
  reset(error: Error): void {
    this.resetAndDestroy();
    // Alone, `resetAndDestroy` waits for pending writes. Without an error, undici
    // would take the end for that of an answer without a length.
    this.destroy(error);
  }

  /**
   * Returns a limited piece of what was received. undici rejects the head of an answer
   * that exceeds a limit, but parses the piece to its end and creates an error for each
   * further header; it also goes on to parse what a closed socket has received.
   */
  override read(size?: number): unknown {
    // With the size 0, the stream itself asks for more bytes to be received.
    if (size === 0) return super.read(0);
    if (this.#isHeld || this.destroyed) return null;
    const pieceBytes = Math.min(this.readableLength, MAX_READ_BYTES);
    return pieceBytes > 0 ? super.read(pieceBytes) : super.read();
  }
}
