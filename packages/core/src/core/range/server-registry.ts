/** Servers as they describe themselves in the platform's log. */
import type {GatewayServer} from '../../types/index.js';

/**
 * Effect of a description: `none` when a newer one is known, `refreshed` when
 * at most its sequence number and remaining warm-up time are new, `changed` for
 * a new server or a change of other fields.
 */
export type RegistryChange = 'none' | 'refreshed' | 'changed';

/**
 * Keeps the newest description of each server. Descriptions may arrive
 * repeatedly or out of order; the incarnation and its sequence number decide
 * which is newer.
 */
export class ServerRegistry {
  readonly #servers = new Map<string, GatewayServer>();

  /** All servers that are listed. */
  get servers(): ReadonlyMap<string, GatewayServer> {
    return this.#servers;
  }

  /**
   * Adopts a description unless a newer one is known.
   *
   * @param server - The description.
   * @returns What the description changed.
   */
  update(server: GatewayServer): RegistryChange {
    const known = this.#servers.get(server.id);
    if (known !== undefined && isOlder(server, known)) return 'none';
    this.#servers.set(server.id, server);
    if (known === undefined) return 'changed';
    return isSame(known, server) ? 'refreshed' : 'changed';
  }

  /**
   * Removes a server that is gone.
   *
   * @param id - Id of the server.
   * @returns Whether it was listed.
   */
  remove(id: string): boolean {
    return this.#servers.delete(id);
  }

  /**
   * Removes all servers that are not listed any more.
   *
   * @param listed - Ids of the listed servers.
   * @returns The removed ids.
   */
  retain(listed: ReadonlySet<string>): string[] {
    const gone = [...this.#servers.keys()].filter(id => !listed.has(id));
    for (const id of gone) this.#servers.delete(id);
    return gone;
  }

  /**
   * Finds a server.
   *
   * @param id - Id of the server.
   * @returns Its description, or null when it is not listed.
   */
  find(id: string): GatewayServer | null {
    return this.#servers.get(id) ?? null;
  }

  /**
   * Lists the servers of a service.
   *
   * @param service - Name of the service.
   * @returns Its servers, draining ones included.
   */
  ofService(service: string): GatewayServer[] {
    return [...this.#servers.values()].filter(
      server => server.service === service,
    );
  }
}

function isOlder(server: GatewayServer, known: GatewayServer): boolean {
  if (server.bornMs !== known.bornMs) return server.bornMs < known.bornMs;
  return server.sequence < known.sequence;
}

function isSame(one: GatewayServer, other: GatewayServer): boolean {
  return (
    one.address === other.address &&
    one.service === other.service &&
    one.zone === other.zone &&
    one.slots === other.slots &&
    one.isDraining === other.isDraining &&
    one.bornMs === other.bornMs
  );
}
