/** Events about the links to other entry VMs. */
import type {LinkEvent, PeerView} from '@wisteriarun/peer';
import {describeError} from '@wisteriarun/core';
import type {Clock} from '@wisteriarun/runtime';
import type {EventSink} from '../request/types.js';

/**
 * Silence after which the event `peer-lost` is emitted for a peer without a
 * link. Elections and the choice of dispatchers use `PEER_SILENT_MS` instead.
 */
const PEER_LOST_MS = 3_000;

/** Emits an event for each link that goes up or down and each lost peer. */
export class PeerEvents {
  private readonly lostVms = new Set<string>();

  /**
   * @param clock - Clock of the process.
   * @param emit - Receives the events.
   */
  constructor(
    private readonly clock: Clock,
    private readonly emit: EventSink,
  ) {}

  /**
   * Emits an event when a link goes up or down. Failed connection attempts are
   * not reported, because they repeat for as long as a peer is unreachable.
   *
   * @param event - Change of the link.
   */
  onLink(event: LinkEvent): void {
    if (event.kind === 'link-failed') return;
    const {kind, vm} = event;
    if (kind === 'link-up') {
      this.lostVms.delete(vm);
      this.emit({kind, fields: {vm}});
    } else this.emit({kind, cause: describeError(event.cause), fields: {vm}});
  }

  /**
   * Reports peers without a link that have been silent for too long, each once
   * until its link is up again.
   *
   * @param peers - Known peers.
   */
  check(peers: readonly PeerView[]): void {
    const nowMs = this.clock.monotonicMs();
    for (const {vm, zone, connected, lastHeardMs} of peers) {
      const silentMs = Math.round(nowMs - lastHeardMs);
      if (connected || silentMs < PEER_LOST_MS || this.lostVms.has(vm))
        continue;
      this.lostVms.add(vm);
      this.emit({
        kind: 'peer-lost',
        cause: 'silent',
        fields: {vm, zone, silentMs},
      });
    }
    const known = new Set(peers.map(({vm}) => vm));
    for (const vm of this.lostVms) if (!known.has(vm)) this.lostVms.delete(vm);
  }
}
