/** Reads the bodies of callers' requests. */
import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';

/** Bodies up to this size are buffered, so that they can be sent again. */
const MAX_BUFFERED_BYTES = 524_288;

/** A request body, or the reason why there is none. */
export type CallerBody =
  | {readonly kind: 'held'; readonly bytes: Buffer | null}
  | {
      readonly kind: 'streamed';
      readonly stream: Readable;
      readonly lengthBytes: number | null;
    }
  | {readonly kind: 'too-large'}
  | {readonly kind: 'gone'};

/**
 * Reads the body of a request. A body that is too large to be buffered is
 * returned as a stream.
 *
 * @param request - Request of the caller.
 * @param maxBytes - Size of the largest body that is accepted.
 * @returns The body, or the reason why there is none.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<CallerBody> {
  const contentLength = request.headers['content-length'];
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (contentLength === undefined && !isChunked)
    return {kind: 'held', bytes: null};
  const lengthBytes =
    contentLength === undefined ? null : Number(contentLength);
  if (lengthBytes !== null && lengthBytes > maxBytes) {
    return {kind: 'too-large'};
  }
  if (lengthBytes !== null && lengthBytes > MAX_BUFFERED_BYTES) {
    return {kind: 'streamed', stream: request, lengthBytes};
  }
  return await bufferBody(request, maxBytes);
}

async function bufferBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<CallerBody> {
  const maxBufferedBytes = Math.min(maxBytes, MAX_BUFFERED_BYTES);
  return await new Promise(resolve => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const finish = (body: CallerBody) => {
      request.off('data', onData);
      request.off('end', onEnd);
      request.off('close', onClose);
      request.off('error', onClose);
      resolve(body);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      receivedBytes += chunk.length;
      if (receivedBytes <= maxBufferedBytes) return;
      if (receivedBytes > maxBytes) {
        finish({kind: 'too-large'});
        return;
      }
      request.pause();
      finish({kind: 'streamed', stream: request, lengthBytes: null});
      request.unshift(Buffer.concat(chunks, receivedBytes));
    };
    const onEnd = () =>
      finish({kind: 'held', bytes: Buffer.concat(chunks, receivedBytes)});
    const onClose = () => finish({kind: 'gone'});
    request.on('data', onData);
    request.on('end', onEnd);
    request.on('close', onClose);
    request.on('error', onClose);
  });
}
