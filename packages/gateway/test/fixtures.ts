/** Fixtures that several tests share. */
import type {GatewayServer} from '@wisteriarun/core';

/**
 * Builds the description of a server.
 *
 * @param id - Id of the server.
 * @param overrides - Fields that replace the defaults.
 * @returns The description.
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
