/** Observes an answer on its way to the caller. */
import {Transform, pipeline, type Readable} from 'node:stream';
import {MAX_REPLAY_BYTES} from '@wisteriarun/core';

/** Result of an answer: its body if it was whole and small, else null. */
export type TapResult =
  | {readonly whole: true; readonly body: Uint8Array<ArrayBuffer> | null}
  | {readonly whole: false};

/**
 * Passes an answer through and reports its end once.
 *
 * @param source - Answer of the server.
 * @param keep - Whether to keep a copy of a small body.
 * @param onEnd - Called when the last byte was read from the server, or when
 * the answer broke or its reader went away.
 * @returns The stream for the reader; it fails when the source fails.
 */
export function tapAnswer(
  source: Readable,
  keep: boolean,
  onEnd: (result: TapResult) => void,
): Readable {
  let ended = false;
  const finish = (result: TapResult) => {
    if (ended) return;
    ended = true;
    onEnd(result);
  };
  return keep ? copyAnswer(source, finish) : watchAnswer(source, finish);
}

/** Fast path of answers that nobody will ask for again. */
function watchAnswer(
  source: Readable,
  finish: (result: TapResult) => void,
): Readable {
  source.once('end', () => finish({whole: true, body: null}));
  source.once('error', () => finish({whole: false}));
  source.once('close', () => finish({whole: false}));
  return source;
}

function copyAnswer(
  source: Readable,
  finish: (result: TapResult) => void,
): Readable {
  const chunks: Buffer[] = [];
  let size = 0;
  const tap = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      size += chunk.length;
      if (size <= MAX_REPLAY_BYTES) chunks.push(chunk);
      done(null, chunk);
    },
    flush(done) {
      const kept = size <= MAX_REPLAY_BYTES;
      finish({
        whole: true,
        body: kept ? new Uint8Array(Buffer.concat(chunks)) : null,
      });
      done();
    },
  });
  pipeline(source, tap, error => {
    if (error) finish({whole: false});
  });
  return tap;
}
