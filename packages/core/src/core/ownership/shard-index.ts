/** Index of one zone's shards by server, built from the folded state. */
import type {Grant, RouterState, Server} from '../../types/index.js';
import type {ShardId} from './placement.js';

/** A shard that the zone's assigner decides about; `server` owns it, if any. */
export interface ZoneShard extends ShardId {
  readonly server: string | null;
  readonly epoch: number;
}

/** Shards of one zone and the servers of the bundle, in one folded state. */
export class ShardIndex {
  /** Shards of the zone by owner. The bundle may no longer list an owner. */
  readonly byServer = new Map<string, ZoneShard[]>();
  /** Shards of the zone that have no owner. */
  readonly unowned: ZoneShard[] = [];
  /** Servers of the bundle in all zones, by id. */
  readonly servers = new Map<string, Server>();
  /** Servers that the operator listed as stopped for good. */
  readonly stopped: ReadonlySet<string>;
  /** Wall time from which servers get no new requests, by leaving batch. */
  readonly leaveAtMs = new Map<string, number>();
  /** Services with the adoption policy `lapse`. */
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
   * Returns the shards of a server.
   *
   * @param server - Server id.
   * @returns Those of its shards that belong to the zone.
   */
  shardsOf(server: string): readonly ZoneShard[] {
    return this.byServer.get(server) ?? [];
  }

  /**
   * Returns the current epoch of a shard.
   *
   * @param id - Shard of any zone.
   * @returns Epoch, or null for an unknown shard.
   */
  epochOf(id: ShardId): number | null {
    const row = this.state.services.get(id.service)?.rows[id.shard];
    return row?.epoch ?? null;
  }

  /**
   * Builds the grants of a server from the folded state.
   *
   * @param server - Server id.
   * @param isExcluded - Whether to leave a shard out.
   * @returns Grants for a lease.
   */
  grantsOf(server: string, isExcluded: (id: ShardId) => boolean): Grant[] {
    return this.shardsOf(server)
      .filter(s => !isExcluded(s))
      .map(({service, shard, epoch}) => ({service, shard, epoch}));
  }

  private addOwned(server: string, owned: ZoneShard): void {
    const list = this.byServer.get(server);
    if (list) list.push(owned);
    else this.byServer.set(server, [owned]);
  }
}
