/** Keeps the link of this VM to the current assigner. */
import type {AssignerContact, GatewayMessage} from '@wisteriarun/core';
import type {Clock, Logger} from '@wisteriarun/runtime';
import {PeerLink} from './peer-link.js';

/** Silence after which the link counts as broken. */
const LINK_SILENCE_MS = 900;
/**
 * Time after which a link that is not live is opened anew. Each further attempt at
 * the same process waits twice as long: an assigner that is busy answering many VMs
 * would otherwise get ever more links.
 */
const RELINK_MS = 500;
/** Longest time between two attempts to connect to the same process. */
const MAX_RELINK_MS = 4_000;
/** Random share by which the time between two attempts is longer. */
const RELINK_JITTER_RATIO = 0.5;

/** Opens links to the assigner, one at a time. */
export class AssignerLink {
  #link: PeerLink | null = null;
  #linkedIncarnation: string | null = null;
  #triedAtMs = -Infinity;
  #relinkMs = RELINK_MS;

  /**
   * @param hello - Builds the first message on each link.
   * @param onMessage - Receives the assigner's messages.
   * @param clock - Clock of the process.
   * @param logger - Receives connection errors and malformed messages.
   */
  constructor(
    private readonly hello: () => GatewayMessage,
    private readonly onMessage: (message: GatewayMessage) => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Whether something has arrived on the link within the last 0.9 s. */
  get isLive(): boolean {
    const link = this.#link;
    return link !== null && link.isOpen && link.silentMs < LINK_SILENCE_MS;
  }

  /**
   * Connects to the assigner, unless there is a live link to its process or the last
   * attempt was a short time ago.
   *
   * @param assigner - The assigner.
   * @returns Whether a new link was opened.
   */
  open({incarnation, peerAddress}: AssignerContact): boolean {
    const nowMs = this.clock.monotonicMs();
    const isSame = this.#linkedIncarnation === incarnation;
    if (isSame && this.isLive) return false;
    if (!isSame) this.#relinkMs = RELINK_MS;
    if (nowMs - this.#triedAtMs < this.#relinkMs) return false;
    if (isSame) {
      const jitter = 1 + Math.random() * RELINK_JITTER_RATIO;
      this.#relinkMs = Math.min(MAX_RELINK_MS, this.#relinkMs * 2 * jitter);
    }
    this.#triedAtMs = nowMs;
    this.#linkedIncarnation = incarnation;
    this.close();
    this.#link = new PeerLink(
      peerAddress,
      this.hello,
      this.onMessage,
      this.clock,
      this.logger,
    );
    return true;
  }

  /** Records that the link works, so that the next one is opened soon. */
  heartbeatReceived(): void {
    this.#relinkMs = RELINK_MS;
  }

  /**
   * Sends a message.
   *
   * @param message - The message; dropped while there is no link.
   */
  send(message: GatewayMessage): void {
    this.#link?.send(message);
  }

  /** Closes the link. */
  close(): void {
    this.#link?.close();
    this.#link = null;
  }
}
