/** Rules for the HTTP headers that are forwarded between caller and server. */

/** Header fields by lower-case name. */
export type HeaderMap = Record<string, string | string[]>;

const HOP_BY_HOP = new Set([
  'connection',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const OWN_HEADER_PREFIX = 'wisteriarun-';
const TIMEOUT_HEADER = 'request-timeout-ms';

/**
 * Removes hop-by-hop headers and the headers of wisteriarun itself, so that
 * neither a caller nor a server can forge an outcome or an owner.
 *
 * @param headers - Headers as received.
 * @returns Headers to forward.
 */
export function forwardableHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): HeaderMap {
  const connectionOptions = String(headers['connection'] ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  const result: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(OWN_HEADER_PREFIX) || name === TIMEOUT_HEADER) continue;
    if (connectionOptions.includes(name)) continue;
    result[name] = value;
  }
  return result;
}

/**
 * Reads a header that must occur exactly once.
 *
 * @param headers - Headers as received.
 * @param name - Name in lower case.
 * @returns The value, or null when it is missing or repeated.
 */
export function singleHeader(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  name: string,
): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}

/**
 * Parses a non-negative decimal integer.
 *
 * @param text - Text of a header.
 * @returns The number, or null when the text is anything else.
 */
export function parseCount(text: string | null): number | null {
  if (text === null || !/^\d{1,15}$/.test(text)) return null;
  return Number(text);
}
