/** Connections to servers and what this VM knows of their load. */
import {ServerLoadView} from '@wisteriarun/core';
import type {GatewayServer} from '@wisteriarun/core';
import {Pool} from 'undici';

/** Four round trips and a retransmission fit in; a lost server takes longer. */
const CONNECT_TIMEOUT_MS = 400;
/** Kept below the idle time of servers that do not state it. */
const KEEP_ALIVE_MS = 4_000;
/** Connections of one VM to one server. */
const MAX_CONNECTIONS = 24;
/** A server is forgotten when it was not used for this time. */
const MAX_UNUSED_MS = 30_000;

/** One incarnation of a server. */
export interface PooledServer {
  readonly id: string;
  readonly address: string;
  readonly pool: Pool;
  readonly load: ServerLoadView;
  lastUsedAtMs: number;
}

/** Finds the connections of a server; a new incarnation gets new ones. */
export class ServerPool {
  readonly #servers = new Map<string, PooledServer>();

  /**
   * Finds or opens the connections of a server.
   *
   * @param server - The server.
   * @param nowMs - Monotonic time.
   * @returns Its connections and load.
   */
  forServer(server: GatewayServer, nowMs: number): PooledServer {
    const key = `${server.id}@${server.address}#${server.bornMs}`;
    let pooled = this.#servers.get(key);
    if (pooled === undefined) {
      pooled = {
        id: server.id,
        address: server.address,
        pool: new Pool(`http://${server.address}`, {
          connections: MAX_CONNECTIONS,
          pipelining: 1,
          keepAliveTimeout: KEEP_ALIVE_MS,
          connect: {timeout: CONNECT_TIMEOUT_MS},
        }),
        load: new ServerLoadView(server.slots),
        lastUsedAtMs: nowMs,
      };
      this.#servers.set(key, pooled);
    }
    pooled.lastUsedAtMs = nowMs;
    return pooled;
  }

  /**
   * Closes connections of servers that are not used any more.
   *
   * @param nowMs - Monotonic time.
   */
  closeUnused(nowMs: number): void {
    for (const [key, {lastUsedAtMs, load, pool}] of this.#servers) {
      if (load.inFlight > 0 || nowMs - lastUsedAtMs < MAX_UNUSED_MS) continue;
      this.#servers.delete(key);
      void pool.destroy();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const {pool} of this.#servers.values()) void pool.destroy();
    this.#servers.clear();
  }
}
