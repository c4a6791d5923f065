/** Types of the control link. */
import type {Heartbeat, PeerMessage, WisteriarunError} from '@wisteriarun/core';
import type {Clock} from '@wisteriarun/runtime';

/** Address on which a peer accepts control links; `vm` when it is known. */
export interface PeerAddress {
  readonly vm?: string;
  readonly host: string;
  readonly port: number;
}

/** A message with the VM that sent it. */
export interface PeerEnvelope {
  readonly from: string;
  readonly message: PeerMessage;
}

/**
 * A change of a link's state. A link that fails before it is usable has as its
 * `address` the `host:port` that this VM connected to, or `inbound` when the peer
 * connected; `listener` stands for an error of the listening socket.
 */
export type LinkEvent =
  | {readonly kind: 'link-up'; readonly vm: string; readonly bootId: string}
  | {
      readonly kind: 'link-down';
      readonly vm: string;
      readonly cause: WisteriarunError;
    }
  | {
      readonly kind: 'link-failed';
      readonly address: string;
      readonly cause: WisteriarunError;
    };

/** State of a peer as this VM last knew it; kept for a time without a link. */
export interface PeerView {
  /** Id of the peer, as in its own `PeerMeshOptions`. */
  readonly vm: string;
  readonly zone: string;
  /** Weight of the VM when dispatchers are chosen. */
  readonly capacity: number;
  readonly relayHost: string;
  readonly relayPort: number;
  /** Whether the latest heartbeat says that the VM is shutting down. */
  readonly draining: boolean;
  /** Offset of the last log record that the peer's state includes. */
  readonly offset: number;
  /** Time of the latest message on this VM's monotonic clock. */
  readonly lastHeardMs: number;
  /** Id of the peer's incarnation, which is one run of its process. */
  readonly bootId: string;
  readonly connected: boolean;
}

/** Identity, address and callbacks of this VM. */
export interface PeerMeshOptions {
  readonly deployment: string;
  /** Id of this VM; the daemon passes its instance id, new at each start. */
  readonly vm: string;
  readonly zone: string;
  /** Id of this process's incarnation. */
  readonly bootId: string;
  /** Weight of this VM when dispatchers are chosen. */
  readonly capacity: number;
  /** Address at which peers reach this VM's relay server. */
  readonly relayHost: string;
  readonly relayPort: number;
  /** Address to listen on; port 0 chooses a free port. */
  readonly host: string;
  readonly port: number;
  /** Deployment secret; never sent over a link. */
  readonly secret: string;
  readonly clock: Clock;
  /** Builds the next heartbeat. */
  readonly heartbeat: () => Heartbeat;
  /** Returns a random number from 0 to 1 for the backoff jitter. */
  readonly random?: () => number;
  /** `HEARTBEAT_INTERVAL_MS` when absent. */
  readonly heartbeatIntervalMs?: number;
  /**
   * Time without messages after which a link is closed as half-open;
   * `MAX_SILENT_HEARTBEATS` heartbeat intervals when absent.
   */
  readonly linkSilentMs?: number;
}
