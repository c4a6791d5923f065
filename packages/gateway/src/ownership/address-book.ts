/** Last known addresses of servers, including servers that are gone. */
import type {GatewayServer, ServerRegistry} from '@wisteriarun/core';

/** Maps each server to the address that it used last. */
export class AddressBook {
  readonly #addresses = new Map<string, string>();

  /**
   * Records the current address of a server.
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
   * @returns Its address as host:port, or null when none was recorded.
   */
  find(id: string): string | null {
    return this.#addresses.get(id) ?? null;
  }

  /**
   * Removes the servers that used the address of a newer server before: two
   * servers cannot use one address, so the earlier ones have ended.
   *
   * @param server - Server that uses the address now.
   * @param registry - Servers that are listed. A listed server that is not
   * older than `server` is kept.
   * @returns Ids of the removed servers.
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
