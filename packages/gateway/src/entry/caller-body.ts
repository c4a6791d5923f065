/** Reads the bodies of callers' requests. */
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import type {Readable} from 'node:stream';

/** Bodies up to this size are buffered, so that they can be sent again. */
const MAX_BUFFERED_BYTES = 524_288;

/** The caller disconnected before its body was complete. */
class CallerGone extends Error {}

/** A request body, or the reason why there is none. */
export type CallerBody =
  | {readonly kind: 'held'; readonly bytes: Buffer | null}
  | {
      readonly kind: 'streamed';
      /**
       * Must be destroyed when the request was answered; the rest of the body is then
       * read and dropped, so that the connection can carry the next request.
       */
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
    return {kind: 'streamed', stream: detachedBody(request), lengthBytes};
  }
  const body = await bufferBody(request, maxBytes);
  return body.kind === 'streamed'
    ? {...body, stream: detachedBody(request)}
    : body;
}

/**
 * Returns a stream of the body that may be destroyed before its end: undici does so when
 * the server answers early or fails. The rest of a destroyed request could not be read, and
 * the next request on its connection neither.
 */
function detachedBody(request: IncomingMessage): Readable {
  const body = new PassThrough();
  request.once('close', () => {
    if (!request.complete) body.destroy(new CallerGone());
  });
  body.once('error', () => {});
  body.once('close', () => {
    request.unpipe(body);
    request.resume();
  });
  return request.pipe(body);
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
