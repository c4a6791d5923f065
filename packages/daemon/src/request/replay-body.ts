/** Body of a caller's request, which can be sent again while it is buffered. */
import {PassThrough, Readable} from 'node:stream';

/** Largest body that is buffered so that a retry can send it again. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

/** Thrown when a body exceeds the service's limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/**
 * Thrown when a caller's body breaks off while its first bytes are buffered, or
 * when the streamed part is read a second time.
 */
export class BodyBrokenError extends Error {
  override readonly name = 'BodyBrokenError';
}

/** A body that is fully buffered, or a buffered prefix and a stream. */
export class ReplayBody {
  private isStreamConsumed = false;
  /** True when the streamed part exceeded the limit. */
  isTooLarge = false;

  private constructor(
    private readonly prefix: Buffer,
    private readonly rest: Readable | null,
    private readonly maxBytes: number,
    /** Length in bytes; null when it is not known. */
    readonly lengthBytes: number | null,
  ) {}

  /**
   * Buffers a body, or its first bytes when it exceeds the buffer limit.
   *
   * @param source - Body of the caller's request.
   * @param lengthBytes - Declared length; null when it is not known.
   * @param maxBytes - Largest body that the service accepts.
   * @returns The body.
   * @throws BodyTooLargeError when the body exceeds `maxBytes`.
   * @throws BodyBrokenError when the source breaks off before it has ended.
   */
  static async read(
    source: Readable,
    lengthBytes: number | null,
    maxBytes: number,
  ): Promise<ReplayBody> {
    if (lengthBytes !== null && lengthBytes > maxBytes) {
      throw new BodyTooLargeError();
    }
    if (lengthBytes === 0) {
      return new ReplayBody(Buffer.alloc(0), null, maxBytes, 0);
    }
    if (lengthBytes !== null && lengthBytes > MAX_BUFFERED_BODY_BYTES) {
      return new ReplayBody(Buffer.alloc(0), source, maxBytes, lengthBytes);
    }
    const {prefix, ended} = await readPrefix(source);
    if (prefix.length > maxBytes) throw new BodyTooLargeError();
    if (ended) return new ReplayBody(prefix, null, maxBytes, prefix.length);
    return new ReplayBody(prefix, source, maxBytes, lengthBytes);
  }

  /** True while another try would send the same bytes. */
  get isReplayable(): boolean {
    return !this.isStreamConsumed;
  }

  /** Bytes of the body that are in memory. */
  get bufferedBytes(): number {
    return this.prefix.length;
  }

  /**
   * Opens the body for one try. The streamed part is read only when the reader
   * asks for data.
   *
   * @returns A buffer, a stream, or null for an empty body.
   */
  open(): Readable | Buffer | null {
    if (!this.rest) return this.prefix.length > 0 ? this.prefix : null;
    return Readable.from(this.chunks(this.rest), {objectMode: false});
  }

  private async *chunks(rest: Readable): AsyncGenerator<Buffer> {
    if (this.isStreamConsumed) throw new BodyBrokenError();
    this.isStreamConsumed = true;
    let totalBytes = this.prefix.length;
    if (totalBytes > 0) yield this.prefix;
    for await (const chunk of rest.iterator({destroyOnReturn: false})) {
      totalBytes += (chunk as Buffer).length;
      if (totalBytes > this.maxBytes) {
        this.isTooLarge = true;
        throw new BodyTooLargeError();
      }
      yield chunk as Buffer;
    }
  }
}

function readPrefix(
  source: Readable,
): Promise<{prefix: Buffer; ended: boolean}> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const finish = (ended: boolean) => {
      source.off('data', onData).off('end', onEnd);
      source.off('close', onBroken).off('error', onBroken);
      if (!ended) source.pause();
      resolve({prefix: Buffer.concat(chunks), ended});
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BUFFERED_BODY_BYTES) finish(false);
    };
    const onEnd = () => finish(true);
    const onBroken = () => reject(new BodyBrokenError());
    source.on('data', onData).on('end', onEnd);
    source.on('close', onBroken).on('error', onBroken);
  });
}

/**
 * Creates an empty answer body.
 *
 * @returns A stream that ends at once.
 */
export function emptyBody(): Readable {
  const body = new PassThrough();
  body.end();
  return body;
}
