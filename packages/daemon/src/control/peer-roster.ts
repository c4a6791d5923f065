/** Membership of entry VMs, from the control link and the VM list. */
import {
  PEER_SILENT_MS,
  type EntryVm,
  type ElectionPeer,
} from '@wisteriarun/core';
import type {PeerMesh} from '@wisteriarun/peer';
import type {Clock} from '@wisteriarun/runtime';
import type {VmListWatcher} from '@wisteriarun/vm-list';
import type {RelayEndpoint} from './route-table.js';

/** Description of this VM, as its peers know it. */
export interface SelfView extends RelayEndpoint {
  /** Instance id. */
  readonly vm: string;
  readonly zone: string;
  readonly capacity: number;
  /** Whether this process is shutting down. */
  readonly draining: () => boolean;
}

/** Sources of the roster. */
export interface PeerRosterOptions {
  readonly self: SelfView;
  readonly mesh: PeerMesh;
  readonly vmList: VmListWatcher;
  readonly clock: Clock;
}

/**
 * Derives the instance id, by which the peers know a process: the VM id and the
 * beginning of the boot id. It changes with each start, so that a restarted
 * process is never mistaken for the former one.
 *
 * @param vm - VM id from the settings.
 * @param bootId - Id of the process's incarnation, unique for each start.
 * @returns The instance id.
 */
export function instanceId(vm: string, bootId: string): string {
  return `${vm}.${bootId.slice(0, 8)}`;
}

const vmOf = (instance: string) => instance.slice(0, instance.lastIndexOf('.'));

/** Tracks which entry VMs are live or draining, and their relay addresses. */
export class PeerRoster {
  private pause = {gapMs: 0, untilMs: -Infinity};
  private readonly drainingSinceMs = new Map<string, number>();

  /**
   * @param options - Sources.
   */
  constructor(private readonly options: PeerRosterOptions) {}

  /**
   * Records a pause of this process. No heartbeats could be received during
   * the pause, so its length is added to the allowed silence of the peers until
   * their next heartbeats are due.
   *
   * @param gapMs - Length of the pause.
   */
  recordPause(gapMs: number): void {
    const untilMs = this.options.clock.monotonicMs() + PEER_SILENT_MS;
    this.pause = {gapMs, untilMs};
  }

  /**
   * Relay address of an entry VM.
   *
   * @param vm - Instance id.
   * @returns The address, or null when the VM is not known.
   */
  relayOf(vm: string): RelayEndpoint | null {
    const {self, mesh} = this.options;
    return vm === self.vm ? self : mesh.peer(vm);
  }

  /**
   * Live entry VMs that may dispatch for a zone's servers. If the zone has
   * none, those of this VM's zone dispatch for it.
   *
   * @param zone - Zone of the servers.
   * @returns Live VMs; this VM is among those of its own zone.
   */
  entriesOf(zone: string): readonly EntryVm[] {
    const {self} = this.options;
    const local = this.liveIn(zone);
    return local.length > 0 || zone === self.zone
      ? local
      : this.liveIn(self.zone);
  }

  /**
   * Entry VMs of a zone, live or silent. A listed VM without a known process is
   * given by its VM id, the others by their instance ids.
   *
   * @param zone - Zone of the VMs.
   * @returns Ids, or null until the VM list was read.
   */
  knownIn(zone: string): readonly string[] | null {
    const {self, mesh, vmList} = this.options;
    if (vmList.lastReadMs === null) return null;
    const peers = mesh.peers().filter(peer => peer.zone === zone);
    const known = peers.map(({vm}) => vm);
    if (self.zone === zone) known.push(self.vm);
    const knownVmIds = new Set(known.map(vmOf));
    for (const vm of vmList.vms.values()) {
      const isEntry = vm.role === 'entry' && vm.zone === zone;
      if (isEntry && !knownVmIds.has(vm.id)) known.push(vm.id);
    }
    return known;
  }

  /**
   * Entry VMs whose processes have certainly ended: the VM list has removed
   * the VM, or a later process of the VM runs, which can open the VM's ports
   * only after the former process has ended.
   *
   * @returns Instance ids of the ended processes, and ids of the removed VMs.
   */
  removed(): ReadonlySet<string> {
    const {self, mesh, vmList} = this.options;
    const removed = new Set(vmList.removedIds);
    const latestInstances = new Map([[vmOf(self.vm), self.vm]]);
    const byLastHeard = mesh
      .peers()
      .sort((a, b) => b.lastHeardMs - a.lastHeardMs);
    for (const {vm: instance, connected} of byLastHeard) {
      const vm = vmOf(instance);
      const successor = latestInstances.get(vm);
      if (!successor) latestInstances.set(vm, instance);
      else if (!connected) removed.add(instance);
      if (vmList.removedIds.has(vm)) removed.add(instance);
    }
    return removed;
  }

  /** Other entry VMs of all zones, in the form that elections read. */
  otherEntries(): ElectionPeer[] {
    const nowMs = this.options.clock.monotonicMs();
    return this.options.mesh.peers().map(peer => {
      const draining = peer.draining || this.isLeaving(peer.vm);
      if (!draining) this.drainingSinceMs.delete(peer.vm);
      else if (!this.drainingSinceMs.has(peer.vm)) {
        this.drainingSinceMs.set(peer.vm, nowMs);
      }
      return {
        vm: peer.vm,
        zone: peer.zone,
        lastHeardAtMs: peer.lastHeardMs,
        drainingSinceMs: this.drainingSinceMs.get(peer.vm) ?? null,
      };
    });
  }

  private liveIn(zone: string): EntryVm[] {
    const {self, mesh, clock} = this.options;
    const nowMs = clock.monotonicMs();
    const pausedMs = nowMs < this.pause.untilMs ? this.pause.gapMs : 0;
    const heardSinceMs = nowMs - PEER_SILENT_MS - pausedMs;
    const live = mesh
      .peers()
      .filter(peer => peer.zone === zone && peer.lastHeardMs >= heardSinceMs)
      .map(({vm, capacity, draining}) => ({
        vm,
        capacity,
        draining: draining || this.isLeaving(vm),
      }));
    if (zone === self.zone) {
      const draining = self.draining() || this.isLeaving(self.vm);
      live.push({vm: self.vm, capacity: self.capacity, draining});
    }
    return live;
  }

  private isLeaving(instance: string): boolean {
    const listed = this.options.vmList.vms.get(vmOf(instance));
    return listed?.state === 'leaving';
  }
}
