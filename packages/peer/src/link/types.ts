/** Types of the control link. */
import type {Heartbeat, PeerMessage, WisteriarunError} from '@wisteriarun/core';
import type {Clock} from '@wisteriarun/runtime';

/** Where a peer listens for control links; `vm` where it is known. */
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

/** A change of a link's state. */
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

/** What the mesh knows about a peer; kept for a time after its link ends. */
export interface PeerView {
  readonly vm: string;
  readonly zone: string;
  readonly capacity: number;
  readonly relayHost: string;
  readonly relayPort: number;
  readonly draining: boolean;
  /** Offset of the peer's folded state. */
  readonly offset: number;
  /** Time of the latest message on the own monotonic clock. */
  readonly lastHeardMs: number;
  readonly bootId: string;
  readonly connected: boolean;
}

/** Identity, address and callbacks of the own VM. */
export interface PeerMeshOptions {
  readonly deployment: string;
  readonly vm: string;
  readonly zone: string;
  readonly bootId: string;
  readonly capacity: number;
  readonly relayHost: string;
  readonly relayPort: number;
  /** Address to listen on; port 0 picks a free one. */
  readonly host: string;
  readonly port: number;
  /** Deployment secret; never sent. */
  readonly secret: string;
  readonly clock: Clock;
  /** Builds the next heartbeat. */
  readonly heartbeat: () => Heartbeat;
  /** Source of jitter from 0 to 1. */
  readonly random?: () => number;
  readonly heartbeatIntervalMs?: number;
  /** Silence after which a link counts as half-open and is closed. */
  readonly linkSilentMs?: number;
}
