/** Encoding and decoding of the messages between VMs. */
import {describeError, gatewayMessageSchema} from '@wisteriarun/core';
import type {GatewayMessage} from '@wisteriarun/core';
import {encodeFrame, FrameDecoder} from '@wisteriarun/runtime';
import type {Logger} from '@wisteriarun/runtime';

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @param logger - Receives a message that is too large.
 * @returns The frame, or null when the message cannot be encoded.
 */
export function encodeMessage(
  message: GatewayMessage,
  logger: Logger,
): Buffer | null {
  const frame = encodeFrame(message);
  if (frame.isOk) return frame.value;
  logger.error('frame-refused', {cause: describeError(frame.error)});
  return null;
}

/** Decodes the messages in the bytes of one connection. */
export class MessageDecoder {
  readonly #frames = new FrameDecoder();

  /**
   * Decodes what has arrived.
   *
   * @param chunk - Bytes of the connection.
   * @returns The messages; ends with null at one that is malformed.
   */
  *decode(chunk: Buffer): Generator<GatewayMessage | null> {
    for (const frame of this.#frames.decode(chunk)) {
      const message = frame.isOk
        ? gatewayMessageSchema.safeParse(frame.value)
        : null;
      if (message === null || !message.success) {
        yield null;
        return;
      }
      yield message.data;
    }
  }
}
