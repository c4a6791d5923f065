/** Keeps trying to reach one address while no link to its VM exists. */
import type {PeerAddress} from './types.js';

const BASE_DELAY_MS = 100;
const MAX_DELAY_MS = 2_000;

/** Reconnect state of one address. */
export class Dialer {
  /** VM found at the address, as configured or as seen last. */
  vm: string | null;
  #failures = 0;
  #timer: NodeJS.Timeout | null = null;
  #connecting = false;
  #closed = false;

  /**
   * @param address - Address of the peer.
   * @param random - Source of jitter from 0 to 1.
   * @param connect - Opens a connection; `done` follows when it has ended.
   */
  constructor(
    readonly address: PeerAddress,
    private readonly random: () => number,
    private readonly connect: (dialer: Dialer) => void,
  ) {
    this.vm = address.vm ?? null;
  }

  /** Connects at once unless a connection or a wait is under way. */
  dial(): void {
    if (this.#closed || this.#connecting || this.#timer !== null) return;
    this.#connecting = true;
    this.connect(this);
  }

  /** Records that the connection became usable. */
  resetBackoff(): void {
    this.#failures = 0;
  }

  /**
   * Records the end of the connection.
   *
   * @param retry - Whether to connect again after the backoff.
   */
  onConnectionEnded(retry: boolean): void {
    this.#connecting = false;
    if (retry) this.scheduleRetry();
  }

  /** Connects again after an exponential backoff with jitter. */
  scheduleRetry(): void {
    if (this.#closed || this.#timer !== null) return;
    const ceilingMs = Math.min(
      MAX_DELAY_MS,
      BASE_DELAY_MS * 2 ** Math.min(this.#failures, 16),
    );
    this.#failures += 1;
    const delayMs = ceilingMs * (0.5 + this.random() / 2);
    this.#timer = setTimeout(() => {
      this.#timer = null;
      this.dial();
    }, delayMs);
  }

  /** Stops all further attempts. */
  close(): void {
    this.#closed = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
  }
}
