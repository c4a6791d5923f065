/** Route lookups for the request path, from the state and dispatch tables. */
import {
  route,
  type Hasher,
  type Route,
  type RouterState,
  type Server,
  type Service,
} from '@wisteriarun/core';
import type {DispatchDirectory} from './dispatch-directory.js';
import type {
  DispatcherAddress,
  OwnedShard,
  RouteSource,
} from '../request/types.js';

/** Relay address of an entry VM. */
export interface RelayEndpoint {
  readonly relayHost: string;
  readonly relayPort: number;
}

/** Sources of the route table. */
export interface RouteTableOptions {
  /** Instance id of this process. */
  readonly vm: string;
  readonly hasher: Hasher;
  readonly state: () => RouterState;
  readonly directory: DispatchDirectory;
  /** Relay address of an entry VM, or null when the VM is not known. */
  readonly relayOf: (vm: string) => RelayEndpoint | null;
}

/** Looks up shards, servers and dispatchers for the request path. */
export class RouteTable implements RouteSource {
  private readonly waiters = new Set<() => void>();
  private servers = new Map<string, Server>();
  /** Wall time at which the server's batch leaves, by server id. */
  private leaveTimesMs = new Map<string, number>();
  /** Shards by server id; null when the index must be built again. */
  private shards: Map<string, OwnedShard[]> | null = null;
  /** Offset of the bundle that `servers` and `leaveTimesMs` were built from. */
  private indexedBundleOffset = 0;

  /**
   * @param options - Sources.
   */
  constructor(private readonly options: RouteTableOptions) {}

  route(service: string, key: string): Route | null {
    const {state, hasher} = this.options;
    return route(state(), hasher, service, key);
  }

  dispatcherOf(server: string): DispatcherAddress | null {
    const row = this.options.directory.lookup(server);
    if (!row) return null;
    const relay = this.options.relayOf(row.dispatcher);
    if (!relay) return null;
    const isSelf = row.dispatcher === this.options.vm;
    return {vm: row.dispatcher, fence: row.fence, isSelf, ...relay};
  }

  server(id: string): Server | null {
    this.indexBundle();
    return this.servers.get(id) ?? null;
  }

  service(id: string): Service | null {
    const services = this.options.state().bundle?.body.services;
    return services?.find(service => service.id === id) ?? null;
  }

  hasBundle(): boolean {
    return this.options.state().bundle !== null;
  }

  shardsOf(server: string): Iterable<OwnedShard> {
    this.shards ??= indexShards(this.options.state());
    return this.shards.get(server) ?? [];
  }

  leaveAtMs(server: string): number | null {
    this.indexBundle();
    return this.leaveTimesMs.get(server) ?? null;
  }

  whenChanged(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiters.add(wake);
    });
  }

  /** Drops the shard index of the former state and wakes waiting requests. */
  onChanged(): void {
    this.shards = null;
    for (const wake of [...this.waiters]) wake();
  }

  private indexBundle(): void {
    const {bundle} = this.options.state();
    if (!bundle || bundle.offset === this.indexedBundleOffset) return;
    const {servers, batches} = bundle.body;
    this.indexedBundleOffset = bundle.offset;
    this.servers = new Map(servers.map(server => [server.id, server]));
    const leaveAtMs = new Map<string, number>();
    for (const batch of batches) {
      if (batch.state === 'leaving') leaveAtMs.set(batch.id, batch.leaveAtMs);
    }
    this.leaveTimesMs = new Map();
    for (const {id, batch} of servers) {
      const atMs = leaveAtMs.get(batch);
      if (atMs !== undefined) this.leaveTimesMs.set(id, atMs);
    }
  }
}

function indexShards(state: RouterState): Map<string, OwnedShard[]> {
  const index = new Map<string, OwnedShard[]>();
  for (const [service, {rows}] of state.services) {
    rows.forEach(({server, epoch}, shard) => {
      if (server === null) return;
      const owned = index.get(server) ?? [];
      owned.push({service, shard, epoch});
      index.set(server, owned);
    });
  }
  return index;
}
