/** Headers of a request on its way from a caller to a server. */
import type {IncomingMessage} from 'node:http';
import {forwardableHeaders, KEY_COUNT, parseCount} from '@wisteriarun/core';
import type {GatewayHeaders} from '@wisteriarun/core';

/**
 * Parses a key.
 *
 * @param text - Value of the header.
 * @returns The key, or null when it is missing or not a key.
 */
export function parseKey(text: string | null): number | null {
  const key = parseCount(text);
  return key === null || key >= KEY_COUNT ? null : key;
}

/**
 * Builds the headers that a server gets.
 *
 * @param request - Request of the caller.
 * @param headerNames - Header names.
 * @param server - Id of the server that alone may run the request.
 * @param remainingMs - Time that the caller still waits.
 * @returns Headers without those that concern one connection.
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
