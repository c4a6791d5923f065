/** HTTP clients for lease and status calls, one per server of the bundle. */
import {BackendClient} from '@wisteriarun/backend';
import {ERRORS, type LeaseRequest, type Server} from '@wisteriarun/core';
import {Result} from 'true-myth';
import type {StatusResult} from './types.js';

interface OpenClient {
  readonly server: Server;
  readonly client: BackendClient;
}

/** Opens clients on first use and closes those of removed servers. */
export class ServerClients {
  private readonly openClients = new Map<string, OpenClient>();

  /**
   * @param find - Looks up a server in the bundle in force.
   */
  constructor(private readonly find: (id: string) => Server | null) {}

  /**
   * Sends a lease call. A lease tells a server its dispatcher, the dispatcher's
   * fence, and the shards that it may serve until the lease expires.
   *
   * @param server - Server id.
   * @param request - Body of the call.
   * @returns Status; `lease-refused` when the server answers 409, or
   * `server-unreachable` without a valid answer or when the bundle in force
   * does not list the server.
   */
  lease(server: string, request: LeaseRequest): Promise<StatusResult> {
    return this.call(server, client => client.lease(request));
  }

  /**
   * Sends a status call.
   *
   * @param server - Server id.
   * @returns Status, or an error as from `lease`.
   */
  callStatus(server: string): Promise<StatusResult> {
    return this.call(server, client => client.status());
  }

  /**
   * Closes clients whose server left the bundle or changed its address or
   * number of connections. The others stay open, because closing them with each
   * new bundle would cut off their lease calls in flight.
   */
  prune(): void {
    for (const [id, {server, client}] of this.openClients) {
      if (canShareClient(this.find(id), server)) continue;
      this.openClients.delete(id);
      void client.close();
    }
  }

  /** Closes all clients. */
  async close(): Promise<void> {
    const clients = [...this.openClients.values()];
    this.openClients.clear();
    await Promise.all(clients.map(({client}) => client.close()));
  }

  private call(
    id: string,
    action: (client: BackendClient) => Promise<StatusResult>,
  ): Promise<StatusResult> {
    const server = this.find(id);
    if (server) return action(this.clientOf(server));
    const error = ERRORS.serverUnreachable(id, 'not in the bundle in force');
    return Promise.resolve(Result.err(error));
  }

  private clientOf(server: Server): BackendClient {
    const known = this.openClients.get(server.id);
    if (known && canShareClient(server, known.server)) return known.client;
    if (known) void known.client.close();
    const client = new BackendClient(server);
    this.openClients.set(server.id, {server, client});
    return client;
  }
}

function canShareClient(a: Server | null, b: Server): boolean {
  return (
    a?.host === b.host && a.port === b.port && a.connections === b.connections
  );
}
