/** Orders of assigners that end with the term under which they were given. */
import type {Fence} from '@wisteriarun/core';

/** A drain that this VM applies as dispatcher. */
export interface DrainOrder {
  readonly server: string;
  readonly service: string;
  readonly shard: number;
  readonly term: number;
}

interface StopOrder {
  readonly fence: Fence;
  readonly term: number;
}

/**
 * Remembers drains and stops. A new assigner does not know what the former one
 * ordered, so a drain of an older term is taken back, and a stopped fence may
 * be used again if a newer term's table lists it. A drain also ends with the
 * move that it served; else the shard would be held back when it returns.
 */
export class ZoneOrders {
  private readonly drains = new Map<string, DrainOrder>();
  private readonly stops = new Map<string, StopOrder>();

  /**
   * Notes a drain or its end.
   *
   * @param order - Server, shard and term.
   * @param on - True to drain.
   */
  noteDrain(order: DrainOrder, on: boolean): void {
    const id = drainId(order);
    if (on) this.drains.set(id, order);
    else this.drains.delete(id);
  }

  /**
   * Notes that this VM stopped dispatching for a server.
   *
   * @param server - Server id.
   * @param fence - Fence that must not be used again in this term.
   * @param term - Term of the order.
   */
  noteStop(server: string, fence: Fence, term: number): void {
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
    return stop.fence.term === fence.term && stop.fence.seq === fence.seq;
  }

  /**
   * Tells whether a drain is in force.
   *
   * @param order - The order as it was noted.
   * @returns False when it was taken back, even if it was ordered again.
   */
  isDrained(order: DrainOrder): boolean {
    return this.drains.get(drainId(order)) === order;
  }

  /**
   * Removes the drains that no longer apply.
   *
   * @param applies - Whether the term and the owner are still the same.
   * @returns The removed drains.
   */
  takeOutdatedDrains(
    applies: (order: DrainOrder) => boolean,
  ): readonly DrainOrder[] {
    const outdated: DrainOrder[] = [];
    for (const [id, order] of this.drains) {
      if (applies(order)) continue;
      this.drains.delete(id);
      outdated.push(order);
    }
    return outdated;
  }
}

function drainId({server, service, shard}: DrainOrder): string {
  return `${server}/${service}/${shard}`;
}
