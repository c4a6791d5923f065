/** Parses and checks the head of a caller's request. */
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

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 600_000;
const MAX_KEY_BYTES = 512;
const MAX_PATH_BYTES = 4 * 1024;

/** Parts of a request's head. */
export interface ParsedHead {
  readonly service: string;
  readonly key: string;
  readonly headers: HeaderMap;
  readonly idempotencyKey: string | null;
  readonly timeoutMs: number;
  readonly lengthBytes: number | null;
}

/**
 * Parses the head of a request.
 *
 * @param req - Request as Node received it.
 * @returns The parts, or why the request is refused.
 */
export function parseHead(req: IncomingMessage): ParsedHead | RequestFailure {
  const malformed = requestFailure('malformed-request');
  const path = parsePath(req.url ?? '');
  if (!path) return malformed;
  if (methodClass(req.method ?? '') === 'unsupported') return malformed;
  const idempotencyKey = req.headers[HEADERS.idempotencyKey] ?? null;
  // Node joins repeated fields with a comma, which no UUID contains.
  if (Array.isArray(idempotencyKey)) return malformed;
  const timeoutMs = parseTimeout(req.headers[HEADERS.requestTimeoutMs]);
  if (timeoutMs === null) return malformed;
  const chunked = req.headers['transfer-encoding'] !== undefined;
  const contentLength = req.headers['content-length'];
  const lengthBytes =
    contentLength === undefined ? 0 : parseCount(contentLength);
  if (lengthBytes === null) return malformed;
  return {
    ...path,
    headers: forwardableHeaders(req.headers),
    idempotencyKey,
    timeoutMs,
    lengthBytes: chunked ? null : lengthBytes,
  };
}

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

function parseTimeout(text: string | string[] | undefined): number | null {
  if (text === undefined) return DEFAULT_TIMEOUT_MS;
  const value = parseCount(String(text));
  if (value === null || value < 1) return null;
  return Math.min(value, MAX_TIMEOUT_MS);
}
