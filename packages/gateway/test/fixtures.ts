/** Records that several tests start from. */
import type {GatewayServer} from '@wisteriarun/core';

/**
 * Describes a server.
 *
 * @param id - Id of the server.
 * @param overrides - Fields that differ.
 * @returns The server.
 */
export function gatewayServer(
  id: string,
  overrides: Partial<GatewayServer> = {},
): GatewayServer {
  return {
    id,
    address: '10.0.0.1:80',
    service: 'records',
    zone: 'a',
    slots: 3,
    isDraining: false,
    warmupLeftMs: 0,
    bornMs: 1_000,
    sequence: 1,
    ...overrides,
  };
}
