/** Decides whether the assigner may send grants. */
import type {Clock, Logger} from '@wisteriarun/runtime';
import {delay} from '../utils/delay.js';
import type {TablePublisher} from './table-publisher.js';

/**
 * Time after the last successful append of the table during which grants may
 * still be sent. The log refuses appends of this VM once another one is elected,
 * so the next assigner knows that this VM sends no grant later than this time
 * after the election, and when the last grants lapse.
 */
export const AUTHORITY_MS = 15_000;
/**
 * A gap of at least this length between two checks, on the monotonic or the wall
 * clock, counts as a pause of the process. A step of the wall clock counts as
 * well, since it cannot be told from a suspension of the VM.
 */
const PROCESS_PAUSE_MS = 700;
/** Delay after the first failed append that verifies the term; then it doubles. */
const VERIFY_RETRY_DELAY_MS = 100;
/** Longest delay between two appends that verify the term. */
const MAX_VERIFY_RETRY_DELAY_MS = 800;

/** Suspends grants while another VM may have been elected. */
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
   * @param logger - Logs pauses of the process.
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
   * Suspends grants while this VM resigns, or ends the suspension. `verifyTerm`
   * does not change this state.
   *
   * @param isSuspended - Whether grants are suspended.
   */
  setSuspended(isSuspended: boolean): void {
    this.#isSuspended = isSuspended;
  }

  /**
   * Verifies the term after a pause of the process or a step of the wall clock.
   * Must be called at intervals much shorter than `PROCESS_PAUSE_MS`.
   */
  detectPause(): void {
    const nowMs = this.clock.monotonicMs();
    const wallMs = this.clock.wallMs();
    // The monotonic clock stops while the VM is suspended; the wall clock does
    // not.
    const gapMs = Math.max(
      nowMs - this.#checkedAtMs,
      Math.abs(wallMs - this.#checkedWallMs),
    );
    this.#checkedAtMs = nowMs;
    this.#checkedWallMs = wallMs;
    if (gapMs < PROCESS_PAUSE_MS || !this.#isVerified) return;
    this.logger.warn('pause-detected', {gap_ms: Math.round(gapMs)});
    void this.verifyTerm();
  }

  /**
   * Appends the table until the log shows whether this VM is still elected. Until
   * then, the term counts as not verified and no grants may be sent.
   *
   * @returns Resolves when that is known, or after `close`.
   */
  verifyTerm(): Promise<void> {
    this.#isVerified = false;
    this.#verifying ??= this.#appendUntilAnswered().finally(() => {
      this.#verifying = null;
    });
    return this.#verifying;
  }

  /** Ends a verification in progress after its current append. */
  close(): void {
    this.#isClosed = true;
  }

  async #appendUntilAnswered(): Promise<void> {
    let retryDelayMs = VERIFY_RETRY_DELAY_MS;
    while (!this.#isClosed && !this.publisher.isSuperseded) {
      if (await this.publisher.persist()) {
        this.#isVerified = true;
        return;
      }
      await delay(retryDelayMs);
      retryDelayMs = Math.min(MAX_VERIFY_RETRY_DELAY_MS, 2 * retryDelayMs);
    }
  }
}
