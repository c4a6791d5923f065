/** Whether the assigner may send grants. */
import type {Clock, Logger} from '@wisteriarun/runtime';
import {delay} from '../utils/delay.js';
import type {TablePublisher} from './table-publisher.js';

/** Time after the last append for which grants may still be renewed. */
export const AUTHORITY_MS = 15_000;
/** A gap between two checks that shows a pause of this process. */
const PAUSE_MS = 700;
/** Pause between two appends that should show whether this VM is elected. */
const VERIFY_PAUSE_MS = 100;

/** Holds grants back while another VM may have been elected. */
export class Authority {
  #checkedAtMs: number;
  #checkedWallMs: number;
  #isVerified = true;
  #isSuspended = false;
  #verifying: Promise<void> | null = null;
  #isClosed = false;

  /**
   * @param publisher - Appends the table of the term.
   * @param clock - Clock of the process.
   * @param logger - Receives pauses.
   */
  constructor(
    private readonly publisher: TablePublisher,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.#checkedAtMs = clock.monotonicMs();
    this.#checkedWallMs = clock.wallMs();
  }

  /** Whether grants may be sent now. */
  get mayGrant(): boolean {
    const {publisher, clock} = this;
    return (
      this.#isVerified &&
      !this.#isSuspended &&
      !publisher.isSuperseded &&
      clock.monotonicMs() - publisher.appendedAtMs < AUTHORITY_MS
    );
  }

  /**
   * Holds grants back, or lets them go on.
   *
   * @param isSuspended - Whether no grant may be sent.
   */
  suspend(isSuspended: boolean): void {
    this.#isSuspended = isSuspended;
  }

  /** Called at short intervals; after a pause the term is verified. */
  detectPause(): void {
    const nowMs = this.clock.monotonicMs();
    const wallMs = this.clock.wallMs();
    // The monotonic clock does not count a suspended machine's time.
    const gapMs = Math.max(
      nowMs - this.#checkedAtMs,
      Math.abs(wallMs - this.#checkedWallMs),
    );
    this.#checkedAtMs = nowMs;
    this.#checkedWallMs = wallMs;
    if (gapMs < PAUSE_MS || !this.#isVerified) return;
    this.logger.warn('pause-detected', {gap_ms: Math.round(gapMs)});
    void this.verifyTerm();
  }

  /**
   * Holds grants back until the log shows whether this VM is still elected.
   *
   * @returns Resolves when the log has shown it.
   */
  verifyTerm(): Promise<void> {
    this.#isVerified = false;
    this.#verifying ??= this.#appendUntilAnswered().finally(() => {
      this.#verifying = null;
    });
    return this.#verifying;
  }

  /** Stops to verify. */
  close(): void {
    this.#isClosed = true;
  }

  async #appendUntilAnswered(): Promise<void> {
    while (!this.#isClosed && !this.publisher.isSuperseded) {
      if (await this.publisher.persist()) {
        this.#isVerified = true;
        return;
      }
      await delay(VERIFY_PAUSE_MS);
    }
  }
}
