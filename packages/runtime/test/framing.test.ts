import {describeError} from '@wisteriarun/core';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {encodeFrame, FrameDecoder, MAX_FRAME_BYTES} from '../src/index.js';

const encodeOrThrow = (value: unknown) =>
  encodeFrame(value).unwrapOrElse(error => {
    throw new Error(describeError(error));
  });

function decodeAll(decoder: FrameDecoder, chunks: Iterable<Buffer>) {
  const values: unknown[] = [];
  const errors: string[] = [];
  for (const chunk of chunks) {
    for (const result of decoder.decode(chunk)) {
      result.match({
        Ok: value => values.push(value),
        Err: error => errors.push(error.kind),
      });
    }
  }
  return {values, errors};
}

function* splitIntoChunks(
  bytes: Buffer,
  sizes: readonly number[],
): Generator<Buffer> {
  let start = 0;
  for (let index = 0; start < bytes.length; index++) {
    const end = start + (sizes[index % sizes.length] ?? 1);
    yield bytes.subarray(start, end);
    start = end;
  }
}

describe('framing', () => {
  // Guards against results that depend on how the stream is split into chunks.
  test('decodes the same frames for any split into chunks', () => {
    fc.assert(
      fc.property(
        fc.array(fc.record({text: fc.string(), n: fc.integer()})),
        fc.array(fc.integer({min: 1, max: 50}), {minLength: 1}),
        (values, sizes) => {
          const bytes = Buffer.concat(values.map(encodeOrThrow));
          const decoder = new FrameDecoder();
          const result = decodeAll(decoder, splitIntoChunks(bytes, sizes));
          expect(result).toEqual({values, errors: []});
          expect(decoder.end().isOk).toBe(true);
        },
      ),
    );
  });

  test('copies decoded bytes, so that they do not keep the receive buffer alive', () => {
    const frame = encodeOrThrow({body: Buffer.from('abc')});
    const {values} = decodeAll(new FrameDecoder(), [frame]);
    frame.fill(0);
    expect(values).toEqual([{body: Buffer.from('abc')}]);
  });

  test('decodes a frame that arrives byte by byte', () => {
    const value = {text: 'x'.repeat(20_000)};
    const chunks = splitIntoChunks(encodeOrThrow(value), [1]);
    expect(decodeAll(new FrameDecoder(), chunks).values).toEqual([value]);
  });

  const withLengthPrefix = (length: number, body: Buffer) => {
    const prefix = Buffer.alloc(4);
    prefix.writeUInt32BE(length, 0);
    return Buffer.concat([prefix, body]);
  };
  test.each([
    ['oversize length', withLengthPrefix(MAX_FRAME_BYTES + 1, Buffer.alloc(0))],
    ['zero length', withLengthPrefix(0, Buffer.alloc(8))],
    [
      'body that is not CBOR',
      withLengthPrefix(3, Buffer.from([0xff, 0x1c, 0x1d])),
    ],
    ['text in place of frames', Buffer.from('GET / HTTP/1.1\r\n\r\n')],
    [
      'array of 2^32-1 items',
      withLengthPrefix(5, Buffer.from([0x9a, 255, 255, 255, 255])),
    ],
    [
      'map of 2^32-1 pairs',
      withLengthPrefix(5, Buffer.from([0xba, 255, 255, 255, 255])),
    ],
    ['string beyond the body', withLengthPrefix(2, Buffer.from([0x7a, 0xff]))],
  ])(
    'reports one peer-protocol error and stops decoding: %s',
    (_name, bytes) => {
      const decoder = new FrameDecoder();
      const valid = encodeOrThrow({ok: true});
      const {values, errors} = decodeAll(decoder, [bytes, valid]);
      expect(values).toEqual([]);
      expect(errors).toEqual(['peer-protocol']);
    },
  );

  test('reports a truncated frame at the end of the stream', () => {
    const decoder = new FrameDecoder();
    const frame = encodeOrThrow({a: 1});
    decodeAll(decoder, [frame.subarray(0, frame.length - 1)]);
    expect(decoder.end().isErr).toBe(true);
  });

  test('refuses to encode a value above the frame limit', () => {
    expect(encodeFrame(Buffer.alloc(MAX_FRAME_BYTES)).isErr).toBe(true);
  });

  // Guards against uncaught exceptions of the CBOR library.
  test('does not throw on random bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 64}), body => {
        decodeAll(new FrameDecoder(), [
          withLengthPrefix(body.length, Buffer.from(body)),
        ]);
      }),
      {numRuns: 2_000},
    );
  });
});
