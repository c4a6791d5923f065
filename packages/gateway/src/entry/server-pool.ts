/** Connection pools of the servers and this VM's estimates of their load. */
import {ServerLoadView} from '@wisteriarun/core';
import type {GatewayServer} from '@wisteriarun/core';
import {serverConnector} from '@wisteriarun/runtime';
import {Pool} from 'undici';

/**
 * Longest time to open a connection: enough for four round trips, but below the
 * time after which a lost SYN packet is retransmitted. A connection to a server
 * that is down exceeds it.
 */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Time after which a new connection counts as accepted: a round trip between
 * availability zones and the server's own delay.
 */
const SETTLE_MS = 3;
/** Below the idle timeout of servers that do not send a `keep-alive` header. */
const KEEP_ALIVE_MS = 4_000;
/** Limit on the connections of one VM to one server. */
const MAX_CONNECTIONS = 24;
/** The connections of a server that is unused for this time are closed. */
const MAX_UNUSED_MS = 30_000;

/** Connections and load of one incarnation (one start) of a server. */
export interface PooledServer {
  readonly id: string;
  readonly address: string;
  readonly pool: Pool;
  readonly load: ServerLoadView;
  lastUsedAtMs: number;
}

/**
 * Creates the connection pool of a server. It opens connections when they are needed.
 *
 * @param address - Address of the server, host:port.
 * @returns The pool, as `Attempt` needs it.
 */
export function openPool(address: string): Pool {
  return new Pool(`http://${address}`, {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: serverConnector(CONNECT_TIMEOUT_MS, SETTLE_MS),
  });
}

/** Keeps one connection pool for each incarnation of a server. */
export class ServerPool {
  readonly #servers = new Map<string, PooledServer>();

  /**
   * Returns the connection pool of a server, created on first use.
   *
   * @param server - Current description of the server.
   * @param nowMs - Monotonic time.
   * @returns Connections and load of the server.
   */
  forServer(server: GatewayServer, nowMs: number): PooledServer {
    const key = `${server.id}@${server.address}#${server.bornMs}`;
    let pooled = this.#servers.get(key);
    if (pooled === undefined) {
      pooled = {
        id: server.id,
        address: server.address,
        pool: openPool(server.address),
        load: new ServerLoadView(server.slots),
        lastUsedAtMs: nowMs,
      };
      this.#servers.set(key, pooled);
    }
    pooled.lastUsedAtMs = nowMs;
    return pooled;
  }

  /**
   * Closes the connections of servers that have not been used recently.
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
