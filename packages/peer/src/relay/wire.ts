/** Headers that only the relay uses, and their formats. */
import type {Fence} from '@wisteriarun/core';

/** Id of the server that the request is for. */
export const SERVER_HEADER = 'wisteriarun-server';

/**
 * Time from when the request got a slot of the server until the server's answer
 * began, in microseconds.
 */
export const SERVER_TIME_HEADER = 'wisteriarun-server-time-us';

/**
 * Parses a fence.
 *
 * @param text - `term.seq`.
 * @returns The fence, or null when the text is malformed.
 */
export function parseFence(text: string | null): Fence | null {
  const parts = /^(\d{1,15})\.(\d{1,15})$/.exec(text ?? '');
  return parts ? {term: Number(parts[1]), seq: Number(parts[2])} : null;
}
