/** Parses and validates the request line and headers of a caller's request. */
import type {IncomingMessage} from 'node:http';
import {
  HEADERS,
  forwardableHeaders,
  methodClass,
  parseCount,
  requestFailure,
  type HeaderMap,
  type RequestFailure,
} from '@wisteriarun/core';

/** Time limit of a request whose caller states none. */
const DEFAULT_TIMEOUT_MS = 10_000;
/** Largest time limit; a caller that states a larger one gets this one. */
const MAX_TIMEOUT_MS = 600_000;
const MAX_KEY_BYTES = 512;
const MAX_PATH_BYTES = 4 * 1024;

/** Parsed request line and headers. */
export interface ParsedHead {
  readonly service: string;
  readonly key: string;
  readonly headers: HeaderMap;
  readonly idempotencyKey: string | null;
  /** Time limit for the whole request. */
  readonly timeoutMs: number;
  /** Length of the body; null for a chunked body. */
  readonly lengthBytes: number | null;
}

/**
 * Parses the request line and the headers.
 *
 * @param req - Request as received by Node.
 * @returns The parsed head, or the failure `malformed-request`.
 */
export function parseHead(req: IncomingMessage): ParsedHead | RequestFailure {
  const malformed = requestFailure('malformed-request');
  const path = parsePath(req.url ?? '');
  if (!path) return malformed;
  if (methodClass(req.method ?? '') === 'unsupported') return malformed;
  const idempotencyKey = req.headers[HEADERS.idempotencyKey] ?? null;
  // Node joins a repeated header into one value with commas, so the value is an
  // array only by its type. A joined value is not a UUID, so the entry handler
  // refuses it where a key is required.
  if (Array.isArray(idempotencyKey)) return malformed;
  const timeoutMs = parseTimeout(req.headers[HEADERS.requestTimeoutMs]);
  if (timeoutMs === null) return malformed;
  const isChunked = req.headers['transfer-encoding'] !== undefined;
  const contentLength = req.headers['content-length'];
  const lengthBytes =
    contentLength === undefined ? 0 : parseCount(contentLength);
  if (lengthBytes === null) return malformed;
  return {
    ...path,
    headers: forwardableHeaders(req.headers),
    idempotencyKey,
    timeoutMs,
    lengthBytes: isChunked ? null : lengthBytes,
  };
}

/**
 * Parses `/service/key`, which may be followed by a longer path and a query.
 * Returns null when a part is missing, malformed or too long.
 */
function parsePath(url: string): {service: string; key: string} | null {
  if (url.length > MAX_PATH_BYTES || !url.startsWith('/')) return null;
  const pathEnd = url.search(/[?#]/);
  const [service, key] = (pathEnd < 0 ? url : url.slice(0, pathEnd))
    .slice(1)
    .split('/', 2);
  if (!service || !key) return null;
  try {
    const decodedKey = decodeURIComponent(key);
    if (Buffer.byteLength(decodedKey) > MAX_KEY_BYTES) return null;
    return {service: decodeURIComponent(service), key: decodedKey};
  } catch {
    return null;
  }
}

/** Returns null for a value that is not a whole number of at least 1. */
function parseTimeout(text: string | string[] | undefined): number | null {
  if (text === undefined) return DEFAULT_TIMEOUT_MS;
  const value = parseCount(String(text));
  if (value === null || value < 1) return null;
  return Math.min(value, MAX_TIMEOUT_MS);
}
