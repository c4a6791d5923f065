/** Encoding and decoding of the control link's length-prefixed CBOR frames. */
import {ERRORS} from '@wisteriarun/core';
import type {WisteriarunError} from '@wisteriarun/core';
import {Encoder, setSizeLimits} from 'cbor-x';
import {Result} from 'true-myth';

/** Size of the length prefix. */
export const FRAME_PREFIX_BYTES = 4;
/** Largest CBOR body of a frame. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** Buffered chunks above this number are joined into one to save memory. */
const MAX_CHUNKS = 256;

// Without these limits a short frame could declare an array or map of billions
// of items.
setSizeLimits({
  maxArraySize: MAX_FRAME_BYTES,
  maxMapSize: MAX_FRAME_BYTES,
  maxObjectSize: MAX_FRAME_BYTES,
});

// cbor-x's record extension is off: its frames can be decoded only with the
// record definitions that the same encoder sent before.
const codec = new Encoder({useRecords: false, copyBuffers: true});

/**
 * Encodes a value as one frame.
 *
 * @param value - Plain data.
 * @returns Prefix and body, or `peer-protocol` when the body is too large.
 */
export function encodeFrame(value: unknown): Result<Buffer, WisteriarunError> {
  const body = codec.encode(value);
  if (body.length > MAX_FRAME_BYTES) {
    return Result.err(
      ERRORS.peerProtocol(
        `frame of ${body.length} bytes exceeds ${MAX_FRAME_BYTES}`,
      ),
    );
  }
  const frame = Buffer.allocUnsafe(FRAME_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, FRAME_PREFIX_BYTES);
  return Result.ok(frame);
}

/**
 * Decodes frames from chunks of any size. After the first error it discards all
 * further input.
 */
export class FrameDecoder {
  /** Largest accepted body; a change applies to all frames not yet decoded. */
  maxFrameBytes: number;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #hasFailed = false;

  /**
   * @param maxFrameBytes - Largest accepted body.
   */
  constructor(maxFrameBytes: number = MAX_FRAME_BYTES) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Buffers a chunk and decodes the frames that are complete.
   *
   * @param chunk - Next bytes of the stream.
   * @returns Decoded values; on invalid input the last result is the error
   * `peer-protocol`.
   */
  decode(chunk: Buffer): Generator<Result<unknown, WisteriarunError>> {
    if (!this.#hasFailed && chunk.length > 0) {
      this.#chunks.push(chunk);
      this.#bufferedBytes += chunk.length;
      if (this.#chunks.length > MAX_CHUNKS) {
        this.#chunks = [Buffer.concat(this.#chunks)];
      }
    }
    return this.#frames();
  }

  /**
   * Checks that the stream did not end inside a frame.
   *
   * @returns The error `peer-protocol` when an incomplete frame is buffered.
   */
  end(): Result<void, WisteriarunError> {
    if (this.#bufferedBytes === 0) return Result.ok(undefined);
    const detail = `stream ended inside a frame after ${this.#bufferedBytes} bytes`;
    return Result.err(ERRORS.peerProtocol(detail));
  }

  /** Decodes the complete frames in the buffer. */
  *#frames(): Generator<Result<unknown, WisteriarunError>> {
    while (!this.#hasFailed && this.#bufferedBytes >= FRAME_PREFIX_BYTES) {
      const bodyBytes = this.#peekBodyLength();
      if (bodyBytes === 0 || bodyBytes > this.maxFrameBytes) {
        yield this.#fail(
          `frame length ${bodyBytes} is not within 1 to ${this.maxFrameBytes}`,
        );
        return;
      }
      if (this.#bufferedBytes < FRAME_PREFIX_BYTES + bodyBytes) return;
      const frame = this.#consume(FRAME_PREFIX_BYTES + bodyBytes);
      yield this.#parse(frame.subarray(FRAME_PREFIX_BYTES));
    }
  }

  #parse(body: Buffer): Result<unknown, WisteriarunError> {
    try {
      return Result.ok(codec.decode(body) as unknown);
    } catch (error) {
      return this.#fail(
        `frame is not CBOR: ${error instanceof Error ? error.message : 'unknown cause'}`,
      );
    }
  }

  #fail(detail: string): Result<unknown, WisteriarunError> {
    this.#hasFailed = true;
    this.#chunks = [];
    this.#bufferedBytes = 0;
    return Result.err(ERRORS.peerProtocol(detail));
  }

  /** Reads the length prefix of the next frame without consuming it. */
  #peekBodyLength(): number {
    const first = this.#chunks[0];
    if (first !== undefined && first.length >= FRAME_PREFIX_BYTES) {
      return first.readUInt32BE(0);
    }
    // A length prefix that is split over several chunks: join them once. The
    // chunks of a body are not joined here.
    const joined = Buffer.concat(this.#chunks);
    this.#chunks = [joined];
    return joined.readUInt32BE(0);
  }

  /** Removes and returns the next bytes; joins chunks only when it must. */
  #consume(sizeBytes: number): Buffer {
    const first = this.#chunks[0];
    const joined =
      first !== undefined && first.length >= sizeBytes
        ? first
        : Buffer.concat(this.#chunks);
    const rest = joined === first ? this.#chunks.slice(1) : [];
    const remainder = joined.subarray(sizeBytes);
    this.#chunks = remainder.length > 0 ? [remainder, ...rest] : rest;
    this.#bufferedBytes -= sizeBytes;
    return joined.subarray(0, sizeBytes);
  }
}
