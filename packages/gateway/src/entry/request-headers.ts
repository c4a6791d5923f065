/** Request headers that the gateway reads from callers and sends to servers. */
import type {IncomingMessage} from 'node:http';
import {forwardableHeaders, KEY_COUNT, parseCount} from '@wisteriarun/core';
import type {GatewayHeaders} from '@wisteriarun/core';

/**
 * Parses the key header.
 *
 * @param text - Value of the header; null when it is missing.
 * @returns The key, or null when it is missing or out of range.
 */
export function parseKey(text: string | null): number | null {
  const key = parseCount(text);
  return key === null || key >= KEY_COUNT ? null : key;
}

/**
 * Builds the headers of the request to a server.
 *
 * @param request - Request of the caller.
 * @param headerNames - Names of the headers shared with callers and servers.
 * @param server - Id of the only server that may run the request.
 * @param remainingMs - Time left until the caller's deadline.
 * @returns Headers of the caller without hop-by-hop ones, with the host, the
 * deadline and the expected server set.
 */
export function requestHeaders(
  request: IncomingMessage,
  headerNames: GatewayHeaders,
  server: string,
  remainingMs: number,
): Record<string, string | string[]> {
  const headers = forwardableHeaders(request.headers);
  headers['host'] = request.headers.host ?? '';
  headers[headerNames.deadline] = String(Math.floor(remainingMs));
  headers[headerNames.expectedServer] = server;
  return headers;
}
