/** Drain and stop orders of assigners, which are valid only in their term. */
import {isSameFence, type Fence} from '@wisteriarun/core';

/** Order to drain a shard, which this VM follows as the dispatcher. */
export interface DrainOrder {
  readonly server: string;
  readonly service: string;
  readonly shard: number;
  readonly term: number;
  /** Offset of the assigner's state when it gave the order. */
  readonly offset: number;
  /** Sequence number that the assigner gave the order. */
  readonly seq: number;
  /** Fence of the server's dispatcher when the order arrived, if known. */
  readonly fence: Fence | null;
}

interface StopOrder {
  readonly fence: Fence;
  readonly term: number;
}

/**
 * Stores the drain and stop orders in force. A new assigner does not know the
 * orders of the former one, so a drain of an older term is cancelled, and a
 * stopped fence may be used again if a newer term's table lists it. A drain
 * also ends with a new epoch of its shard, because the shard may return to the
 * same server, and with a new fence, because the assigner repeats the drains
 * that are still needed to the dispatcher with that fence.
 */
export class ZoneOrders {
  private readonly drains = new Map<string, DrainOrder>();
  private readonly stops = new Map<string, StopOrder>();

  /**
   * Records the start or the end of a drain.
   *
   * @param order - Order to drain a shard.
   * @param shouldDrain - True to start the drain, false to end it.
   */
  recordDrain(order: DrainOrder, shouldDrain: boolean): void {
    const id = drainId(order);
    if (shouldDrain) this.drains.set(id, order);
    else this.drains.delete(id);
  }

  /**
   * Tells whether a drain is in force.
   *
   * @param order - Order as it was recorded.
   * @returns False once the order was cancelled or has ended, even if a later
   * order drains the shard again.
   */
  isDrainInForce(order: DrainOrder): boolean {
    const known = this.drains.get(drainId(order));
    return known?.term === order.term && known.seq === order.seq;
  }

  /**
   * Records that this VM stopped dispatching for a server.
   *
   * @param server - Server id.
   * @param fence - Fence that must not be used again in this term.
   * @param term - Term of the order.
   */
  recordStop(server: string, fence: Fence, term: number): void {
    this.stops.set(server, {fence, term});
  }

  /**
   * Tells whether a fence was stopped in the term of a table or in a later one.
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
   * Removes the drains of older terms and of shards with a newer epoch.
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
