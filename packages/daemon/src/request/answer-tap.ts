/** Observes the body of an answer while it is streamed to the caller. */
import {Transform, pipeline, type Readable} from 'node:stream';
import {MAX_REPLAY_BYTES} from '@wisteriarun/core';

/**
 * How the body of an answer ended. `complete` is true when it arrived whole;
 * `body` then holds a copy, or null when no copy was kept.
 */
export type TapResult =
  | {readonly isComplete: true; readonly body: Uint8Array<ArrayBuffer> | null}
  | {readonly isComplete: false};

/**
 * Passes the body of an answer through and reports its end exactly once.
 *
 * @param source - Body of the server's answer.
 * @param keepBody - Whether to keep a copy of a body of at most
 * `MAX_REPLAY_BYTES`.
 * @param onEnd - Called when the last byte was read from the server, when the
 * connection broke, or when the reader closed the stream.
 * @returns The stream for the reader; it fails when the source fails.
 */
export function tapAnswer(
  source: Readable,
  keepBody: boolean,
  onEnd: (result: TapResult) => void,
): Readable {
  let hasEnded = false;
  const reportOnce = (result: TapResult) => {
    if (hasEnded) return;
    hasEnded = true;
    onEnd(result);
  };
  return keepBody
    ? copyAnswer(source, reportOnce)
    : watchAnswer(source, reportOnce);
}

/** Fast path for answers that are never replayed: copies nothing. */
function watchAnswer(
  source: Readable,
  reportOnce: (result: TapResult) => void,
): Readable {
  source.once('end', () => reportOnce({isComplete: true, body: null}));
  source.once('error', () => reportOnce({isComplete: false}));
  source.once('close', () => reportOnce({isComplete: false}));
  return source;
}

function copyAnswer(
  source: Readable,
  reportOnce: (result: TapResult) => void,
): Readable {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  const tap = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      totalBytes += chunk.length;
      if (totalBytes <= MAX_REPLAY_BYTES) chunks.push(chunk);
      done(null, chunk);
    },
    flush(done) {
      const isSmall = totalBytes <= MAX_REPLAY_BYTES;
      reportOnce({
        isComplete: true,
        body: isSmall ? new Uint8Array(Buffer.concat(chunks)) : null,
      });
      done();
    },
  });
  pipeline(source, tap, error => {
    if (error) reportOnce({isComplete: false});
  });
  return tap;
}
