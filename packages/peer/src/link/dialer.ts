/** Connects to one address and retries while no link to its VM exists. */
import type {PeerAddress} from './types.js';

/** Delay before the first retry; doubles with each further failure. */
const BASE_DELAY_MS = 100;
const MAX_DELAY_MS = 2_000;

/** Connection attempts and backoff of one address. */
export class Dialer {
  /**
   * Id of the VM at the address: the configured one or that of the last VM that
   * answered; null when unknown.
   */
  vm: string | null;
  #failures = 0;
  #timer: NodeJS.Timeout | null = null;
  #isConnecting = false;
  #isClosed = false;

  /**
   * @param address - Address of the peer.
   * @param random - Returns a random number from 0 to 1 for the backoff jitter.
   * @param connect - Opens a connection and calls `onConnectionEnded` when the
   * connection has ended.
   */
  constructor(
    readonly address: PeerAddress,
    private readonly random: () => number,
    private readonly connect: (dialer: Dialer) => void,
  ) {
    this.vm = address.vm ?? null;
  }

  /** Connects at once unless a connection is open or a retry is scheduled. */
  dial(): void {
    if (this.#isClosed || this.#isConnecting || this.#timer !== null) return;
    this.#isConnecting = true;
    this.connect(this);
  }

  /** Resets the backoff; called when the connection becomes usable. */
  resetBackoff(): void {
    this.#failures = 0;
  }

  /**
   * Handles the end of the connection.
   *
   * @param retry - Whether to connect again after the backoff.
   */
  onConnectionEnded(retry: boolean): void {
    this.#isConnecting = false;
    if (retry) this.scheduleRetry();
  }

  /**
   * Connects again after an exponential backoff. Jitter picks a delay between
   * half and all of it.
   */
  scheduleRetry(): void {
    if (this.#isClosed || this.#timer !== null) return;
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
    this.#isClosed = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
  }
}
