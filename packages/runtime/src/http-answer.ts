/** Streams an answer's body to an HTTP response. */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';

/**
 * Copies a body with backpressure. When the body fails, the connection is
 * destroyed, so that the receiver cannot take a truncated answer for a complete
 * one. Node's `pipeline` does the same but creates and aborts a signal for every
 * answer, which costs more than the copy of a short body.
 *
 * @param body - Body; destroyed when the response closes.
 * @param res - Response whose headers are written.
 * @returns Resolves when the response is finished or destroyed.
 */
export function sendBody(body: Readable, res: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const onClose = () => {
      if (!body.destroyed) body.destroy();
      resolve();
    };
    if (res.destroyed || res.closed) {
      onClose();
      return;
    }
    res.once('close', onClose);
    body.once('error', () => res.destroy());
    // A body that is destroyed without an error is truncated as well.
    body.once('close', () => {
      if (!body.readableEnded) res.destroy();
    });
    if (body.destroyed && !body.readableEnded) res.destroy();
    else body.pipe(res);
  });
}
