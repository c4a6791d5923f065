/** Index of the folded state by server, for one zone. */
import type {Grant, RouterState, Server} from '../../types/index.js';
import type {ShardId} from './placement.js';

/** A shard under the authority of the zone. */
export interface OwnedShard extends ShardId {
  readonly server: string | null;
  readonly epoch: number;
}

/** Shards and servers of one zone in one folded state. */
export class ShardIndex {
  /** Shards of the zone by owner; owners may be missing from the bundle. */
  readonly byServer = new Map<string, OwnedShard[]>();
  readonly unowned: OwnedShard[] = [];
  /** All servers of the bundle, of every zone. */
  readonly servers = new Map<string, Server>();
  readonly stopped: ReadonlySet<string>;
  /** Wall time at which each leaving batch leaves. */
  readonly leaveAtMs = new Map<string, number>();
  readonly lapseServices = new Set<string>();

  /**
   * Builds the index.
   *
   * @param state - Folded state.
   * @param zone - Zone of the assigner.
   */
  constructor(
    readonly state: RouterState,
    readonly zone: string,
  ) {
    const body = state.bundle?.body;
    this.stopped = new Set(body?.stopped);
    for (const s of body?.servers ?? []) this.servers.set(s.id, s);
    for (const b of body?.batches ?? []) {
      if (b.state === 'leaving') this.leaveAtMs.set(b.id, b.leaveAtMs);
    }
    for (const s of body?.services ?? []) {
      if (s.adoption === 'lapse') this.lapseServices.add(s.id);
    }
    for (const [service, {rows}] of state.services) {
      rows.forEach((row, shard) => {
        if (row.zone !== zone) return;
        const owned = {service, shard, server: row.server, epoch: row.epoch};
        if (row.server === null) this.unowned.push(owned);
        else this.addOwned(row.server, owned);
      });
    }
  }

  /**
   * Shards of a server.
   *
   * @param server - Server id.
   * @returns Its shards under the zone's authority.
   */
  shardsOf(server: string): readonly OwnedShard[] {
    return this.byServer.get(server) ?? [];
  }

  /**
   * Present epoch of a shard.
   *
   * @param id - Shard of any zone.
   * @returns Epoch, or null for an unknown shard.
   */
  epochOf(id: ShardId): number | null {
    const row = this.state.services.get(id.service)?.rows[id.shard];
    return row?.epoch ?? null;
  }

  /**
   * Grants of a server according to the folded state.
   *
   * @param server - Server id.
   * @param isExcluded - Shards to leave out.
   * @returns Grants for a lease.
   */
  grantsOf(server: string, isExcluded: (id: ShardId) => boolean): Grant[] {
    return this.shardsOf(server)
      .filter(s => !isExcluded(s))
      .map(({service, shard, epoch}) => ({service, shard, epoch}));
  }

  private addOwned(server: string, owned: OwnedShard): void {
    const list = this.byServer.get(server);
    if (list) list.push(owned);
    else this.byServer.set(server, [owned]);
  }
}
