/** Addresses of servers, also of those that are gone. */
import type {GatewayServer, ServerRegistry} from '@wisteriarun/core';

/** Remembers which server used an address. */
export class AddressBook {
  readonly #addresses = new Map<string, string>();

  /**
   * Notes the present address of a server.
   *
   * @param server - The server.
   */
  record({id, address}: GatewayServer): void {
    this.#addresses.set(id, address);
  }

  /**
   * Finds the last known address of a server.
   *
   * @param id - Id of the server.
   * @returns Its address as host:port, or null when it was never known.
   */
  find(id: string): string | null {
    return this.#addresses.get(id) ?? null;
  }

  /**
   * Forgets servers that have ended, since another one uses their address.
   *
   * @param server - Server that uses the address now.
   * @param registry - Servers that are listed.
   * @returns Ids of the servers that were there before.
   */
  removeReplaced(server: GatewayServer, registry: ServerRegistry): string[] {
    const ended: string[] = [];
    for (const [id, address] of this.#addresses) {
      if (id === server.id || address !== server.address) continue;
      const listed = registry.find(id);
      if (listed !== null && listed.bornMs >= server.bornMs) continue;
      ended.push(id);
    }
    for (const id of ended) this.#addresses.delete(id);
    return ended;
  }
}
