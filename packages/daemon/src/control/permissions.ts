/** Permissions to send requests to servers that do not check grants. */
import {
  isSameFence,
  type Fence,
  type PeerMessage,
  type Reason,
} from '@wisteriarun/core';
import type {Clock} from '@wisteriarun/runtime';
import type {OwnedShard, PermissionCheck} from '../request/types.js';

/** Permission message of a zone's assigner. */
export type Permission = Extract<PeerMessage, {kind: 'permission'}>;

/** Permission with its grants indexed by shard. */
interface StoredPermission {
  readonly message: Permission;
  /** Epoch of each granted shard, by `service/shard`. */
  readonly epochs: ReadonlyMap<string, number>;
}

const shardName = ({service, shard}: Omit<OwnedShard, 'epoch'>) =>
  `${service}/${shard}`;

/** Latest permission of this VM for each server that does not check grants. */
export class PermissionTable implements PermissionCheck {
  private readonly latest = new Map<string, StoredPermission>();

  /**
   * @param clock - Clock that the expiry times refer to.
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Stores a permission unless one of a newer term is stored for its server.
   *
   * @param message - Message from the zone's assigner.
   * @returns True when the permission was stored.
   */
  update(message: Permission): boolean {
    const known = this.latest.get(message.server);
    if (known && message.term < known.message.term) return false;
    const epochs = new Map(
      message.grants.map(grant => [shardName(grant), grant.epoch]),
    );
    this.latest.set(message.server, {message, epochs});
    return true;
  }

  check(server: string, fence: Fence, shard: OwnedShard): Reason | null {
    const known = this.latest.get(server);
    if (!known) return 'no-permission';
    const {message, epochs} = known;
    if (this.clock.monotonicMs() >= message.expiresAtMs) return 'no-permission';
    if (!isSameFence(message.fence, fence)) return 'stale-fence';
    return epochs.get(shardName(shard)) === shard.epoch ? null : 'stale-epoch';
  }
}
