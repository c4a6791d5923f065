/** Orders of assigners that end with the term under which they were given. */
import {isSameFence, type Fence} from '@wisteriarun/core';

/** A drain that this VM applies as dispatcher. */
export interface DrainOrder {
  readonly server: string;
  readonly service: string;
  readonly shard: number;
  readonly term: number;
  /** Folded offset of the assigner that gave the order. */
  readonly offset: number;
  /** Number that the assigner gave the order. */
  readonly seq: number;
  /** Fence of the server's dispatcher when the order came, if known. */
  readonly fence: Fence | null;
}

interface StopOrder {
  readonly fence: Fence;
  readonly term: number;
}

/**
 * Remembers drains and stops. A new assigner does not know what the former one
 * ordered, so a drain of an older term is taken back, and a stopped fence may
 * be used again if a newer term's table lists it. A drain also ends with a new
 * epoch of its shard, because the shard may return to the same server, and with
 * a new fence, under which the assigner sends the drains that still count.
 */
export class ZoneOrders {
  private readonly drains = new Map<string, DrainOrder>();
  private readonly stops = new Map<string, StopOrder>();

  /**
   * Notes a drain or its end.
   *
   * @param order - Server, shard and term.
   * @param shouldDrain - True to drain.
   */
  recordDrain(order: DrainOrder, shouldDrain: boolean): void {
    const id = drainId(order);
    if (shouldDrain) this.drains.set(id, order);
    else this.drains.delete(id);
  }

  /**
   * Tells whether a drain is in force.
   *
   * @param order - The order as it was noted.
   * @returns False once it was taken back or has ended, also when the shard was
   * drained again by a later order.
   */
  isDrained(order: DrainOrder): boolean {
    const known = this.drains.get(drainId(order));
    return known?.term === order.term && known.seq === order.seq;
  }

  /**
   * Notes that this VM stopped dispatching for a server.
   *
   * @param server - Server id.
   * @param fence - Fence that must not be used again in this term.
   * @param term - Term of the order.
   */
  recordStop(server: string, fence: Fence, term: number): void {
    this.stops.set(server, {fence, term});
  }

  /**
   * Tells whether a fence was stopped in a table's term or a later one.
   *
   * @param server - Server id.
   * @param fence - Fence in the table.
   * @param term - Term of the table.
   * @returns True when this VM must not dispatch under the fence.
   */
  isStopped(server: string, fence: Fence, term: number): boolean {
    const stop = this.stops.get(server);
    if (!stop || term > stop.term) return false;
    return isSameFence(stop.fence, fence);
  }

  /**
   * Removes the drains of older terms and of older epochs.
   *
   * @param currentTermOf - Current term of a server's zone.
   * @param epochOf - Present epoch of a shard.
   * @returns The removed drains.
   */
  removeOutdatedDrains(
    currentTermOf: (server: string) => number,
    epochOf: (service: string, shard: number) => number,
  ): readonly DrainOrder[] {
    return this.removeDrains(
      order =>
        order.term < currentTermOf(order.server) ||
        epochOf(order.service, order.shard) > order.offset,
    );
  }

  /**
   * Removes the drains that were ordered under another fence.
   *
   * @param server - Server id.
   * @param fence - Fence of this VM.
   * @returns The removed drains.
   */
  removeDrainsOfOtherFences(
    server: string,
    fence: Fence,
  ): readonly DrainOrder[] {
    return this.removeDrains(
      order => order.server === server && !isSameFence(order.fence, fence),
    );
  }

  private removeDrains(
    isObsolete: (order: DrainOrder) => boolean,
  ): DrainOrder[] {
    const removed = [...this.drains.values()].filter(isObsolete);
    for (const order of removed) this.drains.delete(drainId(order));
    return removed;
  }
}

function drainId({
  server,
  service,
  shard,
}: Pick<DrainOrder, 'server' | 'service' | 'shard'>): string {
  return `${server}/${service}/${shard}`;
}
